package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/bronzeyard/bronzeyard/gateway/confsync"
	"github.com/bronzeyard/bronzeyard/gateway/gossip"
)

const (
	// configurationWait is for how long a read waits for a change of the configuration.
	configurationWait = 20 * time.Second
	// callTimeout bounds a call of the store beyond the time for which it is to wait. The sources end calls that make no
	// progress much earlier.
	callTimeout = 10 * time.Second
	// hintGracePart is the part of Bounds.ApplyConfiguration for which a host that waits for changes goes on waiting after it
	// has heard that another host has a newer configuration.
	hintGraceFraction = 0.15
	// hostsInterval is the time between reads of the hosts' records without a reason.
	hostsInterval = time.Minute
	// hostsPause is the least time between two reads of the records.
	minHostsInterval = 700 * time.Millisecond
	// shortestBackoff and longestBackoff bound half of the time between calls to a store that fails. Reads of the upstreams
	// find its return; the other followers wait up to otherBackoff for them, unless they know that there is news.
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = 250 * time.Millisecond
	maxRecoveryWait = 2 * time.Second
)

// followers read the store as long as the host runs.
type syncer struct {
	*Gateway
	// retryConfiguration and retryHosts tell that the store is back.
	retryConfiguration chan struct{}
	retryHosts         chan struct{}
	// storeVersion is the newest version that a read of the upstreams has stated.
	storeVersion atomic.Uint64
	// storeReadAt is when the newest of these reads was started, in Unix nanoseconds. It is stored after storeVersion.
	storeReadAt atomic.Int64
	peers       *confsync.Client

	// Only for the follower of the configuration.
	pollingLogged bool
	// position is where this host has last read the configuration, 0 before the first read.
	position Position
	// asOf is the start of the newest read that found all changes of the configuration up to then.
	asOf time.Time
}

func newSyncer(g *Gateway) *syncer {
	return &syncer{
		Gateway: g, retryConfiguration: make(chan struct{}, 1), retryHosts: make(chan struct{}, 1),
		peers: confsync.NewClient(),
	}
}

// dependency logs when a kind of read is lost and regained, and spaces calls that fail.
type dependency struct {
	name         string
	logger       zerolog.Logger
	failingSince time.Time
	backoff      time.Duration
}

func (s *syncer) dependency(name string) *dependency {
	return &dependency{name: name, logger: s.logger}
}

// failed logs a failure and returns how long to wait.
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

// worked logs the return of a dependency that was lost, and reports whether it was.
func (d *dependency) recordSuccess() bool {
	if d.failingSince.IsZero() {
		return false
	}
	d.logger.Info().Str("event", "dependency_regained").Str("dependency", d.name).
		Dur("away_ms", time.Since(d.failingSince)).Send()
	d.failingSince = time.Time{}
	return true
}

