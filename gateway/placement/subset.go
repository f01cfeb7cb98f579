package placement

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// leastPlaces is the number of upstreams of a service that one host uses at least. Fewer would leave too few when half of
	// them are sick; with more, connections are idle for so long that upstreams close them, and most requests need a new one.
	leastPlaces = 32
	// unusedOdds is the inverse of the chance that some upstream of a service is used by no host.
	unusedOdds = 100
	// nearPart is the part of the places for upstreams in the host's own data centre.
	nearPart = 0.75
)

// Subset chooses the upstreams of a large service that one host uses, by rendezvous hashing: an upstream that comes or goes
// changes at most one place of each host, and every upstream is used by about the same number of hosts. Services with no
// more upstreams than places are used whole. It answers fleets in which a host sends each upstream of a service less than a
// request in several seconds. It is safe for concurrent use.
type Subset struct {
	self, dataCentre string

	mu     sync.Mutex
	source []settings.Upstream
	places int
	chosen []settings.Upstream
}

// NewSubset returns the Subset of a host.
func NewSubset(self, dataCentre string) *Subset { return &Subset{self: self, dataCentre: dataCentre} }

// Of returns the part of the upstreams that the host uses if the fleet has that many hosts. Upstreams that leave are not a
// part of it. The slice must not change afterwards.
func (s *Subset) Of(upstreams []settings.Upstream, hosts int) []settings.Upstream {
	places := placesOf(len(upstreams), hosts)
	if len(upstreams) <= places {
		return upstreams
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.source) != len(upstreams) || &s.source[0] != &upstreams[0] || s.places != places {
		s.source, s.places, s.chosen = upstreams, places, s.choose(upstreams, places)
	}
	return s.chosen
}

// placesOf is the number of upstreams that each host uses. An upstream has a number of users that is about Poisson
// distributed around places*hosts/upstreams, and none with the chance exp(-mean).
func placesOf(upstreams, hosts int) int {
	users := math.Log(unusedOdds * float64(max(1, upstreams)))
	return max(leastPlaces, int(math.Ceil(users*float64(upstreams)/float64(max(1, hosts)))))
}

func (s *Subset) choose(upstreams []settings.Upstream, places int) []settings.Upstream {
	var near, far []scored
	for i := range upstreams {
		u := &upstreams[i]
		switch {
		case u.Leaving:
		case u.DataCentre == s.dataCentre:
			near = append(near, scored{u, s.score(u.ID)})
		default:
			far = append(far, scored{u, s.score(u.ID)})
		}
	}
	nearPlaces := min(int(nearPart*float64(places)), len(near))
	chosen := make([]settings.Upstream, 0, places)
	// A data centre with few upstreams leaves its places to others.
	for _, c := range append(highest(near, nearPlaces), highest(far, places-nearPlaces)...) {
		chosen = append(chosen, *c.upstream)
	}
	return chosen
}

type scored struct {
	upstream *settings.Upstream
	score    uint64
}

func (s *Subset) score(id settings.UpstreamID) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(s.self) // never fails, as documented
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// highest returns the n upstreams with the highest scores.
func highest(all []scored, n int) []scored {
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.upstream.ID, b.upstream.ID))
	})
	return all[:min(n, len(all))]
}
