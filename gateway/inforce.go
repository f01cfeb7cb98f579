package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// inForce is the configuration in force and when a read of the store, by this host or another, last confirmed it.
type activeConfiguration struct {
	*Configuration
	// since is when this process had its first configuration.
	firstActiveAt time.Time
	confirmed     atomic.Int64 // Unix nanoseconds
	// broughtBy holds the version that brought each route, as far as this process has seen it.
	routeVersions map[string]uint64
}

// newInForce returns what is in force after a configuration, and how many routes it adds and removes.
func newActiveConfiguration(now time.Time, next *Configuration, before *activeConfiguration) (fresh *activeConfiguration, added, removed int) {
	fresh = &activeConfiguration{Configuration: next, firstActiveAt: now, routeVersions: make(map[string]uint64, len(next.Routes))}
	var old map[string]uint64
	if before != nil {
		fresh.firstActiveAt, old = before.firstActiveAt, before.routeVersions
	}
	kept := 0
	for _, route := range next.Routes {
		since, known := old[route]
		if known {
			kept++
		} else {
			since = next.Version()
			added++
		}
		fresh.routeVersions[route] = since
	}
	return fresh, added, len(old) - kept
}

// confirm notes that a read of the store has shown this version to be the newest. An earlier time than the one known changes
// nothing.
func (c *activeConfiguration) confirm(at time.Time) {
	for {
		before := c.confirmed.Load()
		if at.UnixNano() <= before || c.confirmed.CompareAndSwap(before, at.UnixNano()) {
			return
		}
	}
}

func (c *activeConfiguration) confirmedAt() time.Time { return time.Unix(0, c.confirmed.Load()) }

// versionOf is the version of a configuration, 0 if there is none.
func versionOf(c *activeConfiguration) uint64 {
	if c == nil {
		return 0
	}
	return c.Version()
}

// newerVersion is the newest version of the configuration that another host has stated and this host does not have.
type versionLag struct {
	mu      sync.Mutex
	version uint64
	// firstAt is when this host heard of the first version that it does not have yet.
	behindSince time.Time
}

// heard notes a version that another host has in force, and logs one that is news.
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

// beyond reports whether another host has a newer version than the one in force.
func (n *versionLag) isBehind(inForce uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version > inForce
}

// reached notes the version in force. It returns for how long this host has known that it was behind, 0 if it did not.
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
