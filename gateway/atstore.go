package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/confsync"
	"github.com/bronzeyard/bronzeyard/gateway/gossip"
	"github.com/bronzeyard/bronzeyard/traffic/rendezvous"
)

const (
	// pollersPerDataCentre is the number of hosts of each data centre that long-poll the store for a new configuration. The
	// others are notified by gossip and fetch it from a host that has it.
	pollersPerDataCentre = 2
	// pollerCheckInterval is the interval at which a host checks whether it is one of them.
	pollerCheckInterval = 500 * time.Millisecond
	// yieldDelay is how long other hosts must rank first before a host ends its long poll. A host that has ended counts as alive
	// for the liveness time-out of package gossip after its record is read.
	yieldDelay = gossip.LivenessTimeout + pollerCheckInterval
	// maxPeersQueried is the maximum number of hosts that are queried for a configuration before the store.
	maxPeersQueried = 2
	// pollerHashKey is the key by which rendezvous hashing ranks the hosts.
	pollerHashKey = "configuration"
)

// isPoller reports whether this host is one of those of its data centre that long-poll the store. Hosts whose reads fail are
// skipped while there are others.
func isPoller(now time.Time, self, dataCentre string, unavailable bool, others []gossip.Host) bool {
	own := rendezvous.Score(pollerHashKey, self)
	able, before, ableBefore := 0, 0, 0 // able hosts can read the store, those before rank higher than this one
	if !unavailable {
		able++
	}
	for i := range others {
		host := &others[i]
		if host.DataCentre != dataCentre || host.Leaving || !host.Alive(now) {
			continue
		}
		first := rendezvous.Score(pollerHashKey, host.ID) > own
		if first {
			before++
		}
		if !host.StoreUnavailable {
			able++
			if first {
				ableBefore++
			}
		}
	}
	if able == 0 {
		return before < pollersPerDataCentre
	}
	return !unavailable && ableBefore < pollersPerDataCentre
}

// shouldPoll reports whether this host is one of those that are to long-poll the store.
func (s *syncer) shouldPoll(now time.Time) bool {
	return isPoller(now, s.options.HostID, s.options.DataCentre, s.storeUnavailable.Load(), s.node.Hosts(now))
}

// updatePolling decides whether this host long-polls the store, logs a change of this role, and returns whether it polls.
func (s *syncer) updatePolling() bool {
	polls := s.shouldPoll(time.Now())
	if s.longPolling.Swap(polls) != polls || !s.pollingLogged {
		s.pollingLogged = true
		s.logger.Info().Str("event", "configuration_follower").Bool("at_store", polls).Send()
	}
	return polls
}

// awaitUpdate returns when this host is to long-poll the store, or after an attempt to fetch a newer configuration.
func (s *syncer) awaitUpdate(ctx context.Context, dependency *dependency) {
	ticker := time.NewTicker(pollerCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && !s.updatePolling() {
		if s.lag.isBehind(s.version()) {
			s.fetchNewer(ctx, dependency)
			return
		}
		if s.storeAhead(s.position) {
			s.checkConfiguration(ctx, dependency)
			continue
		}
		s.confirmUnchanged(s.position)
		select {
		case <-ctx.Done():
			return
		case <-s.rereadConfiguration:
		case <-s.retryConfiguration:
		case <-s.rereadAfterPause.configuration:
			s.fetchFromStore(ctx, dependency)
			return
		case <-ticker.C:
		}
	}
}

// fetchNewer fetches a newer configuration from the hosts that have it, or else from the store.
func (s *syncer) fetchNewer(ctx context.Context, dependency *dependency) {
	if !s.fetchFromPeers(ctx) {
		s.fetchFromStore(ctx, dependency)
	}
}

// fetchFromStore makes one full read of the configuration, and waits for recovery if it fails.
func (s *syncer) fetchFromStore(ctx context.Context, dependency *dependency) {
	began := time.Now()
	next, at, err := s.readFull(ctx)
	if err != nil {
		if ctx.Err() == nil {
			s.awaitRecovery(ctx, dependency, err, s.retryConfiguration, s.rereadConfiguration)
		}
		return
	}
	s.storeUnavailable.Store(false)
	dependency.recordSuccess()
	s.apply(next, configurationRead{source: hintedRead, at: at, took: time.Since(began)})
	s.position = at
}

// fetchFromPeers fetches a newer configuration from other hosts, and reports whether one has provided it.
func (s *syncer) fetchFromPeers(ctx context.Context) bool {
	before := s.version()
	for _, peer := range s.peersWithNewer(before) {
		raw, err := s.peers.Fetch(ctx, peer.SettingsAddress, peer.Key)
		if errors.Is(err, confsync.ErrTooLarge) {
			return false
		}
		if err == nil {
			var next *Configuration
			if next, err = s.options.Configurations.Decode(raw); err == nil {
				s.apply(next, configurationRead{source: peerRead, confirmedAt: peer.ConfirmedAt})
			}
		}
		if err != nil {
			s.logger.Info().Str("event", "configuration_fetch_failed").Str("host_id", peer.ID).Err(err).Send()
			continue
		}
		if s.version() > before {
			return true
		}
	}
	return false
}

// peersWithNewer returns up to maxPeersQueried hosts that have a newer configuration and serve it. Hosts of the local data centre
// come first.
func (s *syncer) peersWithNewer(version uint64) []gossip.Host {
	now := time.Now()
	hosts := slices.DeleteFunc(s.node.Hosts(now), func(h gossip.Host) bool {
		return h.Configuration <= version || h.SettingsAddress == "" || !h.Alive(now)
	})
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	slices.SortStableFunc(hosts, func(a, b gossip.Host) int {
		return distance(a.DataCentre, s.options.DataCentre) - distance(b.DataCentre, s.options.DataCentre)
	})
	return hosts[:min(maxPeersQueried, len(hosts))]
}

func distance(a, b string) int {
	if a == b {
		return 0
	}
	return 1
}
