package gateway

import (
	"context"
	"time"
)

const (
	// pausePart is the part of the shorter one of Bounds.ApplyConfiguration and Bounds.StopLeaving from which a pause of this
	// process counts: the list of upstreams is up to freshPart of StopLeaving and a turn old when a pause begins.
	pauseFraction = 0.35
	// holdAfterPause bounds the time for which requests wait after a pause for reads of the store. They take some tens of
	// milliseconds; where they take longer the store is away, and the host goes on with what it has.
	maxHoldAfterPause = 300 * time.Millisecond
	// holdStep is the time between two looks whether the reads have ended.
	holdCheckInterval = 3 * time.Millisecond
)

// pauseLimit is the length from which a pause counts. 0 is none.
func (g *Gateway) minPause() time.Duration {
	bounds := g.boundsNow()
	return time.Duration(pauseFraction * float64(min(bounds.MaxConfigurationDelay, bounds.MaxLeavingDelay)))
}

// processLate takes that the control loop ran late.
func (g *Gateway) loopDelayed(by time.Duration) {
	g.log.loopDelayed(by)
	if limit := g.minPause(); limit > 0 && by > limit {
		g.recordPause(time.Now())
	}
}

// endPause notes that this process was paused until now, and has the configuration and the upstreams read. Of several calls
// after a pause the first one counts.
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

// awaitFresh holds a request that is read after a pause of this process until the configuration and the upstreams were read
// again: its key may have been withdrawn and upstreams may have left meanwhile.
func (g *Gateway) awaitFreshState(ctx context.Context) {
	now := time.Now()
	if limit := g.minPause(); limit > 0 && g.node.SilentFor(now) > limit {
		g.recordPause(now) // the control loop has not run yet
	}
	until := g.pauseEndedAt.Load()
	if until == nil || g.refreshedSince(*until) {
		return
	}
	ticker := time.NewTicker(holdCheckInterval)
	defer ticker.Stop()
	for time.Since(*until) < maxHoldAfterPause && !g.refreshedSince(*until) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readSince reports whether what is in force comes from reads of the store that began after a time.
func (g *Gateway) refreshedSince(at time.Time) bool {
	configuration := g.configurationAsOf.Load()
	return configuration != nil && configuration.After(at) && g.router.registry.View().ReadAt.After(at)
}
