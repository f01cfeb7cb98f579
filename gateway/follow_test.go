package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/bronzeyard/bronzeyard/gateway/gossip"
	"github.com/bronzeyard/bronzeyard/gateway/quota"
	"github.com/bronzeyard/bronzeyard/settings"
)

// fakeConfigurationSource is a ConfigurationSource in fake time. The transfer of a change takes the time transfer.
type fakeConfigurationSource struct {
	mu      sync.Mutex
	newest  uint64
	changed chan struct{}
	// unavailable makes reads fail after progressTimeout.
	unavailable bool
	transfer    time.Duration
	// neverResponds makes long polls hang until they are interrupted or cancelled.
	neverResponds bool
	// oldest is the position before which changes are no longer available.
	oldest Position
	// oneAtATime makes a read of the changes return only the first one.
	oneAtATime    bool
	fullReadCount int // number of reads of the newest configuration
	feedReadCount int // number of reads of the change feed
}

// progressTimeout is the time after which a source ends a call without progress.
const progressTimeout = 900 * time.Millisecond

func newFakeConfigurationSource(version uint64) *fakeConfigurationSource {
	return &fakeConfigurationSource{newest: version, changed: make(chan struct{})}
}

func (c *fakeConfigurationSource) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *fakeConfigurationSource) fullReads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fullReadCount
}

func (c *fakeConfigurationSource) feedReads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.feedReadCount
}

func (c *fakeConfigurationSource) state() (version uint64, unavailable bool, changed chan struct{}, transfer time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest, c.unavailable, c.changed, c.transfer
}

