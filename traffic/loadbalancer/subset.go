package loadbalancer

import (
	"cmp"
	"slices"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/rendezvous"
)

// minConnectionShare is the minimum number of connections to an upstream that a host needs: one for a request in flight, a new
// one for a non-idempotent request, and one of each that is being closed.
const minConnectionShare = 4

// Host is a host that sends requests to a service.
type Host struct {
	ID         fleet.HostID
	DataCentre string
}

// Subset returns the hosts that may connect to the upstream. These are all hosts as long as each can have minConnectionShare
// connections. Otherwise they are the hosts that rank first for the upstream, and they divide its limit among them: those of
// its data centre rank before others, and each group is ordered by rendezvous hashing. The result depends on the arguments
// alone, so all hosts of an epoch agree on it and together stay within the limit. An upstream with Connections of 0 has no
// limit, and all hosts may connect to it.
func Subset(u settings.Upstream, hosts []Host) []Host {
	maxHosts := max(1, u.Connections/minConnectionShare)
	if u.Connections <= 0 || len(hosts) <= maxHosts {
		return hosts
	}
	type scored struct {
		host     Host
		distance int
		score    uint64
	}
	ranked := make([]scored, len(hosts))
	for i, h := range hosts {
		ranked[i] = scored{host: h, score: rendezvous.Score(string(u.ID), string(h.ID))}
		if h.DataCentre != u.DataCentre {
			ranked[i].distance = 1
		}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.score, a.score), cmp.Compare(a.host.ID, b.host.ID))
	})
	members := make([]Host, maxHosts)
	for i := range members {
		members[i] = ranked[i].host
	}
	return members
}

// ConnectionShare returns how many connections to the upstream one host may have when the given hosts send to the service. It
// is 0 for a host outside the upstream's subset. Without a connection limit,
// it is the number of the upstream's slots, at least 1.
func ConnectionShare(u settings.Upstream, hosts []Host, self fleet.HostID) int {
	members := Subset(u, hosts)
	if !slices.ContainsFunc(members, func(h Host) bool { return h.ID == self }) {
		return 0
	}
	return connectionShare(u, len(members))
}

func connectionShare(u settings.Upstream, hosts int) int {
	if u.Connections <= 0 {
		return max(1, u.Slots)
	}
	return u.Connections / max(1, hosts)
}
