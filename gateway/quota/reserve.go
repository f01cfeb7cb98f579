package quota

import (
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

// WouldAdmitBeyond reports whether Admit would allow a request and leave the given share of the bucket's capacity over all hosts. It
// takes no token and does not count as demand.
func (l *Limiter) WouldAdmitBeyond(now time.Time, id settings.CustomerID, limit Limit, reserve float64) bool {
	if limit.Rate <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordCall(now)
	if l.hosts == 0 {
		return false
	}
	b := l.bucket(now, id, limit)
	l.refill(now, b)
	return l.allows(now, b) && b.tokens >= 1+reserve*limit.capacity()
}
