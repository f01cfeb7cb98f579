package idempotency

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet/idempotency/tableclaims"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/storage"
)

// Guards against a second run of an operation that was claimed in memory only and whose owner is lost, in whatever order
// the outage ends, the lease is renewed or closed and the new owner reads it; and against a table that is not trusted
// although it is complete.
func TestAutoAfterOutage(t *testing.T) {
	const serve = 3 * takeoverDelay
	tests := []struct {
		name string
		// outage is how long the table is down before the claim, and returned how long it is up before the owner is lost.
		outage, returned time.Duration
		// partial lets the outage concern the owner only; open keeps the others from closing its lease.
		partial, open, complete bool
		first, want             string
	}{
		{name: "no outage", want: "granted"},
		{name: "within the lease", outage: 5 * time.Second, first: "claims_unavailable", want: "granted"},
		{name: "new owner reads the ended lease", outage: 14 * time.Second, partial: true, open: true, first: "granted", want: "outcome_unknown"},
		{name: "closed lease", outage: 14 * time.Second, partial: true, first: "granted", want: "outcome_unknown"},
		{name: "outage of all", outage: 14 * time.Second, first: "granted", want: "outcome_unknown"},
		{name: "renewed lease", outage: 14 * time.Second, returned: 5 * time.Second, first: "granted", want: "outcome_unknown"},
		{name: "written result", outage: 14 * time.Second, returned: 5 * time.Second, complete: true, first: "granted", want: "replayed"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTableFleet(3)
				defer f.close()
				for _, h := range f.hosts { // each host writes its lease
					h.begin(f.newID(h), settings.ClaimsAuto, time.Second)
				}
				time.Sleep(4 * time.Second)
				f.table.Faults.SetDown(test.outage > 0 && !test.partial)
				if test.partial {
					f.hosts[0].table.setMode("down")
				}
				time.Sleep(test.outage)
				id := f.newID(f.hosts[0])
				if test.first != "" {
					claim, kind, _ := f.hosts[0].begin(id, settings.ClaimsAuto, time.Second)
					if kind != test.first {
						t.Fatalf("in the outage the operation got %s, want %s", kind, test.first)
					}
					if test.complete {
						claim.Complete(Result{State: Done, Status: 201})
					}
				}
				f.table.Faults.SetDown(false)
				time.Sleep(test.returned)
				for _, h := range f.hosts[1:] {
					if test.open {
						h.table.setMode("before")
						time.AfterFunc(time.Minute, func() { h.table.setMode("") })
					}
				}
				f.lose(f.hosts[0])
				f.learnAll()
				time.Sleep(serve)
				_, kind, _ := f.owner(Key{Customer: "c", ID: id}).begin(id, settings.ClaimsAuto, 10*time.Second)
				if kind != test.want {
					t.Errorf("the new owner answered %s, want %s", kind, test.want)
				}
			})
		})
	}
}

// Guards against a host that grants claims in memory only while the table may state its lease, and against a gap that a
// later renewal forgets.
func TestClaimLease(t *testing.T) {
	at := func(seconds int) ClockReading {
		now := origin.Add(time.Duration(seconds) * time.Second)
		return ClockReading{Now: now, Wall: now, WallAfter: now, ClockOK: true}
	}
	until := func(seconds int) *tableclaims.Lease {
		return &tableclaims.Lease{Until: at(seconds).Wall, GapEnd: at(seconds - 10).Wall, Version: 1}
	}
	tests := []struct {
		err     error
		outage  int // second at which claims in memory only begin, 0 for never
		gapEnds int
	}{
		{nil, 42, 30},
		{storage.ErrUnavailable, 12, 0},
		{storage.ErrUnknownOutcome, 42, 30},
		{errors.Join(storage.ErrUnknownOutcome, storage.ErrUnavailable), 42, 30},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.err), func(t *testing.T) {
			l := claimLease{}
			if l.memoryOnlyAllowed(at(1000)) {
				t.Error("a host without a stored lease grants claims in memory only")
			}
			l.applyRenewal(until(10), nil)
			l.gapEnd = time.Time{}
			l.renewing = true
			if l.memoryOnlyAllowed(at(1000)) {
				t.Error("claims are granted in memory only during a renewal")
			}
			l.applyRenewal(until(40), test.err)
			first := 0
			for second := 0; second < 100 && first == 0; second++ {
				if l.memoryOnlyAllowed(at(second)) {
					first = second
				}
			}
			if first != test.outage {
				t.Errorf("claims in memory only begin at second %d, want %d", first, test.outage)
			}
			if got := l.currentGapEnd(at(5)); test.gapEnds > 0 && !got.Equal(at(test.gapEnds).Wall) {
				t.Errorf("the gap ends at %v, want second %d", got, test.gapEnds)
			}
			l.closed = true
			if l.memoryOnlyAllowed(at(1000)) {
				t.Error("a host whose lease is closed grants claims in memory only")
			}
		})
	}
}
