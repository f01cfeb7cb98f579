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
type versions struct {
	mu      sync.Mutex
	newest  uint64
	changed chan struct{}
	// away makes reads fail after silence.
	away     bool
	transfer time.Duration
	// forgets makes reads that wait for a change wait for ever.
	forgets bool
	// oldest is the position before which changes are no longer told.
	oldest Position
	// single makes a read of the changes return the first one only.
	single bool
	whole  int // reads of the newest configuration
	feed   int // reads that wait for a change
}

// silence is the time after which a source gives up a call without progress.
const silence = 900 * time.Millisecond

func newVersions(version uint64) *versions {
	return &versions{newest: version, changed: make(chan struct{})}
}

func (v *versions) set(change func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change()
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *versions) wholeReads() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.whole
}

func (v *versions) feedReads() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.feed
}

func (v *versions) state() (version uint64, away bool, changed chan struct{}, transfer time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.newest, v.away, v.changed, v.transfer
}

func (v *versions) answer(ctx context.Context) (*Configuration, Position, error) {
	version, away, _, transfer := v.state()
	var arrived, failed <-chan time.Time
	if away {
		failed = time.After(silence)
	} else {
		arrived = time.After(transfer)
	}
	select {
	case <-failed:
		return nil, 0, errAway
	case <-arrived:
		return newVersion(version), Position(version), nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

func newVersion(version uint64) *Configuration {
	return &Configuration{Snapshot: settings.NewSnapshot(version, nil, nil, nil)}
}

func (v *versions) firstOnly() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.single
}

func (v *versions) Configuration(ctx context.Context) (*Configuration, Position, error) {
	v.mu.Lock()
	v.whole++
	v.mu.Unlock()
	return v.answer(ctx)
}

func (v *versions) Decode([]byte) (*Configuration, error) { return nil, errors.New("not used") }

func (v *versions) ConfigurationAfter(
	ctx context.Context, after Position, wait time.Duration, interrupt <-chan struct{},
) (*Configuration, Position, error) {
	v.mu.Lock()
	v.feed++
	forgets, gone := v.forgets, after < v.oldest
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
			if v.firstOnly() {
				return newVersion(uint64(after) + 1), after + 1, nil
			}
			return v.answer(ctx)
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
func follow(t *testing.T, source ConfigurationSource) *Gateway {
	t.Helper()
	return followWith(t, source).Gateway
}

// followWith is follow that returns the followers.
func followWith(t *testing.T, source ConfigurationSource) *followers {
	t.Helper()
	g := &Gateway{
		options: Options{Configurations: source}, logger: zerolog.Nop(), rereadConfiguration: make(chan struct{}, 1),
		rereadHosts: make(chan struct{}, 1),
	}
	g.bounds.Store(&Bounds{MaxConfigurationDelay: applyBound})
	g.node = gossip.New(gossip.Options{Self: gossip.Record{ID: "a", Address: "127.0.0.1:1", CallerAddress: "127.0.0.1:2"}})
	f := newFollowers(g)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.configuration(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return f
}

// applyBound is the time in which a configuration must be in force, and touchBound the time after the end of a fault from
// which a host is held to it.
const (
	applyBound = 2500 * time.Millisecond
	touchBound = 3 * time.Second
)

// hear lets the gateway hear of a version from another host.
func hear(g *Gateway, version uint64) {
	if inForce := g.version(); version > inForce {
		g.newer.heard(g.logger, time.Now(), "b", version, inForce)
		poke(g.rereadConfiguration)
	}
}

// Guards against a read of a new version that is broken off while it arrives, because a host with a faster link has the
// version already: CONFIG on the grown mfbb site with a large configuration.
func TestHintDoesNotBreakOffTheReadThatBringsTheVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newVersions(1)
		g := follow(t, source)
		synctest.Wait()
		before := source.wholeReads()
		const transfer = 200 * time.Millisecond
		source.set(func() { source.newest, source.transfer = 2, transfer })
		time.Sleep(transfer / 4)
		hear(g, 2)
		time.Sleep(transfer)
		synctest.Wait()
		if g.version() != 2 {
			t.Errorf("version %d is in force after the time of one transfer, want 2", g.version())
		}
		if reads := source.wholeReads() - before; reads != 0 {
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
			source := newVersions(1)
			g := follow(t, source)
			synctest.Wait()
			source.set(func() { source.away, source.newest = true, 2 })
			for end := time.Now().Add(cut); time.Now().Before(end); time.Sleep(step) {
				hear(g, 2)
			}
			source.set(func() { source.away = false })
			back := time.Now()
			for g.version() != 2 && time.Since(back) < 2*touchBound {
				hear(g, 2)
				time.Sleep(step)
			}
			if took := time.Since(back); took > touchBound/2 {
				t.Errorf("after a cut of %v version 2 came into force %v after the return, want %v at most", cut, took, touchBound/2)
			}
		})
	}
}

// quietHosts is a store of the records of hosts that counts its reads.
type quietHosts struct{ reads atomic.Int64 }

func (q *quietHosts) PutHost(context.Context, string, []byte) error { return nil }

func (q *quietHosts) Hosts(context.Context) (map[string][]byte, error) {
	q.reads.Add(1)
	return nil, nil
}

// Guards against calls of the store for what datagrams tell: each host of a quiet fleet made 12 a minute besides those for
// upstreams.
func TestQuietHostCallsTheStoreSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, hosts := newVersions(1), &quietHosts{}
		g := follow(t, source)
		g.options.Hosts = hosts
		g.router, g.limiter = newRouter("north", g.boundsNow, "a"), quota.New()
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			newFollowers(g).hosts(ctx)
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
		source := newVersions(1)
		source.forgets = true
		f := followWith(t, source)
		time.Sleep(time.Second)
		source.set(func() { source.newest = 2 })
		poke(f.retryConfiguration) // reads of the upstreams work again
		time.Sleep(time.Second)
		if f.version() != 2 {
			t.Errorf("version %d is in force a second after the store's return, want 2", f.version())
		}
	})
}
