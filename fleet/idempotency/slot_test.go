package idempotency

import (
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
)

var (
	hostA = fleet.Identity{ID: "a", Incarnation: 1}
	hostB = fleet.Identity{ID: "b", Incarnation: 2}
)

// ledgerIn returns the ledger of hostB in a fleet with hostA. Each character of history is an epoch from 1 on: 'B' if hostB
// owns all slots in it, 'A' if it owns none, and '-' if it misses the epoch.
func ledgerIn(history string, takeoverAt time.Time) *Ledger {
	l := NewLedger(1 << 20)
	for i, state := range history {
		if state == '-' {
			continue
		}
		view := &fleet.View{Self: hostB, TakeoverAt: takeoverAt, Epoch: fleet.Epoch{Number: uint64(i + 1), Members: []fleet.Member{
			{ID: hostA.ID, Incarnation: hostA.Incarnation}, {ID: hostB.ID, Incarnation: hostB.Incarnation},
		}}}
		l.EnterEpoch(at(0), view, func(int) bool { return state == 'B' })
	}
	return l
}

// at returns clock readings of the time d after origin.
func at(d time.Duration) ClockReading {
	t := origin.Add(d)
	return ClockReading{Now: t, Wall: t, WallAfter: t, ClockOK: true}
}

// TestOwnershipRules guards each rule by which an owner starts to serve a slot and accepts records that were handed over.
// A violation could let an operation run twice. The operation's id has the time origin plus idTime. The claim is made 5 s
// after origin.
func TestOwnershipRules(t *testing.T) {
	key := func(idTime time.Duration) Key { return Key{Customer: "c", ID: idAt(origin.Add(idTime), 1)} }
	handOver := func(l *Ledger, state State, version uint64, reports ...Report) {
		k := key(0)
		record := TransferredRecord{Key: k, Result: Result{State: state, Status: 200}, Version: version, Remaining: time.Hour}
		l.Accept(at(0), l.epoch, &Transfer{Slot: k.Slot(), Records: []TransferredRecord{record}, Reports: reports})
	}
	served := func(through uint64) Report { return Report{LastEpoch: through, Served: true} }
	release := func(l *Ledger) { l.Release(hostA, l.epoch) }
	for _, c := range []struct {
		name       string
		history    string
		takeoverAt time.Duration
		prepare    func(l *Ledger)
		idTime     time.Duration
		want       Verdict
	}{
		{"first epoch", "B", 0, func(*Ledger) {}, 0, Granted},
		{"not the owner", "A", 0, func(*Ledger) {}, 0, NotOwner},
		{"no report of the former owner", "AB", 0, func(*Ledger) {}, 0, NotOwner},
		{"former owner has reported", "AB", time.Hour, func(l *Ledger) { handOver(l, NotRun, 1, served(1)) }, 0, Granted},
		{"former owner's result", "AB", time.Hour, func(l *Ledger) { handOver(l, Done, 1, served(1)) }, 0, Replayed},
		{"former owner's running attempt", "AB", time.Hour, func(l *Ledger) { handOver(l, Running, 1, served(1)) }, 0, Wait},
		{"report of an older owner", "AAB", time.Hour, func(l *Ledger) { handOver(l, NotRun, 1, served(1)) }, 0, NotOwner},
		{"report of an older owner and of a pending owner", "AAB", time.Hour, func(l *Ledger) {
			handOver(l, NotRun, 1, served(1), Report{LastEpoch: 2, AwaitedEpoch: 1})
		}, 0, Granted},
		{"takeover time is not reached", "AB", time.Hour, release, 0, NotOwner},
		{"records are complete only from the start on", "AB", 0, release, 0, Rejected},
		{"id within the allowance and the clock error", "AB", 0, release, 2999 * time.Millisecond, Rejected},
		{"id after the allowance and the clock error", "AB", 0, release, 3001 * time.Millisecond, Granted},
		{"older owner's records are not trusted", "AAB", 0, func(l *Ledger) {
			handOver(l, NotRun, 1, served(1))
			release(l)
		}, 0, Rejected},
		{"older owner's result is valid", "AAB", 0, func(l *Ledger) {
			handOver(l, Done, 1, served(1))
			release(l)
		}, 0, Replayed},
		{"newer version replaces an older one", "AAB", time.Hour, func(l *Ledger) {
			handOver(l, NotRun, 1)
			handOver(l, Done, 2, served(2))
		}, 0, Replayed},
		{"older version arrives later", "AAB", time.Hour, func(l *Ledger) {
			handOver(l, Done, 2)
			handOver(l, NotRun, 1, served(2))
		}, 0, Replayed},
		{"record that did not run arrives after the start", "AB", 0, func(l *Ledger) {
			release(l)
			l.Tick(at(0))
			handOver(l, NotRun, 1)
		}, 0, Rejected},
		{"another host may have owned the slot in a missed epoch", "B-B", time.Hour, func(*Ledger) {}, 0, NotOwner},
		{"leases of missed epochs", "-B", 0, release, 0, NotOwner},
		{"leases of an exclusion before the newest epoch", "A-BB", 0, release, 0, NotOwner},
		{"uninterrupted ownership", "BBB", time.Hour, func(*Ledger) {}, 0, Granted},
	} {
		l := ledgerIn(c.history, origin.Add(c.takeoverAt))
		c.prepare(l)
		l.Tick(at(0))
		if got := l.Claim(at(5*time.Second), ClaimRequest{Key: key(c.idTime), Attempt: idAt(origin, 9)}); got.Verdict != c.want {
			t.Errorf("%s: verdict %d (%s), want %d", c.name, got.Verdict, got.Kind, c.want)
		}
	}
}
