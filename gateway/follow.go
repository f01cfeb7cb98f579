package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/bronzeyard/bronzeyard/gateway/confsync"
)

const (
	// configurationWait is how long a long poll waits for a change of the configuration.
	configurationWait = 20 * time.Second
	// callTimeout bounds a call to the store, in addition to the wait of a long poll. The sources end calls that make no progress
	// much earlier.
	callTimeout = 10 * time.Second
	// hintGraceFraction is the fraction of Bounds.MaxConfigurationDelay for which a long poll continues after another host has
	// reported a newer configuration.
	hintGraceFraction = 0.15
	// hostsInterval is the time between reads of the host records if nothing triggers one earlier.
	hostsInterval = time.Minute
	// expectHostsInterval is the time between updates of the expected size of the fleet.
	expectHostsInterval = 50 * time.Millisecond
	// minHostsInterval is the minimum time between two reads of the host records.
	minHostsInterval = 700 * time.Millisecond
	// minBackoff and maxBackoff bound the base of the backoff between calls to a failing store. A random part of up to the same
	// length is added. Reads of the upstreams detect the recovery of the store. The other loops wait for that for up to
	// maxRecoveryWait, unless they are notified of an update that only a read can bring.
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = 250 * time.Millisecond
	maxRecoveryWait = 2 * time.Second
)

// syncer keeps the state of a Gateway in sync with the store as long as the host runs.
type syncer struct {
	*Gateway
	// retryConfiguration and retryHosts signal that the store has recovered.
	retryConfiguration chan struct{}
	retryHosts         chan struct{}
	// storeVersion is the newest store version that a read of the upstreams has returned.
	storeVersion atomic.Uint64
	// storeReadAt is the start of the newest of these reads, in Unix nanoseconds. It is written after storeVersion.
	storeReadAt atomic.Int64
	peers       *confsync.Client
	// unregisteredPeers is the number of other hosts with a record at the newest read before this host's own record was in the store.
	unregisteredPeers atomic.Int64
	// own is the progress of making this host known to the others. It is used by startUp and then by syncHosts.
	own registration
	// dividedAmong is the number of hosts among which limits are divided, as last logged.
	dividedAmong atomic.Int64
	// members are the other hosts that counted as members of the fleet when they were last checked.
	members []string

	// The fields below are used only by syncConfiguration and the functions that it calls.

	pollingLogged bool
	// position is the store's position at this host's last read of the configuration, 0 before the first read.
	position Position
	// asOf is the start of the newest read that returned all changes of the configuration up to then.
	asOf time.Time
}

func newSyncer(g *Gateway) *syncer {
	return &syncer{
		Gateway: g, retryConfiguration: make(chan struct{}, 1), retryHosts: make(chan struct{}, 1),
		peers: confsync.NewClient(),
	}
}

// dependency logs when one kind of read starts to fail and when it recovers, and computes the backoff in between.
type dependency struct {
	name         string
	logger       zerolog.Logger
	failingSince time.Time
	backoff      time.Duration
}

func (s *syncer) dependency(name string) *dependency {
	return &dependency{name: name, logger: s.logger}
}

// recordFailure logs the first of a series of failures and returns how long to wait before the next call.
func (d *dependency) recordFailure(err error) time.Duration {
	if d.failingSince.IsZero() {
		d.failingSince = time.Now()
		d.backoff = minBackoff
		d.logger.Warn().Str("event", "dependency_lost").Str("dependency", d.name).Err(err).Send()
	}
	wait := d.backoff + time.Duration(rand.Int64N(int64(d.backoff)))
	d.backoff = min(2*d.backoff, maxBackoff)
	return wait
}

// recordSuccess logs the recovery of a dependency that was failing, and reports whether it was failing.
func (d *dependency) recordSuccess() bool {
	if d.failingSince.IsZero() {
		return false
	}
	d.logger.Info().Str("event", "dependency_regained").Str("dependency", d.name).
		Dur("away_ms", time.Since(d.failingSince)).Send()
	d.failingSince = time.Time{}
	return true
}

// syncConfiguration keeps the operator's configuration up to date until ctx ends.
func (s *syncer) syncConfiguration(ctx context.Context) {
	dependency := s.dependency("configuration")
	known := false
	for ctx.Err() == nil {
		if s.current.Load() != nil && !s.updatePolling() {
			s.awaitUpdate(ctx, dependency)
			known = false // the change feed starts with a full read
			continue
		}
		if s.storeUnavailable.Load() && s.lag.isBehind(s.version()) {
			// If no host of a data centre can reach the store, some still poll it. These fetch a newer version from other hosts.
			s.fetchFromPeers(ctx)
		}
		began := time.Now()
		next, at, source, err := s.readConfiguration(ctx, known)
		switch {
		case errors.Is(err, ErrHistoryGone):
			s.logger.Info().Str("event", "history_gone").Uint64("position", uint64(s.position)).Send()
			known = false
		case errors.Is(err, ErrInterrupted): // other hosts rank before this one
			known = false
		case err != nil && ctx.Err() == nil:
			known = false // a full read may succeed where the change feed fails, and returns missed changes
			s.storeUnavailable.Store(true)
			s.awaitRecovery(ctx, dependency, err, s.retryConfiguration, s.rereadConfiguration)
		case err == nil:
			s.storeUnavailable.Store(false)
			dependency.recordSuccess()
			s.apply(next, configurationRead{source: source, after: s.position, at: at, took: time.Since(began)})
			s.position, known = at, true
		}
	}
}

