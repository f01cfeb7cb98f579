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
	hintGracePart = 0.15
	// hostsInterval is the time between reads of the hosts' records without a reason.
	hostsInterval = time.Minute
	// hostsPause is the least time between two reads of the records.
	hostsPause = 700 * time.Millisecond
	// shortestBackoff and longestBackoff bound half of the time between calls to a store that fails. Reads of the upstreams
	// find its return; the other followers wait up to otherBackoff for them, unless they know that there is news.
	shortestBackoff = 100 * time.Millisecond
	longestBackoff  = 250 * time.Millisecond
	otherBackoff    = 2 * time.Second
)

// followers read the store as long as the host runs.
type followers struct {
	*Gateway
	// retryConfiguration and retryHosts tell that the store is back.
	retryConfiguration chan struct{}
	retryHosts         chan struct{}
	peers              *confsync.Client
	waitsLogged        bool // only for the follower of the configuration
}

func newFollowers(g *Gateway) *followers {
	return &followers{
		Gateway: g, retryConfiguration: make(chan struct{}, 1), retryHosts: make(chan struct{}, 1),
		peers: confsync.NewClient(),
	}
}

// dependency logs when a kind of read is lost and regained, and spaces calls that fail.
type dependency struct {
	name    string
	logger  zerolog.Logger
	lostAt  time.Time
	backoff time.Duration
}

func (f *followers) dependency(name string) *dependency {
	return &dependency{name: name, logger: f.logger}
}

// failed logs a failure and returns how long to wait.
func (d *dependency) failed(err error) time.Duration {
	if d.lostAt.IsZero() {
		d.lostAt = time.Now()
		d.backoff = shortestBackoff
		d.logger.Warn().Str("event", "dependency_lost").Str("dependency", d.name).Err(err).Send()
	}
	wait := d.backoff + time.Duration(rand.Int64N(int64(d.backoff)))
	d.backoff = min(2*d.backoff, longestBackoff)
	return wait
}

// worked logs the return of a dependency that was lost, and reports whether it was.
func (d *dependency) worked() bool {
	if d.lostAt.IsZero() {
		return false
	}
	d.logger.Info().Str("event", "dependency_regained").Str("dependency", d.name).
		Dur("away_ms", time.Since(d.lostAt)).Send()
	d.lostAt = time.Time{}
	return true
}

// configuration follows the operator's configuration.
func (f *followers) configuration(ctx context.Context) {
	dependency := f.dependency("configuration")
	var position Position
	known := false
	for ctx.Err() == nil {
		if f.current.Load() != nil && !f.waits() {
			f.awaitNewer(ctx, dependency)
			known = false // the feed begins with a read of all
			continue
		}
		next, at, source, err := f.readConfiguration(ctx, position, known)
		switch {
		case errors.Is(err, ErrHistoryGone):
			f.logger.Info().Str("event", "history_gone").Uint64("position", uint64(position)).Send()
			known = false
		case errors.Is(err, ErrInterrupted): // other hosts wait
			known = false
		case err != nil && ctx.Err() == nil:
			known = false // a read of all may succeed where the feed fails, and finds what was missed
			f.storeAway.Store(true)
			f.awaitReturn(ctx, dependency, err, f.retryConfiguration, f.rereadConfiguration)
		case err == nil:
			f.storeAway.Store(false)
			dependency.worked()
			position, known = at, true
			f.apply(next, source)
		}
	}
}

// configurationSource is the kind of read that brought a configuration.
type configurationSource int

const (
	// wholeRead is a read of the newest configuration, at the start or after the feed has failed.
	wholeRead configurationSource = iota + 1
	// feedRead is a read that waited for a change.
	feedRead
	// hintedRead is a whole read because another host has a newer version.
	hintedRead
	// peerRead was passed on by another host.
	peerRead
)

// String implements fmt.Stringer.
func (s configurationSource) String() string {
	switch s {
	case wholeRead:
		return "read"
	case feedRead:
		return "feed"
	case hintedRead:
		return "hint"
	case peerRead:
		return "host"
	default:
		return "invalid"
	}
}

// readConfiguration reads the newest configuration, or waits for the next one. A hint that another host has a newer one
// ends the wait. The error is ErrInterrupted if the wait has ended because others are to wait in place of this host.
func (f *followers) readConfiguration(
	ctx context.Context, after Position, known bool,
) (*Configuration, Position, configurationSource, error) {
	if !known {
		next, at, err := f.readWhole(ctx)
		return next, at, wholeRead, err
	}
	waiting, cancel := context.WithTimeout(ctx, configurationWait+callTimeout)
	defer cancel()
	interrupt := make(chan struct{})
	ended := make(chan struct{})
	defer close(ended)
	var preceded atomic.Bool
	go f.interruptWhenBehind(ended, interrupt, &preceded)
	next, at, err := f.options.Configurations.ConfigurationAfter(waiting, after, configurationWait, interrupt)
	if !errors.Is(err, ErrInterrupted) || preceded.Load() {
		return next, at, feedRead, err
	}
	next, at, err = f.readWhole(ctx)
	return next, at, hintedRead, err
}

