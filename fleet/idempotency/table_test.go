package idempotency

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

var serial uint64

// newID returns an id with the current time whose slot the host owns.
func (f *tableFleet) newID(owner *tableHost) uuid.UUID {
	for {
		serial++
		key := Key{Customer: "c", ID: idAt(time.Now(), serial)}
		if f.owner(key) == owner {
			return key.ID
		}
	}
}

// settle makes the members learn the newest epoch and waits until they serve all slots.
func (f *tableFleet) settle() {
	f.learnAll()
	time.Sleep(3 * takeoverDelay) // owners have learned of every claim of ids from now on
}

// Guards against a decision of a new owner that differs from the state in the table of an operation of the failed owner.
func TestNewOwnerReadsTheTable(t *testing.T) {
	prepare := func(result Result) func(*testing.T, *tableFleet, uuid.UUID) {
		return func(t *testing.T, f *tableFleet, id uuid.UUID) {
			claim, kind, _ := f.hosts[1].begin(id, settings.ClaimsInTable, 8*time.Second)
			if kind != "granted" {
				t.Fatalf("first claim returned %s, want granted", kind)
			}
			if result.State != 0 {
				claim.Complete(result)
			}
		}
	}
	none := func(*testing.T, *tableFleet, uuid.UUID) {}
	tests := []struct {
		name    string
		prepare func(*testing.T, *tableFleet, uuid.UUID)
		change  func(*Operation)
		wait    time.Duration
		want    string
	}{
		{"never claimed", none, nil, 0, "granted"},
		{"never claimed, in memory", none, func(o *Operation) { o.Claims = settings.ClaimsInMemory }, 0, "outcome_unknown"},
		{"older than the mode", none, func(o *Operation) { o.TableSince = time.Now() }, 0, "outcome_unknown"},
		{"done", prepare(Result{State: Done, Status: 201}), nil, 0, "replayed"},
		{
			"done, other request", prepare(Result{State: Done, Status: 201}), func(o *Operation) { o.Fingerprint = Fingerprint{2} },
			0, "operation_mismatch",
		},
		{"not run", prepare(Result{State: NotRun}), nil, 0, "granted"},
		{"not run, other request", prepare(Result{State: NotRun}), func(o *Operation) { o.Fingerprint = Fingerprint{2} }, 0, "operation_mismatch"},
		{"unknown", prepare(Result{State: Unknown}), nil, 0, "outcome_unknown"},
		{"running", prepare(Result{}), nil, 0, "operation_running"},
		{"running past its deadline", prepare(Result{}), nil, 8 * time.Second, "outcome_unknown"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTableFleet(3)
				defer f.close()
				id := f.newID(f.hosts[0])
				test.prepare(t, f, id)
				time.Sleep(time.Second)
				f.lose(f.hosts[0])
				f.settle()
				time.Sleep(test.wait)
				op := Operation{
					Customer: "c", ID: id.String(), Fingerprint: Fingerprint{1}, Claims: settings.ClaimsInTable,
					Deadline: time.Now().Add(time.Second),
				}
				if test.change != nil {
					test.change(&op)
				}
				claim, err := f.owner(Key{Customer: "c", ID: id}).ops.Begin(context.Background(), op)
				got := "granted"
				if err != nil {
					got = err.Error()
					got = got[:min(len(got), len(test.want))]
				} else if claim.Replay != nil {
					got = "replayed"
				}
				if got != test.want || (claim.Replay != nil && claim.Replay.Status != 201) {
					t.Errorf("claim returned %s (%v, %+v), want %s", got, err, claim.Replay, test.want)
				}
			})
		})
	}
}

// Guards against a run without a row while the table is down, and against an outcome that is "not run" for an operation
// that may have run, or unknown for one that has not.
func TestTableDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTableFleet(3)
		defer f.close()
		old := f.newID(f.hosts[0])
		f.lose(f.hosts[0])
		f.settle()
		f.table.Faults.SetDown(true)
		for _, test := range []struct {
			id   uuid.UUID
			want errkind.Outcome
		}{{old, errkind.Unknown}, {f.newID(f.hosts[1]), errkind.NotRun}} {
			f.table.Faults.SetDown(true)
			_, kind, outcome := f.hosts[2].begin(test.id, settings.ClaimsInTable, time.Second)
			if kind != string(errkind.ClaimsUnavailable) || outcome != test.want {
				t.Errorf("claim returned %s with outcome %s, want %s with %s", kind, outcome, errkind.ClaimsUnavailable, test.want)
			}
			f.table.Faults.SetDown(false)
			if _, kind, _ = f.hosts[2].begin(test.id, settings.ClaimsInTable, time.Second); kind != "granted" {
				t.Errorf("claim after the outage returned %s, want granted", kind)
			}
		}
	})
}

