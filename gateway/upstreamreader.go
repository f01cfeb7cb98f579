package gateway

import (
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/gossip"
	"github.com/bronzeyard/bronzeyard/gateway/registry"
)

const (
	// freshFraction is the fraction of the smaller of Bounds.MaxLeavingDelay and Bounds.MaxConfigurationDelay for which a read of
	// the upstreams counts as recent. The rest is reserved for hosts that are scheduled next but fail, for the transmission to the
	// other hosts, and for their own reads.
	freshFraction = 0.45
	// readStagger is the delay between the scheduled reads of two hosts, and maxReadStagger the maximum delay of a host.
	readStagger    = 50 * time.Millisecond
	maxReadStagger = 250 * time.Millisecond
	// sharedStagger and maxSharedStagger determine the delay of the hosts after those in a large fleet.
	sharedStagger    = 4 * time.Millisecond
	maxSharedStagger = 500 * time.Millisecond
	// eraStagger is the delay between the reads of two hosts in a new era of the store, and maxEraDelay the maximum delay of a host.
	eraStagger  = 30 * time.Millisecond
	maxEraDelay = 800 * time.Millisecond
	// withheldInterval is the time between the reads of a host that withholds upstreams, and maxWithheldInterval its maximum: it is
	// doubled as long as the store has these upstreams.
	withheldInterval    = 500 * time.Millisecond
	maxWithheldInterval = 16 * time.Second
	// retryStagger is the delay between the attempts of two hosts to detect the recovery of the store.
	retryStagger = 100 * time.Millisecond
	// readJitter spreads the reads of hosts that are notified of a change at the same time.
	readJitter = 60 * time.Millisecond
	// readGapFraction is the fraction of Bounds.MaxLeavingDelay that must pass between a triggered read and the host's read before
	// it. Without this gap, hosts that start together with their upstreams would read continuously, because each read finds other
	// entries than the one before.
	readGapFraction = 0.2
	// maxDeltaAge is the age up to which a read is sent with its difference from the one before.
	maxDeltaAge = time.Second
	// minOverlapInterval and maxOverlapInterval bound overlapInterval.
	minOverlapInterval = 150 * time.Millisecond
	maxOverlapInterval = 600 * time.Millisecond
	// readDuration is reserved for the read that detects the recovery of the store.
	readDuration = 100 * time.Millisecond
	// maxOverlappingReads is the maximum number of reads without a response.
	maxOverlappingReads = 6
)

// overlapInterval is the time after which a read of the upstreams without a response is followed by another one. A read that waits for
// its time-out would detect the recovery of a silent store too late for the time in which missing entries may be kept.
func overlapInterval(stablePeriod time.Duration) time.Duration {
	if stablePeriod <= 0 {
		return maxOverlapInterval
	}
	return min(maxOverlapInterval, max(minOverlapInterval, registry.MaxDetectionTime(stablePeriod)-readDuration))
}

// registryUpdate is a read of the upstreams that another host has reported.
type registryUpdate struct {
	gossip.RegistryState
	from   string
	readAt time.Time
}

// report returns the update as the registry takes it, and false if the update does not state from when on missing entries are final.
func (u *registryUpdate) report(now time.Time) (registry.Report, bool) {
	report := registry.Report{ReadAt: u.readAt, KeptUntil: u.readAt, Era: u.Era}
	if !u.Synced {
		report.KeptUntil = now.Add(u.GraceLeft)
	}
	return report, u.Synced || u.GraceLeft > 0
}

// observeUpdate passes an update of another host to the registry. It reports whether the host must process it: it is newer than the
// host's view, or it may end the time for which missing entries are kept. It may be called concurrently with upstreamReader.
func observeUpdate(now time.Time, r *registry.Registry, update *registryUpdate) bool {
	endsGrace := false
	if report, ok := update.report(now); ok {
		synced, _ := r.Synced(now)
		endsGrace = r.ObserveReport(report) && !synced
	}
	return endsGrace || update.readAt.After(r.View().ReadAt)
}

