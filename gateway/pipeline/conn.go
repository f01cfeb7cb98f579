package pipeline

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// bufferBytes is the size of the read buffer and of the write buffer of a connection.
	bufferBytes = 4 << 10
	// maxHeldBytes bounds the size of the requests of one connection that were read and wait for others.
	maxHeldBytes = 256 << 10
)

// conn is one connection of a caller. A reader reads requests ahead and sees when the caller disconnects, a writer sends the
// responses in order, and whatever allows a waiting request to start calls startWaiting.
type conn struct {
	server  *Server
	netConn net.Conn
	limited *limitedReader
	reader  *bufio.Reader
	ctx     context.Context // done when the caller disconnects or the connection is closed
	cancel  context.CancelFunc
	// requestCtx is the context of the handlers. It is done when ctx is, and when the server cancels all requests.
	requestCtx     context.Context
	cancelRequests context.CancelCauseFunc
	// changed tells the writer that started or readerDone has changed. Its capacity is 1.
	changed chan struct{}

	mu sync.Mutex
	// waiting holds the requests that were read and may not start yet, and started those whose response the writer has not taken
	// up, both in the order of the connection.
	waiting, started []*exchange
	// active counts the exchanges that have started and not ended; activeBarrier is true if one of them is a barrier.
	active        int
	activeBarrier bool
	// heldBytes is the size of the requests that were read behind others and are not answered.
	heldBytes int64
	// outstanding counts the requests that were read and are not yet answered, and unsent those of them whose response has not
	// begun to be sent.
	outstanding, unsent int
	// lastRead is set when the reader accepts no further request. What follows is discarded, and the response to the last
	// accepted request closes the connection.
	lastRead   bool
	readerDone bool
	// closing is set before the last response is written. No request may start after it: the caller considers the requests
	// after that response unread and sends them again.
	closing    bool
	reading    bool // a request has begun to arrive, so the idle timeout does not apply
	closedIdle bool // the connection was closed while it was idle; no request may start
	idleSince  time.Time
	// replaced is true if the connection was closed for a new one and no longer counts as open. The server's mu protects it.
	replaced bool
}

// exchange is one request and its response.
type exchange struct {
	method    string
	close     bool // the caller wants the connection closed after the response
	inFlight  bool // the request counts as in flight and may start
	response  chan *Response
	request   *Request      // nil for a request that was rejected
	readyAt   time.Time     // when the handler returned the response
	written   chan struct{} // closed when the exchange has ended, answered or not
	barrier   bool          // no later request may start before the response was written
	memory    *headerMemory // nil for a request that was rejected
	heldBytes int64         // size of a request that was read behind others
}

func newConn(ctx context.Context, s *Server, accepted net.Conn) *conn {
	ctx, cancel := context.WithCancel(ctx)
	requestCtx, cancelRequests := context.WithCancelCause(ctx)
	limited := &limitedReader{conn: accepted, remaining: math.MaxInt64}
	return &conn{
		server: s, netConn: accepted, limited: limited, reader: bufio.NewReaderSize(limited, bufferBytes),
		ctx: ctx, cancel: cancel, requestCtx: requestCtx, cancelRequests: cancelRequests, changed: make(chan struct{}, 1), idleSince: time.Now(),
	}
}

// serve handles the connection until it is closed.
func (c *conn) serve() {
	defer func() { _ = c.netConn.Close() }()
	defer c.cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.read()
	}()
	if c.write() {
		c.linger()
	}
	c.cancel()
	_ = c.netConn.Close()
	<-ended // from now on no request is added
	c.discardAll()
}

// read accepts requests until the last one of the connection, and then discards what follows. It returns when the caller has
// disconnected.
func (c *conn) read() {
	defer c.endReading()
	var last *exchange
	for {
		e := c.readRequest(last)
		if e == nil {
			return
		}
		if !c.accept(e) {
			c.discard(e)
			break
		}
		c.startWaiting()
		last = e
		if e.close {
			break
		}
	}
	c.noMoreRequests()
	c.watchForClose()
}

// endReading ends the requests of a caller that has disconnected.
func (c *conn) endReading() {
	c.cancel()
	c.noMoreRequests()
}

func (c *conn) noMoreRequests() {
	c.mu.Lock()
	c.lastRead, c.readerDone = true, true
	c.mu.Unlock()
	notify(c.changed)
}

