package idempotency

import (
	"context"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet/idempotency/idempotencypb"
	"github.com/bronzeyard/bronzeyard/fleet/idempotency/tableclaims"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

const (
	// rowPoll is the time between two readings of the row of an operation that runs under a claim of another owner.
	rowPollInterval = 200 * time.Millisecond
	// expireInterval is the time in which an owner looks once at the expired rows of all its slots.
	expireInterval = 10 * time.Minute
)

// tryTableClaim decides on a claim in the table. changed is closed when the decision Wait may have become another one.
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

// claimRow lets the row of the operation decide. The caller holds mu, which is released while the table is asked.
func (o *Operations) claimRow(asked ClockReading, request ClaimRequest, basis tableBasis) (Decision, <-chan struct{}, time.Time) {
	o.mu.Unlock()
	held, row, err := o.claimInTable(asked, &request, &basis)
	o.mu.Lock()
	t, active := o.enterCurrentEpoch()
	request.Remaining -= t.Now.Sub(asked.Now)
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

// askTable claims the operation in the table. Where the table does not know every claim that may have been granted, it
// only reads the row.
func (o *Operations) claimInTable(asked ClockReading, request *ClaimRequest, basis *tableBasis) (*tableclaims.HeldClaim, *tableclaims.Row, error) {
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
		Deadline: asked.Wall.Add(request.Remaining), IDTime: request.Key.Time(), ReadFirst: !basis.provablyNotRun,
		MustExist: basis.mustExist, ReadOnly: basis.readOnly, NotRun: basis.notRun,
	})
}

// grantRow grants a claim whose row is written, if this host has been the owner all the time and still holds its lease.
// The caller holds mu.
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

// rowUnavailable decides on a claim that the table did not take. The caller holds mu.
func (o *Operations) decideWithoutRow(t ClockReading, request ClaimRequest, asked tableBasis) Decision {
	decision, basis := o.ledger.checkTableClaim(t, request)
	if decision.Verdict != 0 {
		return decision // it became known while the table was asked
	}
	refusal := Decision{Verdict: Rejected, Kind: errkind.ClaimsUnavailable}
	if basis.provablyNotRun && basis.ownedSince == asked.ownedSince {
		refusal.Outcome = errkind.NotRun
	}
	return refusal
}

// decideRow decides on a claim by the row of the operation, which is not free to be claimed. A nil row is one that
// should exist.
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
		// The deadline was written by the wall clock of another host.
		if left := row.Deadline.Add(maxClockSkew).Sub(t.Wall); left > 0 {
			return Decision{Verdict: Wait, Until: t.Now.Add(min(left, rowPollInterval))}
		}
		return unknown
	case idempotencypb.State_STATE_NOT_RUN:
		// A late copy of a claim that was given back. Nobody would run it.
		return Decision{Verdict: Rejected, Kind: errkind.OperationRunning}
	default:
		return unknown
	}
}

func (c *ClaimRequest) rowKey() tableclaims.Key {
	return tableclaims.Key{Slot: c.Key.Slot(), Customer: string(c.Key.Customer), ID: c.Key.ID}
}

// storeOutcome brings the result of an attempt to the table in the background. The caller holds mu.
func (o *Operations) storeOutcome(t ClockReading, request ClaimRequest, result Result) {
	if o.ledger.deferWrite(&request, o.lease.memoryOnlyAllowed(t)) {
		return
	}
	o.rows.Finish(&tableclaims.Outcome{
		Key: request.rowKey(), Fingerprint: request.Fingerprint, Attempt: request.Attempt, IDTime: request.Key.Time(),
		Result: resultToProto(&result), Version: o.ledger.rowVersion(&request),
	})
}

// expireRows deletes the rows of owned slots whose ids are refused as expired anyway, until ctx ends.
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
		// A table that is down is asked again in the next round.
		_ = o.rows.Expire(ctx, slot, o.options.Clock.Wall().Add(-Window-expiredRetention))
	}
}
