package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/bronzeyard/bronzeyard/gateway/gossip"
	"github.com/bronzeyard/bronzeyard/gateway/registry"
	"github.com/bronzeyard/bronzeyard/settings"
)

// growingUpstreamSource is an UpstreamSource in which upstreams register one after the other.
type growingUpstreamSource struct {
	mu      sync.Mutex
	entries []registry.Entry
	reads   int
}

func (a *growingUpstreamSource) Upstreams(context.Context) ([]registry.Entry, uint64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reads++
	return append([]registry.Entry(nil), a.entries...), uint64(len(a.entries)), nil
}

func (a *growingUpstreamSource) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := settings.UpstreamID(fmt.Sprint("i-", len(a.entries)))
	a.entries = append(a.entries, registry.Entry{Service: "s", Upstream: settings.Upstream{ID: id, Slots: 1}})
}

func (a *growingUpstreamSource) readCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reads
}

// startUpstreamSync runs syncUpstreams and returns its gateway.
func startUpstreamSync(t *testing.T, source UpstreamSource) *Gateway {
	t.Helper()
	g := &Gateway{options: Options{HostID: "a", Upstreams: source}, logger: zerolog.Nop(), registryUpdates: make(chan registryUpdate, 1)}
	g.rereadAfterPause.upstreams = make(chan struct{}, 1)
	g.bounds.Store(&Bounds{MaxLeavingDelay: maxLeavingDelay})
	g.router = newRouter("north", g.boundsNow, "a")
	g.node = gossip.New(gossip.Options{Self: gossip.Record{ID: "a"}})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		newSyncer(g).syncUpstreams(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return g
}

const maxLeavingDelay = 2500 * time.Millisecond

// Guards against hosts that read the store continuously while upstreams start, because each is notified that another host has
// found other entries. These reads were 2,261 of the 2,551 calls of a quiet day on the large mfbb site.
func TestFewReadsWhileUpstreamsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &growingUpstreamSource{}
		g := startUpstreamSync(t, source)
		const startPeriod, step = 3 * time.Second, 10 * time.Millisecond
		for range int(startPeriod / step) {
			source.add()
			time.Sleep(step)
			g.receiveRegistryUpdate(registryUpdate{
				RegistryState: gossip.RegistryState{Digest: uint64(len(source.entries)), Synced: true}, readAt: time.Now(), from: "b",
			})
		}
		gap := time.Duration(readGapFraction * float64(maxLeavingDelay))
		if maxReads := int(startPeriod/gap) + 2; source.readCount() > maxReads {
			t.Errorf("%d reads of the upstreams in %v, want %d at most", source.readCount(), startPeriod, maxReads)
		}
	})
}

// Guards against a host that reads too late after another host has found a leaving upstream.
func TestUpdateIsReadInTimeToStopUsingALeavingUpstream(t *testing.T) {
	for delay := time.Duration(0); delay < maxLeavingDelay/2; delay += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			source := &growingUpstreamSource{}
			source.add()
			g := startUpstreamSync(t, source)
			time.Sleep(10*time.Second + delay)
			source.mu.Lock()
			source.entries[0].Upstream.Leaving = true
			source.mu.Unlock()
			left := time.Now()
			// Another host finds it after the longest time for which a read is recent, plus the stagger of the hosts before it.
			found := time.Duration(freshFraction*float64(maxLeavingDelay)) + maxReadStagger
			time.Sleep(found)
			g.receiveRegistryUpdate(registryUpdate{RegistryState: gossip.RegistryState{Digest: 1}, readAt: time.Now(), from: "b"})
			for {
				upstreams := g.router.registry.View().Upstreams("s")
				if len(upstreams) == 1 && upstreams[0].Leaving {
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
			if took := time.Since(left); took > maxLeavingDelay*9/10 {
				t.Errorf("the upstream was used for %v after it began to leave, want %v at most", took, maxLeavingDelay*9/10)
			}
		})
	}
}
