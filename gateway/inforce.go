package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/bronzeyard/bronzeyard/settings"
)

// activeConfiguration is the active configuration, with the time at which a read of the store by any host last confirmed it.
type activeConfiguration struct {
	*Configuration
	// firstActiveAt is when this process activated its first configuration.
	firstActiveAt time.Time
	confirmed     atomic.Int64 // Unix nanoseconds
	// routeVersions maps each route to the version that added it, as far as this process has observed it.
	routeVersions map[string]uint64
	// dispatchers is true if the slots of upstreams are assigned by dispatchers.
	dispatchers bool
}

// needsDispatchers reports whether two routes to one service have different priorities. Only then must the requests of all hosts for a
// slot be put into one order.
func needsDispatchers(snapshot *settings.Snapshot) bool {
	priorities := make(map[settings.ServiceName]int)
	differ := false
	compare := func(service settings.ServiceName, priority int) {
		known, ok := priorities[service]
		differ = differ || (ok && known != priority)
		priorities[service] = priority
	}
	for route := range snapshot.Routes {
		if len(route.Split) == 0 {
			compare(route.Service, route.Policy.Priority)
		}
		for _, part := range route.Split {
			if part.Weight > 0 {
				compare(part.Service, route.Policy.Priority)
			}
		}
	}
	return differ
}

// newActiveConfiguration returns the state after the activation of a configuration, and how many routes that adds and removes.
func newActiveConfiguration(
	now time.Time, next *Configuration, previous *activeConfiguration,
) (fresh *activeConfiguration, added, removed int) {
	fresh = &activeConfiguration{
		Configuration: next, firstActiveAt: now, routeVersions: make(map[string]uint64, len(next.Routes)),
		dispatchers: needsDispatchers(next.Snapshot),
	}
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

// versionLag tracks the newest version of the configuration that another host has reported, and since when this host is behind.
type versionLag struct {
	mu      sync.Mutex
	version uint64
	// behindSince is when a version newer than the active one was first reported, or when the active one was activated if a newer
	// one had already been reported. It is zero if this host is not behind.
	behindSince time.Time
}

// observe records a version that is active on another host, and logs it if it is the newest so far.
func (l *versionLag) observe(logger zerolog.Logger, now time.Time, from string, version, activeVersion uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version <= l.version {
		return
	}
	if l.behindSince.IsZero() {
		l.behindSince = now
	}
	l.version = version
	logger.Info().Str("event", "configuration_heard").Uint64("version", version).Uint64("in_force", activeVersion).
		Str("from", from).Send()
}

// isBehind reports whether another host has a newer version than the active one.
func (l *versionLag) isBehind(activeVersion uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version > activeVersion
}

// applied records that this host has activated a version. It returns the time since behindSince, 0 if this host was not behind.
func (l *versionLag) applied(now time.Time, version uint64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.behindSince.IsZero() {
		return 0
	}
	behind := now.Sub(l.behindSince)
	if version >= l.version {
		l.behindSince = time.Time{}
	} else {
		l.behindSince = now
	}
	return behind
}
