package dispatchclient

import (
	"slices"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

// unreachablePeriod is the time for which an upstream counts as unreachable after this host could not connect to it. Links that are
// partitioned stay so for some seconds.
const unreachablePeriod = 3 * time.Second

// Unreachable holds the upstreams of one service to which this host could not connect lately, while others may. Its zero value is ready
// for use. It is safe for concurrent use.
type Unreachable struct {
	mu       sync.Mutex
	failedAt map[settings.UpstreamID]time.Time
}

// Failed records that no connection to an upstream could be opened.
func (u *Unreachable) Failed(now time.Time, id settings.UpstreamID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.failedAt == nil {
		u.failedAt = make(map[settings.UpstreamID]time.Time)
	}
	u.forget(now)
	u.failedAt[id] = now
}

// Connected records that an upstream was reached.
func (u *Unreachable) Connected(id settings.UpstreamID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.failedAt, id)
}

// Recent returns the upstreams that count as unreachable, the last one that failed first.
func (u *Unreachable) Recent(now time.Time) []settings.UpstreamID {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.forget(now)
	var recent []settings.UpstreamID
	for id := range u.failedAt {
		recent = append(recent, id)
	}
	slices.SortFunc(recent, func(a, b settings.UpstreamID) int { return u.failedAt[b].Compare(u.failedAt[a]) })
	return recent
}

// forget drops the failures that are older than unreachablePeriod.
func (u *Unreachable) forget(now time.Time) {
	for id, at := range u.failedAt {
		if now.Sub(at) >= unreachablePeriod {
			delete(u.failedAt, id)
		}
	}
}
