package forward

import (
	"container/list"
	"slices"
	"sync"
	"time"
)

// maxIdleExamined bounds the connections that one call of IdleAddresses examines, so that it takes a few microseconds.
const maxIdleExamined = 24

// idleIndex lists the idle connections by service, because http.Transport does not tell which ones it has. A connection that was opened
// for a request but first becomes idle without one is not listed. Its zero value is ready for use. It is safe for concurrent use.
type idleIndex struct {
	mu sync.Mutex
	// byService holds the connections as *countedConn, the one that became idle last at the front.
	byService map[string]*list.List
}

// idleEntry is the state of a connection in an idleIndex, whose lock guards it.
type idleEntry struct {
	service, address string
	since            time.Time
	element          *list.Element // nil if the connection is not listed
	closed           bool
}

// add lists the connection of an attempt that has ended. http.Transport may have assigned it to another attempt, or closed it, by now.
func (x *idleIndex) add(now time.Time, service, address string, used *assignment) {
	x.mu.Lock()
	defer x.mu.Unlock()
	conn := used.conn
	if conn.idle.closed || conn.idle.element != nil || conn.requests.Load() != used.Requests+1 {
		return
	}
	if x.byService == nil {
		x.byService = make(map[string]*list.List)
	}
	conns := x.byService[service]
	if conns == nil {
		conns = list.New()
		x.byService[service] = conns
	}
	conn.idle = idleEntry{service: service, address: address, since: now, element: conns.PushFront(conn)}
}

// remove removes a connection that was assigned to an attempt or closed.
func (x *idleIndex) remove(conn *countedConn, closed bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	conn.idle.closed = conn.idle.closed || closed
	if conn.idle.element == nil {
		return
	}
	conns := x.byService[conn.idle.service]
	conns.Remove(conn.idle.element)
	conn.idle.element = nil
	if conns.Len() == 0 {
		delete(x.byService, conn.idle.service)
	}
}

// idleConn is an idle connection at the time of a call of newest.
type idleConn struct {
	address string
	idle    time.Duration
}

// newest returns the connection to each upstream of a service that became idle last, which http.Transport would use first.
func (x *idleIndex) newest(now time.Time, service string) []idleConn {
	x.mu.Lock()
	defer x.mu.Unlock()
	conns := x.byService[service]
	if conns == nil {
		return nil
	}
	found := make([]idleConn, 0, min(conns.Len(), maxIdleExamined))
	element := conns.Front()
	for range min(conns.Len(), maxIdleExamined) {
		conn := element.Value.(*countedConn)
		known := slices.ContainsFunc(found, func(c idleConn) bool { return c.address == conn.idle.address })
		if !known && conn.requests.Load() < maxIDsPerConnection {
			found = append(found, idleConn{conn.idle.address, now.Sub(conn.idle.since)})
		}
		element = element.Next()
	}
	return found
}

// IdleAddresses returns the addresses of the upstreams of a service to which there is an idle connection that a request would use now, at
// most limit, the ones used last first. An idempotent request uses any; others only those that are trusted after they were idle. The
// connection may be in use or closed when the request is sent.
func (f *Forwarder) IdleAddresses(service string, idempotent bool, limit int) (addresses []string) {
	now := time.Now()
	for _, conn := range f.index.newest(now, service) {
		if len(addresses) == limit {
			break
		}
		if idempotent || f.idle.trusts(now, service, conn.address, conn.idle) {
			addresses = append(addresses, conn.address)
		}
	}
	return addresses
}
