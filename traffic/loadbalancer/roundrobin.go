package loadbalancer

import (
	"slices"
	"sync"

	"github.com/bronzeyard/bronzeyard/settings"
)

// RoundRobin chooses the upstreams in turn. It is the baseline with which benchmarks compare Balancer.
type RoundRobin struct {
	mu        sync.Mutex
	upstreams []settings.Upstream
	next      int
}

// NewRoundRobin returns a RoundRobin over the given upstreams that begins with the upstream at index start.
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
