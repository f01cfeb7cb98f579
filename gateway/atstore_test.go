package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/gossip"
)

// Guards against a fleet in which no host, or every host, long-polls the store for the configuration. Two hosts of each data
// centre do: other ones when these are unreachable, are leaving, or cannot read the store, and some even if no host can read it.
func TestTwoHostsOfADataCentreLongPollTheStore(t *testing.T) {
	const hosts = 8
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	fleet := func(change func(i int, h *gossip.Host)) []gossip.Host {
		var all []gossip.Host
		for i := range hosts {
			h := gossip.Host{LastSeenAt: now, Record: gossip.Record{ID: fmt.Sprint("edge-", i), DataCentre: fmt.Sprint("dc-", i%2)}}
			change(i, &h)
			all = append(all, h)
		}
		return all
	}
	polling := func(all []gossip.Host) map[string][]int {
		found := make(map[string][]int)
		for i, h := range all {
			others := append(append([]gossip.Host(nil), all[:i]...), all[i+1:]...)
			if h.Alive(now) && isPoller(now, h.ID, h.DataCentre, h.StoreUnavailable, others) {
				found[h.DataCentre] = append(found[h.DataCentre], i)
			}
		}
		return found
	}
	first := polling(fleet(func(int, *gossip.Host) {}))
	isFirst := func(i int) bool {
		for _, of := range first {
			for _, j := range of {
				if i == j {
					return true
				}
			}
		}
		return false
	}
	for name, change := range map[string]func(i int, h *gossip.Host){
		"all healthy": func(int, *gossip.Host) {},
		"the first are unreachable": func(i int, h *gossip.Host) {
			if isFirst(i) {
				h.LastSeenAt = now.Add(-time.Minute)
			}
		},
		"the first cannot read the store": func(i int, h *gossip.Host) { h.StoreUnavailable = isFirst(i) },
		"none can read the store":         func(_ int, h *gossip.Host) { h.StoreUnavailable = true },
	} {
		found := polling(fleet(change))
		for _, dataCentre := range []string{"dc-0", "dc-1"} {
			if len(found[dataCentre]) != pollersPerDataCentre {
				t.Errorf("%s: hosts %v of %s long-poll the store, want %d", name, found[dataCentre], dataCentre, pollersPerDataCentre)
			}
		}
		if name == "the first cannot read the store" || name == "the first are unreachable" {
			for _, of := range found {
				for _, i := range of {
					if isFirst(i) {
						t.Errorf("%s: host %d still long-polls it", name, i)
					}
				}
			}
		}
	}
}