// interruptWhenBehind closes interrupt if another host has a newer version and the read of this one does not bring it in
// the grace: its connection may have gone silent. Without a grace most hosts would read each version twice, because it is
// in force at some host before all others have read it. It also closes interrupt when the store is back after it was away:
// the store may have forgotten who waits. And it sets preceded and closes interrupt when others have come first for
// precededFor: a host that has just started begins to wait before it knows them.
func (f *followers) interruptWhenBehind(ended <-chan struct{}, interrupt chan<- struct{}, preceded *atomic.Bool) {
	grace := time.Duration(hintGracePart * float64(f.boundsNow().ApplyConfiguration))
	check := time.NewTicker(waitersCheck)
	defer check.Stop()
	cameFirst := time.Now()
	for {
		select {
		case <-f.rereadConfiguration:
		case <-f.retryConfiguration:
			close(interrupt)
			return
		case <-ended:
			return
		case <-check.C:
			now := time.Now()
			if f.comesFirst(now) {
				cameFirst = now
			}
			if now.Sub(cameFirst) >= precededFor {
				preceded.Store(true)
				close(interrupt)
				return
			}
			continue
		}
		select {
		case <-time.After(grace):
		case <-ended:
			return
		}
		if f.newer.beyond(f.version()) {
			close(interrupt)
			return
		}
	}
}

// readWhole reads the newest configuration.
func (f *followers) readWhole(ctx context.Context) (*Configuration, Position, error) {
	reading, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f.options.Configurations.Configuration(reading)
}

// apply puts a configuration in force unless the one in force is as new. nil confirms the one in force.
func (f *followers) apply(next *Configuration, source configurationSource) {
	current := f.current.Load()
	if next == nil || (current != nil && next.Version() <= current.Version()) {
		if current != nil {
			current.confirmed.Store(time.Now().UnixNano())
		}
		return
	}
	now := time.Now()
	fresh, added, removed := newInForce(now, next, current)
	f.packed.Store(new(confsync.Pack(next.Raw)))
	f.current.Store(fresh)
	if source != peerRead {
		f.node.Announce() // hosts that do not wait at the store ask for it
	}
	f.logger.Info().Str("event", "configuration").Uint64("version", next.Version()).Uint64("before", versionOf(current)).
		Str("source", source.String()).Dur("behind_ms", f.newer.reached(now, next.Version())).Int("bytes", next.Bytes).
		Int("routes", len(next.Routes)).Int("added", added).Int("removed", removed).Send()
}

// hosts writes this host's record and follows those of the others.
func (f *followers) hosts(ctx context.Context) {
	dependency := f.dependency("hosts")
	written := false
	for ctx.Err() == nil {
		err := f.exchangeRecords(ctx, &written)
		if err != nil {
			f.awaitReturn(ctx, dependency, err, f.retryHosts, nil)
			continue
		}
		dependency.worked()
		if !f.waitForHosts(ctx) {
			return
		}
	}
}

// waitForHosts updates what depends on the hosts until their records are to be read again.
func (f *followers) waitForHosts(ctx context.Context) bool {
	f.sleep(ctx, hostsPause)
	ticker := time.NewTicker(gossip.HeartbeatInterval)
	defer ticker.Stop()
	deadline := time.After(hostsInterval)
	for {
		f.countHosts()
		select {
		case <-ctx.Done():
			return false
		case <-f.rereadHosts:
			return true
		case <-deadline:
			return true
		case <-ticker.C:
		}
	}
}

func (f *followers) countHosts() {
	now := time.Now()
	hosts := f.node.Hosts(now)
	alive := []string{f.options.HostID}
	others := make([]string, len(hosts))
	for i := range hosts {
		others[i] = hosts[i].ID
		if hosts[i].Alive(now) && !hosts[i].Leaving {
			alive = append(alive, hosts[i].ID)
		}
	}
	f.router.setHosts(alive, others)
	f.limiter.SetHosts(others)
}

// exchangeRecords writes this host's record once and reads those of the others.
func (f *followers) exchangeRecords(ctx context.Context, written *bool) error {
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !*written {
		record, err := f.node.Record()
		if err != nil {
			return err
		}
		if err := f.options.Hosts.PutHost(calling, f.options.HostID, record); err != nil {
			return err
		}
		*written = true
		defer f.introduce(ctx)
	}
	stored, err := f.options.Hosts.Hosts(calling)
	if err != nil {
		return err
	}
	records := make([]gossip.Record, 0, len(stored))
	for id, data := range stored {
		record, err := gossip.DecodeRecord(data)
		if err != nil {
			f.logger.Warn().Str("event", "host_record_skipped").Str("host_id", id).Err(err).Send()
			continue
		}
		records = append(records, record)
	}
	for _, id := range f.node.Update(time.Now(), records) {
		f.hostFound(id)
	}
	f.countHosts()
	f.hostsKnown.Store(true)
	return nil
}

// introductions are the times after the start at which a host introduces itself to the others. Datagrams may be lost.
var introductions = [...]time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond}

// introduce sends this host's record to the others, so that they need not read it from the store.
func (f *followers) introduce(ctx context.Context) {
	for _, after := range introductions {
		time.AfterFunc(after, func() {
			if ctx.Err() == nil {
				f.node.Introduce()
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
func (f *followers) awaitReturn(ctx context.Context, d *dependency, err error, back, news <-chan struct{}) {
	first := d.lostAt.IsZero()
	longest := time.NewTimer(otherBackoff)
	defer longest.Stop()
	least := time.NewTimer(d.failed(err))
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

func (f *followers) sleep(ctx context.Context, d time.Duration) {
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