// Guards against a run after a write of unknown outcome, and against an operation that can never run because its row holds
// a claim that was not granted.
func TestWriteOfUnknownOutcome(t *testing.T) {
	for _, late := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newTableFleet(2)
			defer f.close()
			owner, id := f.hosts[0], f.newID(f.hosts[0])
			owner.table.setMode("late")
			f.table.Faults.SetDown(!late)
			_, kind, outcome := owner.begin(id, settings.ClaimsInTable, 4*time.Second)
			if kind != string(errkind.ClaimsUnavailable) || outcome != errkind.NotRun {
				t.Fatalf("claim returned %s with outcome %s, want claims_unavailable with not-run", kind, outcome)
			}
			owner.table.setMode("")
			f.table.Faults.SetDown(false)
			if _, kind, _ = owner.begin(id, settings.ClaimsInTable, 4*time.Second); kind != "granted" {
				t.Errorf("late write %v: second claim of the same owner returned %s, want granted", late, kind)
			}
		})
	}
}

// Guards against a grant by an owner whose lease expired while it wrote the row, and against a row that it does not release.
func TestOwnerResumesAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTableFleet(3)
		defer f.close()
		owner, id := f.hosts[0], f.newID(f.hosts[0])
		owner.table.setMode("after")
		kinds := make(chan string, 1)
		go func() {
			_, kind, _ := owner.begin(id, settings.ClaimsInTable, 20*time.Second)
			kinds <- kind
		}()
		synctest.Wait()
		time.Sleep(time.Second)
		f.lose(owner)
		f.settle()
		newOwner := f.owner(Key{Customer: "c", ID: id})
		if _, kind, _ := newOwner.begin(id, settings.ClaimsInTable, time.Second); kind != string(errkind.OperationRunning) {
			t.Errorf("claim at the new owner returned %s while the old owner may grant its claim", kind)
		}
		owner.table.setMode("")
		if kind := <-kinds; kind != string(errkind.OperationNotOwned) {
			t.Errorf("claim at the old owner returned %s after its lease expired", kind)
		}
		time.Sleep(time.Second)
		if _, kind, _ := newOwner.begin(id, settings.ClaimsInTable, time.Second); kind != "granted" {
			t.Errorf("claim at the new owner returned %s after the old owner released its claim", kind)
		}
	})
}

// Guards against two runs of one operation that both an old owner, whose write arrives late, and a new owner treat as their
// own, and against an old owner that stopped for a time and then takes over the claim of the new one.
func TestOldAndNewOwnerWriteTheSameRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTableFleet(3)
		defer f.close()
		owner, id := f.hosts[0], f.newID(f.hosts[0])
		owner.table.setMode("before")
		kinds := make(chan string, 1)
		go func() {
			_, kind, _ := owner.begin(id, settings.ClaimsInTable, 20*time.Second)
			kinds <- kind
		}()
		time.Sleep(time.Second)
		f.lose(owner)
		f.settle()
		claim, kind, _ := f.hosts[1].begin(id, settings.ClaimsInTable, time.Second)
		if kind != "granted" {
			t.Fatalf("claim at the new owner returned %s, want granted", kind)
		}
		owner.until.Store(nil) // the old owner still considers itself active, so only the row can prevent a grant
		owner.table.setMode("")
		time.Sleep(time.Second)
		claim.Complete(Result{State: Done, Status: 201})
		if kind := <-kinds; kind != "replayed" {
			t.Errorf("claim at the old owner returned %s, want replayed", kind)
		}
	})
}

// Guards against a host that leaves before its results are in the table, and against one that cannot leave while the table
// is unavailable.
func TestHandOverWaitsForResults(t *testing.T) {
	for _, down := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newTableFleet(2)
			defer f.close()
			f.table.Faults.SetDelay(100 * time.Millisecond)
			leaving := f.hosts[0]
			claim, _, _ := leaving.begin(f.newID(leaving), settings.ClaimsInTable, time.Second)
			leaving.member.State = fleet.Leaving
			f.table.Faults.SetDown(down)
			claim.Complete(Result{State: Done, Status: 201})
			f.changeEpoch()
			f.learnAll()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			if err := leaving.ops.HandOver(ctx); err != nil {
				t.Errorf("table down %v: HandOver returned %v", down, err)
			}
			if _, rows := f.table.Counts(); !down && rows != 2 {
				t.Errorf("host left after %d row writes, want 2", rows)
			}
		})
	}
}

// Guards against table calls for an operation that has a record in the owner's memory.
func TestRecordInMemoryNeedsNoTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTableFleet(2)
		defer f.close()
		id := f.newID(f.hosts[0])
		claim, _, _ := f.hosts[1].begin(id, settings.ClaimsInTable, time.Second)
		claim.Complete(Result{State: Done, Status: 201})
		time.Sleep(time.Second)
		f.table.Faults.SetDown(true)
		if _, kind, _ := f.hosts[1].begin(id, settings.ClaimsInTable, time.Second); kind != "replayed" {
			t.Errorf("claim with a recorded result returned %s while the table was down, want replayed", kind)
		}
		if reads, writes := f.table.Counts(); reads != 0 || writes != 2 {
			t.Errorf("one operation took %d reads and %d writes of rows, want 0 and 2", reads, writes)
		}
	})
}
