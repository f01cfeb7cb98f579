package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// activeConfiguration is the configuration in force and when a read of the store, by this host or another, last confirmed it.
type activeConfiguration struct {
	*Configuration
	// firstActiveAt is when this process activated its first configuration.
	firstActiveAt time.Time
	confirmed     atomic.Int64 // Unix nanoseconds
	// routeVersions maps each route to the version that added it, as far as this process has observed it.
	routeVersions map[string]uint64
}

// newActiveConfiguration returns the state after the activation of a configuration, and how many routes that adds and removes.
func newActiveConfiguration(
	now time.Time, next *Configuration, previous *activeConfiguration,
) (fresh *activeConfiguration, added, removed int) {
	fresh = &activeConfiguration{Configuration: next, firstActiveAt: now, routeVersions: make(map[string]uint64, len(next.Routes))}
	var old map[string]uint64
	if previous != nil {
		fresh.firstActiveAt, old = previous.firstActiveAt, previous.routeVersions
	}
	kept := 0
	for _, route := range next.Routes {
		version, known := old[route]
		if known {
			kept++
		} else {
			version = next.Version()
			added++
		}
		fresh.routeVersions[route] = version
	}
	return fresh, added, len(old) - kept
}

// confirm records that a read of the store at a time has shown this version to be the newest. A time before the recorded one has
// no effect.
func (c *activeConfiguration) confirm(at time.Time) {
	for {
		before := c.confirmed.Load()
		if at.UnixNano() <= before || c.confirmed.CompareAndSwap(before, at.UnixNano()) {
			return
		}
	}
}

func (c *activeConfiguration) confirmedAt() time.Time { return time.Unix(0, c.confirmed.Load()) }

// versionOf returns the version of a configuration, 0 if there is none.
func versionOf(c *activeConfiguration) uint64 {
	if c == nil {
		return 0
	}
	return c.Version()
}

// versionLag is the newest version of the configuration that another host has stated and this host does not have.
type versionLag struct {
	mu      sync.Mutex
	version uint64
	// behindSince is when the first version that this host does not have yet was reported.
	behindSince time.Time
}

// observe records a version that is active on another host, and logs it if it is the newest so far.
func (n *versionLag) observe(logger zerolog.Logger, now time.Time, from string, version, inForce uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version <= n.version {
		return
	}
	if n.behindSince.IsZero() {
		n.behindSince = now
	}
	n.version = version
	logger.Info().Str("event", "configuration_heard").Uint64("version", version).Uint64("in_force", inForce).
		Str("from", from).Send()
}

// isBehind reports whether another host has a newer version than the active one.
func (n *versionLag) isBehind(inForce uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version > inForce
}

// applied records that this host has activated a version. It returns for how long this host has known that it was behind, 0 if it
// was not.
func (n *versionLag) applied(now time.Time, version uint64) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.behindSince.IsZero() {
		return 0
	}
	behind := now.Sub(n.behindSince)
	if version >= n.version {
		n.behindSince = time.Time{}
	} else {
		n.behindSince = now
	}
	return behind
}
