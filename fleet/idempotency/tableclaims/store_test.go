package tableclaims

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"github.com/bronzeyard/bronzeyard/fleet/idempotency/idempotencypb"
	"github.com/bronzeyard/bronzeyard/storage"
	"github.com/bronzeyard/bronzeyard/storage/memory"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func request(n int) *Request {
	id := uuid.UUID{14: byte(n >> 8), 15: byte(n)}
	return &Request{
		Key: Key{Slot: n % 4, Customer: "c", ID: id}, Attempt: uuid.New(), Deadline: origin.Add(time.Minute),
		IDTime: origin.Add(time.Duration(n) * time.Minute),
	}
}

func claim(t *testing.T, s *Store, r *Request) *HeldClaim {
	t.Helper()
	held, row, err := s.Claim(t.Context(), r)
	if err != nil || held == nil {
		t.Fatalf("Claim did not write the claim: row %+v, error %v", row, err)
	}
	return held
}

// Guards against a conflicting row that makes the writes of the other rows in its transaction fail, and against one
// transaction for each row.
func TestConflictFailsOneRowOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memory.NewTable()
		claim(t, New(t.Context(), Options{Table: table}), request(7))
		s := New(t.Context(), Options{Table: table})
		var wait sync.WaitGroup
		var lost []int
		for n := range 150 {
			wait.Go(func() {
				if held, _, err := s.Claim(t.Context(), request(n)); held == nil {
					lost = append(lost, n)
					if err != nil {
						t.Error(err)
					}
				}
			})
		}
		wait.Wait()
		if fmt.Sprint(lost) != "[7]" {
			t.Errorf("claims %v of 150 were not written, want only claim 7, which another store wrote before", lost)
		}
		if n := s.Status().Transactions; n > 4 {
			t.Errorf("150 concurrent claims took %d transactions, want at most 4", n)
		}
	})
}

// Guards against an operation that cannot be claimed again by the host that wrote a claim and did not grant it, and against
// a late release of the first claim that ends the second one.
func TestUngrantedClaimIsReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memory.NewTable()
		s := New(t.Context(), Options{Table: table})
		held := claim(t, s, request(1))
		table.Faults.SetDown(true)
		s.Release(held)
		synctest.Wait()
		table.Faults.SetDown(false)
		claim(t, s, request(1)) // before the release of the first claim is stored
		time.Sleep(time.Minute)
		row, err := s.read(t.Context(), &held.key)
		if err != nil || row.State() != idempotencypb.State_STATE_RUNNING {
			t.Errorf("row is %+v, error %v after the release of the first claim, want the second claim running", row, err)
		}
	})
}

// Guards against a claim that replaces the claim of another attempt, and against a new owner that does not recognise the
// claim of the same attempt, or releases it although the former owner may have granted it.
func TestSameAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memory.NewTable()
		first, second := New(t.Context(), Options{Table: table}), New(t.Context(), Options{Table: table})
		r := request(1)
		claim(t, first, r)
		if held, row, err := second.Claim(t.Context(), request(1)); held != nil || row == nil || err != nil {
			t.Errorf("claim of another attempt returned %v, row %v, error %v, want only the row", held, row, err)
		}
		held := claim(t, second, r)
		second.Release(held) // the first owner may have granted it
		second.Finish(&Outcome{Key: r.Key, Attempt: uuid.New(), Result: &idempotencypb.Result{State: idempotencypb.State_STATE_NOT_RUN}})
		time.Sleep(time.Minute)
		if row, err := second.read(t.Context(), &r.Key); err != nil || row.State() != idempotencypb.State_STATE_RUNNING {
			t.Errorf("row is %+v, error %v, want a running claim: the former owner may have granted it", row, err)
		}
	})
}

// lateTable is a table whose first two writes return an unknown outcome. They take effect when the functions in late are
// called.
type lateTable struct {
	*memory.Table
	late []func() error
}

func (l *lateTable) Transact(ctx context.Context, writes []storage.Write) error {
	if len(l.late) < 2 {
		l.late = append(l.late, func() error { return l.Table.Transact(context.WithoutCancel(ctx), writes) })
		return storage.ErrUnknownOutcome
	}
	return l.Table.Transact(ctx, writes)
}

// Guards against a write that takes effect after its claim was rejected. It would block the operation, or end a later claim
// of it.
func TestLateWriteHasNoEffect(t *testing.T) {
	for _, claimed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			table := &lateTable{Table: memory.NewTable()}
			s := New(t.Context(), Options{Table: table})
			if held, row, err := s.Claim(t.Context(), request(1)); !errors.Is(err, storage.ErrUnknownOutcome) {
				t.Fatalf("claim that was not written returned %v, row %v, error %v, want ErrUnknownOutcome", held, row, err)
			}
			time.Sleep(time.Minute)
			if claimed {
				claim(t, s, request(1))
			}
			var conflict *storage.ConflictError
			for _, late := range table.late {
				if err := late(); !errors.As(err, &conflict) {
					t.Errorf("claimed again %v: late write returned %v, want a conflict", claimed, err)
				}
			}
		})
	}
}

// Guards against a result that is lost in an outage of the table, that is not stored because it does not fit into an item,
// or that is replaced by the result of another attempt.
func TestFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memory.NewTable()
		s := New(t.Context(), Options{Table: table})
		r := request(1)
		held := claim(t, s, r)
		table.Faults.SetDown(true)
		values := &idempotencypb.Values{Values: []string{string(make([]byte, storage.MaxValueBytes))}}
		done := &idempotencypb.Result{
			State: idempotencypb.State_STATE_DONE, Status: 201, Body: []byte("body"),
			Header: map[string]*idempotencypb.Values{"Large": values},
		}
		s.Finish(&Outcome{Key: r.Key, Attempt: r.Attempt, IDTime: r.IDTime, Result: done, Version: held.Version()})
		s.Finish(&Outcome{Key: r.Key, Attempt: uuid.New(), IDTime: r.IDTime, Result: &idempotencypb.Result{State: 3}})
		time.Sleep(5 * time.Minute)
		table.Faults.LoseResponses(1)
		table.Faults.SetDown(false)
		time.Sleep(time.Minute)
		row, err := s.read(t.Context(), &r.Key)
		if err != nil || row.State() != idempotencypb.State_STATE_DONE || row.Result.GetStatus() != 201 || !row.Result.GetBodyLost() {
			t.Errorf("row is %+v, error %v, want done with status 201 and without the body", row, err)
		}
		if n := s.Status().Pending; n != 0 {
			t.Errorf("%d results are still pending, want 0", n)
		}
	})
}

// Guards against expired rows that are never deleted, and against the deletion of a row that has not expired.
func TestExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memory.NewTable()
		s := New(t.Context(), Options{Table: table})
		for n := range 400 {
			claim(t, s, request(n))
		}
		if err := s.Expire(t.Context(), 0, origin.Add(200*time.Minute)); err != nil {
			t.Fatal(err)
		}
		for slot, want := range []int{50, 100} {
			if left, _ := table.Query(t.Context(), partition(slot), "", 1000); len(left) != want {
				t.Errorf("slot %d has %d rows, want %d", slot, len(left), want)
			}
		}
	})
}
