package membership

import (
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// TestRemovalTakeoverAt guards against a RemovalTakeoverAt in the past at a host that has not seen every change of the epoch or
// has seen a removal: leases of removed hosts may not have expired yet.
func TestRemovalTakeoverAt(t *testing.T) {
	start := time.Unix(1000, 0)
	member := func(id string) fleet.Member {
		return fleet.Member{ID: fleet.HostID(id), Incarnation: fleet.Incarnation(id[0]), Capacity: 1, State: fleet.Active}
	}
	epoch := func(number uint64, ids ...string) *epochState {
		e := &epochState{Epoch: fleet.Epoch{Number: number}}
		for _, id := range ids {
			e.Members = append(e.Members, member(id))
		}
		return e
	}
	cases := []struct {
		name   string
		epochs []*epochState
		waits  bool
	}{
		{"first epoch of the cell", []*epochState{epoch(1, "a")}, false},
		{"joins", []*epochState{epoch(1, "a"), epoch(2, "a", "b"), epoch(3, "a", "b", "c")}, false},
		{"removal", []*epochState{epoch(1, "a"), epoch(2, "a", "b"), epoch(3, "a")}, true},
		{"removal before a join", []*epochState{epoch(1, "a", "b"), epoch(2, "a"), epoch(3, "a", "c")}, true},
		{"skipped epoch", []*epochState{epoch(1, "a"), epoch(3, "a", "c")}, true},
		{"first known epoch", []*epochState{epoch(5, "a", "b")}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			durations := Durations{}
			durations.setDefaults()
			m := NewMachine(durations, member("a"), Moment{Now: start, Wall: start})
			var at Moment
			for i, e := range c.epochs {
				at = Moment{Now: start.Add(time.Duration(i) * time.Millisecond), Wall: start}
				m.learn(e, at)
			}
			view := m.View(at)
			if waits := view.RemovalTakeoverAt.After(at.Now); waits != c.waits {
				t.Errorf("RemovalTakeoverAt in %s, waits %t, want %t", view.RemovalTakeoverAt.Sub(at.Now), waits, c.waits)
			}
			if view.RemovalTakeoverAt.After(view.TakeoverAt) {
				t.Errorf("RemovalTakeoverAt %s after TakeoverAt %s", view.RemovalTakeoverAt, view.TakeoverAt)
			}
		})
	}
}
