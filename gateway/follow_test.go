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

// versions is a source of configurations in fake time. A change is transferred for transfer before a read returns it.
type fakeConfigurationSource struct {
	mu      sync.Mutex
	newest  uint64
	changed chan struct{}
	// away makes reads fail after silence.
	unavailable bool
	transfer    time.Duration
	// forgets makes reads that wait for a change wait for ever.
	neverResponds bool
	// oldest is the position before which changes are no longer told.
	oldest Position
	// single makes a read of the changes return the first one only.
	oneAtATime    bool
	fullReadCount int // reads of the newest configuration
	feedReadCount int // reads that wait for a change
}

// silence is the time after which a source gives up a call without progress.
const progressTimeout = 900 * time.Millisecond

func newFakeConfigurationSource(version uint64) *fakeConfigurationSource {
	return &fakeConfigurationSource{newest: version, changed: make(chan struct{})}
}

func (v *fakeConfigurationSource) set(change func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change()
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *fakeConfigurationSource) fullReads() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fullReadCount
}

func (v *fakeConfigurationSource) feedReads() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.feedReadCount
}

func (v *fakeConfigurationSource) state() (version uint64, away bool, changed chan struct{}, transfer time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.newest, v.unavailable, v.changed, v.transfer
}

func (v *fakeConfigurationSource) read(ctx context.Context) (*Configuration, Position, error) {
	version, away, _, transfer := v.state()
	var arrived, failed <-chan time.Time
	if away {
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

func (v *fakeConfigurationSource) returnsOneAtATime() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.oneAtATime
}

func (v *fakeConfigurationSource) Configuration(ctx context.Context) (*Configuration, Position, error) {
	v.mu.Lock()
	v.fullReadCount++
	v.mu.Unlock()
	return v.read(ctx)
}

func (v *fakeConfigurationSource) Decode([]byte) (*Configuration, error) {
	return nil, errors.New("not used")
}

func (v *fakeConfigurationSource) ConfigurationAfter(
	ctx context.Context, after Position, wait time.Duration, interrupt <-chan struct{},
) (*Configuration, Position, error) {
	v.mu.Lock()
	v.feedReadCount++
	forgets, gone := v.neverResponds, after < v.oldest
	v.mu.Unlock()
	if gone {
		return nil, 0, ErrHistoryGone
	}
	if forgets && wait > 0 {
		select {
		case <-interrupt:
			return nil, 0, ErrInterrupted
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
	end := time.After(wait)
	for {
		version, away, changed, _ := v.state()
		if away || Position(version) > after {
			if v.returnsOneAtATime() {
				return newConfiguration(uint64(after) + 1), after + 1, nil
			}
			return v.read(ctx)
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

// follow runs the follower of configurations and returns its gateway.
func startConfigurationSync(t *testing.T, source ConfigurationSource) *Gateway {
	t.Helper()
	return startSyncer(t, source).Gateway
}

// startSyncer is follow that returns the followers.
func startSyncer(t *testing.T, source ConfigurationSource) *syncer {
	t.Helper()
	g := &Gateway{
		options: Options{Configurations: source}, logger: zerolog.Nop(), rereadConfiguration: make(chan struct{}, 1),
		rereadHosts: make(chan struct{}, 1),
	}
	g.bounds.Store(&Bounds{MaxConfigurationDelay: maxConfigurationDelay})
	g.node = gossip.New(gossip.Options{Self: gossip.Record{ID: "a", Address: "127.0.0.1:1", CallerAddress: "127.0.0.1:2"}})
	f := newSyncer(g)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.syncConfiguration(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return f
}

// maxConfigurationDelay is the time in which a configuration must be in force, and recoveryBound the time after the end of a fault from
// which a host is held to it.
const (
	maxConfigurationDelay = 2500 * time.Millisecond
	recoveryBound         = 3 * time.Second
)

// hear lets the gateway hear of a version from another host.
func receiveVersion(g *Gateway, version uint64) {
	if inForce := g.version(); version > inForce {
		g.lag.observe(g.logger, time.Now(), "b", version, inForce)
		notify(g.rereadConfiguration)
	}
}

// Guards against a read of a new version that is broken off while it arrives, because a host with a faster link has the
// version already: CONFIG on the grown mfbb site with a large configuration.
func TestHintDoesNotBreakOffTheReadThatBringsTheVersion(t *testing.T) {
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
			t.Errorf("version %d is in force after the time of one transfer, want 2", g.version())
		}
		if reads := source.fullReads() - before; reads != 0 {
			t.Errorf("%d further reads of the whole configuration", reads)
		}
	})
}

// Guards against a host that stays on an old version after the store has returned, although others tell it of the new one:
// it must have the version before it counts as in touch, whatever part of its pause between reads the return meets.
func TestHostThatWasCutOffReadsSoonAfterAHint(t *testing.T) {
	const step, most = 50 * time.Millisecond, 4 * time.Second
	for cut := 3 * time.Second; cut < 3*time.Second+most; cut += step {
		synctest.Test(t, func(t *testing.T) {
			source := newFakeConfigurationSource(1)
			g := startConfigurationSync(t, source)
			synctest.Wait()
			source.set(func() { source.unavailable, source.newest = true, 2 })
			for end := time.Now().Add(cut); time.Now().Before(end); time.Sleep(step) {
				receiveVersion(g, 2)
			}
			source.set(func() { source.unavailable = false })
			back := time.Now()
			for g.version() != 2 && time.Since(back) < 2*recoveryBound {
				receiveVersion(g, 2)
				time.Sleep(step)
			}
			if took := time.Since(back); took > recoveryBound/2 {
				t.Errorf("after a cut of %v version 2 came into force %v after the return, want %v at most", cut, took, recoveryBound/2)
			}
		})
	}
}

// countingHostStore is a store of the records of hosts that counts its reads.
type countingHostStore struct{ reads atomic.Int64 }

func (q *countingHostStore) PutHost(context.Context, string, []byte) error { return nil }

func (q *countingHostStore) Hosts(context.Context) (map[string][]byte, error) {
	q.reads.Add(1)
	return nil, nil
}

// Guards against calls of the store for what datagrams tell: each host of a quiet fleet made 12 a minute besides those for
// upstreams.
func TestQuietHostCallsTheStoreSeldom(t *testing.T) {
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
			t.Errorf("%d calls in a minute in which nothing has changed, want 5 at most", calls)
		}
		cancel()
		<-ended
	})
}

// Guards against a host that waits for an answer which the store does not know of any more since it was away, while no other
// host has the new version either.
func TestReturnOfTheStoreEndsAForgottenWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeConfigurationSource(1)
		source.neverResponds = true
		f := startSyncer(t, source)
		time.Sleep(time.Second)
		source.set(func() { source.newest = 2 })
		notify(f.retryConfiguration) // reads of the upstreams work again
		time.Sleep(time.Second)
		if f.version() != 2 {
			t.Errorf("version %d is in force a second after the store's return, want 2", f.version())
		}
	})
}