// configurationRead describes a read that returned a new configuration or confirmed the active one.
type configurationRead struct {
	source configurationSource
	// after is the position from which the read waited for a change, and at the position that the store returned.
	after, at Position
	took      time.Duration
	// confirmedAt is when the host that served the configuration last confirmed it as the newest. It is zero for reads of the
	// store by this host.
	confirmedAt time.Time
}

// describe adds the fields to a log line that distinguish a change that was reported late from one that a read missed.
func (r configurationRead) describe(line *zerolog.Event, next *Configuration) *zerolog.Event {
	line = line.Str("source", r.source.String())
	if r.source == peerRead {
		return line
	}
	if r.source == feedRead || r.source == checkRead {
		line = line.Uint64("after", uint64(r.after))
	}
	return line.Uint64("written", uint64(next.CommitPosition)).Uint64("store_version", uint64(r.at)).Dur("took_ms", r.took)
}

// configurationSource is the kind of read that returned a configuration.
type configurationSource int

const (
	// fullRead is a read of the newest configuration: at the start, after the change feed has failed, or before this host begins
	// to long-poll it.
	fullRead configurationSource = iota + 1
	// feedRead is a long poll of the change feed.
	feedRead
	// hintedRead is a full read because another host has a newer version, this process was paused or the store has recovered.
	hintedRead
	// checkRead is a read of the change feed without a wait, because the store has changed since the position.
	checkRead
	// peerRead is a fetch from another host.
	peerRead
)

// String implements fmt.Stringer.
func (s configurationSource) String() string {
	switch s {
	case fullRead:
		return "read"
	case feedRead:
		return "feed"
	case hintedRead:
		return "hint"
	case checkRead:
		return "check"
	case peerRead:
		return "host"
	default:
		return "invalid"
	}
}

// readFull reads the newest configuration from the store.
func (s *syncer) readFull(ctx context.Context) (*Configuration, Position, error) {
	reading, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	started := time.Now()
	next, at, err := s.options.Configurations.Configuration(reading)
	if err == nil {
		s.asOf = started
		s.noteEra(at.Era())
	}
	return next, at, err
}

// apply activates a configuration unless the active one is at least as new. nil confirms the active one.
func (s *syncer) apply(next *Configuration, read configurationRead) {
	defer s.configurationAsOf.Store(new(s.asOf)) // after the configuration has become active
	current := s.current.Load()
	now := time.Now()
	if next == nil || (current != nil && next.Version() <= current.Version()) {
		// In a new era, the store may have an older version until the operator has written the newest one again.
		if current != nil && read.source != peerRead && (next == nil || next.Version() == current.Version()) {
			current.confirm(now)
		}
		return
	}
	fresh, added, removed := newActiveConfiguration(now, next, current)
	if read.confirmedAt.IsZero() {
		read.confirmedAt = now
	}
	fresh.confirm(read.confirmedAt)
	s.compressed.Store(new(confsync.Compress(next.Raw)))
	s.current.Store(fresh)
	if read.source != peerRead {
		s.node.Announce() // hosts that do not poll the store fetch it from this host
	}
	line := s.logger.Info().Str("event", "configuration").Uint64("version", next.Version()).Uint64("before", versionOf(current))
	read.describe(line, next).Dur("behind_ms", s.lag.applied(now, next.Version())).Int("bytes", next.Bytes).
		Int("routes", len(next.Routes)).Int("added", added).Int("removed", removed).Send()
}

// awaitRecovery waits after a failed call. After the first failure it waits for the backoff only. After later failures it
// continues until the store recovers, an update is signalled that only a read can bring, or maxRecoveryWait has elapsed. A host
// that is notified of an update while its calls to the store fail must not sleep through the recovery of the store.
func (s *syncer) awaitRecovery(ctx context.Context, d *dependency, err error, recovered, updated <-chan struct{}) {
	first := d.failingSince.IsZero()
	timeout := time.NewTimer(maxRecoveryWait)
	defer timeout.Stop()
	backoff := time.NewTimer(d.recordFailure(err))
	defer backoff.Stop()
	select {
	case <-backoff.C:
	case <-recovered:
		return
	case <-ctx.Done():
		return
	}
	if first {
		return
	}
	select {
	case <-timeout.C:
	case <-recovered:
	case <-updated:
	case <-ctx.Done():
	}
}

func (s *syncer) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
