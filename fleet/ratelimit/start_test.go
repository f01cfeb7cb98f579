package ratelimit

import (
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/ratelimit/ratelimitpb"
)

// Guards against a new owner that grants while another host may still use tokens that it holds under an older epoch. Also guards
// against an owner that waits for the takeover time although no host can hold tokens.
func TestGrantStartAfterEpochChange(t *testing.T) {
	learned := time.Unix(1000, 0)
	takeoverAt := learned.Add(2 * time.Second)
	a, b := fleet.Identity{ID: "a", Incarnation: 1}, fleet.Identity{ID: "b", Incarnation: 2}
	view := &fleet.View{
		Epoch: fleet.Epoch{Number: 7, Members: []fleet.Member{
			{ID: a.ID, Incarnation: a.Incarnation, State: fleet.Active},
			{ID: b.ID, Incarnation: b.Incarnation, State: fleet.Active},
		}},
		LearnedAt: learned, TakeoverAt: takeoverAt,
	}
	type report struct {
		from                  fleet.Identity
		removalMs, learnersMs uint32
	}
	cases := []struct {
		name    string
		reports []report
		want    time.Duration // since learned
	}{
		{"nobody has reported", nil, 2*time.Second + SliceTTL + ClockDriftMargin},
		{"one member has not reported", []report{{a, 0, 0}}, 2*time.Second + SliceTTL + ClockDriftMargin},
		{"joins only", []report{{a, 0, 0}, {b, 0, 0}}, 0},
		{"one member states an earlier takeover time of a removed host", []report{{a, 2000, 0}, {b, 1200, 0}}, 1200 * time.Millisecond},
		{"loan to a learner", []report{{a, 0, 0}, {b, 0, 1300}}, 1300 * time.Millisecond},
		{"takeover time of the epoch before that of a removed host", []report{{a, 5000, 0}, {b, 5000, 0}}, 2 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var owned ownedCustomers
			owned.init()
			owned.reset(view)
			for _, r := range c.reports {
				owned.recordCompleteReport(r.from, learned, &ratelimitpb.RenewSharesRequest{
					RemovalFreeMs: r.removalMs, GuestFreeMs: r.learnersMs,
				})
			}
			current := owned.history[0]
			due := learned.Add(c.want)
			if c.want > 0 && current.startDue(due.Add(-time.Millisecond)) {
				t.Errorf("owner starts to grant 1 ms before %s, want not before", c.want)
			}
			if !current.startDue(due) {
				t.Errorf("owner does not start to grant at %s", c.want)
			}
		})
	}
}
