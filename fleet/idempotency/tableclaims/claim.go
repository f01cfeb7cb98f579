package tableclaims

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/bronzeyard/bronzeyard/fleet/idempotency/idempotencypb"
	"github.com/bronzeyard/bronzeyard/storage"
)

// ErrContended means that the row changed during each attempt to claim it. This host holds no claim.
var ErrContended = errors.New("tableclaims: row changed during each attempt to claim it")

// Request describes a claim of an operation.
type Request struct {
	Key         Key
	Fingerprint [32]byte
	Attempt     uuid.UUID
	// Deadline is the wall time at which the attempt ends.
	Deadline time.Time
	// IDTime is the time of the operation's id.
	IDTime time.Time
	// ReadFirst makes Claim read the row before it writes. This avoids a conflict if the row is likely to exist.
	ReadFirst bool
	// MustExist makes Claim claim the operation only if it has a row.
	MustExist bool
	// ReadOnly makes Claim read the row and never claim the operation.
	ReadOnly bool
	// NotRun is an attempt that is known not to have run. Default none.
	NotRun uuid.UUID
}

// HeldClaim is a claim that this host has written, or may have written.
type HeldClaim struct {
	key  Key
	row  Row
	base *Row
	// inherited is true if the row was claimed by the same attempt before. Another owner may have granted that claim, so
	// this host must not release it.
	inherited bool
}

// Version returns the version of the written row.
func (h *HeldClaim) Version() uint64 { return h.row.Version }

// Claim claims an operation. It returns the claim, which the caller must release if it does not grant it. If the operation
// cannot be claimed, it returns the row instead, or no row if there is none and the request is ReadOnly or MustExist. After
// an error this host holds no claim, and a claim that may have been written is released in the background.
func (s *Store) Claim(ctx context.Context, request *Request) (*HeldClaim, *Row, error) {
	if s.options.Table == nil {
		return nil, nil, ErrNoTable
	}
	var row *Row
	var err error
	known := request.ReadFirst || request.MustExist || request.ReadOnly
	if known {
		if row, err = s.read(ctx, &request.Key); err != nil {
			return nil, nil, err
		}
	}
	if request.ReadOnly {
		return nil, row, nil
	}
	writeID := uuid.NewString()
	for range maxAttempts {
		if known && ((row == nil && request.MustExist) || (row != nil && !s.claimable(request, row))) {
			return nil, row, nil
		}
		held := s.newClaim(request, row, writeID)
		if err = s.write(ctx, held); err == nil {
			return held, nil, nil
		}
		if !errors.Is(err, errConflict) {
			return nil, nil, err
		}
		if row, err = s.read(ctx, &request.Key); err != nil {
			s.Release(held)
			return nil, nil, err
		}
		if row != nil && row.WriteID == writeID {
			return held, nil, nil
		}
		known = true
	}
	return nil, nil, ErrContended
}

// newClaim returns a claim whose row replaces base, or is the first row of the operation if base is nil.
func (s *Store) newClaim(r *Request, base *Row, writeID string) *HeldClaim {
	inherited := base != nil && base.State() == idempotencypb.State_STATE_RUNNING && base.Attempt == r.Attempt &&
		!s.isUngranted(base.WriteID)
	return &HeldClaim{
		key: r.Key, base: base, inherited: inherited,
		row: Row{
			Fingerprint: r.Fingerprint, Attempt: r.Attempt, Deadline: r.Deadline, IDTime: r.IDTime,
			Result:  &idempotencypb.Result{State: idempotencypb.State_STATE_RUNNING},
			Version: newVersion(), WriteID: writeID,
		},
	}
}

