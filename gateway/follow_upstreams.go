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
	// maxRecentReadAge is the age up to which another host's read proves that the store has been available.
	maxRecentReadAge = 1500 * time.Millisecond
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
	state := gossip.RegistryState{
		Digest: own.Digest, Age: max(0, now.Sub(own.At)), Synced: g.router.registry.Synced(now),
	}
	if state.Age < maxDeltaAge {
		state.Version, state.Delta = own.Version, own.Delta
	}
	return state
}

// receiveRegistryUpdate queues an update for the syncer if it is newer than this host's view, or if it shows that missing entries
// need not be kept any longer.
func (g *Gateway) receiveRegistryUpdate(update registryUpdate) {
	endsKept := update.Synced && !g.router.registry.Synced(time.Now()) && time.Since(update.readAt) < maxRecentReadAge
	if !endsKept && !update.readAt.After(g.router.registry.View().ReadAt) {
		return
	}
	select {
	case g.registryUpdates <- update:
	default: // the syncer is about to read anyway
	}
}

// syncUpstreams keeps the entries of the upstreams up to date until ctx ends. One host at a time reads the store. It sends the
// others a digest of the entries and the changes since its previous read. A host whose view has the same digest, or gets it by
// applying the changes, treats this as a read of its own. Any other host reads the store too. A host that receives no report in
// time reads by itself, so a host that cannot read, or whose datagrams are lost, delays the others only by readStagger.
func (s *syncer) syncUpstreams(ctx context.Context) {
	dependency := s.dependency("upstreams")
	scheduled := true
	for ctx.Err() == nil {
		if err := s.readUpstreams(ctx, scheduled); err != nil {
			// Other hosts may be able to read. If none can, a few hosts are enough to detect the recovery of the store.
			s.sleep(ctx, min(dependency.recordFailure(err)+s.rankDelay(retryStagger), maxRecoveryWait))
			scheduled = s.awaitNextRead(ctx, false)
			continue
		}
		if dependency.recordSuccess() {
			notify(s.retryConfiguration)
			notify(s.retryHosts)
		}
		scheduled = s.awaitNextRead(ctx, scheduled)
	}
}

// readUpstreams reads the store. scheduled is false for a read that was triggered by a pause or another host's update.
func (s *syncer) readUpstreams(ctx context.Context, scheduled bool) error {
	started := time.Now()
	reading, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, version, err := s.options.Upstreams.Upstreams(reading)
	if err != nil {
		return err
	}
	s.handleRegistryChanges(s.router.registry.Update(started, version, entries), version, "")
	if scheduled {
		s.scheduledReadAt.Store(started.UnixNano())
		s.recordStoreRead(started, version)
	}
	return nil
}

// awaitNextRead returns when the upstreams must be read again, and reports whether that is a scheduled read. Other reads are
// triggered by a pause of this process, or by an update of another host that this host cannot apply or that ends the time for
// which missing entries are kept. If announce is true, the other hosts are first notified of this host's last read.
func (s *syncer) awaitNextRead(ctx context.Context, announce bool) (scheduled bool) {
	for ctx.Err() == nil {
		if announce {
			s.node.Announce()
		}
		announce = false
		timer := time.NewTimer(s.untilScheduledRead())
		select {
		case <-ctx.Done():
		case <-timer.C:
			return true
		case <-s.rereadAfterPause.upstreams:
			timer.Stop()
			return false
		case update := <-s.registryUpdates:
			if update.Synced && time.Since(update.readAt) < maxRecentReadAge && s.router.registry.DropKept() {
				timer.Stop()
				return false
			}
			if !update.readAt.After(s.router.registry.View().ReadAt) {
				break // this host has read more recently
			}
			if !s.router.registry.Confirm(update.readAt, update.Digest) && !s.applyDelta(update) {
				timer.Stop()
				s.sleep(ctx, s.untilTriggeredRead())
				return false
			}
		}
		timer.Stop()
	}
	return false
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

// untilScheduledRead is the time until this host reads the upstreams if no other host does. It is shorter if kept entries expire
// earlier.
func (s *syncer) untilScheduledRead() time.Duration {
	fresh := time.Duration(freshFraction * float64(s.boundsNow().maxStoreDelay()))
	wait := time.Until(s.router.registry.View().ReadAt.Add(fresh)) + s.stagger()
	if until, kept := s.router.registry.KeptUntil(); kept {
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
