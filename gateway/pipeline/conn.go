package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// bufferBytes is the size of the read and the write buffer of a connection.
	bufferBytes = 4 << 10
	// headerSlack is added to the limit of the header, because the buffer may read ahead into the body.
	headerSlack = bufferBytes
	// bodyPiece is reserved at first for a body of unknown length, in bytes.
	initialBodyBytes = 64 << 10
)

// conn is one connection of a caller: a reader that starts requests and a writer that sends their answers in order.
type conn struct {
	server  *Server
	netConn net.Conn
	limited *limitedReader
	reader  *bufio.Reader
	ctx     context.Context // ends when the caller goes away or the connection is closed
	cancel  context.CancelFunc
	pending chan *exchange

	mu sync.Mutex
	// outstanding counts the requests that were read and are not answered, and unsent those of them whose answers are not yet
	// being sent.
	outstanding, unsent int
	// ended is set before the last answer is written. No request may start after it: the caller takes requests behind that
	// answer as not read and sends them again.
	closing    bool
	reading    bool // a request has begun to arrive, so the idle timeout does not apply
	closedIdle bool // the connection was closed while it was idle; no request may start
}

// exchange is one request and its answer.
type exchange struct {
	method   string
	close    bool // the caller wants the connection closed after the answer
	inFlight bool // it counts as a request in flight
	response chan *Response
	request  *Request      // nil for a request that was refused
	readyAt  time.Time     // when the answer was there
	written  chan struct{} // closed when the answer was written
	barrier  bool          // no later request may start before the answer
}

func newConn(ctx context.Context, s *Server, accepted net.Conn) *conn {
	ctx, cancel := context.WithCancel(ctx)
	source := &limitedReader{conn: accepted, remaining: math.MaxInt64}
	return &conn{
		server: s, netConn: accepted, limited: source, reader: bufio.NewReaderSize(source, bufferBytes),
		ctx: ctx, cancel: cancel, pending: make(chan *exchange, s.options.MaxPipelined),
	}
}

// serve runs the connection to its end.
func (c *conn) serve() {
	defer func() { _ = c.netConn.Close() }()
	defer c.cancel()
	go c.read()
	if c.write() {
		c.linger()
	}
	c.cancel()
	_ = c.netConn.Close()
	for e := range c.pending { // the reader may be about to add another
		c.finish(e)
	}
}

// read starts requests until the connection ends or the last request of the connection was read.
func (c *conn) read() {
	defer close(c.pending)
	var last *exchange
	for {
		e, request := c.readRequest(last)
		if e == nil {
			c.cancel()
			return
		}
		if !e.inFlight || !c.awaitTurn(last, request) || c.isClosing() {
			c.discard(e, request)
			c.watchForClose()
			return
		}
		last = e
		select {
		case c.pending <- e:
		case <-c.ctx.Done():
			c.discard(e, request)
			return
		}
		if request == nil {
			return // refused; the connection is closed after the answer
		}
		go c.handle(e, request)
		if e.close {
			c.watchForClose()
			return
		}
	}
}

// await blocks a request until those before it allow it to start.
func (c *conn) awaitTurn(last *exchange, request *Request) bool {
	if last == nil || (request != nil && !last.barrier && isSafe(request.HTTP.Method)) {
		return true
	}
	select {
	case <-last.written:
		return true
	case <-c.ctx.Done():
		return false
	}
}

func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// watch reads on behind the last request of a connection to notice that the caller goes away.
func (c *conn) watchForClose() {
	c.limited.remaining = math.MaxInt64
	_, _ = io.Copy(io.Discard, c.reader)
	c.cancel()
}

func (c *conn) handle(e *exchange, request *Request) {
	defer c.server.options.Budget.Release(int64(cap(request.Body)))
	answer := c.server.options.Handler(c.ctx, request)
	request.Body = nil // its share of the budget is given back now
	e.request, e.readyAt = request, time.Now()
	e.response <- answer
}