// claimable reports whether the operation of a row may be claimed by the request, because it certainly has not run or is
// claimed by the same attempt.
func (s *Store) claimable(request *Request, row *Row) bool {
	if row.Fingerprint != request.Fingerprint {
		return false
	}
	switch row.State() {
	case idempotencypb.State_STATE_NOT_RUN:
		// A claim by the attempt that did not run is a delayed duplicate. No host would run the operation.
		return row.Attempt != request.Attempt
	case idempotencypb.State_STATE_RUNNING:
		return row.Attempt == request.Attempt || s.isUngranted(row.WriteID) ||
			(request.NotRun != uuid.UUID{} && row.Attempt == request.NotRun)
	default:
		return false
	}
}

func (s *Store) isUngranted(writeID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.ungranted[writeID]
	return ok
}

// write stores a claim. If it returns storage.ErrUnknownOutcome, the claim is released in the background.
func (s *Store) write(ctx context.Context, held *HeldClaim) error {
	put, err := held.row.put(&held.key, held.base)
	if err != nil {
		return err
	}
	err = s.claims.submit(ctx, put)
	if !errors.Is(err, storage.ErrUnknownOutcome) {
		return err
	}
	row, readErr := s.read(ctx, &held.key)
	if readErr == nil && row != nil && row.WriteID == held.row.WriteID {
		return nil
	}
	s.Release(held)
	return fmt.Errorf("%w: %w", storage.ErrUnknownOutcome, errors.Join(err, readErr))
}

// Release marks a claim that is not granted as not run, in the background. This host may claim the operation again before
// that is stored.
func (s *Store) Release(held *HeldClaim) {
	if held.inherited {
		return
	}
	s.mu.Lock()
	s.ungranted[held.row.WriteID] = struct{}{}
	s.mu.Unlock()
	s.retryInBackground(func(ctx context.Context) bool {
		if !s.releaseOnce(ctx, held) {
			return false
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.ungranted, held.row.WriteID)
		return true
	})
}

// releaseOnce makes sure that the claim is not stored and that a late write cannot store it any more. It returns false if
// it has to be retried.
func (s *Store) releaseOnce(ctx context.Context, held *HeldClaim) bool {
	row, err := s.read(ctx, &held.key)
	if err != nil {
		return false
	}
	written := row != nil && row.WriteID == held.row.WriteID
	// A late write of the claim can still take effect if there is no row, or if the row that it replaces is unchanged.
	possible := (row == nil && held.base == nil) || (row != nil && held.base != nil && row.Version == held.base.Version)
	if !written && !possible {
		return true
	}
	released := Row{Fingerprint: held.row.Fingerprint, Deadline: held.row.Deadline, IDTime: held.row.IDTime}
	if held.base != nil && held.base.State() == idempotencypb.State_STATE_NOT_RUN {
		released.Attempt = held.base.Attempt // a delayed duplicate of its claim is still rejected
	}
	return s.store(ctx, &held.key, &released, &idempotencypb.Result{State: idempotencypb.State_STATE_NOT_RUN}, row) == nil
}

// store replaces base with a new version of row that has the given result.
func (s *Store) store(ctx context.Context, key *Key, row *Row, result *idempotencypb.Result, base *Row) error {
	row.Result, row.Version, row.WriteID = result, newVersion(), uuid.NewString()
	put, err := row.put(key, base)
	if err != nil {
		return err
	}
	return s.results.submit(ctx, put)
}

// retryInBackground repeats step in the background until it returns true, RetryTimeout has passed or the base context ends.
func (s *Store) retryInBackground(step func(ctx context.Context) bool) {
	s.pending.Add(1)
	go func() {
		defer s.pending.Add(-1)
		ctx, cancel := context.WithTimeout(s.baseContext, s.options.RetryTimeout)
		defer cancel()
		for attempt, delay := 1, initialRetryDelay; ctx.Err() == nil; attempt, delay = attempt+1, min(2*delay, maxRetryDelay) {
			done := step(ctx)
			s.failing.Store(!done && attempt >= failingAttempts)
			if done {
				return
			}
			timer := time.NewTimer(delay)
			select {
			case <-ctx.Done():
			case <-timer.C:
			}
			timer.Stop()
		}
	}()
}
