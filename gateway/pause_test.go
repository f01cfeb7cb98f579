package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"
)

// interruptibleStore is a fakeStore whose long polls can be interrupted and whose reads of the configuration may fail.
type interruptibleStore struct {
	*fakeStore
	unavailable atomic.Bool
	reads       atomic.Int64
}

func (s *interruptibleStore) Configuration(ctx context.Context) (*Configuration, Position, error) {
	if s.unavailable.Load() {
		return nil, 0, errUnavailable
	}
	s.reads.Add(1)
	return s.fakeStore.Configuration(ctx)
}

func (s *interruptibleStore) ConfigurationAfter(
	ctx context.Context, _ Position, _ time.Duration, interrupt <-chan struct{},
) (*Configuration, Position, error) {
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-interrupt:
		return nil, 0, ErrInterrupted
	}
}

func newWaitingGateway(t *testing.T) (*Gateway, *interruptibleStore) {
	t.Helper()
	s := &interruptibleStore{fakeStore: newFakeStore()}
	close(s.records)
	close(s.upstreams)
	g := startWith(t, s)
	g.SetBounds(Bounds{MaxConfigurationDelay: 2 * time.Second, MaxLeavingDelay: 2 * time.Second, MaxAddressTTL: time.Second})
	expectReady(t, g)
	return g, s
}

// Guards against a process that acts on an outdated permission after a pause, as reported by users. A request that arrives after
// a pause waits for reads of the configuration and of the upstreams that began after it.
func TestRequestsWaitForReadsAfterAPause(t *testing.T) {
	g, s := newWaitingGateway(t)
	before := s.reads.Load()
	g.awaitFreshState(t.Context())
	if reads := s.reads.Load(); reads != before {
		t.Errorf("%d reads of the configuration without a pause, want 0", reads-before)
	}
	paused := time.Now()
	g.loopDelayed(g.minPause() + time.Millisecond)
	g.awaitFreshState(t.Context())
	if !g.refreshedSince(paused) {
		t.Error("the request did not wait for reads that began after the pause")
	}
	if took := time.Since(paused); took >= maxHoldAfterPause {
		t.Errorf("the reads took %v, want less than maxHoldAfterPause", took)
	}
	if reads := s.reads.Load(); reads != before+1 {
		t.Errorf("the configuration was read %d times after a pause, want once", reads-before)
	}
}

// Guards against requests that wait for an unavailable store. The host must continue with the state it has, as without a pause.
func TestRequestsDoNotWaitLongForTheStoreAfterAPause(t *testing.T) {
	g, s := newWaitingGateway(t)
	s.unavailable.Store(true)
	paused := time.Now()
	g.loopDelayed(g.minPause() + time.Millisecond)
	g.awaitFreshState(t.Context())
	if took := time.Since(paused); took > 2*maxHoldAfterPause {
		t.Errorf("a request waited %v while the store was unavailable, want twice maxHoldAfterPause at most", took)
	}
	begin := time.Now()
	g.awaitFreshState(t.Context())
	if took := time.Since(begin); took > maxHoldAfterPause/2 {
		t.Errorf("a later request waited %v, want half of maxHoldAfterPause at most", took)
	}
}