// stateToReport returns the state of a host's own read of the upstreams, which is sent to the other hosts. Only scheduled reads are
// reported. If triggered reads were reported too, each would trigger reads by the other hosts, and all hosts would keep reading while
// upstreams start. It may be called concurrently with upstreamReader.
func stateToReport(now time.Time, r *registry.Registry, scheduledReadAt time.Time) gossip.RegistryState {
	own, ok := r.LocalRead()
	if !ok || !own.At.Equal(scheduledReadAt) {
		return gossip.RegistryState{}
	}
	state := gossip.RegistryState{Digest: own.Digest, Era: registry.Era(own.Version), Age: max(0, now.Sub(own.At))}
	state.Synced, state.GraceLeft = r.Synced(now)
	if state.Age < maxDeltaAge {
		state.Version, state.Delta = own.Version, own.Delta
	}
	return state
}

// readConditions are the circumstances on which the time of a read depends.
type readConditions struct {
	bounds Bounds
	// rank is the number of live hosts that read before this one.
	rank int
	// hosts is the number of other live hosts.
	hosts int
	// shared is true in a fleet so large that a host takes entries which it cannot derive from an update from the host that has
	// reported them.
	shared bool
}

// fresh is the time for which a read counts as recent.
func (c *readConditions) fresh() time.Duration {
	return time.Duration(freshFraction * float64(c.bounds.maxStoreDelay()))
}

// stagger is the delay of a host's scheduled read. In a large fleet the hosts that rank after the first ones would otherwise all read
// at the same time when the first are slow.
func (c *readConditions) stagger() time.Duration {
	delay := c.rankDelay(readStagger)
	if !c.shared || delay <= maxReadStagger {
		return min(maxReadStagger, delay)
	}
	return min(maxSharedStagger, maxReadStagger+c.rankDelay(sharedStagger))
}

// eraDelay spreads the reads of the hosts in a new era of the store.
func (c *readConditions) eraDelay() time.Duration {
	return c.rankDelay(min(eraStagger, maxEraDelay/time.Duration(c.hosts+1)))
}

func (c *readConditions) rankDelay(step time.Duration) time.Duration {
	return time.Duration(c.rank) * step
}

// pendingRead is a read of the upstreams that has not ended.
type pendingRead struct {
	id        uint64
	startedAt time.Time
	// scheduled is false for a read that was triggered by a pause or by another host's update, or is due because of withheld upstreams.
	scheduled bool
}

// upstreamReader decides when a host reads the upstreams, and applies its reads and those of other hosts to the registry. Reads may
// overlap. It does no I/O, takes the time as an argument, and is used by one goroutine.
type upstreamReader struct {
	registry *registry.Registry
	// jitter returns a random duration below its argument.
	jitter func(time.Duration) time.Duration
	lastID uint64
	// pending holds the reads that have not ended, in the order of their starts.
	pending []pendingRead
	// failing is true while the newest read that has ended has failed. From retryAt on, it may be repeated.
	failing bool
	retryAt time.Time
	// triggeredAt is when a triggered read is due; zero if none is.
	triggeredAt time.Time
	// dueAt is when the next read was due when that was last determined.
	dueAt time.Time
	// nextTrigger is the earliest time of a read that an update triggers while reads fail. Without it, a host that the store rejects
	// reads again for each update of the others.
	nextTrigger time.Time
	// withheldWait is the time after this host's newest read at which it reads again because it withholds upstreams.
	withheldWait time.Duration
	// wanted is the newest update whose entries are to be fetched from the host that has reported it; nil if there is none.
	wanted *registryUpdate
}

// untilNextRead is the time until the next read begins. If a read is still without a response or has failed, the next one does not
// wait until this host's turn comes, unless another host has read in the meantime.
func (r *upstreamReader) untilNextRead(now time.Time, c readConditions) time.Duration {
	r.detectPause(now, c)
	wait := r.untilScheduledRead(now, c)
	if len(r.pending) > 0 || r.failing {
		wait = max(wait, r.retryAt.Sub(now))
	}
	if !r.triggeredAt.IsZero() && len(r.pending) < maxOverlappingReads {
		wait = min(wait, r.triggeredAt.Sub(now))
	}
	wait = max(0, wait)
	r.dueAt = now.Add(wait)
	return wait
}