// configuration follows the operator's configuration.
func (s *syncer) syncConfiguration(ctx context.Context) {
	dependency := s.dependency("configuration")
	known := false
	for ctx.Err() == nil {
		if s.current.Load() != nil && !s.updatePolling() {
			s.awaitUpdate(ctx, dependency)
			known = false // the feed begins with a read of all
			continue
		}
		if s.storeUnavailable.Load() && s.lag.isBehind(s.version()) {
			// The only hosts of a data centre wait at the store also while they cannot reach it.
			s.fetchFromPeers(ctx)
		}
		began := time.Now()
		next, at, source, err := s.readConfiguration(ctx, known)
		switch {
		case errors.Is(err, ErrHistoryGone):
			s.logger.Info().Str("event", "history_gone").Uint64("position", uint64(s.position)).Send()
			known = false
		case errors.Is(err, ErrInterrupted): // other hosts come first
			known = false
		case err != nil && ctx.Err() == nil:
			known = false // a read of all may succeed where the feed fails, and finds what was missed
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

// configurationRead is a read that brought a configuration, or confirmed the one in force.
type configurationRead struct {
	source configurationSource
	// after is the position from which it waited for a change, and at the one that the store stated.
	after, at Position
	took      time.Duration
	// confirmedAt is when the host that has passed it on knew it to be the newest; zero for a read of this host.
	confirmedAt time.Time
}

// describe adds what tells a change that was reported late from one that a read passed over.
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

// configurationSource is the kind of read that brought a configuration.
type configurationSource int

const (
	// wholeRead is a read of the newest configuration, at the start or after the feed has failed.
	fullRead configurationSource = iota + 1
	// feedRead is a read that waited for a change.
	feedRead
	// hintedRead is a whole read because another host has a newer version.
	hintedRead
	// checkRead did not wait for a change, because the store has changed since the position.
	checkRead
	// peerRead was passed on by another host.
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

// readWhole reads the newest configuration.
func (s *syncer) readFull(ctx context.Context) (*Configuration, Position, error) {
	reading, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	started := time.Now()
	next, at, err := s.options.Configurations.Configuration(reading)
	if err == nil {
		s.asOf = started
	}
	return next, at, err
}

// apply puts a configuration in force unless the one in force is as new. nil confirms the one in force.
func (s *syncer) apply(next *Configuration, read configurationRead) {
	defer s.configurationAsOf.Store(new(s.asOf)) // once it is in force
	current := s.current.Load()
	now := time.Now()
	if next == nil || (current != nil && next.Version() <= current.Version()) {
		if current != nil && read.source != peerRead {
			current.confirm(now)
		}
		return
	}
	fresh, added, removed := newActiveConfiguration(now, next, current)
	if read.confirmedAt.IsZero() {
		read.confirmedAt = now
	}
	fresh.confirm(read.confirmedAt)
	s.compressed.Store(new(confsync.Pack(next.Raw)))
	s.current.Store(fresh)
	if read.source != peerRead {
		s.node.Announce() // hosts that do not wait at the store ask for it
	}
	line := s.logger.Info().Str("event", "configuration").Uint64("version", next.Version()).Uint64("before", versionOf(current))
	read.describe(line, next).Dur("behind_ms", s.lag.applied(now, next.Version())).Int("bytes", next.Bytes).
		Int("routes", len(next.Routes)).Int("added", added).Int("removed", removed).Send()
}

// hosts writes this host's record and follows those of the others.
func (s *syncer) syncHosts(ctx context.Context) {
	dependency := s.dependency("hosts")
	written := false
	for ctx.Err() == nil {
		err := s.exchangeRecords(ctx, &written)
		if err != nil {
			s.awaitRecovery(ctx, dependency, err, s.retryHosts, nil)
			continue
		}
		dependency.recordSuccess()
		if !s.monitorHosts(ctx) {
			return
		}
	}
}

// waitForHosts updates what depends on the hosts until their records are to be read again.
func (s *syncer) monitorHosts(ctx context.Context) bool {
	s.sleep(ctx, minHostsInterval)
	ticker := time.NewTicker(gossip.HeartbeatInterval)
	defer ticker.Stop()
	deadline := time.After(hostsInterval)
	for {
		s.updateHosts()
		select {
		case <-ctx.Done():
			return false
		case <-s.rereadHosts:
			return true
		case <-deadline:
			return true
		case <-ticker.C:
		}
	}
}

func (s *syncer) updateHosts() {
	now := time.Now()
	hosts := s.node.Hosts(now)
	alive := []string{s.options.HostID}
	others := make([]string, len(hosts))
	for i := range hosts {
		others[i] = hosts[i].ID
		if hosts[i].Alive(now) && !hosts[i].Leaving {
			alive = append(alive, hosts[i].ID)
		}
	}
	s.router.setHosts(alive, others)
	s.limiter.SetHosts(others)
}

// exchangeRecords writes this host's record once and reads those of the others.
func (s *syncer) exchangeRecords(ctx context.Context, written *bool) error {
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !*written {
		record, err := s.node.Record()
		if err != nil {
			return err
		}
		if err := s.options.Hosts.PutHost(calling, s.options.HostID, record); err != nil {
			return err
		}
		*written = true
		defer s.introduce(ctx)
	}
	readAt := time.Now()
	stored, err := s.options.Hosts.Hosts(calling)
	if err != nil {
		return err
	}
	records := make([]gossip.Record, 0, len(stored))
	for id, data := range stored {
		record, err := gossip.DecodeRecord(data)
		if err != nil {
			s.logger.Warn().Str("event", "host_record_skipped").Str("host_id", id).Err(err).Send()
			continue
		}
		records = append(records, record)
	}
	for _, id := range s.node.Update(readAt, records) {
		s.hostFound(id)
	}
	s.updateHosts()
	s.hostsLoaded.Store(true)
	return nil
}

// introductions are the times after the start at which a host introduces itself to the others. Datagrams may be lost.
var introductionDelays = [...]time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond}

// introduce sends this host's record to the others, so that they need not read it from the store.
func (s *syncer) introduce(ctx context.Context) {
	for _, after := range introductionDelays {
		time.AfterFunc(after, func() {
			if ctx.Err() == nil {
				s.node.Introduce()
			}
		})
	}
}

// hostFound takes the first record of a start of another host.
func (g *Gateway) hostFound(id string) {
	g.limiter.Restarted(id)
	g.router.retries.Restarted(id)
	g.logger.Info().Str("event", "host_found").Str("host_id", id).Send()
}

// awaitReturn waits after a failure: shortly after the first one, then until the store is back, or until there is news that
// only a read can bring. A host that learns of news while the store refuses it must not sleep through the store's return.
func (s *syncer) awaitRecovery(ctx context.Context, d *dependency, err error, back, news <-chan struct{}) {
	first := d.failingSince.IsZero()
	longest := time.NewTimer(maxRecoveryWait)
	defer longest.Stop()
	least := time.NewTimer(d.recordFailure(err))
	defer least.Stop()
	select {
	case <-least.C:
	case <-back:
		return
	case <-ctx.Done():
		return
	}
	if first {
		return
	}
	select {
	case <-longest.C:
	case <-back:
	case <-news:
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
