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

// newID returns an id of the present whose slot the host owns.
func (f *tableFleet) newID(owner *tableHost) uuid.UUID {
	for {
		serial++
		key := Key{Customer: "c", ID: idAt(time.Now(), serial)}
		if f.owner(key) == owner {
			return key.ID
		}
	}
}

// settle lets the members learn the newest epoch and serve all slots.
func (f *tableFleet) settle() {
	f.learnAll()
	time.Sleep(3 * takeoverDelay) // ids from now on are vouched for
}

// Guards against an answer of a new owner that differs from what the table says about an operation of the lost owner.
func TestNewOwnerReadsTheTable(t *testing.T) {
	prepare := func(result Result) func(*testing.T, *tableFleet, uuid.UUID) {
		return func(t *testing.T, f *tableFleet, id uuid.UUID) {
			claim, kind, _ := f.hosts[1].begin(id, settings.ClaimsInTable, 8*time.Second)
			if kind != "granted" {
				t.Fatalf("the first claim got %s", kind)
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
					t.Errorf("got %s (%v, %+v), want %s", got, err, claim.Replay, test.want)
				}
			})
		})
	}
}

// Guards against a run without a row, and against a false or missing "not run", while the table is down.
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
				t.Errorf("got %s with outcome %s, want %s with %s", kind, outcome, errkind.ClaimsUnavailable, test.want)
			}
			f.table.Faults.SetDown(false)
			if _, kind, _ = f.hosts[2].begin(test.id, settings.ClaimsInTable, time.Second); kind != "granted" {
				t.Errorf("after the outage the operation got %s", kind)
			}
		}
	})
}

// Guards against a run on the strength of a write whose outcome is unknown, and against an operation that can never run
// because nobody was granted its claim.
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
				t.Fatalf("got %s with outcome %s", kind, outcome)
			}
			owner.table.setMode("")
			f.table.Faults.SetDown(false)
			if _, kind, _ = owner.begin(id, settings.ClaimsInTable, 4*time.Second); kind != "granted" {
				t.Errorf("late write %v: the same owner got %s for its own claim", late, kind)
			}
		})
	}
}

// Guards against a grant by an owner that lost its lease while it wrote the row, and against a row that it leaves behind.
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
			t.Errorf("while the claim may be granted, the new owner answered %s", kind)
		}
		owner.table.setMode("")
		if kind := <-kinds; kind != string(errkind.OperationNotOwned) {
			t.Errorf("the old owner answered %s after its lease", kind)
		}
		time.Sleep(time.Second)
		if _, kind, _ := newOwner.begin(id, settings.ClaimsInTable, time.Second); kind != "granted" {
			t.Errorf("after the claim was given back the new owner answered %s", kind)
		}
	})
}

// Guards against two runs of one operation that an old owner, whose write arrives late, and a new owner both believe to
// be theirs, and against a stuck old owner that is granted the claim of the new one.
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
			t.Fatalf("the new owner answered %s", kind)
		}
		owner.until.Store(nil) // the old owner believes to be active: only the row can stop it
		owner.table.setMode("")
		time.Sleep(time.Second)
		claim.Complete(Result{State: Done, Status: 201})
		if kind := <-kinds; kind != "replayed" {
			t.Errorf("the old owner answered %s", kind)
		}
	})
}

// Guards against a host that leaves before its results are in the table, and against one that cannot leave without it.
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
				t.Errorf("table down %v: %v", down, err)
			}
			if _, rows := f.table.Counts(); !down && rows != 2 {
				t.Errorf("the host left when %d of 2 rows were written", rows)
			}
		})
	}
}

// Guards against table calls for what the owner's memory knows.
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
			t.Errorf("with the table down a known result was answered %s", kind)
		}
		if reads, writes := f.table.Counts(); reads != 0 || writes != 2 {
			t.Errorf("an operation took %d reads and %d writes of rows, want 0 and 2", reads, writes)
		}
	})
}
