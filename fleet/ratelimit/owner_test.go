package ratelimit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/ratelimit/ratelimitpb"
)

// Guards against tokens that are added to the reserve from a delayed report after the owner has already counted the whole slice
// as free.
func TestTokensReturnedAfterExpiry(t *testing.T) {
	start := time.Unix(1000, 0)
	limits := Limits{Rate: 1, Burst: 100}
	owner := NewOwner(start, limits, 1)
	a, b := fleet.Identity{ID: "a", Incarnation: 1}, fleet.Identity{ID: "b", Incarnation: 1}
	owner.Handle(start, a, Report{Seq: 1, Demand: 10}, SliceTTL)
	late := start.Add(SameEpochSliceTTL + ClockDriftMargin)
	borrowed := owner.Handle(late, b, Report{Seq: 1, Want: WholeTokens, Need: WholeTokens / 2}, SliceTTL).Borrowed
	before := owner.reserve.Tokens(late)
	owner.Handle(late, a, Report{Seq: 2, Returned: WholeTokens / 10}, SliceTTL)
	if borrowed == 0 || owner.reserve.Tokens(late) > before {
		t.Errorf("lent %d, reserve %v before and %v after the delayed return", borrowed, before, owner.reserve.Tokens(late))
	}
}

// Guards against a slice of an excluded host that stays lent after the takeover time, or is lent again before the takeover time.
func TestExcludeFreesLoans(t *testing.T) {
	start := time.Unix(1000, 0)
	owner := NewOwner(start, Limits{Rate: 100, Burst: 100}, 1)
	owner.Handle(start, fleet.Identity{ID: "a", Incarnation: 1}, Report{Seq: 1, Demand: 50}, SliceTTL)
	lent, _ := owner.unallocated()
	takeoverAt := start.Add(2 * time.Second)
	owner.Exclude(takeoverAt, func(fleet.Identity) bool { return false })
	for _, test := range []struct {
		at   time.Time
		want uint32
	}{{takeoverAt.Add(-1), lent}, {takeoverAt, WholeShare}} {
		owner.expireLoans(test.at)
		if got, _ := owner.unallocated(); got != test.want || lent == WholeShare {
			t.Errorf("%v before the takeover time, %d of the rate is unallocated, want %d", takeoverAt.Sub(test.at), got, test.want)
		}
	}
}

// Guards against a slice lent to a learner that outlives the owner's lease. A new owner does not learn of such slices and
// would lend the same rate again.
func TestGuestSliceExpiresWithLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(2, Limits{Rate: 100, Burst: 100})
		owner := f.hosts[f.ownerOf("zoo")]
		const lease = 1200 * time.Millisecond
		f.mu.Lock()
		owner.view.ActiveUntil = time.Now().Add(lease)
		f.mu.Unlock()
		for from, want := range map[fleet.Identity]time.Duration{
			{ID: "guest", Incarnation: 5}:                 lease,
			f.hosts[1-f.ownerOf("zoo")].member.Identity(): SliceTTL,
		} {
			report := Report{Seq: 1, Demand: 10}
			request := &ratelimitpb.RenewSharesRequest{Epoch: 1, Reports: []*ratelimitpb.Report{reportMessage("zoo", &report)}}
			response, err := owner.limiter.handle(from, request)
			if err != nil {
				t.Fatal(err)
			}
			if grant := grantFromMessage(response.GetGrants()[0]); grant.Rate == 0 || grant.TTL != want {
				t.Errorf("%s got %+v, want a slice for %v", from.ID, grant, want)
			}
		}
		f.stop()
	})
}

// Guards against a division that favours large demands or leaves rate unused.
func TestDivideMaxMin(t *testing.T) {
	for _, test := range []struct {
		total         float64
		demands, want []float64
	}{
		{1, []float64{0.1, 0.2}, []float64{0.1, 0.2}},
		{1, []float64{5, 0.2, 5}, []float64{0.4, 0.2, 0.4}},
		{0.9, []float64{1, 1, 0, 1}, []float64{0.3, 0.3, 0, 0.3}},
		{1, []float64{0, 0}, []float64{0, 0}},
	} {
		shares := make([]float64, len(test.demands))
		divideMaxMin(test.total, test.demands, shares)
		for i, share := range shares {
			if diff := share - test.want[i]; diff > 1e-9 || diff < -1e-9 {
				t.Errorf("divideMaxMin(%v, %v) = %v, want %v", test.total, test.demands, shares, test.want)
				break
			}
		}
	}
}
