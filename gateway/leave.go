package gateway

import "time"

const (
	// extraAcceptTime is how long a leaving host accepts requests after the TTL of the addresses that callers have cached.
	extraAcceptTime = 500 * time.Millisecond
	// firstRequestWait is how long connections stay open after the listener is closed. The first request on a connection that was
	// just accepted arrives a round trip later.
	firstRequestWait = 200 * time.Millisecond
	// acceptDivisor divides the grace period to obtain the latest time for accepting requests. They can finish in the rest.
	acceptDivisor = 2
	// leaveReserve is the part of the grace period that is not used.
	leaveReserve = 150 * time.Millisecond
	// idleCheckInterval is the interval between checks for idle connections.
	idleCheckInterval = 20 * time.Millisecond
)

// leave shuts the host down. Callers are directed to other hosts at once, and each response closes its connection. Requests are
// accepted until callers have had time to resolve other addresses. Then the listener is closed, which makes callers connect to
// other hosts. Idle connections are closed firstRequestWait later. The requests in flight finish, unless they take longer than the
// grace period without leaveReserve. served receives a value when the accept loop has ended: from then on the server has
// registered every open connection.
func (g *Gateway) leave(served <-chan error) error {
	bounds := g.boundsNow()
	started := time.Now()
	g.leaving.Store(true)
	g.node.Leave()
	g.server.CloseAfterResponses()
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
