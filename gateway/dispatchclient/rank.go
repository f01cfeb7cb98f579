package dispatchclient

import (
	"cmp"
	"slices"

	"github.com/bronzeyard/bronzeyard/gateway/gossip"
	"github.com/bronzeyard/bronzeyard/traffic/rendezvous"
)

// Candidate is a live host that could be a dispatcher.
type Candidate struct {
	Host       string
	DataCentre string
	// ProcessorShare is the number of processors that the host may use; 0 if not known, which counts as 1.
	ProcessorShare float64
	// LinkMbps is the bandwidth of the host's link in Mbit/s; 0 if not known.
	LinkMbps float64
}

// minRelativeCapacity is the share of a processor and the bandwidth of the link, relative to the largest ones in the data centre, from
// which a host is preferred as a dispatcher. All requests of a service wait for the replies of its dispatcher, so a slow host, or one
// whose link is filled by responses, delays them all.
const minRelativeCapacity = 0.5

// maxRanked is the number of hosts that Rank returns. The dispatcher and its successors are rarely unavailable at the same time.
const maxRanked = 4

// share returns the processor share of a host for the comparison with others.
func (c *Candidate) share() float64 {
	if c.ProcessorShare <= 0 {
		return 1
	}
	return c.ProcessorShare
}

// Rank returns the dispatcher of a service in a data centre, followed by its successors. They are hosts of that data centre, or of all
// of them if there is none. Hosts with a large share of a processor and a fast link come first. The order depends on the candidates
// alone, so hosts with the same view of the fleet agree on it.
func Rank(id gossip.DispatcherID, candidates []Candidate) []string {
	local := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.DataCentre != id.DataCentre })
	if len(local) == 0 {
		local = candidates
	}
	largest, fastest := 0.0, 0.0
	for i := range local {
		largest, fastest = max(largest, local[i].share()), max(fastest, local[i].LinkMbps)
	}
	type scored struct {
		host      string
		preferred bool
		score     float64
	}
	key := string(id.Service) + "\x00" + id.DataCentre
	order := make([]scored, 0, len(local))
	for i := range local {
		c := &local[i]
		slowLink := c.LinkMbps > 0 && c.LinkMbps < minRelativeCapacity*fastest
		order = append(order, scored{
			host: c.Host, preferred: c.share() >= minRelativeCapacity*largest && !slowLink,
			score: rendezvous.Weighted(key, c.Host, c.share()),
		})
	}
	slices.SortFunc(order, func(a, b scored) int {
		if a.preferred != b.preferred {
			if a.preferred {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host, b.host))
	})
	ranked := make([]string, 0, maxRanked)
	for _, s := range order[:min(maxRanked, len(order))] {
		ranked = append(ranked, s.host)
	}
	return ranked
}
