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
	// leaseCheckInterval is the time between two checks whether the lease has to be renewed.
	leaseCheckInterval = time.Second
	// leaseRenewalInterval and leaseDuration leave at least 7 s of the lease of a host that fails. Its activity lease has
	// ended for certain about 6 s after the failure.
	leaseRenewalInterval = 3 * time.Second
	leaseDuration        = 10 * time.Second
	// maxConcurrentFlushes is the maximum number of results that are written at the same time after an outage, and
	// flushTimeout the time for which the return to the table waits for them.
	maxConcurrentFlushes = 200
	flushTimeout         = 5 * time.Second
)

// claimLease is the state of this host's lease in the table. The host grants no memory-only claims before the lease ends.
type claimLease struct {
	// stored is true once the row is known to be in the table. Without a row other hosts could not know of the gap.
	stored bool
	// closed is true if another host has closed the row. This host then grants no memory-only claims any more.
	closed bool
	// mustReread is true if the row has to be read before it is written again.
	mustReread bool
	// renewing is true while a write is in progress.
	renewing bool
	// until is the latest end of the lease that the row may hold.
	until time.Time
	// gapEnd is the last time before until at which this host may have granted memory-only claims.
	gapEnd        time.Time
	version       uint64
	renewedAt     time.Time // last attempt to renew the lease, on the lease clock
	closedThrough uint64    // epoch up to which the leases of excluded hosts are closed
}

// memoryOnlyAllowed reports whether this host may grant memory-only claims.
func (l *claimLease) memoryOnlyAllowed(t ClockReading) bool {
	return l.stored && !l.closed && !l.renewing && t.ClockOK && t.Wall.After(l.until.Add(maxClockSkew))
}

// currentGapEnd returns the last time at which this host may have granted memory-only claims.
func (l *claimLease) currentGapEnd(t ClockReading) time.Time {
	if l.stored && t.Wall.After(l.until) {
		return t.Wall
	}
	return l.gapEnd
}

// rowCompleteness is the wall time since which every claim in a slot has a row, for one ownership of the slot.
type rowCompleteness struct {
	ownedSince uint64
	since      time.Time
}

// claimDuringOutage decides on a claim that the records do not decide. It returns false if this host may not grant
// memory-only claims. The caller must hold mu.
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

// deferWrite reports whether the result of an attempt is kept in memory only, until the outage is over.
func (l *Ledger) deferWrite(c *ClaimRequest, outage bool) bool {
	r, ok := l.slots[c.Key.Slot()].records[c.Key]
	if !ok || !r.memoryOnly || r.attempt != c.Attempt {
		return false
	}
	r.memoryOnly = outage
	return outage
}

// rowsCompleteSince returns the wall time since which every claim in a slot that this host serves has a row. It is the last
// time at which any host of the cell may have granted memory-only claims. The caller must not hold mu.
func (o *Operations) rowsCompleteSince(slot int, ownedSince uint64) (time.Time, error) {
	o.mu.Lock()
	known, ownGapEnd := o.completeness[slot], o.lease.currentGapEnd(o.readClocks())
	var serving [Slots]uint64
	for i := range o.ledger.slots {
		if s := &o.ledger.slots[i]; s.owned && s.serving {
			serving[i] = s.ownedSince
		}
	}
	o.mu.Unlock()
	if known.ownedSince == ownedSince {
		return later(known.since, ownGapEnd), nil
	}
	since, err := o.lastGapEnd()
	if err != nil {
		return time.Time{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	// The leases were read after this host had started to serve these slots. Former owners granted nothing in them any more.
	for i, epoch := range serving {
		if epoch != 0 && o.completeness[i].ownedSince != epoch {
			o.completeness[i] = rowCompleteness{ownedSince: epoch, since: since}
		}
	}
	return later(since, ownGapEnd), nil
}

// lastGapEnd reads the leases of the cell. It returns the last time at which any of its hosts may have granted memory-only
// claims.
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

// keepLease renews this host's lease and closes those of excluded hosts until ctx ends. It starts to do so with the first
// claim of mode settings.ClaimsAuto.
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

// renewLease renews the lease if that is due. After an outage it first writes the results of memory-only claims.
func (o *Operations) renewLease(ctx context.Context) {
	o.mu.Lock()
	t, active := o.enterCurrentEpoch()
	// A lease with an epoch that the host is not a member of could be closed as that of an excluded host.
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

// applyRenewal updates the state after a renewal. After a write of unknown outcome this host assumes that it took effect.
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

// rereadLease reads the row of this host's lease. It returns false if that fails or if the lease was closed.
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

// flushResults writes the results of memory-only claims, for at most flushTimeout. Those that are not written are missing
// in the table, which is covered by the gap of the lease.
func (o *Operations) flushResults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	for _, outcome := range o.unwrittenResults() {
		o.waitForRows(ctx, maxConcurrentFlushes)
		o.rows.Finish(&outcome)
	}
	o.waitForRows(ctx, 1)
}

// waitForRows waits until fewer than n rows are being written, or ctx ends.
func (o *Operations) waitForRows(ctx context.Context, n int64) {
	for ctx.Err() == nil && o.rows.Status().Pending >= n {
		sleep(ctx, o.options.RetryDelay)
	}
}

// unwrittenResults returns the results of memory-only claims that are not written, and marks them as written.
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

// closeLeases closes the leases of hosts that are excluded by this host's epoch, once their activity leases have expired.
// An open lease would count as that of a host in an outage forever. Closed leases are deleted once they are older than the
// window.
func (o *Operations) closeLeases(ctx context.Context) {
	o.mu.Lock()
	t, active := o.enterCurrentEpoch()
	view, epoch, closed := o.view, o.ledger.epoch, o.lease.closedThrough
	o.mu.Unlock()
	if !active || epoch == closed || t.Now.Before(view.TakeoverAt) {
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

// closeLease closes the lease of a host whose activity lease has expired, or deletes it if it is closed and older than the
// window. It returns false if it has to be retried.
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