// untilScheduledRead is the time until this host reads the upstreams if no other host does. It is shorter if kept entries expire
// earlier.
func (r *upstreamReader) untilScheduledRead(now time.Time, c readConditions) time.Duration {
	wait := r.registry.View().ReadAt.Add(c.fresh()).Sub(now) + c.stagger()
	if until, kept := r.registry.KeptUntil(now); kept {
		wait = min(wait, until.Sub(now))
	}
	if own, ok := r.registry.LocalRead(); ok && r.registry.Withheld() > 0 {
		wait = min(wait, own.At.Add(max(withheldInterval, r.withheldWait)).Sub(now))
	}
	return wait
}

// begin is called when a read is due. It returns the read to be made, and false if too many are without a response.
func (r *upstreamReader) begin(now time.Time, c readConditions) (read pendingRead, ok bool) {
	r.detectPause(now, c)
	if len(r.pending) < maxOverlappingReads {
		r.lastID++
		read, ok = pendingRead{id: r.lastID, startedAt: now, scheduled: !r.beginTriggered(now) && !r.onlyWithheldDue(now, c)}, true
		r.pending = append(r.pending, read)
	}
	interval := overlapInterval(c.bounds.StablePeriod) + c.rankDelay(retryStagger)
	r.retryAt = now.Add(min(interval, maxRecoveryWait))
	return read, ok
}

// onlyWithheldDue reports whether a read that is due now would not be due without withheld upstreams. All hosts make such reads, so they
// need no report to the others, nor a check of the configuration.
func (r *upstreamReader) onlyWithheldDue(now time.Time, c readConditions) bool {
	return r.registry.Withheld() > 0 && now.Before(r.registry.View().ReadAt.Add(c.fresh()))
}

// beginTriggered reports whether the read that begins now is a triggered one.
func (r *upstreamReader) beginTriggered(now time.Time) bool {
	if r.triggeredAt.IsZero() || now.Before(r.triggeredAt) {
		return false
	}
	r.triggeredAt, r.nextTrigger = time.Time{}, now.Add(maxRecoveryWait)
	return true
}

// detectPause resumes after a pause of this process that has not been reported yet, because a read is overdue.
func (r *upstreamReader) detectPause(now time.Time, c readConditions) {
	if pause := c.bounds.minPause(); pause > 0 && !r.dueAt.IsZero() && now.Sub(r.dueAt) > pause {
		r.resume(now, c)
	}
}

// finish removes a read that has ended from the pending ones. It reports false if the read was abandoned.
func (r *upstreamReader) finish(now time.Time, c readConditions, id uint64) (pendingRead, bool) {
	r.detectPause(now, c)
	i := slices.IndexFunc(r.pending, func(p pendingRead) bool { return p.id == id })
	if i < 0 {
		return pendingRead{}, false
	}
	read := r.pending[i]
	r.pending = slices.Delete(r.pending, i, i+1)
	return read, true
}

// fail processes the failure of a read. backoff is the time until the next read of a host with rank 0.
func (r *upstreamReader) fail(now time.Time, c readConditions, read pendingRead, backoff time.Duration) {
	r.registry.RecordFailure(read.startedAt, c.bounds.StablePeriod)
	r.failing = true
	wait := min(backoff+c.rankDelay(retryStagger), maxRecoveryWait)
	if retryAt := now.Add(wait); retryAt.Before(r.retryAt) {
		r.retryAt = retryAt
	}
}