func (c *fakeConfigurationSource) read(ctx context.Context) (*Configuration, Position, error) {
	version, unavailable, _, transfer := c.state()
	var arrived, failed <-chan time.Time
	if unavailable {
		failed = time.After(progressTimeout)
	} else {
		arrived = time.After(transfer)
	}
	select {
	case <-failed:
		return nil, 0, errUnavailable
	case <-arrived:
		return newConfiguration(version), Position(version), nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

func newConfiguration(version uint64) *Configuration {
	return &Configuration{Snapshot: settings.NewSnapshot(version, nil, nil, nil)}
}

func (c *fakeConfigurationSource) returnsOneAtATime() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.oneAtATime
}

func (c *fakeConfigurationSource) Configuration(ctx context.Context) (*Configuration, Position, error) {
	c.mu.Lock()
	c.fullReadCount++
	c.mu.Unlock()
	return c.read(ctx)
}

func (c *fakeConfigurationSource) Decode([]byte) (*Configuration, error) {
	return nil, errors.New("not used")
}

func (c *fakeConfigurationSource) ConfigurationAfter(
	ctx context.Context, after Position, wait time.Duration, interrupt <-chan struct{},
) (*Configuration, Position, error) {
	c.mu.Lock()
	c.feedReadCount++
	neverResponds, gone := c.neverResponds, after < c.oldest
	c.mu.Unlock()
	if gone {
		return nil, 0, ErrHistoryGone
	}
	if neverResponds && wait > 0 {
		select {
		case <-interrupt:
			return nil, 0, ErrInterrupted
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
	end := time.After(wait)
	for {
		version, unavailable, changed, _ := c.state()
		if unavailable || Position(version) > after {
			if c.returnsOneAtATime() {
				return newConfiguration(uint64(after) + 1), after + 1, nil
			}
			return c.read(ctx)
		}
		select {
		case <-changed:
		case <-end:
			return nil, after, nil
		case <-interrupt:
			return nil, 0, ErrInterrupted
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// startConfigurationSync runs syncConfiguration and returns its gateway.
func startConfigurationSync(t *testing.T, source ConfigurationSource) *Gateway {
	t.Helper()
	return startSyncer(t, source).Gateway
}

// startSyncer runs syncConfiguration and returns its syncer.
func startSyncer(t *testing.T, source ConfigurationSource) *syncer {
	t.Helper()
	g := &Gateway{
		options: Options{Configurations: source}, logger: zerolog.Nop(), rereadConfiguration: make(chan struct{}, 1),
		rereadHosts: make(chan struct{}, 1),
	}
	g.bounds.Store(&Bounds{MaxConfigurationDelay: maxConfigurationDelay})
	g.node = gossip.New(gossip.Options{Self: gossip.Record{ID: "a", Address: "127.0.0.1:1", CallerAddress: "127.0.0.1:2"}, Conn: discardingSocket{}})
	s := newSyncer(g)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.syncConfiguration(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return s
}

// maxConfigurationDelay is the time within which a configuration must become active, and recoveryBound the time after the end of
// a fault from which this bound applies to a host.
const (
	maxConfigurationDelay = 2500 * time.Millisecond
	recoveryBound         = 3 * time.Second
)

// receiveVersion reports a version to the gateway as if another host had sent it.
func receiveVersion(g *Gateway, version uint64) {
	if active := g.version(); version > active {
		g.lag.observe(g.logger, time.Now(), "b", version, active)
		notify(g.rereadConfiguration)
	}
}

// Guards against a read of a new version that is interrupted during its transfer, because a host with a faster link already has
// the version. This was reported as CONFIG on the large mfbb site with a large configuration.
func TestHintDoesNotInterruptTheReadThatReturnsTheVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeConfigurationSource(1)
		g := startConfigurationSync(t, source)
		synctest.Wait()
		before := source.fullReads()
		const transfer = 200 * time.Millisecond
		source.set(func() { source.newest, source.transfer = 2, transfer })
		time.Sleep(transfer / 4)
		receiveVersion(g, 2)
		time.Sleep(transfer)
		synctest.Wait()
		if g.version() != 2 {
			t.Errorf("version %d is active after the time of one transfer, want 2", g.version())
		}
		if reads := source.fullReads() - before; reads != 0 {
			t.Errorf("%d more full reads of the configuration, want 0", reads)
		}
	})
}

// Guards against a host that stays on an old version after the store has recovered, although others report the new one. It must
// have the version before recoveryBound has elapsed, at whatever point of the wait between two reads the store recovers.
func TestHostReadsSoonAfterTheStoreRecovers(t *testing.T) {
	const step, variation = 50 * time.Millisecond, 4 * time.Second
	for outage := 3 * time.Second; outage < 3*time.Second+variation; outage += step {
		synctest.Test(t, func(t *testing.T) {
			source := newFakeConfigurationSource(1)
			g := startConfigurationSync(t, source)
			synctest.Wait()
			source.set(func() { source.unavailable, source.newest = true, 2 })
			for end := time.Now().Add(outage); time.Now().Before(end); time.Sleep(step) {
				receiveVersion(g, 2)
			}
			source.set(func() { source.unavailable = false })
			recovered := time.Now()
			for g.version() != 2 && time.Since(recovered) < 2*recoveryBound {
				receiveVersion(g, 2)
				time.Sleep(step)
			}
			if took := time.Since(recovered); took > recoveryBound/2 {
				t.Errorf("after an outage of %v, version 2 became active after %v, want %v at most", outage, took, recoveryBound/2)
			}
		})
	}
}

// countingHostStore is a HostStore that counts its reads.
type countingHostStore struct{ reads atomic.Int64 }

func (c *countingHostStore) PutHost(context.Context, string, []byte) error { return nil }

func (c *countingHostStore) Hosts(context.Context) (map[string][]byte, error) {
	c.reads.Add(1)
	return nil, nil
}

// Guards against calls to the store for information that datagrams carry. Each host of an idle fleet made 12 such calls a minute,
// in addition to those for upstreams.
func TestIdleHostRarelyCallsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, hosts := newFakeConfigurationSource(1), &countingHostStore{}
		g := startConfigurationSync(t, source)
		g.options.Hosts = hosts
		g.router, g.limiter = newRouter("north", g.boundsNow, "a"), quota.New()
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			newSyncer(g).syncHosts(ctx)
		}()
		time.Sleep(time.Second)
		before := hosts.reads.Load() + int64(source.feedReads())
		time.Sleep(time.Minute)
		if calls := hosts.reads.Load() + int64(source.feedReads()) - before; calls > 5 {
			t.Errorf("%d calls to the store in a minute without a change, want 5 at most", calls)
		}
		cancel()
		<-ended
	})
}

// Guards against a host that keeps waiting for the response to a long poll that the store lost while it was unavailable, when no
// other host has the new version either.
func TestStoreRecoveryEndsALostLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeConfigurationSource(1)
		source.neverResponds = true
		s := startSyncer(t, source)
		time.Sleep(time.Second)
		source.set(func() { source.newest = 2 })
		notify(s.retryConfiguration) // reads of the upstreams work again
		time.Sleep(time.Second)
		if s.version() != 2 {
			t.Errorf("version %d is active a second after the recovery of the store, want 2", s.version())
		}
	})
}
