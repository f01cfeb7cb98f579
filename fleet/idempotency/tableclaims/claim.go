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

// ErrContended means that the row changed at each try to claim it. This host holds no claim.
var ErrContended = errors.New("tableclaims: the row keeps changing")

// Request asks for the claim of an operation.
type Request struct {
	Key         Key
	Fingerprint [32]byte
	Attempt     uuid.UUID
	// Deadline is the wall time at which the attempt ends.
	Deadline time.Time
	// IDTime is the time of the operation's id.
	IDTime time.Time
	// ReadFirst reads the row before it is written, which saves a conflict where a row is likely.
	ReadFirst bool
	// MustExist claims the operation only if it has a row.
	MustExist bool
	// ReadOnly reads the row and never claims the operation.
	ReadOnly bool
	// NotRun is an attempt that is known not to have run. Default none.
	NotRun uuid.UUID
}

// HeldClaim is a claim that this host has written, or may have written.
type HeldClaim struct {
	key  Key
	row  Row
	base *Row
	// inherited is true if the row was claimed by the same attempt before. That claim may be in use elsewhere, so it can
	// not be given back by the owner.
	inherited bool
}

// Version is the version of the written row.
func (h *HeldClaim) Version() uint64 { return h.row.Version }

// Claim claims an operation. It returns either the claim, which the caller must give back if it does not grant it, or the
// row that decides otherwise, or neither if there is no row and there must be one. With an error this host holds no claim,
// and a claim that may have been written is given back in the background.
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

// newClaim returns the claim that replaces base, or that is the first one if base is nil.
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

// claimable reports whether the operation of a row has not run and may be claimed by the request.
func (s *Store) claimable(request *Request, row *Row) bool {
	if row.Fingerprint != request.Fingerprint {
		return false
	}
	switch row.State() {
	case idempotencypb.State_STATE_NOT_RUN:
		// A claim by an attempt that gave up is a late copy; nobody would run it.
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

// write stores a claim. If it returns an unknown outcome, the claim is given back.
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

// Release marks a claim that is not granted as not run, in the background. Until that is stored, this host may claim
// the operation again.
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

// releaseOnce makes sure that the row is not, and cannot become by a late write, the claim. It reports false if it has
// to be tried again.
func (s *Store) releaseOnce(ctx context.Context, held *HeldClaim) bool {
	row, err := s.read(ctx, &held.key)
	if err != nil {
		return false
	}
	written := row != nil && row.WriteID == held.row.WriteID
	// A late write of the claim still fits an absent row, or the row that it was to replace.
	possible := (row == nil && held.base == nil) || (row != nil && held.base != nil && row.Version == held.base.Version)
	if !written && !possible {
		return true
	}
	mark := Row{Fingerprint: held.row.Fingerprint, Deadline: held.row.Deadline, IDTime: held.row.IDTime}
	if held.base != nil && held.base.State() == idempotencypb.State_STATE_NOT_RUN {
		mark.Attempt = held.base.Attempt // a late copy of its claim is still refused
	}
	return s.store(ctx, &held.key, &mark, &idempotencypb.Result{State: idempotencypb.State_STATE_NOT_RUN}, row) == nil
}

// store replaces base by a new version of row with the given result.
func (s *Store) store(ctx context.Context, key *Key, row *Row, result *idempotencypb.Result, base *Row) error {
	row.Result, row.Version, row.WriteID = result, newVersion(), uuid.NewString()
	put, err := row.put(key, base)
	if err != nil {
		return err
	}
	return s.results.submit(ctx, put)
}

// retryInBackground repeats a step until it is done or out of date.
func (s *Store) retryInBackground(step func(ctx context.Context) bool) {
	s.pending.Add(1)
	go func() {
		defer s.pending.Add(-1)
		ctx, cancel := context.WithTimeout(s.baseContext, s.options.RetryTimeout)
		defer cancel()
		for try, pause := 1, initialRetryDelay; ctx.Err() == nil; try, pause = try+1, min(2*pause, maxRetryDelay) {
			done := step(ctx)
			s.failing.Store(!done && try >= failingAttempts)
			if done {
				return
			}
			timer := time.NewTimer(pause)
			select {
			case <-ctx.Done():
			case <-timer.C:
			}
			timer.Stop()
		}
	}()
}
