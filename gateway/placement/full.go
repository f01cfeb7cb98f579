package placement

import (
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

// fullReportAge is the age up to which a report of a load is used by FullShare. A queue of a few requests is served in this time.
const fullReportAge = 500 * time.Millisecond

// FullShare returns the share of the upstreams in use that have reported within fullReportAge, to this host or to another one, that
// they have no free slot.
func (p *Pool) FullShare(now time.Time, upstreams []settings.Upstream) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable, full := 0, 0
	for i := range upstreams {
		u := &upstreams[i]
		if u.Leaving || !p.accepts(now, u) {
			continue
		}
		usable++
		s := p.states[u.ID]
		if s != nil && !s.loadAt.IsZero() && now.Sub(s.loadAt) <= fullReportAge && s.load >= minReportedLoad {
			full++
		}
	}
	if usable == 0 {
		return 1
	}
	return float64(full) / float64(usable)
}
