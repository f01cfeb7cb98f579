package floor

import (
	"slices"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/rendezvous"
)

// Host is a live host.
type Host struct{ ID, DataCentre string }

// Fleet holds the live hosts that are not leaving, by data centre. It is immutable.
type Fleet struct {
	all          []Host
	hosts        []string
	byDataCentre map[string][]string
}

// NewFleet returns the Fleet of the hosts.
func NewFleet(hosts []Host) *Fleet {
	f := &Fleet{all: hosts, byDataCentre: make(map[string][]string)}
	for _, host := range hosts {
		f.hosts = append(f.hosts, host.ID)
		f.byDataCentre[host.DataCentre] = append(f.byDataCentre[host.DataCentre], host.ID)
	}
	return f
}

// Matches reports whether the fleet was made from the same hosts in the same order.
func (f *Fleet) Matches(hosts []Host) bool { return slices.Equal(f.all, hosts) }

// Home returns the home host of an upstream: a host of its data centre, or of another one if there is none; empty without hosts. Subsets
// of large services are chosen by the same scores, so the home host is the one that is most likely to use the upstream anyway.
func (f *Fleet) Home(u *settings.Upstream) string {
	candidates := f.byDataCentre[u.DataCentre]
	if len(candidates) == 0 {
		candidates = f.hosts
	}
	home, highest := "", uint64(0)
	for _, host := range candidates {
		score := rendezvous.Score(string(u.ID), host)
		if home == "" || score > highest || (score == highest && host < home) {
			home, highest = host, score
		}
	}
	return home
}
