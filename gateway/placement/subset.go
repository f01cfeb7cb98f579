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
	// minSubset is the minimum number of upstreams of a service that one host uses. A smaller subset would leave too few
	// upstreams when half of them are unhealthy. With a larger one, connections are idle for so long that upstreams close them
	// and most requests need a new connection.
	minSubset = 32
	// unusedProbability is the probability that some upstream of a service is used by no host.
	unusedProbability = 0.01
	// localShare is the share of the subset for upstreams in the local data centre.
	localShare = 0.75
)

// Subset chooses the upstreams of a large service that one host uses, by rendezvous hashing. An upstream that is added or
// removed changes at most one member of the subset of each host, and every upstream is used by about the same number of hosts.
// All upstreams of a small service are used. A Subset is meant for fleets in which a host would otherwise send each upstream
// of a service less than one request in several seconds. It is safe for concurrent use.
type Subset struct {
	self, dataCentre string

	mu     sync.Mutex
	source []settings.Upstream
	size   int
	chosen []settings.Upstream
}

// NewSubset returns the Subset of a host.
func NewSubset(self, dataCentre string) *Subset { return &Subset{self: self, dataCentre: dataCentre} }

// Of returns the upstreams that the host uses if the fleet has the given number of hosts. A subset contains no leaving
// upstreams. The slice upstreams must not be modified afterwards.
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

// subsetSize returns the number of upstreams that each host uses. The number of hosts that use an upstream is about Poisson
// distributed with the mean size*hosts/upstreams, so it is 0 with probability exp(-mean).
func subsetSize(upstreams, hosts int) int {
	hostsPerUpstream := math.Log(float64(max(1, upstreams)) / unusedProbability)
	return max(minSubset, int(math.Ceil(hostsPerUpstream*float64(upstreams)/float64(max(1, hosts)))))
}

func (s *Subset) choose(upstreams []settings.Upstream, size int) []settings.Upstream {
	var local, remote []scored
	for i := range upstreams {
		u := &upstreams[i]
		c := scored{upstream: u, score: rendezvous.Score(string(u.ID), s.self)}
		switch {
		case u.Leaving:
		case u.DataCentre == s.dataCentre:
			local = append(local, c)
		default:
			remote = append(remote, c)
		}
	}
	localSize := min(int(localShare*float64(size)), len(local))
	chosen := make([]settings.Upstream, 0, size)
	// If the local data centre has few upstreams, remote ones fill the rest of the subset.
	for _, c := range append(highest(local, localSize), highest(remote, size-localSize)...) {
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
