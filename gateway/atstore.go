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
	waitersPerDataCentre = 2
	// waitersCheck is the time between two looks at which hosts these are.
	waitersCheck = 500 * time.Millisecond
	// precededFor is for how long others must come first before a host ends its wait at the store. Hosts that have ended count
	// as alive for gossip.AliveFor after their records are read.
	precededFor = gossip.LivenessTimeout + waitersCheck
	// peersAsked is the number of hosts that are asked for a configuration before the store is.
	peersAsked = 2
	// waitersKey orders the hosts.
	waitersKey = "configuration"
)

// waitsAtStore reports whether this host is one of those of its data centre that wait at the store. Hosts whose reads fail are
// passed over while there are others.
func waitsAtStore(now time.Time, self, dataCentre string, away bool, others []gossip.Host) bool {
	own := rendezvous.Score(waitersKey, self)
	able, before, ableBefore := 0, 0, 0
	if !away {
		able++
	}
	for i := range others {
		host := &others[i]
		if host.DataCentre != dataCentre || host.Leaving || !host.Alive(now) {
			continue
		}
		first := rendezvous.Score(waitersKey, host.ID) > own
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
		return before < waitersPerDataCentre
	}
	return !away && ableBefore < waitersPerDataCentre
}

// comesFirst reports whether this host is one of those that are to wait at the store.
func (f *followers) comesFirst(now time.Time) bool {
	return waitsAtStore(now, f.options.HostID, f.options.DataCentre, f.storeAway.Load(), f.node.Hosts(now))
}

// waits decides whether this host waits at the store.
func (f *followers) waits() bool {
	waits := f.comesFirst(time.Now())
	if f.atStore.Swap(waits) != waits || !f.waitsLogged {
		f.waitsLogged = true
		f.logger.Info().Str("event", "configuration_follower").Bool("at_store", waits).Send()
	}
	return waits
}

// awaitNewer returns when this host is to wait at the store, or has put a newer configuration in force that it heard of.
func (f *followers) awaitNewer(ctx context.Context, dependency *dependency) {
	ticker := time.NewTicker(waitersCheck)
	defer ticker.Stop()
	for ctx.Err() == nil && !f.waits() {
		if f.newer.beyond(f.version()) {
			f.fetchNewer(ctx, dependency)
			return
		}
		if f.storeBeyond(f.position) {
			f.checkConfiguration(ctx, dependency)
			continue
		}
		f.confirmUnchanged(f.position)
		select {
		case <-ctx.Done():
			return
		case <-f.rereadConfiguration:
		case <-f.retryConfiguration:
		case <-f.rereadAfterPause.configuration:
			f.fetchFromStore(ctx, dependency)
			return
		case <-ticker.C:
		}
	}
}

// fetchNewer asks hosts that have a newer configuration for it, and then the store.
func (f *followers) fetchNewer(ctx context.Context, dependency *dependency) {
	if !f.fetchFromPeers(ctx) {
		f.fetchFromStore(ctx, dependency)
	}
}

// fetchFromStore reads the configuration once.
func (f *followers) fetchFromStore(ctx context.Context, dependency *dependency) {
	began := time.Now()
	next, at, err := f.readWhole(ctx)
	if err != nil {
		if ctx.Err() == nil {
			f.awaitReturn(ctx, dependency, err, f.retryConfiguration, f.rereadConfiguration)
		}
		return
	}
	f.storeAway.Store(false)
	dependency.worked()
	f.apply(next, configurationRead{source: hintedRead, at: at, took: time.Since(began)})
	f.position = at
}

// fetchFromPeers reports whether a host has passed on a newer configuration.
func (f *followers) fetchFromPeers(ctx context.Context) bool {
	before := f.version()
	for _, peer := range f.peersWithNewer(before) {
		raw, err := f.peers.Fetch(ctx, peer.SettingsAddress, peer.Key)
		if errors.Is(err, confsync.ErrTooLarge) {
			return false
		}
		if err == nil {
			var next *Configuration
			if next, err = f.options.Configurations.Decode(raw); err == nil {
				f.apply(next, configurationRead{source: peerRead, confirmedAt: peer.ConfirmedAt})
			}
		}
		if err != nil {
			f.logger.Info().Str("event", "configuration_fetch_failed").Str("host_id", peer.ID).Err(err).Send()
			continue
		}
		if f.version() > before {
			return true
		}
	}
	return false
}

// peersWithNewer returns some hosts that have a newer configuration and pass it on, those of the own data centre first.
func (f *followers) peersWithNewer(version uint64) []gossip.Host {
	now := time.Now()
	hosts := slices.DeleteFunc(f.node.Hosts(now), func(h gossip.Host) bool {
		return h.Configuration <= version || h.SettingsAddress == "" || !h.Alive(now)
	})
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	slices.SortStableFunc(hosts, func(a, b gossip.Host) int {
		return distance(a.DataCentre, f.options.DataCentre) - distance(b.DataCentre, f.options.DataCentre)
	})
	return hosts[:min(peersAsked, len(hosts))]
}

func distance(a, b string) int {
	if a == b {
		return 0
	}
	return 1
}
