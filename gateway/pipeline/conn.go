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
	// bufferBytes is the size of the read buffer and of the write buffer of a connection.
	bufferBytes = 4 << 10
	// headerSlack is added to the limit of the header, because the read buffer may already hold a part of the body.
	headerSlack = bufferBytes
	// initialBodyBytes is the initial buffer size for a body of unknown length.
	initialBodyBytes = 64 << 10
)

// conn is one connection of a caller: a reader that starts requests and a writer that sends their responses in order.
type conn struct {
	server  *Server
	netConn net.Conn
	limited *limitedReader
	reader  *bufio.Reader
	ctx     context.Context // done when the caller disconnects or the connection is closed
	cancel  context.CancelFunc
	pending chan *exchange

	mu sync.Mutex
	// outstanding counts the requests that were read and are not yet answered, and unsent those of them whose response has not
	// begun to be sent.
	outstanding, unsent int
	// closing is set before the last response is written. No request may start after it: the caller considers the requests
	// after that response unread and sends them again.
	closing    bool
	reading    bool // a request has begun to arrive, so the idle timeout does not apply
	closedIdle bool // the connection was closed while it was idle; no request may start
}

// exchange is one request and its response.
type exchange struct {
	method   string
	close    bool // the caller wants the connection closed after the response
	inFlight bool // the request counts as in flight and may start
	response chan *Response
	request  *Request      // nil for a request that was rejected
	readyAt  time.Time     // when the handler returned the response
	written  chan struct{} // closed when the exchange has ended, answered or not
	barrier  bool          // no later request may start before the response was written
}

func newConn(ctx context.Context, s *Server, accepted net.Conn) *conn {
	ctx, cancel := context.WithCancel(ctx)
	limited := &limitedReader{conn: accepted, remaining: math.MaxInt64}
	return &conn{
		server: s, netConn: accepted, limited: limited, reader: bufio.NewReaderSize(limited, bufferBytes),
		ctx: ctx, cancel: cancel, pending: make(chan *exchange, s.options.MaxPipelined),
	}
}

// serve handles the connection until it is closed.
func (c *conn) serve() {
	defer func() { _ = c.netConn.Close() }()
	defer c.cancel()
	go c.read()
	if c.write() {
		c.linger()
	}
	c.cancel()
	_ = c.netConn.Close()
	for e := range c.pending { // the reader may still add an exchange
		c.finish(e)
	}
}

// read starts requests until the connection ends or its last request was read.
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
			return // rejected; the connection is closed after the response
		}
		go c.handle(e, request)
		if e.close {
			c.watchForClose()
			return
		}
	}
}

// awaitTurn blocks until the requests before this one allow it to start. It reports false if the connection has ended.
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

// watchForClose reads and discards what follows the last request of a connection, to detect that the caller disconnects.
func (c *conn) watchForClose() {
	c.limited.remaining = math.MaxInt64
	_, _ = io.Copy(io.Discard, c.reader)
	c.cancel()
}

func (c *conn) handle(e *exchange, request *Request) {
	bodyBytes := int64(cap(request.Body))
	response := c.server.options.Handler(c.ctx, request)
	request.Body = nil
	c.server.options.Budget.Release(bodyBytes)
	e.request, e.readyAt = request, time.Now()
	release := response.Release
	e.response <- response
	if release != nil {
		<-e.written
		release()
	}
}

// readRequest reads the request that follows the last one. It returns no exchange if the connection has ended, and no request
// if the request is rejected.
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
	if rejection := c.readBody(request, limits.BodyBytes, last); rejection != 0 {
		return c.reject(rejection)
	}
	e := newExchange()
	e.method, e.close, e.barrier = parsed.Method, parsed.Close, !isSafe(parsed.Method)
	c.markInFlight(e)
	return e, request
}

func newExchange() *exchange {
	return &exchange{response: make(chan *Response, 1), written: make(chan struct{})}
}

// markInFlight counts a request as in flight, which allows it to start, unless the connection is about to be closed. In that
// case the requests before this one are still answered, and the caller sends this one again.
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

