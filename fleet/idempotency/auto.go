package idempotency

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/idempotency/tableclaims"
	"github.com/bronzeyard/bronzeyard/storage"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

const (
	// leaseTick is the time between two looks at the lease.
	leaseCheckInterval = time.Second
	// leaseRenewal and leaseLength leave at least 7 s of a lost host's lease. Its activity lease has surely ended about
	// 6 s after its loss.
	leaseRenewalInterval = 3 * time.Second
	leaseDuration        = 10 * time.Second
	// flushAtOnce bounds the results that are written at the same time after an outage, and flushTime how long the return
	// to the table waits for them.
	maxConcurrentFlushes = 200
	flushTimeout         = 5 * time.Second
)

// claimLease is this host's own statement in the table that it grants no claims in memory only.
type claimLease struct {
	// stored is true once the row is certainly in the table. Other hosts could not know of claims before that.
	stored bool
	// closed is true if another host has closed the row: this host grants no claims in memory only any more.
	closed bool
	// reread is true if the row has to be read before it is written again.
	mustReread bool
	// renewing is true while a write is under way.
	renewing bool
	// until is the latest time that the row may state.
	until time.Time
	// gapEnd is the last time before until at which this host may have granted claims in memory only.
	gapEnd        time.Time
	version       uint64
	renewedAt     time.Time // on the lease clock, when the last renewal was tried
	closedThrough uint64    // epoch up to which the leases of excluded hosts are closed
}

// outage reports whether this host may grant claims in memory only.
func (l *claimLease) memoryOnlyAllowed(t ClockReading) bool {
	return l.stored && !l.closed && !l.renewing && t.ClockOK && t.Wall.After(l.until.Add(maxClockSkew))
}

// gap returns the last time at which this host may have granted claims in memory only.
func (l *claimLease) currentGapEnd(t ClockReading) time.Time {
	if l.stored && t.Wall.After(l.until) {
		return t.Wall
	}
	return l.gapEnd
}

// rowTrust says from which wall time on every claim in a slot has a row, for one ownership of the slot.
type rowCompleteness struct {
	ownedSince uint64
	since      time.Time
}

// claimDuringOutage decides on a claim that memory does not decide, if this host may grant claims in memory only. The
// caller holds mu.
func (o *Operations) claimDuringOutage(t ClockReading, request ClaimRequest, basis tableBasis) (Decision, bool) {
	o.autoUsed.Store(true)
	if !o.lease.memoryOnlyAllowed(t) {
		return Decision{}, false
	}
	if !basis.provablyNotRun {
		return Decision{Verdict: Rejected, Kind: errkind.ClaimsUnavailable}, true
	}
	request.InTable = false
	return o.ledger.Claim(t, request), true
}

// keepForLater reports whether the result of an attempt stays in memory until the outage is over.
func (l *Ledger) deferWrite(c *ClaimRequest, outage bool) bool {
	r, ok := l.slots[c.Key.Slot()].records[c.Key]
	if !ok || !r.memoryOnly || r.attempt != c.Attempt {
		return false
	}
	r.memoryOnly = outage
	return outage
}

