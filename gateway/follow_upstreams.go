package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzeyard/bronzeyard/gateway/gossip"
	"github.com/bronzeyard/bronzeyard/gateway/registry"
)

// registryState returns the state of this host's own read of the upstreams, which is sent to the other hosts.
func (g *Gateway) registryState(now time.Time) gossip.RegistryState {
	return stateToReport(now, g.router.registry, time.Unix(0, g.scheduledReadAt.Load()))
}

// receiveRegistryUpdate queues an update for the syncer if it is newer than this host's view, or if it shows that missing entries
// need not be kept as long as planned.
func (g *Gateway) receiveRegistryUpdate(update registryUpdate) {
	if update.Delta != nil {
		g.observeWarmUps(update.readAt, update.Delta.Put, update.from)
	}
	if !observeUpdate(time.Now(), g.router.registry, &update) {
		return
	}
	select {
	case g.registryUpdates <- update:
	default: // the syncer is about to check when to read anyway
	}
}

// syncUpstreams keeps the entries of the upstreams up to date until ctx ends. One host at a time reads the store. It sends the
// others a digest of the entries and the changes since its previous read. A host whose view has the same digest, or gets it by
// applying the changes, treats this as a read of its own. Any other host reads the store too. A host that receives no report in
// time reads by itself, so a host that cannot read, or whose datagrams are lost, delays the others only by readStagger.
func (s *syncer) syncUpstreams(ctx context.Context) {
	reader := &upstreamReader{registry: s.router.registry, jitter: randomBelow}
	fetches := upstreamFetches{syncer: s, results: make(chan upstreamFetch)}
	calls := upstreamCalls{source: s.options.Upstreams, results: make(chan upstreamResult)}
	defer calls.abort()
	dependency := s.dependency("upstreams")
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		timer.Reset(reader.untilNextRead(time.Now(), s.readConditions()))
		select {
		case <-ctx.Done():
		case <-timer.C:
			if read, ok := reader.begin(time.Now(), s.readConditions()); ok {
				calls.start(ctx, read.id)
			}
		case result := <-calls.results:
			calls.finish(result.id)
			if read, ok := reader.finish(time.Now(), s.readConditions(), result.id); ok {
				s.handleRead(reader, read, &result, dependency, &calls)
			}
		case <-s.rereadAfterPause.upstreams:
			calls.abort()
			reader.resume(time.Now(), s.readConditions())
		case update := <-s.registryUpdates:
			if changes := reader.handleUpdate(time.Now(), s.readConditions(), &update); len(changes) > 0 {
				s.handleRegistryChanges(changes, update.Version, update.from)
			}
			fetches.start(ctx, reader.takeWanted())
		case fetched := <-fetches.results:
			fetches.running = false
			s.handleFetch(reader, &fetched)
		}
	}
}

func randomBelow(limit time.Duration) time.Duration { return time.Duration(rand.Int64N(int64(limit))) }

// handleRead processes the response to a read, or its failure.
func (s *syncer) handleRead(
	reader *upstreamReader, read pendingRead, result *upstreamResult, dependency *dependency, calls *upstreamCalls,
) {
	if result.err != nil {
		reader.fail(time.Now(), s.readConditions(), read, dependency.recordFailure(result.err))
		return
	}
	calls.abort()
	s.noteEra(registry.Era(result.version))
	s.observeWarmUps(read.startedAt, result.entries, "")
	if changes, applied := reader.succeed(s.readConditions(), read, result.version, result.entries); applied {
		s.handleRegistryChanges(changes, result.version, "")
		s.logKept()
		if read.scheduled {
			s.scheduledReadAt.Store(read.startedAt.UnixNano())
			s.recordStoreRead(read.startedAt, result.version)
		}
	}
	if dependency.recordSuccess() {
		notify(s.retryConfiguration)
		notify(s.retryHosts)
	}
	if read.scheduled {
		s.node.Announce()
	}
}

// handleRegistryChanges logs changes of the upstreams, and drops the state of those that are gone. from is the host that has read
// them, empty for this one.
func (s *syncer) handleRegistryChanges(changes []registry.Change, version uint64, from string) {
	for _, change := range changes {
		line := s.logger.Info().Str("event", "upstream").Str("upstream", string(change.Upstream)).
			Str("service", string(change.Service)).Str("change", string(change.Kind)).Uint64("store_version", version)
		if change.Incarnation != 0 {
			line = line.Int64("incarnation", change.Incarnation)
		}
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

// readConditions returns the bounds and the rank of this host among the live ones, which are ranked by a hash of their ids.
func (s *syncer) readConditions() readConditions {
	now := time.Now()
	own := xxhash.Sum64String(s.options.HostID)
	c := readConditions{bounds: s.boundsNow()}
	hosts := s.node.Hosts(now)
	c.shared = len(hosts) >= minHostsToShare
	for _, host := range hosts {
		if host.Alive(now) {
			c.hosts++
		}
		if host.Alive(now) && xxhash.Sum64String(host.ID) < own {
			c.rank++
		}
	}
	return c
}