// isLast decides whether a response is the last one of its connection. It is if the handler or the caller asks to close the
// connection, or if the server is closing its connections and no later request has started.
func (c *conn) isLast(e *exchange, response *Response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent--
	c.closing = response.Close || e.close || (c.server.closing.Load() && c.unsent == 0)
	return c.closing
}

// closeIfIdle closes the connection if it is idle. It reports false if a request is in flight or arriving.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outstanding > 0 || c.reading {
		return false
	}
	c.closedIdle = true
	_ = c.netConn.Close() // the reader then fails and ends the connection
	return true
}

// startIdleTimeout starts the idle timeout unless responses are outstanding, in which case the writer starts it.
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

// reject returns an exchange whose response is ready, or no exchange if the rejection is 0.
func (c *conn) reject(rejection Rejection) (*exchange, *Request) {
	if rejection == 0 {
		return nil, nil
	}
	e := newExchange()
	e.close = true
	response := c.server.options.Reject(rejection)
	response.Close = true
	e.response <- response
	c.markInFlight(e)
	return e, nil
}

// headerRejection returns the reason why a header could not be parsed, or 0 if the connection has ended. An error of the
// connection takes precedence, because the parser reports a truncated header as malformed.
func headerRejection(limited *limitedReader) Rejection {
	switch {
	case limited.remaining <= 0:
		return HeaderTooLarge
	case errors.Is(limited.connErr, os.ErrDeadlineExceeded):
		return HeaderTimedOut
	case limited.connErr != nil:
		return 0
	default:
		return Malformed
	}
}

// readBody reads the whole body if it is within the limit. It returns 0 on success.
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

// sendContinue sends "100 Continue", which asks the caller for the body. It first waits for the responses to all earlier
// requests, because on the wire it must not come between them.
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

// fillBody reads a body into a buffer with the given initial size, which grows up to the limit. The buffer has room for one
// byte beyond the limit, to detect whether the body ends there.
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

// write sends the responses in order. It reports whether the connection is to be closed gracefully.
func (c *conn) write() bool {
	writer := bufio.NewWriterSize(c.netConn, bufferBytes)
	for e := range c.pending {
		response := <-e.response
		if c.ctx.Err() != nil {
			c.finish(e)
			return false
		}
		last := c.isLast(e, response)
		err := writeResponse(c.netConn, writer, e.method, response, last)
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

// writeResponse writes one response to the connection. If last is true, the response has the header "Connection: close".
func writeResponse(netConn net.Conn, writer *bufio.Writer, method string, response *Response, last bool) error {
	message := http.Response{
		StatusCode: response.Status, ProtoMajor: 1, ProtoMinor: 1, Header: response.Header, Close: last,
		Body: io.NopCloser(bytes.NewReader(response.Body)), ContentLength: int64(len(response.Body)),
		Request: &http.Request{Method: method},
	}
	if method == http.MethodHead {
		if len(response.Body) == 0 {
			message.ContentLength = response.Length
		}
		message.Body = http.NoBody
		// Without this, net/http announces the close of the connection if the length is not known. No body follows, so the
		// response ends with its header.
		message.Uncompressed = true
	}
	if err := netConn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
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

// discard ends an exchange that is not passed to the writer, and releases its body's memory.
func (c *conn) discard(e *exchange, request *Request) {
	if request != nil {
		c.server.options.Budget.Release(int64(cap(request.Body)))
	}
	c.finish(e)
}

// linger closes the sending side and waits until the reader has seen the end of the connection, for at most lingerTimeout.
func (c *conn) linger() {
	writeCloser, ok := c.netConn.(interface{ CloseWrite() error })
	if !ok || writeCloser.CloseWrite() != nil {
		return
	}
	_ = c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
	select {
	case <-c.ctx.Done(): // the reader saw the end of the connection
	case <-time.After(lingerTimeout):
	}
}

// limitedReader limits how many bytes are read from a connection. Its user changes remaining only between reads.
type limitedReader struct {
	conn      net.Conn
	remaining int64
	connErr   error // the last read error of the connection
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

var errHeaderTooLarge = errors.New("request header exceeds the size limit")
