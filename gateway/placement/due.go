package placement

import (
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/settings"
)

// PickDue chooses the first of the upstreams that accepts requests and is not full, and counts the attempt as in flight until Done is
// called. One with an open breaker is chosen for a half-open trial if mayTry returns true and this host has no request there. It returns
// false if there is none.
func (p *Pool) PickDue(
	now time.Time, due []settings.Upstream, request Request, breakers Breakers, mayTry func(settings.UpstreamID) bool,
) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range due {
		u := &due[i]
		if u.Leaving || !p.accepts(now, u) || slices.Contains(request.Exclude, u.ID) {
			continue
		}
		c := candidate{upstream: u, state: p.state(u.ID)}
		load := p.load(now, c)
		open := breakers.State(now, u.ID, request.Retryable) != breaker.Closed
		if load >= fullLoad || (open && (c.state.inFlight > 0 || !mayTry(u.ID))) {
			continue
		}
		return take(c, Choice{Load: load, Trial: open, Floor: true, Candidates: len(due)}), true
	}
	return Choice{}, false
}

// InUse returns the share of the upstreams with closed breakers among those that are probably healthy: these, and those with open
// breakers for which recovered returns true. It is 1 if there are none.
func (p *Pool) InUse(now time.Time, upstreams []settings.Upstream, breakers Breakers, recovered func(settings.UpstreamID) bool) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	closed, healthy := 0, 0
	for i := range upstreams {
		u := &upstreams[i]
		if u.Leaving || !p.accepts(now, u) {
			continue
		}
		switch {
		case breakers.State(now, u.ID, false) == breaker.Closed:
			closed, healthy = closed+1, healthy+1
		case recovered(u.ID):
			healthy++
		}
	}
	if healthy == 0 {
		return 1
	}
	return float64(closed) / float64(healthy)
}