// next reads one request behind the last one. It returns no exchange if the connection has ended, and no request if the
// request is refused.
func (c *conn) readRequest(last *exchange) (*exchange, *Request) {
	limits := c.server.options.Limits()
	c.startIdleTimeout(limits.IdleTimeout)
	c.limited.remaining = math.MaxInt64
	if _, err := c.reader.Peek(1); err != nil {
		return nil, nil
	}
	c.startHeaderTimeout(limits.HeaderTimeout)
	c.limited.remaining = limits.HeaderBytes + headerSlack
	parsed, err := http.ReadRequest(c.reader)
	if err != nil {
		return c.reject(headerRejection(c.limited))
	}
	c.limited.remaining = math.MaxInt64
	request := &Request{HTTP: parsed, ReadAt: time.Now()}
	if refusal := c.readBody(request, limits.BodyBytes, last); refusal != 0 {
		return c.reject(refusal)
	}
	e := newExchange()
	e.method, e.close, e.barrier = parsed.Method, parsed.Close, !isSafe(parsed.Method)
	c.markInFlight(e)
	return e, request
}

func newExchange() *exchange {
	return &exchange{response: make(chan *Response, 1), written: make(chan struct{})}
}

// count makes a request count as in flight, so that it may start. It does not where the connection is about to end: requests
// before this one are then still answered, and the caller sends it again.
func (c *conn) markInFlight(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.closedIdle || c.closing || (c.unsent > 0 && c.server.closing.Load()) {
		return
	}
	e.inFlight = true
	c.server.inFlight.Add(1)
	c.outstanding++
	c.unsent++
	_ = c.netConn.SetReadDeadline(time.Time{}) // fails only on a closed connection, which the next read reports
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// isLast decides whether an answer is the last of its connection: if either side wants so, or if the server closes its
// connections and no later request has started.
func (c *conn) isLast(e *exchange, answer *Response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent--
	c.closing = answer.Close || e.close || (c.server.closing.Load() && c.unsent == 0)
	return c.closing
}

// drop closes the connection if it is idle. It reports false if a request is in flight or arriving.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outstanding > 0 || c.reading {
		return false
	}
	c.closedIdle = true
	_ = c.netConn.Close() // the reader finds the connection closed and ends it
	return true
}

// idle starts the idle timeout unless answers are outstanding, in which case the writer starts it.
func (c *conn) startIdleTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outstanding == 0 && !c.reading {
		_ = c.netConn.SetReadDeadline(time.Now().Add(timeout))
	}
}

func (c *conn) startHeaderTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	_ = c.netConn.SetReadDeadline(time.Now().Add(timeout))
}

// refuse makes an exchange whose answer is ready.
func (c *conn) reject(refusal Rejection) (*exchange, *Request) {
	if refusal == 0 {
		return nil, nil
	}
	e := newExchange()
	e.close = true
	answer := c.server.options.Reject(refusal)
	answer.Close = true
	e.response <- answer
	c.markInFlight(e)
	return e, nil
}

// headerRefusal explains why a header could not be parsed: by the error of the connection if there was one, because the
// parser takes a header that stops midway as malformed. It returns 0 if the connection has ended.
func headerRejection(source *limitedReader) Rejection {
	switch {
	case source.remaining <= 0:
		return HeaderTooLarge
	case errors.Is(source.connErr, os.ErrDeadlineExceeded):
		return HeaderTimedOut
	case source.connErr != nil:
		return 0
	default:
		return Malformed
	}
}

// readBody reads the whole body within the limit.
func (c *conn) readBody(request *Request, limit int64, last *exchange) Rejection {
	body := request.HTTP.Body
	request.HTTP.Body = http.NoBody
	length := request.HTTP.ContentLength
	if length == 0 || body == nil || body == http.NoBody {
		return 0
	}
	if length > limit {
		return BodyTooLarge
	}
	if request.HTTP.Header.Get("Expect") == "100-continue" && !c.sendContinue(last) {
		return BodyTimedOut
	}
	_ = c.netConn.SetReadDeadline(time.Now().Add(bodyTimeout))
	size := length
	if length < 0 {
		size = min(limit, initialBodyBytes)
	}
	return c.fillBody(request, body, size, limit)
}

