package pipeline

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/bronzeyard/bronzeyard/traffic/httphead"
)

const (
	// headerSlack is added to the limit of the header, because the read buffer may already hold a part of the body.
	headerSlack = bufferBytes
	// initialBodyBytes is the initial buffer size for a body of unknown length.
	initialBodyBytes = 64 << 10
)

// readRequest reads the request that follows the last one. It returns nil if the connection has ended, and an exchange without a
// request if the request is rejected.
func (c *conn) readRequest(last *exchange) *exchange {
	limits := c.server.options.Limits()
	c.startIdleTimeout(limits.IdleTimeout)
	c.limited.remaining = math.MaxInt64
	if _, err := c.reader.Peek(1); err != nil {
		return nil
	}
	c.startHeaderTimeout(limits.HeaderTimeout)
	c.limited.remaining = limits.HeaderBytes + headerSlack
	memory := &headerMemory{budget: c.server.options.Budget}
	parsed, rejection := c.readHeader(memory)
	if parsed == nil {
		memory.release()
		return c.reject(rejection, nil)
	}
	c.limited.remaining = math.MaxInt64
	request := &Request{HTTP: parsed, ReadAt: time.Now()}
	if rejection := c.readBody(request, limits.BodyBytes, last); rejection != 0 {
		memory.release()
		return c.reject(rejection, parsed)
	}
	e := newExchange()
	e.request, e.memory = request, memory
	e.method, e.close, e.barrier = parsed.Method, parsed.Close, !isSafe(parsed.Method)
	return e
}

// readHeader reads the request line and the header. It returns no request if the header is rejected, or the connection has ended and
// the rejection is 0.
func (c *conn) readHeader(memory *headerMemory) (*http.Request, Rejection) {
	begin := c.consumed()
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if !memory.add(buffered) {
		return nil, BudgetExhausted
	}
	c.limited.header = memory
	parsed, err := http.ReadRequest(c.reader)
	c.limited.header = nil
	switch {
	case memory.exhausted:
		return nil, BudgetExhausted
	case err != nil:
		return nil, headerRejection(c.limited)
	case httphead.CheckNames(parsed.Header) != nil: // http.Transport does not send it, which would look like an unreachable upstream
		return nil, Malformed
	case !memory.set(headerSize(c.consumed()-begin, fieldCount(parsed.Header)), freeHeaderBytes):
		return nil, BudgetExhausted
	default:
		return parsed, 0
	}
}

// consumed returns the number of bytes of the connection that were parsed.
func (c *conn) consumed() int64 { return c.limited.total - int64(c.reader.Buffered()) }

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
	c.setArrivalDeadline(time.Now().Add(timeout))
}

func (c *conn) startBodyTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setArrivalDeadline(time.Now().Add(bodyTimeout))
}

// setArrivalDeadline sets the time until which the rest of a request must arrive. Once the server rejects requests that are not
// complete, only what the read buffer holds can still be read. c.mu must be held.
func (c *conn) setArrivalDeadline(at time.Time) {
	if c.server.rejecting.Load() {
		at = pastDeadline
	}
	_ = c.netConn.SetReadDeadline(at) // fails only on a closed connection, which the next read reports
}

// rejectUnread ends the wait for the rest of a request.
func (c *conn) rejectUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		_ = c.netConn.SetReadDeadline(pastDeadline)
	}
}

// reject returns an exchange whose response is ready, or nil if the rejection is 0.
func (c *conn) reject(rejection Rejection, request *http.Request) *exchange {
	if rejection == 0 {
		return nil
	}
	if c.server.rejecting.Load() && (rejection == HeaderTimedOut || rejection == BodyTimedOut) {
		rejection = ShuttingDown
	}
	e := newExchange()
	e.close, e.barrier = true, true
	response := c.server.options.Reject(rejection, request)
	response.Close = true
	e.response <- response
	return e
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
	c.startBodyTimeout()
	size := length
	if length < 0 {
		size = min(limit, initialBodyBytes)
	}
	return c.fillBody(request, body, size, limit)
}

// sendContinue sends "100 Continue", which asks the caller for the body. It first waits for the responses to all earlier
// requests, because on the wire it must not come between them. It reports false if the connection has ended or the server waits for
// no further body.
func (c *conn) sendContinue(last *exchange) bool {
	if last != nil {
		if arrives, ok := c.awaitWritten(last); !ok || arrives {
			return ok
		}
	}
	if c.server.rejecting.Load() {
		return false
	}
	_, err := io.WriteString(c.netConn, "HTTP/1.1 100 Continue\r\n\r\n")
	return err == nil
}

// awaitWritten waits until an exchange has ended, and watches the connection meanwhile. arrives is true if the caller sends the
// body without waiting for "100 Continue". ok is false if the connection has ended.
func (c *conn) awaitWritten(last *exchange) (arrives, ok bool) {
	c.mu.Lock()
	c.setArrivalDeadline(time.Time{})
	c.mu.Unlock()
	stop := make(chan struct{})
	interrupted := make(chan struct{})
	go func() {
		defer close(interrupted)
		select {
		case <-last.written:
			_ = c.netConn.SetReadDeadline(pastDeadline) // ends the read below
		case <-stop:
		}
	}()
	_, err := c.reader.Peek(1)
	close(stop)
	<-interrupted
	if err == nil {
		return true, true
	}
	c.limited.connErr = nil
	return false, errors.Is(err, os.ErrDeadlineExceeded)
}

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

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

// limitedReader limits how many bytes are read from a connection. Its user changes remaining only between reads.
type limitedReader struct {
	conn      net.Conn
	remaining int64
	total     int64 // bytes that were read
	connErr   error // the last read error of the connection
	// header accounts for the bytes while a header is read; nil otherwise.
	header *headerMemory
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
	l.total += int64(n)
	if err != nil {
		l.connErr = err
	}
	if l.header != nil && !l.header.add(p[:n]) {
		return 0, errHeaderMemory
	}
	return n, err
}

var (
	errHeaderTooLarge = errors.New("request header exceeds the size limit")
	errHeaderMemory   = errors.New("the memory budget has no room for the request header")
)
