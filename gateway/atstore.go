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
	// waitersPerDataCentre is the number of hosts of each data centre that wait at the store for a new configuration. The
	// others hear of it and ask a host that has it.
	pollersPerDataCentre = 2
	// waitersCheck is the time between two looks at which hosts these are.
	pollerCheckInterval = 500 * time.Millisecond
	// precededFor is for how long others must come first before a host ends its wait at the store. Hosts that have ended count
	// as alive for gossip.AliveFor after their records are read.
	yieldDelay = gossip.AliveFor + pollerCheckInterval
	// peersAsked is the number of hosts that are asked for a configuration before the store is.
	maxPeersQueried = 2
	// waitersKey orders the hosts.
	pollerHashKey = "configuration"
)

// waitsAtStore reports whether this host is one of those of its data centre that wait at the store. Hosts whose reads fail are
// passed over while there are others.
func isPoller(now time.Time, self, dataCentre string, away bool, others []gossip.Host) bool {
	own := rendezvous.Score(pollerHashKey, self)
	able, before, ableBefore := 0, 0, 0
	if !away {
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
		if !host.StoreAway {
			able++
			if first {
				ableBefore++
			}
		}
	}
	if able == 0 {
		return before < pollersPerDataCentre
	}
	return !away && ableBefore < pollersPerDataCentre
}

// comesFirst reports whether this host is one of those that are to wait at the store.
func (s *syncer) shouldPoll(now time.Time) bool {
	return isPoller(now, s.options.HostID, s.options.DataCentre, s.storeUnavailable.Load(), s.node.Hosts(now))
}

// waits decides whether this host waits at the store.
func (s *syncer) updatePolling() bool {
	waits := s.shouldPoll(time.Now())
	if s.longPolling.Swap(waits) != waits || !s.pollingLogged {
		s.pollingLogged = true
		s.logger.Info().Str("event", "configuration_follower").Bool("at_store", waits).Send()
	}
	return waits
}

// awaitNewer returns when this host is to wait at the store, or has put a newer configuration in force that it heard of.
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

// fetchNewer asks hosts that have a newer configuration for it, and then the store.
func (s *syncer) fetchNewer(ctx context.Context, dependency *dependency) {
	if !s.fetchFromPeers(ctx) {
		s.fetchFromStore(ctx, dependency)
	}
}

// fetchFromStore reads the configuration once.
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

// fetchFromPeers reports whether a host has passed on a newer configuration.
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

// peersWithNewer returns some hosts that have a newer configuration and pass it on, those of the own data centre first.
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