// rowsTrustedSince returns the wall time since which every claim in a slot that this host serves has a row: the last time
// at which any host of the cell may have granted claims in memory only. The caller does not hold mu.
func (o *Operations) rowsCompleteSince(slot int, ownedSince uint64) (time.Time, error) {
	o.mu.Lock()
	trust, own := o.completeness[slot], o.lease.currentGapEnd(o.readClocks())
	var serving [Slots]uint64
	for i := range o.ledger.slots {
		if s := &o.ledger.slots[i]; s.owned && s.serving {
			serving[i] = s.ownedSince
		}
	}
	o.mu.Unlock()
	if trust.ownedSince == ownedSince {
		return later(trust.since, own), nil
	}
	since, err := o.lastGapEnd()
	if err != nil {
		return time.Time{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	// The leases were read after these slots were served, when their former owners granted nothing in them any more.
	for i, epoch := range serving {
		if epoch != 0 && o.completeness[i].ownedSince != epoch {
			o.completeness[i] = rowCompleteness{ownedSince: epoch, since: since}
		}
	}
	return later(since, own), nil
}

// lastGap reads the leases of the cell.
func (o *Operations) lastGapEnd() (time.Time, error) {
	leases, err := o.rows.Leases(o.baseContext, o.options.Cell)
	if err != nil {
		return time.Time{}, err
	}
	wall := o.options.Clock.Wall()
	var last time.Time
	for i := range leases {
		last = later(last, leases[i].GapEnd)
		if !leases[i].Closed && leases[i].Until.Before(wall) {
			last = later(last, wall)
		}
	}
	return last, nil
}

// keepLease renews this host's lease and closes those of excluded hosts, once claims of mode settings.ClaimsAuto are made.
func (o *Operations) keepLease(ctx context.Context) {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !o.autoUsed.Load() {
			continue
		}
		o.renewLease(ctx)
		o.closeLeases(ctx)
	}
}

func leaseHost(id fleet.Identity) string { return fmt.Sprintf("%s/%d", id.ID, id.Incarnation) }

// renewLease renews the lease if that is due. After an outage it writes the results of the outage first.
func (o *Operations) renewLease(ctx context.Context) {
	o.mu.Lock()
	t, active := o.enterCurrentEpoch()
	// A host that states an epoch that it is not a member of could be taken for an excluded one.
	_, member := o.view.Epoch.Member(o.view.Self)
	due := active && member && !o.lease.closed && t.Now.Sub(o.lease.renewedAt) >= leaseRenewalInterval
	outage, reread := o.lease.memoryOnlyAllowed(t), o.lease.mustReread
	if due {
		o.lease.renewedAt = t.Now
	}
	o.mu.Unlock()
	if !due || ((outage || reread) && !o.rereadLease(ctx)) {
		return
	}
	if outage {
		o.flushResults(ctx)
	}
	o.mu.Lock()
	t = o.readClocks()
	next := tableclaims.Lease{
		Host: leaseHost(o.view.Self), Until: t.Wall.Add(leaseDuration), GapEnd: o.lease.currentGapEnd(t),
		Epoch: o.ledger.epoch, Version: o.lease.version,
	}
	o.lease.renewing = true
	o.mu.Unlock()
	err := o.rows.PutLease(ctx, o.options.Cell, &next)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lease.applyRenewal(&next, err)
}

// written takes the result of a renewal. A write of unknown outcome binds this host as if it had taken effect.
func (l *claimLease) applyRenewal(next *tableclaims.Lease, err error) {
	l.renewing = false
	notWritten := errors.Is(err, storage.ErrUnavailable) && !errors.Is(err, storage.ErrUnknownOutcome)
	if notWritten {
		return
	}
	if err != nil {
		l.mustReread = true
	}
	if errors.Is(err, tableclaims.ErrLeaseChanged) {
		return
	}
	l.until, l.gapEnd = later(l.until, next.Until), later(l.gapEnd, next.GapEnd)
	if err == nil {
		l.stored, l.version = true, next.Version
	}
}

// rereadLease reads the row of the own lease. It reports false if that fails or if the lease was closed.
func (o *Operations) rereadLease(ctx context.Context) bool {
	row, err := o.rows.Lease(ctx, o.options.Cell, leaseHost(o.options.Views.View().Self))
	o.mu.Lock()
	defer o.mu.Unlock()
	absent := errors.Is(err, storage.ErrNotFound)
	if err != nil && !absent {
		return false
	}
	o.lease.mustReread = false
	if row.Closed || (absent && o.lease.stored) {
		o.lease.closed = true
		return false
	}
	o.lease.version, o.lease.stored = row.Version, !absent
	o.lease.until, o.lease.gapEnd = later(o.lease.until, row.Until), later(o.lease.gapEnd, row.GapEnd)
	return true
}

// flushResults writes the results of operations that were claimed in memory only, for at most flushTime. Those that are
// not written are unknown to the table; the gap of the lease says so.
func (o *Operations) flushResults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	for _, outcome := range o.unwrittenResults() {
		o.waitForRows(ctx, maxConcurrentFlushes)
		o.rows.Finish(&outcome)
	}
	o.waitForRows(ctx, 1)
}

// awaitRows waits until fewer than n rows are being written, or ctx ends.
func (o *Operations) waitForRows(ctx context.Context, n int64) {
	for ctx.Err() == nil && o.rows.Status().Pending >= n {
		sleep(ctx, o.options.RetryDelay)
	}
}

func (o *Operations) unwrittenResults() []tableclaims.Outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	var outcomes []tableclaims.Outcome
	for _, r := range o.ledger.evictable {
		if !r.memoryOnly || r.result.State != Done {
			continue
		}
		r.memoryOnly = false
		c := ClaimRequest{Key: r.key}
		outcomes = append(outcomes, tableclaims.Outcome{
			Key: c.rowKey(), Fingerprint: r.fingerprint, Attempt: r.attempt, IDTime: r.key.Time(),
			Result: resultToProto(&r.result),
		})
	}
	return outcomes
}

// closeLeases closes the leases of hosts that are excluded by this host's epoch, once their activity leases have ended,
// and deletes those that are older than the window. Else each of them would count as a host in an outage for ever.
func (o *Operations) closeLeases(ctx context.Context) {
	o.mu.Lock()
	t, active := o.enterCurrentEpoch()
	view, epoch, closed := o.view, o.ledger.epoch, o.lease.closedThrough
	o.mu.Unlock()
	if !active || epoch == closed || t.Now.Before(view.FreeAt) {
		return
	}
	leases, err := o.rows.Leases(ctx, o.options.Cell)
	if err != nil {
		return
	}
	members := make(map[string]bool)
	for i := range view.Epoch.Members {
		members[leaseHost(view.Epoch.Members[i].Identity())] = true
	}
	done := true
	for i := range leases {
		if l := &leases[i]; !members[l.Host] && l.Epoch <= epoch {
			done = o.closeLease(ctx, l) && done
		}
	}
	if done {
		o.mu.Lock()
		o.lease.closedThrough = epoch
		o.mu.Unlock()
	}
}

// closeLease closes the lease of a host whose activity lease has ended. It reports false if it has to be tried again.
func (o *Operations) closeLease(ctx context.Context, lease *tableclaims.Lease) bool {
	wall := o.options.Clock.Wall()
	if lease.Closed {
		if later(lease.Until, lease.GapEnd).Before(wall.Add(-Window - expiredRetention)) {
			return o.rows.DeleteLease(ctx, o.options.Cell, lease) == nil
		}
		return true
	}
	if lease.Until.Before(wall) {
		lease.GapEnd = wall
	}
	lease.Closed = true
	return o.rows.PutLease(ctx, o.options.Cell, lease) == nil
}
