package host

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
	"github.com/bronzeyard/bronzeyard/traffic/proxy"
)

// roundRobin is the first selector of the thin path.
type roundRobin struct{ next atomic.Uint64 }

// Pick implements proxy.Selector.
func (s *roundRobin) Pick(service *settings.Service, _ *settings.Policy, exclude []settings.UpstreamID) (proxy.Attempt, error) {
	n := len(service.Upstreams)
	start := int(s.next.Add(1))
	for i := range n {
		upstream := &service.Upstreams[(start+i)%n]
		if upstream.Leaving || contains(exclude, upstream.ID) {
			continue
		}
		return proxy.Attempt{Upstream: *upstream, Done: func(proxy.Result) {}}, nil
	}
	return proxy.Attempt{}, errkind.New(errkind.NoUpstream, nil)
}

func contains(ids []settings.UpstreamID, id settings.UpstreamID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

type openQueue struct{}

// Acquire implements proxy.Queue.
func (openQueue) Acquire(context.Context, *settings.Service, *settings.Customer) (func(), error) {
	return func() {}, nil
}

type noRetries struct{}

func (noRetries) OnSuccess(settings.ServiceName)     {}
func (noRetries) TryRetry(settings.ServiceName) bool { return false }

type openLimiter struct{}

// Admit implements proxy.Limiter.
func (openLimiter) Admit(context.Context, settings.CustomerID) proxy.LimitDecision {
	return proxy.LimitDecision{Allowed: true}
}

type alwaysActive struct{}

// Active implements proxy.Lease.
func (alwaysActive) Active() bool { return true }

const shutdownGrace = 5 * time.Second
