package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

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
)

// registryUpdate is a read of the upstreams that another host has reported.
type registryUpdate struct {
	gossip.RegistryState
	from   string
	readAt time.Time
}

// registryState returns the state of this host's own read of the upstreams, which is sent to the other hosts. Only scheduled
// reads are reported. If triggered reads were reported too, each would trigger reads by the other hosts, and all hosts would
// keep reading while upstreams start.
func (g *Gateway) registryState(now time.Time) gossip.RegistryState {
	own, ok := g.router.registry.LocalRead()
	if !ok || own.At.UnixNano() != g.scheduledReadAt.Load() {
		return gossip.RegistryState{}
	}
	state := gossip.RegistryState{Digest: own.Digest, Age: max(0, now.Sub(own.At))}
	state.Synced, state.GraceLeft = g.router.registry.Synced(now)
	if state.Age < maxDeltaAge {
		state.Version, state.Delta = own.Version, own.Delta
	}
	return state
}

// receiveRegistryUpdate queues an update for the syncer if it is newer than this host's view, or if it shows that missing entries
// need not be kept as long as planned.
func (g *Gateway) receiveRegistryUpdate(update registryUpdate) {
	if !g.observeReport(update) && !update.readAt.After(g.router.registry.View().ReadAt) {
		return
	}
	select {
	case g.registryUpdates <- update:
	default: // the syncer is about to check when to read anyway
	}
}

// observeReport passes an update to the registry, and reports whether it may end the time for which missing entries are kept.
func (g *Gateway) observeReport(update registryUpdate) bool {
	now := time.Now()
	report := registry.Report{ReadAt: update.readAt, KeptUntil: update.readAt}
	if !update.Synced {
		if update.GraceLeft <= 0 {
			return false
		}
		report.KeptUntil = now.Add(update.GraceLeft)
	}
	synced, _ := g.router.registry.Synced(now)
	return g.router.registry.ObserveReport(report) && !synced
}

// syncUpstreams keeps the entries of the upstreams up to date until ctx ends. One host at a time reads the store. It sends the
// others a digest of the entries and the changes since its previous read. A host whose view has the same digest, or gets it by
// applying the changes, treats this as a read of its own. Any other host reads the store too. A host that receives no report in
// time reads by itself, so a host that cannot read, or whose datagrams are lost, delays the others only by readStagger.
func (s *syncer) syncUpstreams(ctx context.Context) {
	reads := upstreamReads{source: s.options.Upstreams, results: make(chan upstreamRead)}
	defer reads.abort()
	dependency := s.dependency("upstreams")
	schedule := readSchedule{}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		timer.Reset(s.untilNextRead(&schedule, &reads))
		select {
		case <-ctx.Done():
		case now := <-timer.C:
			if len(reads.pending) < maxOverlappingReads {
				reads.start(ctx, schedule.begin(now))
			}
			interval := overlapInterval(s.boundsNow().StablePeriod) + s.rankDelay(retryStagger)
			schedule.retryAt = now.Add(min(interval, maxRecoveryWait))
		case read := <-reads.results:
			if reads.finish(read) {
				s.handleRead(read, dependency, &schedule, &reads)
			}
		case <-s.rereadAfterPause.upstreams:
			reads.abort() // a response may have waited during the pause
			schedule.trigger(time.Now())
		case update := <-s.registryUpdates:
			s.handleUpdate(update, &schedule, &reads)
		}
	}
}

// untilNextRead is the time until the next read begins. If a read is still without a response or has failed, the next one does not
// wait until this host's turn comes, unless another host has read in the meantime.
func (s *syncer) untilNextRead(schedule *readSchedule, reads *upstreamReads) time.Duration {
	wait := s.untilScheduledRead()
	if len(reads.pending) > 0 || schedule.failing {
		wait = max(wait, time.Until(schedule.retryAt))
	}
	if !schedule.triggeredAt.IsZero() && len(reads.pending) < maxOverlappingReads {
		wait = min(wait, time.Until(schedule.triggeredAt))
	}
	return max(0, wait)
}

// handleRead processes the response to a read, or its failure.
func (s *syncer) handleRead(read upstreamRead, dependency *dependency, schedule *readSchedule, reads *upstreamReads) {
	if read.err != nil {
		s.router.registry.RecordFailure(read.startedAt, s.boundsNow().StablePeriod)
		schedule.failing = true
		backoff := min(dependency.recordFailure(read.err)+s.rankDelay(retryStagger), maxRecoveryWait)
		if retryAt := time.Now().Add(backoff); retryAt.Before(schedule.retryAt) {
			schedule.retryAt = retryAt
		}
		return
	}
	if startedAt, ok := reads.overtakenBy(read); ok {
		s.router.registry.RecordFailure(startedAt, s.boundsNow().StablePeriod)
	}
	reads.abort()
	schedule.failing = false
	s.applyRead(read)
	if dependency.recordSuccess() {
		notify(s.retryConfiguration)
		notify(s.retryHosts)
	}
	if read.scheduled {
		s.node.Announce()
	}
}

