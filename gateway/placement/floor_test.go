package placement

import (
	"fmt"
	"testing"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/settings"
)

// Guards the floor: with too many open breakers a service that takes bookings only kept more than a third of its sound
// upstreams out of use for 6 s (FLOOR on trouble-3 of the grown daan site). Guards also against bookings that are risked
// while enough upstreams are in use or have room, or at upstreams that failed just now.
func TestFloorBringsUpstreamsBack(t *testing.T) {
	const upstreams, floor = 10, 0.7
	for name, c := range map[string]struct {
		open, well int
		idle       bool // those in use are idle, else full
		again      bool
		want       bool
	}{
		"too few in use":            {open: 4, well: 2, want: true},
		"too few, and idle":         {open: 4, well: 2, idle: true, want: false},
		"enough in use":             {open: 3, well: 3, want: false},
		"none may be well":          {open: 4, well: 0, want: false},
		"a request that was failed": {open: 4, well: 2, again: true, want: false},
	} {
		var all []settings.Upstream
		b := states{of: make(map[settings.UpstreamID]breaker.State), well: make(map[settings.UpstreamID]bool)}
		for i := range upstreams {
			u := upstream(fmt.Sprint("u", i), "north")
			all = append(all, u)
			if i < c.open {
				b.of[u.ID] = breaker.Open
				b.well[u.ID] = i < c.well
			}
		}
		p := pool()
		for i := range all[c.open:] {
			for range all[0].Slots {
				if c.idle {
					break
				}
				p.Pick(now, all[c.open+i:c.open+i+1], Request{}, b) // fills each one, not about as many
			}
		}
		choice, ok := p.Pick(now, all, Request{Floor: floor, Retry: c.again}, b)
		if !ok {
			t.Fatalf("%s: no upstream", name)
		}
		if got := choice.Trial && b.well[choice.Upstream.ID]; got != c.want {
			t.Errorf("%s: chose %s, trial %v; want a trial of one that may be well: %v", name, choice.Upstream.ID, choice.Trial, c.want)
		}
	}
}