// invite asks the caller for the body, after the answers to all requests before: on the wire it must not come between them.
func (c *conn) sendContinue(last *exchange) bool {
	if last != nil {
		select {
		case <-last.written:
		case <-c.ctx.Done():
			return false
		}
	}
	_, err := io.WriteString(c.netConn, "HTTP/1.1 100 Continue\r\n\r\n")
	return err == nil
}

// fill reads a body into a buffer of the given first size, which grows up to the limit. One byte of room beyond the limit
// shows whether the body ends there.
func (c *conn) fillBody(request *Request, body io.Reader, size, limit int64) Rejection {
	budget := c.server.options.Budget
	if !budget.Reserve(size + 1) {
		return BudgetExhausted
	}
	buffer := make([]byte, 0, size+1)
	for {
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case int64(len(buffer)) > limit:
			budget.Release(int64(cap(buffer)))
			return BodyTooLarge
		case err == io.EOF: //nolint:errorlint // a wrapped EOF is not the proper end of a body
			request.Body = buffer
			return 0
		case err != nil:
			budget.Release(int64(cap(buffer)))
			return bodyRejection(err)
		}
		if len(buffer) < cap(buffer) {
			continue
		}
		grown := min(limit, 2*int64(cap(buffer))) + 1
		if !budget.Reserve(grown - int64(cap(buffer))) {
			budget.Release(int64(cap(buffer)))
			return BudgetExhausted
		}
		buffer = append(make([]byte, 0, grown), buffer...)
	}
}

func bodyRejection(err error) Rejection {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return BodyTimedOut
	}
	return Malformed
}

// write sends the answers in order. It reports whether the connection is to be closed gracefully.
func (c *conn) write() bool {
	writer := bufio.NewWriterSize(c.netConn, bufferBytes)
	for e := range c.pending {
		answer := <-e.response
		if c.ctx.Err() != nil {
			c.finish(e)
			return false
		}
		last := c.isLast(e, answer)
		err := writeResponse(c.netConn, writer, e.method, answer, last)
		if e.request != nil {
			c.server.options.ResponseWritten(e.request, time.Since(e.readyAt), err)
		}
		c.finish(e)
		if err != nil {
			return false
		}
		if last {
			return true
		}
	}
	return false
}

// send writes one answer.
func writeResponse(to net.Conn, writer *bufio.Writer, method string, answer *Response, last bool) error {
	message := http.Response{
		StatusCode: answer.Status, ProtoMajor: 1, ProtoMinor: 1, Header: answer.Header, Close: last,
		Body: io.NopCloser(bytes.NewReader(answer.Body)), ContentLength: int64(len(answer.Body)),
		Request: &http.Request{Method: method},
	}
	if method == http.MethodHead {
		message.ContentLength = answer.Length
	}
	if err := to.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if err := message.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// finish ends an exchange, answered or not.
func (c *conn) finish(e *exchange) {
	close(e.written)
	if !e.inFlight {
		return
	}
	c.server.inFlight.Add(-1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outstanding--
	if c.outstanding == 0 && !c.reading {
		_ = c.netConn.SetReadDeadline(time.Now().Add(c.server.options.Limits().IdleTimeout))
	}
}

// forget drops an exchange that the writer will not see.
func (c *conn) discard(e *exchange, request *Request) {
	if request != nil {
		c.server.options.Budget.Release(int64(cap(request.Body)))
	}
	c.finish(e)
}

// linger closes the sending side and reads what the caller still sends.
func (c *conn) linger() {
	half, ok := c.netConn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
	select {
	case <-c.ctx.Done(): // the reader saw the end of the connection
	case <-time.After(lingerTimeout):
	}
}

// limitedReader bounds what is read from a connection. left is changed only between reads.
type limitedReader struct {
	conn      net.Conn
	remaining int64
	connErr   error // of the connection
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.conn.Read(p)
	l.remaining -= int64(n)
	if err != nil {
		l.connErr = err
	}
	return n, err
}

var errHeaderTooLarge = errors.New("the header is larger than allowed")
