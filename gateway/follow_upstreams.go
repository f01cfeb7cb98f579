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
	// freshPart is the part of Bounds.StopLeaving and of Bounds.ApplyConfiguration for which a read of the upstreams stays
	// fresh. The rest is for the hosts that are to read next and fail, for the way to the others, and for their own reads.
	freshFraction = 0.45
	// turnDelay is the time between the turns of two hosts to read, and longestTurn the most that a host waits.
	readStagger    = 50 * time.Millisecond
	maxReadStagger = 250 * time.Millisecond
	// failedTurn is the time between the turns of two hosts to look for the return of the store.
	retryStagger = 100 * time.Millisecond
	// recentRead is the age up to which another host's read shows that the store has not been away.
	maxRecentReadAge = 1500 * time.Millisecond
	// readSpread spreads the reads of hosts that learn of a change at the same time.
	readJitter = 60 * time.Millisecond
	// readGapPart is the part of Bounds.StopLeaving that lies between two reads of a host because of others' news. Without it
	// hosts that start with their upstreams read all the time, because each finds other entries than the one before.
	readGapFraction = 0.2
	// deltaMaxAge is the age up to which a read is sent with its difference to the one before.
	maxDeltaAge = time.Second
)

// registryNews tells what another host has read of the upstreams.
type registryUpdate struct {
	gossip.RegistryState
	from   string
	readAt time.Time
}

// registryState returns what this host tells the others of its own read of the upstreams. It tells only of a read in its
// turn: if reads because of another host's news were news too, all hosts would go on reading while upstreams start.
func (g *Gateway) registryState(now time.Time) gossip.RegistryState {
	own, ok := g.router.registry.OwnRead()
	if !ok || own.At.UnixNano() != g.scheduledReadAt.Load() {
		return gossip.RegistryState{}
	}
	state := gossip.RegistryState{
		Digest: own.Digest, Age: max(0, now.Sub(own.At)), Settled: g.router.registry.Settled(now),
	}
	if state.Age < maxDeltaAge {
		state.Version, state.Delta = own.Version, own.Delta
	}
	return state
}

// hearRegistry passes on news that are newer than this host's view, or that end the time for which entries are kept.
func (g *Gateway) receiveRegistryUpdate(news registryUpdate) {
	ends := news.Settled && !g.router.registry.Settled(time.Now()) && time.Since(news.readAt) < maxRecentReadAge
	if !ends && !news.readAt.After(g.router.registry.View().ReadAt) {
		return
	}
	select {
	case g.registryUpdates <- news:
	default: // the follower is about to read anyway
	}
}

// upstreams follows the entries of upstreams. One host at a time reads the store and tells the others the digest of what
// it found, with what has changed since its read before; a host whose view has the same digest, or gets it by that change,
// takes that as a read of its own, any other reads too. A host that hears of no read in time reads by itself, so a host that
// fails to read, or to be heard, delays the others by its turn only.
func (s *syncer) syncUpstreams(ctx context.Context) {
	dependency := s.dependency("upstreams")
	inTurn := true
	for ctx.Err() == nil {
		if err := s.readUpstreams(ctx, inTurn); err != nil {
			// Others may read meanwhile. While nobody can, a few hosts are enough to find the return of the store.
			s.sleep(ctx, min(dependency.recordFailure(err)+s.rankDelay(retryStagger), maxRecoveryWait))
			inTurn = s.awaitNextRead(ctx, false)
			continue
		}
		if dependency.recordSuccess() {
			notify(s.retryConfiguration)
			notify(s.retryHosts)
		}
		inTurn = s.awaitNextRead(ctx, inTurn)
	}
}

// readUpstreams reads the store, in this host's turn or because of another host's news.
func (s *syncer) readUpstreams(ctx context.Context, inTurn bool) error {
	started := time.Now()
	reading, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, version, err := s.options.Upstreams.Upstreams(reading)
	if err != nil {
		return err
	}
	s.handleRegistryChanges(s.router.registry.Update(started, version, entries), version, "")
	if inTurn {
		s.scheduledReadAt.Store(started.UnixNano())
		s.recordStoreRead(started, version)
	}
	return nil
}

// awaitStale returns when the upstreams must be read again: after it is this host's turn, or when another host has found
// other entries. announce tells the others of a read of this host. It reports whether it is this host's turn.
func (s *syncer) awaitNextRead(ctx context.Context, announce bool) (inTurn bool) {
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
		case news := <-s.registryUpdates:
			if news.Settled && time.Since(news.readAt) < maxRecentReadAge && s.router.registry.EndKept() {
				timer.Stop()
				return false
			}
			if !news.readAt.After(s.router.registry.View().ReadAt) {
				break // this host has read since
			}
			if !s.router.registry.Confirm(news.readAt, news.Digest) && !s.applyDelta(news) {
				timer.Stop()
				s.sleep(ctx, s.untilTriggeredRead())
				return false
			}
		}
		timer.Stop()
	}
	return false
}

// untilOwnRead is the time until this host may read because of others' news.
func (s *syncer) untilTriggeredRead() time.Duration {
	wait := time.Duration(rand.Int64N(int64(readJitter)))
	own, ok := s.router.registry.OwnRead()
	if !ok {
		return wait
	}
	gap := time.Duration(readGapFraction * float64(s.boundsNow().MaxLeavingDelay))
	return max(wait, time.Until(own.At.Add(gap)))
}

// applyDelta takes what another host has found by the difference to its read before. It reports false if this host must
// read by itself.
func (s *syncer) applyDelta(news registryUpdate) bool {
	changes, ok := s.router.registry.Apply(news.readAt, news.Version, news.Digest, news.Delta)
	if !ok {
		return false
	}
	s.handleRegistryChanges(changes, news.Version, news.from)
	return true
}

// registryChanged logs changes of the upstreams in use, and drops what is known of those that are gone. from is the host that
// has read them, empty for this one.
func (s *syncer) handleRegistryChanges(changes []registry.Change, version uint64, from string) {
	for _, change := range changes {
		line := s.logger.Info().Str("event", "upstream").Str("upstream", string(change.Upstream)).
			Str("service", string(change.Service)).Str("change", change.What).Uint64("store_version", version)
		if from != "" {
			line = line.Str("from", from)
		}
		line.Send()
	}
	s.router.prune(s.router.registry.View())
}

// untilTurn is the time until this host reads the upstreams if no other does: earlier if entries that are kept end before.
func (s *syncer) untilScheduledRead() time.Duration {
	fresh := time.Duration(freshFraction * float64(s.boundsNow().readStore()))
	wait := time.Until(s.router.registry.View().ReadAt.Add(fresh)) + s.stagger()
	if until, kept := s.router.registry.KeptUntil(); kept {
		wait = min(wait, time.Until(until))
	}
	return wait
}

// turn is how long this host leaves the others to read before it does.
func (s *syncer) stagger() time.Duration { return min(maxReadStagger, s.rankDelay(readStagger)) }

// rankDelay is the time from the first host's turn to this one's. The order is by a hash of the hosts' ids.
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
