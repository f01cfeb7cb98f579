package loadbalancer

import (
	"slices"
	"sync"

	"github.com/bronzeyard/bronzeyard/settings"
)

// RoundRobin takes the upstreams in turn. It is the baseline that measurements compare Balancer with.
type RoundRobin struct {
	mu        sync.Mutex
	upstreams []settings.Upstream
	next      int
}

// NewRoundRobin returns a policy over the given upstreams that starts at the given position.
func NewRoundRobin(upstreams []settings.Upstream, start int) *RoundRobin {
	return &RoundRobin{upstreams: upstreams, next: start}
}

// Pick returns the next upstream that is neither leaving, ejected nor excluded, or ErrNoUpstream. weights may be nil.
func (r *RoundRobin) Pick(weights Weighter, exclude []settings.UpstreamID) (settings.Upstream, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range r.upstreams {
		u := r.upstreams[r.next%len(r.upstreams)]
		r.next++
		if u.Leaving || slices.Contains(exclude, u.ID) || (weights != nil && weights.Weight(u.ID) <= 0) {
			continue
		}
		return u, nil
	}
	return settings.Upstream{}, ErrNoUpstream
}
