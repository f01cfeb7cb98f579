package gateway

import (
	"context"
	"time"
)

const (
	// pauseFraction is the fraction of the smaller of Bounds.MaxConfigurationDelay and Bounds.MaxLeavingDelay above which a pause
	// of this process is handled. When a pause begins, the list of upstreams may already be as old as freshFraction of
	// MaxLeavingDelay plus the stagger of a read.
	pauseFraction = 0.35
	// maxHoldAfterPause bounds how long requests wait for reads of the store after a pause. These reads take some tens of
	// milliseconds. If they take longer, the store is unavailable, and the host continues with the state it has.
	maxHoldAfterPause = 300 * time.Millisecond
	// holdCheckInterval is the interval between checks whether the reads have finished.
	holdCheckInterval = 3 * time.Millisecond
	// maxTickAge is the time since the newest tick of the node's loop above which this process may be resuming from a pause.
	maxTickAge = 400 * time.Millisecond
	// staleUpdatePeriod is the time after a delay of the node's loop for which received datagrams may have waited in the socket.
	staleUpdatePeriod = 100 * time.Millisecond
)

// minPause is the length above which a pause is handled. 0 disables the handling of pauses.
func (g *Gateway) minPause() time.Duration {
	bounds := g.boundsNow()
	return bounds.minPause()
}

func (b *Bounds) minPause() time.Duration {
	return time.Duration(pauseFraction * float64(min(b.MaxConfigurationDelay, b.MaxLeavingDelay)))
}

// loopDelay is a time for which the control loop did not run.
type loopDelay struct{ from, until time.Time }

// loopDelayed handles a delay of the control loop.
func (g *Gateway) loopDelayed(by time.Duration) {
	now := time.Now()
	g.lastDelay.Store(&loopDelay{from: now.Add(-by), until: now})
	g.log.loopDelayed(by)
	if limit := g.minPause(); limit > 0 && by > limit {
		g.recordPause(now)
	}
}

// updatesMayBeStale reports whether the datagrams that are received now may have waited in the socket while this process did not run.
// What they state as the age of a read is too small then.
func (g *Gateway) updatesMayBeStale(now time.Time) bool {
	delay := g.lastDelay.Load()
	return g.node.SinceLastTick(now) > maxTickAge || (delay != nil && now.Sub(delay.until) < staleUpdatePeriod)
}

// recordPause records that this process was paused until now, and triggers reads of the configuration and the upstreams. Further
// calls for the same pause have no effect.
func (g *Gateway) recordPause(now time.Time) {
	before := g.pauseEndedAt.Load()
	if before != nil && now.Sub(*before) < g.minPause() {
		return
	}
	if g.pauseEndedAt.CompareAndSwap(before, &now) {
		notify(g.rereadAfterPause.configuration)
		notify(g.rereadAfterPause.upstreams)
	}
}

// awaitFreshState holds a request that arrives after a pause of this process until the configuration and the upstreams have been
// read again. In the meantime its key may have been withdrawn, and upstreams may have left.
func (g *Gateway) awaitFreshState(ctx context.Context) {
	now := time.Now()
	if limit := g.minPause(); limit > 0 && g.node.SinceLastTick(now) > limit {
		g.recordPause(now) // the control loop has not run yet
	}
	pauseEnd := g.pauseEndedAt.Load()
	if pauseEnd == nil || g.refreshedSince(*pauseEnd) {
		return
	}
	ticker := time.NewTicker(holdCheckInterval)
	defer ticker.Stop()
	for time.Since(*pauseEnd) < maxHoldAfterPause && !g.refreshedSince(*pauseEnd) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// refreshedSince reports whether the configuration and the upstreams are from reads of the store that began after a time.
func (g *Gateway) refreshedSince(at time.Time) bool {
	configuration := g.configurationAsOf.Load()
	return configuration != nil && configuration.After(at) && g.router.registry.View().ReadAt.After(at)
}
