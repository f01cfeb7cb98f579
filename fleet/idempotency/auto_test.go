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

// Guards against a second run of an operation whose owner granted a memory-only claim and then failed. The outage may end
// before or after the lease is renewed or closed and the new owner reads it. Also guards against a new owner that rejects
// an operation without a row although the rows are complete.
func TestAutoAfterOutage(t *testing.T) {
	const serve = 3 * takeoverDelay
	tests := []struct {
		name string
		// outage is the time for which the table is down before the claim, and returned the time for which it is up before
		// the owner fails.
		outage, returned time.Duration
		// partial limits the outage to the owner. open prevents the others from closing its lease.
		partial, open, complete bool
		first, want             string
	}{
		{name: "no outage", want: "granted"},
		{name: "within the lease", outage: 5 * time.Second, first: "claims_unavailable", want: "granted"},
		{name: "new owner reads the expired lease", outage: 14 * time.Second, partial: true, open: true, first: "granted", want: "outcome_unknown"},
		{name: "closed lease", outage: 14 * time.Second, partial: true, first: "granted", want: "outcome_unknown"},
		{name: "outage for all hosts", outage: 14 * time.Second, first: "granted", want: "outcome_unknown"},
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
						t.Fatalf("claim in the outage returned %s, want %s", kind, test.first)
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
					t.Errorf("claim at the new owner returned %s, want %s", kind, test.want)
				}
			})
		})
	}
}

// Guards against a host that grants memory-only claims while its lease in the table may be valid, and against a gap that is
// lost with a later renewal.
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
		outage  int // second from which memory-only claims are allowed, 0 for never
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
				t.Error("memory-only claims are allowed without a stored lease")
			}
			l.applyRenewal(until(10), nil)
			l.gapEnd = time.Time{}
			l.renewing = true
			if l.memoryOnlyAllowed(at(1000)) {
				t.Error("memory-only claims are allowed during a renewal")
			}
			l.applyRenewal(until(40), test.err)
			first := 0
			for second := 0; second < 100 && first == 0; second++ {
				if l.memoryOnlyAllowed(at(second)) {
					first = second
				}
			}
			if first != test.outage {
				t.Errorf("memory-only claims are allowed from second %d, want %d", first, test.outage)
			}
			if got := l.currentGapEnd(at(5)); test.gapEnds > 0 && !got.Equal(at(test.gapEnds).Wall) {
				t.Errorf("gap ends at %v, want second %d", got, test.gapEnds)
			}
			l.closed = true
			if l.memoryOnlyAllowed(at(1000)) {
				t.Error("memory-only claims are allowed although the lease is closed")
			}
		})
	}
}
