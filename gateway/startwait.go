package gateway

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/pipeline"
)

const (
	// maxHeldAtStart bounds the requests that wait for the start of this host. Further ones are handled at once.
	maxHeldAtStart = 256
	// startWaitFraction is the fraction of a caller's time limit for which its request waits at most.
	startWaitFraction = 1.0 / 3
)

// startWait holds the requests that arrive while a host starts. After a kill of all hosts, callers reconnect before any host has a
// configuration, and all their requests would be rejected although each host can serve them some tenths of a second later.
type startWait struct {
	// until is the end of the wait, at which requests are handled with what the host knows.
	until time.Time
	// slots bounds the waiting requests.
	slots chan struct{}
	// started is closed when the host can serve requests, or at until.
	started chan struct{}
	skipped atomic.Bool
}

func newStartWait(now time.Time, limit time.Duration) *startWait {
	w := &startWait{until: now.Add(limit), slots: make(chan struct{}, maxHeldAtStart), started: make(chan struct{})}
	if limit <= 0 {
		close(w.started)
	}
	return w
}

// skip ends the wait. The hosts of a small fleet hear each other only after a heartbeat, and all requests that have waited that long
// would be sent to the upstreams at once.
// It may be nil.
func (w *startWait) skip() {
	if w != nil {
		w.skipped.Store(true)
	}
}

// run closes started as soon as canServe returns true or the wait is skipped, and at the end of the wait.
func (w *startWait) run(ctx context.Context, canServe func(now time.Time) bool) {
	select {
	case <-w.started:
		return
	default:
	}
	defer close(w.started)
	ticker := time.NewTicker(holdCheckInterval)
	defer ticker.Stop()
	for now := time.Now(); now.Before(w.until) && !w.skipped.Load() && !canServe(now); {
		select {
		case <-ctx.Done():
			return
		case now = <-ticker.C:
		}
	}
}

// hold waits until the start has ended, ctx ends or a third of the caller's time limit has passed; a limit of 0 is not known. It returns at
// once if maxHeldAtStart requests wait.
func (w *startWait) hold(ctx context.Context, limit time.Duration) {
	select {
	case <-w.started:
		return
	default:
	}
	select {
	case w.slots <- struct{}{}:
		defer func() { <-w.slots }()
	default:
		return
	}
	if limit > 0 {
		bounded, cancel := context.WithTimeout(ctx, time.Duration(startWaitFraction*float64(limit)))
		defer cancel()
		ctx = bounded
	}
	select {
	case <-w.started:
	case <-ctx.Done():
	}
}

// canServe reports whether this host has its configuration and the upstreams and is not isolated (quota.Limiter.Isolated).
func (g *Gateway) canServe(now time.Time) bool {
	if g.leaving.Load() {
		return true // requests are handled as in any shutdown
	}
	if !g.Ready() {
		return false
	}
	return !g.limiter.Isolated(now)
}

// awaitStart holds a request that arrives while this host starts.
func (g *Gateway) awaitStart(ctx context.Context, request *pipeline.Request) {
	g.startWait.hold(ctx, g.callerLimit(request))
}

// callerLimit returns the time limit of the caller; 0 if there is none that can be read.
func (g *Gateway) callerLimit(request *pipeline.Request) time.Duration {
	milliseconds, err := strconv.ParseInt(request.HTTP.Header.Get(g.options.Headers.Timeout), 10, 32)
	if err != nil {
		return 0
	}
	return time.Duration(max(0, milliseconds)) * time.Millisecond
}
