package idempotency

import (
	"context"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet/idempotency/idempotencypb"
	"github.com/bronzeyard/bronzeyard/fleet/idempotency/tableclaims"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

const (
	// rowPollInterval is the time between two reads of the row of an operation that runs under a claim of another owner.
	rowPollInterval = 200 * time.Millisecond
	// expireInterval is the time in which an owner checks all its slots once for expired rows.
	expireInterval = 10 * time.Minute
)

// tryTableClaim decides on a claim in the table. If the decision is Wait, changed is closed when it may have become another
// one.
func (o *Operations) tryTableClaim(request ClaimRequest) (decision Decision, changed <-chan struct{}, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t, ok := o.enterCurrentEpoch()
	if !ok {
		return Decision{Verdict: NotOwner}, nil, t.Now
	}
	if other, ok := o.claiming[request.Key]; ok {
		return Decision{Verdict: Wait, Until: t.Now.Add(rowPollInterval)}, other, t.Now
	}
	decision, basis := o.ledger.checkTableClaim(t, request)
	if decision.Verdict == Wait {
		return decision, o.waiter(request.Key), t.Now
	}
	if decision.Verdict != 0 {
		return decision, nil, t.Now
	}
	if request.Auto {
		if decision, ok := o.claimDuringOutage(t, request, basis); ok {
			return decision, nil, t.Now
		}
	}
	decided := make(chan struct{})
	o.claiming[request.Key] = decided
	defer func() {
		delete(o.claiming, request.Key)
		close(decided)
	}()
	return o.claimRow(t, request, basis)
}

// claimRow claims the row of the operation, or decides by it if it cannot be claimed. The caller must hold mu, which is
// released during the calls to the table.
func (o *Operations) claimRow(start ClockReading, request ClaimRequest, basis tableBasis) (Decision, <-chan struct{}, time.Time) {
	o.mu.Unlock()
	held, row, err := o.claimInTable(start, &request, &basis)
	o.mu.Lock()
	t, active := o.enterCurrentEpoch()
	request.Remaining -= t.Now.Sub(start.Now)
	switch {
	case held != nil:
		return o.grantRow(t, active, request, basis, held), nil, t.Now
	case !active:
		return Decision{Verdict: NotOwner}, nil, t.Now
	case err != nil:
		return o.decideWithoutRow(t, request, basis), nil, t.Now
	}
	decision := decideRow(t, &request, row, basis.readOnly)
	if decision.Verdict == Replayed {
		o.ledger.cacheDone(&request, *decision.Result)
	}
	if decision.Verdict == Wait {
		return decision, o.waiter(request.Key), t.Now
	}
	return decision, nil, t.Now
}

// claimInTable claims the operation in the table. It only reads the row if a claim without a row may have been granted.
func (o *Operations) claimInTable(start ClockReading, request *ClaimRequest, basis *tableBasis) (*tableclaims.HeldClaim, *tableclaims.Row, error) {
	if o.options.Table == nil {
		return nil, nil, tableclaims.ErrNoTable
	}
	if request.Auto && !basis.provablyNotRun {
		since, err := o.rowsCompleteSince(request.Key.Slot(), basis.ownedSince)
		if err != nil {
			return nil, nil, err
		}
		if since.After(request.TableSince) {
			request.TableSince = since
		}
	}
	basis.readOnly = !basis.provablyNotRun && !request.rowsComplete()
	return o.rows.Claim(o.baseContext, &tableclaims.Request{
		Key: request.rowKey(), Fingerprint: request.Fingerprint, Attempt: request.Attempt,
		Deadline: start.Wall.Add(request.Remaining), IDTime: request.Key.Time(), ReadFirst: !basis.provablyNotRun,
		MustExist: basis.mustExist, ReadOnly: basis.readOnly, NotRun: basis.notRun,
	})
}

// grantRow grants a claim whose row is written, if this host has owned the slot without interruption and its activity lease
// has not expired. Otherwise it releases the row. The caller must hold mu.
func (o *Operations) grantRow(t ClockReading, active bool, request ClaimRequest, basis tableBasis, held *tableclaims.HeldClaim) Decision {
	decision := Decision{Verdict: NotOwner}
	if active {
		decision = o.ledger.grantTableClaim(t, request, basis, held.Version())
	}
	if decision.Verdict != Granted {
		o.rows.Release(held)
	}
	return decision
}

// decideWithoutRow decides on a claim if the table returned an error. The caller must hold mu.
func (o *Operations) decideWithoutRow(t ClockReading, request ClaimRequest, before tableBasis) Decision {
	decision, basis := o.ledger.checkTableClaim(t, request)
	if decision.Verdict != 0 {
		return decision // the record changed during the calls to the table
	}
	rejection := Decision{Verdict: Rejected, Kind: errkind.ClaimsUnavailable}
	if basis.provablyNotRun && basis.ownedSince == before.ownedSince {
		rejection.Outcome = errkind.NotRun
	}
	return rejection
}

// decideRow decides on a claim by the row of the operation, which cannot be claimed. The row is nil if there is none and
// the operation may have run.
func decideRow(t ClockReading, request *ClaimRequest, row *tableclaims.Row, readOnly bool) Decision {
	unknown := Decision{Verdict: Rejected, Kind: errkind.OutcomeUnknown}
	switch {
	case row == nil, readOnly && row.State() == idempotencypb.State_STATE_NOT_RUN:
		return unknown
	case row.Fingerprint != request.Fingerprint:
		return Decision{Verdict: Rejected, Kind: errkind.OperationMismatch}
	}
	switch row.State() {
	case idempotencypb.State_STATE_DONE:
		result := resultFromProto(row.Result)
		return Decision{Verdict: Replayed, Result: &result}
	case idempotencypb.State_STATE_RUNNING:
		// The deadline is a time of the wall clock of another host.
		if left := row.Deadline.Add(maxClockSkew).Sub(t.Wall); left > 0 {
			return Decision{Verdict: Wait, Until: t.Now.Add(min(left, rowPollInterval))}
		}
		return unknown
	case idempotencypb.State_STATE_NOT_RUN:
		// A delayed duplicate of a claim that was released. No host would run the operation.
		return Decision{Verdict: Rejected, Kind: errkind.OperationRunning}
	default:
		return unknown
	}
}

func (c *ClaimRequest) rowKey() tableclaims.Key {
	return tableclaims.Key{Slot: c.Key.Slot(), Customer: string(c.Key.Customer), ID: c.Key.ID}
}

// storeOutcome writes the result of an attempt to the table in the background. The caller must hold mu.
func (o *Operations) storeOutcome(t ClockReading, request ClaimRequest, result Result) {
	if o.ledger.deferWrite(&request, o.lease.memoryOnlyAllowed(t)) {
		return
	}
	o.rows.Finish(&tableclaims.Outcome{
		Key: request.rowKey(), Fingerprint: request.Fingerprint, Attempt: request.Attempt, IDTime: request.Key.Time(),
		Result: resultToProto(&result), Version: o.ledger.rowVersion(&request),
	})
}

// expireRows deletes the rows of owned slots whose ids are rejected as expired, until ctx ends.
func (o *Operations) expireRows(ctx context.Context) {
	ticker := time.NewTicker(expireInterval / Slots)
	defer ticker.Stop()
	for slot := 0; ; slot = (slot + 1) % Slots {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !o.options.Views.View().Owns(SlotKey(slot)) {
			continue
		}
		// If the table is unavailable, the next round tries again.
		_ = o.rows.Expire(ctx, slot, o.options.Clock.Wall().Add(-Window-expiredRetention))
	}
}
