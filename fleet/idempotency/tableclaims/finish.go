package tableclaims

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/bronzeyard/bronzeyard/fleet/idempotency/idempotencypb"
	"github.com/bronzeyard/bronzeyard/storage"
)

// Outcome is the result of an attempt to run an operation.
type Outcome struct {
	Key         Key
	Fingerprint [32]byte
	Attempt     uuid.UUID
	// IDTime is the time of the operation's id.
	IDTime time.Time
	// Result has the state done, not run or unknown.
	Result *idempotencypb.Result
	// Version is the version of the row of the attempt's claim. If it is 0, Finish reads the row first.
	Version uint64
}

// Finish stores the outcome of an attempt in the background, unless the row is of another attempt by then.
func (s *Store) Finish(outcome *Outcome) {
	if s.options.Table == nil {
		return
	}
	base, known := &Row{Version: outcome.Version}, outcome.Version != 0
	s.retryInBackground(func(ctx context.Context) bool {
		if !known {
			row, err := s.read(ctx, &outcome.Key)
			if err != nil {
				return false
			}
			if !outcome.replaces(row) {
				return true
			}
			base, known = row, true
		}
		row := Row{
			Fingerprint: outcome.Fingerprint, Attempt: outcome.Attempt, IDTime: outcome.IDTime, Deadline: outcome.IDTime,
		}
		err := s.store(ctx, &outcome.Key, &row, outcome.Result, base)
		known = !errors.Is(err, errConflict) && !errors.Is(err, storage.ErrUnknownOutcome)
		return err == nil
	})
}

// replaces reports whether the outcome has to be written to the row. The outcome of an attempt is written even if there is
// no row, because a late write of its claim then fails.
func (o *Outcome) replaces(row *Row) bool {
	if row == nil {
		return true
	}
	if row.Attempt != o.Attempt {
		return false
	}
	state := row.State()
	return state == idempotencypb.State_STATE_RUNNING ||
		(state == idempotencypb.State_STATE_UNKNOWN && o.Result.GetState() != state)
}