// succeed processes the response to a read, and abandons the pending ones. It replaces the view unless a later read by another host
// has been applied in the meantime, in which case applied is false.
func (r *upstreamReader) succeed(
	c readConditions, read pendingRead, version uint64, entries []registry.Entry,
) (changes []registry.Change, applied bool) {
	for _, p := range slices.Backward(r.pending) {
		if p.startedAt.Before(read.startedAt) {
			// The store or the path to it was not stable when this read began.
			r.registry.RecordFailure(p.startedAt, c.bounds.StablePeriod)
			break
		}
	}
	r.pending, r.failing = nil, false
	before := r.registry.View()
	if !read.startedAt.After(before.ReadAt) || registry.Era(version) < before.Era() {
		return nil, false
	}
	if registry.Era(version) > before.Era() {
		r.registry.RecordEra(c.bounds.StablePeriod)
	}
	changes = r.registry.Update(read.startedAt, version, entries)
	if r.registry.Withheld() > 0 {
		r.withheldWait = min(max(withheldInterval, 2*r.withheldWait), maxWithheldInterval)
	} else {
		r.withheldWait = 0
	}
	return changes, true
}

// resume is called after a pause of this process. It abandons the pending reads, because a response may have waited during the pause,
// and makes a read due now. A pause may hide the recovery of the store for longer than a failed read does.
func (r *upstreamReader) resume(now time.Time, c readConditions) {
	r.pending, r.dueAt = nil, now
	r.registry.RecordPause(now, c.bounds.StablePeriod)
	r.trigger(now)
}

// handleUpdate processes a read of another host. It triggers a read by this host if it cannot apply what the other one has found.
// It returns the changes that were applied.
func (r *upstreamReader) handleUpdate(now time.Time, c readConditions, update *registryUpdate) []registry.Change {
	r.detectPause(now, c)
	if !update.readAt.After(r.registry.View().ReadAt) {
		return nil // this host has read more recently; the update may only end the time for which missing entries are kept
	}
	switch era := r.registry.View().Era(); {
	case update.Era < era:
		return nil // a read of an earlier era
	case update.Era > era && !r.registry.View().ReadAt.IsZero():
		if !r.newerThan(update.readAt) {
			r.trigger(now.Add(c.eraDelay() + r.jitter(readJitter)))
		}
		return nil
	}
	if r.registry.Confirm(update.readAt, update.Digest) {
		return nil
	}
	if changes, ok := r.registry.Apply(update.readAt, update.Version, update.Digest, update.Delta); ok {
		return changes
	}
	if !r.failing && r.newerThan(update.readAt) {
		return nil // the response is about to arrive
	}
	if c.shared && update.from != "" && r.registry.CanReplace(update.readAt) {
		r.wanted = update
		return nil
	}
	r.triggerAfterUpdate(now, c)
	return nil
}

// takeWanted removes and returns the update whose entries are to be fetched.
func (r *upstreamReader) takeWanted() *registryUpdate {
	wanted := r.wanted
	r.wanted = nil
	return wanted
}

// triggerAfterUpdate triggers a read because of an update that cannot be applied.
func (r *upstreamReader) triggerAfterUpdate(now time.Time, c readConditions) {
	at := now.Add(r.untilTriggeredRead(now, c))
	if r.failing && at.Before(r.nextTrigger) {
		at = r.nextTrigger
	}
	r.trigger(at)
}

// newerThan reports whether a read that began after a time is pending.
func (r *upstreamReader) newerThan(at time.Time) bool {
	return len(r.pending) > 0 && r.pending[len(r.pending)-1].startedAt.After(at)
}

// untilTriggeredRead is the time until this host may make a triggered read.
func (r *upstreamReader) untilTriggeredRead(now time.Time, c readConditions) time.Duration {
	wait := r.jitter(readJitter)
	own, ok := r.registry.LocalRead()
	if !ok {
		return wait
	}
	gap := time.Duration(readGapFraction * float64(c.bounds.MaxLeavingDelay))
	return max(wait, own.At.Add(gap).Sub(now))
}

// trigger makes a read due at a time.
func (r *upstreamReader) trigger(at time.Time) {
	if r.triggeredAt.IsZero() || at.Before(r.triggeredAt) {
		r.triggeredAt = at
	}
}
