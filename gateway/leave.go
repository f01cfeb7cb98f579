package gateway

import "time"

const (
	// acceptTime is for how long a host that leaves takes requests, beyond the time for which callers keep addresses.
	extraAcceptTime = 500 * time.Millisecond
	// firstRequest is for how long connections stay open behind the close of the listener. The first request on one that was just
	// accepted follows it by a round trip.
	firstRequestWait = 200 * time.Millisecond
	// acceptPart is the part of the grace after which no request is taken in any case, so that they can end within the rest.
	acceptDivisor = 2
	// leaveReserve is the part of the grace that is left unused.
	leaveReserve = 150 * time.Millisecond
	// leaveStep is the time between two looks at the connections.
	idleCheckInterval = 20 * time.Millisecond
)

// leave takes the host out of use without cutting a request: callers are sent elsewhere at once, each answer is the last of
// its connection, and requests are taken until callers have had the time to ask for other addresses. Then the listener is
// closed, so that callers turn to other hosts, and a moment later idle connections; the requests in flight end. served tells
// that no connection is accepted any more, so that none is open which the server does not know yet.
func (g *Gateway) leave(served <-chan error) error {
	bounds := g.boundsNow()
	started := time.Now()
	g.leaving.Store(true)
	g.node.Leave()
	g.server.CloseAfterAnswers()
	g.logger.Info().Str("event", "stop").Int64("in_flight", g.server.InFlight()).
		Dur("grace_ms", bounds.ShutdownGrace).Send()
	time.Sleep(min(g.addressTTL()+extraAcceptTime, bounds.ShutdownGrace/acceptDivisor-firstRequestWait))
	_ = g.listener.Close()
	err := <-served
	time.Sleep(firstRequestWait)
	end := started.Add(bounds.ShutdownGrace - leaveReserve)
	for g.server.CloseIdle() > 0 && time.Now().Before(end) {
		time.Sleep(idleCheckInterval)
	}
	g.logger.Info().Str("event", "stopped").Int64("in_flight", g.server.InFlight()).
		Dur("took_ms", time.Since(started)).Send()
	g.log.flush()
	return err
}
