package gateway

import (
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/relay"
)

const (
	// extraAcceptTime is how long a leaving host accepts requests after the TTL of the addresses that callers have cached.
	extraAcceptTime = 500 * time.Millisecond
	// firstRequestWait is how long connections stay open after the listener is closed. The first request on a connection that was
	// just accepted arrives a round trip later.
	firstRequestWait = 200 * time.Millisecond
	// passOnDivisor divides the grace period to obtain the time until which requests are sent to upstreams. They can finish in the
	// rest.
	passOnDivisor = 2
	// exitReserve and exitDivisor bound the part of the grace period that is not used: the smaller of exitReserve and the grace
	// period divided by exitDivisor.
	exitReserve = 150 * time.Millisecond
	exitDivisor = 10
	// lastResponseTime is the time for writing the host's own responses to the requests that have not finished. lastResponseShare is
	// the share of the grace period that those requests get at least: a short grace period must not lose most of it to lastResponseTime.
	lastResponseTime  = 100 * time.Millisecond
	lastResponseShare = 5. / 6
	// leaveCheckInterval is the interval between checks for idle connections and for changes of the grace period.
	leaveCheckInterval = 20 * time.Millisecond
	// signalDelay bounds the time between the end of a pause of this process and the handling of a signal that came in it. A process
	// that resumes on a busy machine has much to do at once.
	signalDelay = time.Second
)

// stopSignal is the request to shut down.
type stopSignal struct {
	// receivedAt is when this process has seen the signal, and sentAt the earliest time at which it can have been sent.
	sentAt, receivedAt time.Time
	// addressTTL is how long callers have cached this host's address.
	addressTTL time.Duration
}

// shutdownTimes are the times of the steps of a shutdown.
type shutdownTimes struct {
	// closeListener is when the listener is closed. Until passOnUntil, requests are sent to upstreams.
	closeListener, passOnUntil time.Time
	// At finishBy, requests that have not finished get the host's own response. The process ends at exitBy at the latest.
	finishBy, exitBy time.Time
}

// timesOf returns the times of a shutdown within a grace period. If the process was paused when the signal came, the grace period may
// have begun with the pause. Only requests that can finish within that period are then sent to upstreams. Those in flight may use the
// longer one, because their own responses are worth more to callers than an early one of this host.
func (s *stopSignal) timesOf(grace time.Duration) shutdownTimes {
	exit := grace - min(exitReserve, grace/exitDivisor)
	finish := max(exit-lastResponseTime, time.Duration(lastResponseShare*float64(grace)))
	t := shutdownTimes{
		closeListener: s.receivedAt.Add(s.addressTTL + extraAcceptTime), passOnUntil: s.sentAt.Add(grace / passOnDivisor),
		finishBy: s.receivedAt.Add(min(finish, exit)), exitBy: s.receivedAt.Add(exit),
	}
	if latest := t.passOnUntil.Add(-firstRequestWait); t.closeListener.After(latest) {
		t.closeListener = latest
	}
	return t
}

// shutdownTimes returns the times of the current shutdown. It returns false if there is none.
func (g *Gateway) shutdownTimes() (shutdownTimes, bool) {
	signal := g.stopSignal.Load()
	if signal == nil {
		return shutdownTimes{}, false
	}
	return signal.timesOf(time.Duration(g.stopGrace.Load())), true
}

// shutdown returns the limits for requests during a shutdown.
func (g *Gateway) shutdown() (relay.Shutdown, bool) {
	t, ok := g.shutdownTimes()
	if !ok {
		return relay.Shutdown{}, false
	}
	signal := g.stopSignal.Load()
	return relay.Shutdown{PassOnUntil: t.passOnUntil, FinishBy: t.finishBy.Add(signal.sentAt.Sub(signal.receivedAt))}, true
}

// beginShutdown records the stop signal.
func (g *Gateway) beginShutdown(now time.Time) {
	g.stopGrace.Store(int64(g.boundsNow().ShutdownGrace))
	g.stopSignal.Store(&stopSignal{sentAt: g.earliestSignal(now), receivedAt: now, addressTTL: g.addressTTL()})
	g.limitStopGrace() // the bounds may have changed meanwhile
}

// limitStopGrace applies a shorter grace period of changed bounds to a shutdown. A longer one has no effect: the platform may count
// with the one that applied when it sent the signal.
func (g *Gateway) limitStopGrace() {
	grace := int64(g.boundsNow().ShutdownGrace)
	for {
		before := g.stopGrace.Load()
		if grace >= before || g.stopGrace.CompareAndSwap(before, grace) {
			return
		}
	}
}

// earliestSignal returns the earliest time at which a signal can have been sent that this process sees now. A signal that comes while
// the process is paused is seen after the pause.
func (g *Gateway) earliestSignal(now time.Time) time.Time {
	earliest := now.Add(-g.node.SinceLastTick(now)) // the control loop has not run since
	if pause := g.lastDelay.Load(); pause != nil && now.Sub(pause.until) < signalDelay && pause.from.Before(earliest) {
		earliest = pause.from
	}
	return earliest
}

// leave shuts the host down. Callers are directed to other hosts at once, and each response closes its connection. Requests are
// accepted until callers have had time to resolve other addresses. Then the listener is closed, which makes callers connect to
// other hosts. Idle connections are closed firstRequestWait later. From half of the grace period on, requests that were not sent to an
// upstream are rejected, whether they wait, arrive, or have arrived in part. Those in flight finish, or get the host's own response
// shortly before the end of the grace period. served receives a value when the accept loop has ended: from then on the server has
// registered every open connection.
func (g *Gateway) leave(served <-chan error) error {
	started := time.Now()
	g.beginShutdown(started)
	g.leaving.Store(true)
	g.node.Leave()
	g.server.CloseAfterResponses()
	g.logger.Info().Str("event", "stop").Int64("in_flight", g.server.InFlight()).
		Dur("grace_ms", time.Duration(g.stopGrace.Load())).Dur("sent_before_ms", started.Sub(g.stopSignal.Load().sentAt)).Send()
	for g.isBefore(func(t shutdownTimes) time.Time { return t.closeListener }) {
		time.Sleep(leaveCheckInterval)
	}
	_ = g.listener.Close()
	err := <-served
	time.Sleep(firstRequestWait)
	g.drain()
	g.logger.Info().Str("event", "stopped").Int64("in_flight", g.server.InFlight()).
		Dur("took_ms", time.Since(started)).Send()
	g.log.flush()
	return err
}

// isBefore reports whether a step of the current shutdown is still to come.
func (g *Gateway) isBefore(step func(shutdownTimes) time.Time) bool {
	t, _ := g.shutdownTimes()
	return time.Now().Before(step(t))
}

// drain closes the connections as they become idle. It returns when none is open, or at the end of the grace period.
func (g *Gateway) drain() {
	rejecting, cancelled := false, false
	for g.server.CloseIdle() > 0 {
		now := time.Now()
		t, _ := g.shutdownTimes()
		if !rejecting && !now.Before(t.passOnUntil) {
			rejecting = true
			g.server.RejectUnread()
			g.logger.Info().Str("event", "stop_rejecting").Int64("in_flight", g.server.InFlight()).
				Int64("connections", g.server.Connections()).Send()
		}
		if !cancelled && !now.Before(t.finishBy) {
			cancelled = true
			g.logger.Warn().Str("event", "stop_cancelling").Int64("in_flight", g.server.InFlight()).Send()
			g.server.CancelRequests()
		}
		if !now.Before(t.exitBy) {
			return
		}
		time.Sleep(leaveCheckInterval)
	}
}