// applyRead replaces the view with the entries of a read, unless a later read by another host has been applied in the meantime.
func (s *syncer) applyRead(read upstreamRead) {
	if !read.startedAt.After(s.router.registry.View().ReadAt) {
		return
	}
	s.handleRegistryChanges(s.router.registry.Update(read.startedAt, read.version, read.entries), read.version, "")
	s.logKept()
	if read.scheduled {
		s.scheduledReadAt.Store(read.startedAt.UnixNano())
		s.recordStoreRead(read.startedAt, read.version)
	}
}

// handleUpdate processes a read of another host. It triggers a read by this host if it cannot apply what the other one has found.
func (s *syncer) handleUpdate(update registryUpdate, schedule *readSchedule, reads *upstreamReads) {
	if !update.readAt.After(s.router.registry.View().ReadAt) {
		return // this host has read more recently; the update may only end the time for which missing entries are kept
	}
	if s.router.registry.Confirm(update.readAt, update.Digest) || s.applyDelta(update) {
		return
	}
	if !schedule.failing && reads.newerThan(update.readAt) {
		return // the response is about to arrive
	}
	schedule.triggerByUpdate(time.Now().Add(s.untilTriggeredRead()))
}

// untilTriggeredRead is the time until this host may make a triggered read.
func (s *syncer) untilTriggeredRead() time.Duration {
	wait := time.Duration(rand.Int64N(int64(readJitter)))
	own, ok := s.router.registry.LocalRead()
	if !ok {
		return wait
	}
	gap := time.Duration(readGapFraction * float64(s.boundsNow().MaxLeavingDelay))
	return max(wait, time.Until(own.At.Add(gap)))
}

// applyDelta applies the changes that another host found since its previous read. It reports false if this host must read by
// itself.
func (s *syncer) applyDelta(update registryUpdate) bool {
	changes, ok := s.router.registry.Apply(update.readAt, update.Version, update.Digest, update.Delta)
	if !ok {
		return false
	}
	s.handleRegistryChanges(changes, update.Version, update.from)
	return true
}

// handleRegistryChanges logs changes of the upstreams, and drops the state of those that are gone. from is the host that has read
// them, empty for this one.
func (s *syncer) handleRegistryChanges(changes []registry.Change, version uint64, from string) {
	for _, change := range changes {
		line := s.logger.Info().Str("event", "upstream").Str("upstream", string(change.Upstream)).
			Str("service", string(change.Service)).Str("change", change.Kind).Uint64("store_version", version)
		if from != "" {
			line = line.Str("from", from)
		}
		line.Send()
	}
	s.router.prune(s.router.registry.View())
}

// logKept logs how many entries are kept although they are missing, and until when.
func (s *syncer) logKept() {
	until, kept := s.router.registry.KeptUntil(time.Now())
	if !kept {
		return
	}
	s.logger.Info().Str("event", "upstreams_kept").Int("count", s.router.registry.Kept()).
		Dur("left_ms", time.Until(until)).Send()
}

// untilScheduledRead is the time until this host reads the upstreams if no other host does. It is shorter if kept entries expire
// earlier.
func (s *syncer) untilScheduledRead() time.Duration {
	fresh := time.Duration(freshFraction * float64(s.boundsNow().maxStoreDelay()))
	wait := time.Until(s.router.registry.View().ReadAt.Add(fresh)) + s.stagger()
	if until, kept := s.router.registry.KeptUntil(time.Now()); kept {
		wait = min(wait, time.Until(until))
	}
	return wait
}

// stagger is how long this host waits for others to read before it does.
func (s *syncer) stagger() time.Duration { return min(maxReadStagger, s.rankDelay(readStagger)) }

// rankDelay is the delay of this host relative to the first one, at one step per rank. Live hosts are ranked by a hash of their
// ids.
func (s *syncer) rankDelay(step time.Duration) time.Duration {
	now := time.Now()
	own := xxhash.Sum64String(s.options.HostID)
	rank := 0
	for _, host := range s.node.Hosts(now) {
		if host.Alive(now) && xxhash.Sum64String(host.ID) < own {
			rank++
		}
	}
	return time.Duration(rank) * step
}