// accept adds a request to those that wait to be started. It reports false if the request must not be handled: the connection is
// about to be closed, or too many requests of it wait. The caller sends such a request again, because the response to the last
// accepted request closes the connection.
func (c *conn) accept(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.closedIdle || c.closing || (c.unsent > 0 && (c.server.closing.Load() || !c.hold(e))) {
		c.lastRead = true
		return false
	}
	e.inFlight = true
	c.server.inFlight.Add(1)
	c.outstanding++
	c.unsent++
	c.waiting = append(c.waiting, e)
	_ = c.netConn.SetReadDeadline(time.Time{}) // fails only on a closed connection, which the next read reports
	return true
}

// hold accounts for a request that is read while earlier ones are not answered: the budget contains its whole header. It reports false
// if the connection may hold no further request.
func (c *conn) hold(e *exchange) bool {
	if c.unsent >= c.server.options.MaxPipelined {
		return false
	}
	size := int64(0)
	if e.request != nil {
		size = e.memory.size + int64(cap(e.request.Body))
		if c.heldBytes+size > maxHeldBytes || !e.memory.set(e.memory.size, 0) {
			return false
		}
	}
	e.heldBytes = size
	c.heldBytes += size
	return true
}

// startWaiting starts the requests that the ones before them allow to start.
func (c *conn) startWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.waiting) > 0 && c.mayStart(c.waiting[0]) {
		e := c.waiting[0]
		c.waiting = c.waiting[1:]
		c.started = append(c.started, e)
		c.active++
		c.activeBarrier = e.barrier
		if e.request != nil {
			go c.handle(e)
		}
		notify(c.changed)
	}
}

// mayStart reports whether a request may start. A barrier starts alone, and requests of safe methods run concurrently.
func (c *conn) mayStart(e *exchange) bool {
	if c.closing || c.ctx.Err() != nil || c.active >= c.server.options.MaxConcurrent {
		return false
	}
	return c.active == 0 || (!e.barrier && !c.activeBarrier)
}

func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// watchForClose reads and discards what follows the last request of a connection, to detect that the caller disconnects.
func (c *conn) watchForClose() {
	c.limited.remaining = math.MaxInt64
	_ = c.netConn.SetReadDeadline(time.Time{}) // an expired deadline of a rejected request is no disconnect
	_, _ = io.Copy(io.Discard, c.reader)
}

func (c *conn) handle(e *exchange) {
	request := e.request
	bodyBytes := int64(cap(request.Body))
	response := c.server.options.Handler(c.requestCtx, request)
	request.Body = nil
	c.server.options.Budget.Release(bodyBytes)
	e.readyAt = time.Now()
	release := response.Release
	e.response <- response
	if release != nil {
		<-e.written
		release()
	}
}

func newExchange() *exchange {
	return &exchange{response: make(chan *Response, 1), written: make(chan struct{})}
}

// isIdle reports whether no request is in flight or arriving, and no last response was sent. c.mu must be held.
func (c *conn) isIdle() bool { return c.outstanding == 0 && !c.reading && !c.closing && !c.closedIdle }

// idleStart returns since when the connection is idle. It returns false if it is not.
func (c *conn) idleStart() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, c.isIdle()
}

// closeIfIdle closes the connection if it is idle. It reports false if a request is in flight or arriving, or the last response was
// sent and the connection lingers.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedIdle {
		return true
	}
	if !c.isIdle() {
		return false
	}
	c.closedIdle = true
	_ = c.netConn.Close() // the reader then fails and ends the connection
	return true
}

// finish ends an exchange that has started, answered or not.
func (c *conn) finish(e *exchange) {
	c.end(e)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
	c.activeBarrier = c.activeBarrier && c.active > 0
}

// end ends an exchange and returns its share of the memory budget.
func (c *conn) end(e *exchange) {
	close(e.written)
	if e.memory != nil {
		e.memory.release()
	}
	if !e.inFlight {
		return
	}
	c.server.inFlight.Add(-1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heldBytes -= e.heldBytes
	c.outstanding--
	c.idleSince = time.Now()
	if c.outstanding == 0 && !c.reading {
		_ = c.netConn.SetReadDeadline(time.Now().Add(c.server.options.Limits().IdleTimeout))
	}
}

// discard ends an exchange that does not start, and releases its body's memory.
func (c *conn) discard(e *exchange) {
	if e.request != nil {
		c.server.options.Budget.Release(int64(cap(e.request.Body)))
	}
	c.end(e)
}

// discardAll ends the exchanges of a connection that has ended. Handlers that still run release the bodies of their requests.
func (c *conn) discardAll() {
	c.mu.Lock()
	started, waiting := c.started, c.waiting
	c.started, c.waiting = nil, nil
	c.mu.Unlock()
	for _, e := range started {
		c.finish(e)
	}
	for _, e := range waiting {
		c.discard(e)
	}
}
