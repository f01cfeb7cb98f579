package placement

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/rendezvous"
)

const (
	// minSubset is the number of upstreams of a service that one host uses at least. Fewer would leave too few when half of
	// them are sick; with more, connections are idle for so long that upstreams close them, and most requests need a new one.
	minSubset = 32
	// unusedChance is the probability that some upstream of a service is used by no host.
	unusedChance = 0.01
	// nearShare is the share of the subset for upstreams in the host's own data centre.
	nearShare = 0.75
)

// Subset chooses the upstreams of a large service that one host uses, by rendezvous hashing: an upstream that comes or goes
// changes at most one member of each host's subset, and every upstream is used by about the same number of hosts. Small
// services are used whole. It is for fleets in which a host would send each upstream of a service less than one request in
// several seconds. It is safe for concurrent use.
type Subset struct {
	self, dataCentre string

	mu     sync.Mutex
	source []settings.Upstream
	size   int
	chosen []settings.Upstream
}

// NewSubset returns the Subset of a host.
func NewSubset(self, dataCentre string) *Subset { return &Subset{self: self, dataCentre: dataCentre} }

// Of returns the part of the upstreams that the host uses if the fleet has that many hosts. Upstreams that leave are not a
// part of it. The slice must not change afterwards.
func (s *Subset) Of(upstreams []settings.Upstream, hosts int) []settings.Upstream {
	size := subsetSize(len(upstreams), hosts)
	if len(upstreams) <= size {
		return upstreams
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.source) != len(upstreams) || &s.source[0] != &upstreams[0] || s.size != size {
		s.source, s.size, s.chosen = upstreams, size, s.choose(upstreams, size)
	}
	return s.chosen
}

// subsetSize is the number of upstreams that each host uses. The number of hosts that use an upstream is about Poisson
// distributed with the mean size*hosts/upstreams, so it is 0 with probability exp(-mean).
func subsetSize(upstreams, hosts int) int {
	users := math.Log(float64(max(1, upstreams)) / unusedChance)
	return max(minSubset, int(math.Ceil(users*float64(upstreams)/float64(max(1, hosts)))))
}

func (s *Subset) choose(upstreams []settings.Upstream, size int) []settings.Upstream {
	var near, far []scored
	for i := range upstreams {
		u := &upstreams[i]
		c := scored{upstream: u, score: rendezvous.Score(string(u.ID), s.self)}
		switch {
		case u.Leaving:
		case u.DataCentre == s.dataCentre:
			near = append(near, c)
		default:
			far = append(far, c)
		}
	}
	nearSize := min(int(nearShare*float64(size)), len(near))
	chosen := make([]settings.Upstream, 0, size)
	// A data centre with few upstreams leaves more of the subset to others.
	for _, c := range append(highest(near, nearSize), highest(far, size-nearSize)...) {
		chosen = append(chosen, *c.upstream)
	}
	return chosen
}

type scored struct {
	upstream *settings.Upstream
	score    uint64
}

// highest returns the n upstreams with the highest scores.
func highest(all []scored, n int) []scored {
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.upstream.ID, b.upstream.ID))
	})
	return all[:min(n, len(all))]
}
