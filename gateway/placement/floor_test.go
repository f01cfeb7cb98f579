package placement

import (
	"fmt"
	"testing"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/settings"
)

// Guards against a service that keeps healthy upstreams out of use below the floor. With too many open breakers, a service
// with only non-idempotent requests kept more than a third of its healthy upstreams out of use for 6 s (reported as FLOOR on
// trouble-3 of the grown daan site). Guards also against trials with such requests while enough upstreams are in use or have
// spare capacity, or at upstreams that have just failed.
func TestFloorRestoresUpstreams(t *testing.T) {
	const upstreams, floor = 10, 0.7
	for name, c := range map[string]struct {
		open, recovered int
		idle            bool // the upstreams in use are idle, otherwise full
		retry           bool
		want            bool
	}{
		"too few in use":            {open: 4, recovered: 2, want: true},
		"too few in use, but idle":  {open: 4, recovered: 2, idle: true, want: false},
		"enough in use":             {open: 3, recovered: 3, want: false},
		"none may have recovered":   {open: 4, recovered: 0, want: false},
		"a request that has failed": {open: 4, recovered: 2, retry: true, want: false},
	} {
		var all []settings.Upstream
		b := states{of: make(map[settings.UpstreamID]breaker.State), recovered: make(map[settings.UpstreamID]bool)}
		for i := range upstreams {
			u := upstream(fmt.Sprint("u", i), "north")
			all = append(all, u)
			if i < c.open {
				b.of[u.ID] = breaker.Open
				b.recovered[u.ID] = i < c.recovered
			}
		}
		p := pool()
		for i := range all[c.open:] {
			for range all[0].Slots {
				if c.idle {
					break
				}
				// One upstream at a time: a choice among all would fill them unevenly.
				p.Pick(now, all[c.open+i:c.open+i+1], Request{}, b)
			}
		}
		choice, ok := p.Pick(now, all, Request{Floor: floor, Retry: c.retry}, b)
		if !ok {
			t.Fatalf("%s: no upstream was chosen", name)
		}
		if got := choice.Trial && b.recovered[choice.Upstream.ID]; got != c.want {
			t.Errorf("%s: chose %s, trial %v; want a trial at a recovered upstream: %v", name, choice.Upstream.ID, choice.Trial, c.want)
		}
	}
}
