package breaker

import (
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// LocalLossWindow is the time within which connections to several upstreams break if the fault is on this host. Breaks are
	// reported only after this time.
	LocalLossWindow = 20 * time.Millisecond
	// minLocalLossUpstreams is the number of upstreams whose connections must break at once for the fault to be on this host.
	// An upstream by itself breaks only a few connections per second, so breaks at this many at once are no coincidence.
	minLocalLossUpstreams = 3
)

// LocalLossDetector distinguishes connections that this host has lost, which break to many upstreams at once, from those that
// an upstream has broken. It is safe for concurrent use.
type LocalLossDetector struct {
	mu     sync.Mutex
	breaks []connectionBreak
}

type connectionBreak struct {
	upstream settings.UpstreamID
	at       time.Time
}

// Record records that a connection to an upstream has broken.
func (o *LocalLossDetector) Record(now time.Time, upstream settings.UpstreamID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	recent := o.breaks[:0]
	for _, b := range o.breaks {
		if now.Sub(b.at) <= 2*LocalLossWindow {
			recent = append(recent, b)
		}
	}
	o.breaks = append(recent, connectionBreak{upstream, now})
}

// IsLocal reports whether connections to at least minLocalLossUpstreams upstreams broke within LocalLossWindow before or after
// the given time. It must be called LocalLossWindow after that time, because later breaks count too.
func (o *LocalLossDetector) IsLocal(at time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	distinct := make(map[settings.UpstreamID]bool)
	for _, b := range o.breaks {
		if b.at.Sub(at).Abs() <= LocalLossWindow {
			distinct[b.upstream] = true
		}
	}
	return len(distinct) >= minLocalLossUpstreams
}
