package breaker

import (
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// OwnLossWindow is the time within which connections to several upstreams break if this host has lost them itself. Breaks
	// are reported after it.
	LocalLossWindow = 20 * time.Millisecond
	// ownLossUpstreams is the number of upstreams whose connections break at once only if this host has lost them: each
	// upstream by itself breaks a few in a second.
	ownLossUpstreams = 3
)

// OwnLoss tells the loss of this host's own connections, which break to many upstreams at once, from breaks by an upstream.
// It is safe for concurrent use.
type LocalLossDetector struct {
	mu     sync.Mutex
	breaks []brokenAt
}

type brokenAt struct {
	upstream settings.UpstreamID
	at       time.Time
}

// Note notes that a connection to an upstream has broken.
func (o *LocalLossDetector) Record(now time.Time, upstream settings.UpstreamID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	kept := o.breaks[:0]
	for _, b := range o.breaks {
		if now.Sub(b.at) <= 2*LocalLossWindow {
			kept = append(kept, b)
		}
	}
	o.breaks = append(kept, brokenAt{upstream, now})
}

// At reports whether a break at that time was one of several at once. It must be asked OwnLossWindow after the break.
func (o *LocalLossDetector) IsLocal(at time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	distinct := make(map[settings.UpstreamID]bool)
	for _, b := range o.breaks {
		if b.at.Sub(at).Abs() <= LocalLossWindow {
			distinct[b.upstream] = true
		}
	}
	return len(distinct) >= ownLossUpstreams
}
