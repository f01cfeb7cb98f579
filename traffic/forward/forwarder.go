package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Options configures a Forwarder.
type Options struct {
	// ConnectTimeout limits the time to open a new connection. Default 1 s.
	ConnectTimeout time.Duration
	// IdleTimeout limits each wait for further data of a response body. Default 5 s.
	IdleTimeout time.Duration
	// IdleConnTimeout is how long an idle connection is kept for another request. Default 5 s.
	IdleConnTimeout time.Duration
	// StaleConnTimeout is the time after which a reused connection without a response is assumed to be stale. If its attempt
	// fails later than that, or fails because the connection broke, the other idle connections to its upstream are closed as
	// well. Default 500 ms.
	StaleConnTimeout time.Duration
	// MaxBufferedResponse is the maximum size, in bytes, of a response body that is read to its end before Do returns.
	// Default 256 KiB.
	MaxBufferedResponse int64
	// Budget limits the memory of buffered bodies. Default 64 MiB.
	Budget *BufferBudget
	// AwaitMemory makes attempts wait until Budget has memory for a response that can be buffered. A request to an upstream is not
	// sent while memory is scarce. Default false: a response without memory is streamed.
	AwaitMemory bool
	// MaxIdlePerUpstream limits the idle connections to one upstream. Default 32.
	MaxIdlePerUpstream int
	// HeaderNames are the headers in which upstreams expect the id and the time limit of a request.
	// Default DefaultHeaderNames.
	HeaderNames HeaderNames
	// AllowCloseDelimited accepts responses whose end is marked only by the proper close of the connection. Those up to
	// MaxBufferedResponse are buffered completely. Default false.
	AllowCloseDelimited bool
	// RequireRequestID rejects responses without the id of their request. Without it, only responses with another id are rejected.
	// A faulty upstream may write a response that belongs to no request on a kept connection, so a response without the id may be
	// to an earlier request. Default false.
	RequireRequestID bool
}

// HeaderNames holds names of headers, in their canonical form.
type HeaderNames struct {
	// RequestID is the header with the id of the request, which upstreams echo.
	RequestID string
	// Timeout is the header with the remaining time in milliseconds.
	Timeout string
}

// DefaultHeaderNames returns the header names that Bronzeyard uses by default.
func DefaultHeaderNames() HeaderNames {
	return HeaderNames{RequestID: "X-Request-Id", Timeout: TimeoutHeader}
}

// The defaults of Options.
const (
	defaultConnectTimeout      = time.Second
	defaultIdleTimeout         = 5 * time.Second
	defaultIdleConnTimeout     = 5 * time.Second
	defaultStaleConnTimeout    = 500 * time.Millisecond
	defaultMaxBufferedResponse = 256 << 10
	defaultBudget              = 64 << 20
	defaultMaxIdlePerUpstream  = 32
)

func (o Options) withDefaults() Options {
	o.ConnectTimeout = defaultTo(o.ConnectTimeout, defaultConnectTimeout)
	o.IdleTimeout = defaultTo(o.IdleTimeout, defaultIdleTimeout)
	o.IdleConnTimeout = defaultTo(o.IdleConnTimeout, defaultIdleConnTimeout)
	o.StaleConnTimeout = defaultTo(o.StaleConnTimeout, defaultStaleConnTimeout)
	o.MaxBufferedResponse = defaultTo(o.MaxBufferedResponse, defaultMaxBufferedResponse)
	o.MaxIdlePerUpstream = defaultTo(o.MaxIdlePerUpstream, defaultMaxIdlePerUpstream)
	if o.HeaderNames == (HeaderNames{}) {
		o.HeaderNames = DefaultHeaderNames()
	}
	if o.Budget == nil {
		o.Budget = NewBufferBudget(defaultBudget)
	}
	return o
}

func defaultTo[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Forwarder makes attempts at upstreams. It is safe for concurrent use.
type Forwarder struct {
	options  Options
	pooled   pools
	unpooled *http.Transport
	serial   atomic.Uint64
	dialed   atomic.Uint64 // connections opened
	idle     idleTrust
	index    idleIndex
}

// New returns a Forwarder.
func New(options Options) *Forwarder {
	options = options.withDefaults()
	f := &Forwarder{options: options}
	f.unpooled = newTransport(options, true, &f.dialed, &f.index)
	f.pooled.options, f.pooled.dialed, f.pooled.index = options, &f.dialed, &f.index
	f.serial.Store(randomSerial())
	return f
}

// Budget returns the budget of buffered bodies.
func (f *Forwarder) Budget() *BufferBudget { return f.options.Budget }

// MemoryScarce reports whether so little of the budget is free that no further request should be accepted.
func (f *Forwarder) MemoryScarce() bool { return f.options.Budget.scarceFor("") }

// CloseIdle closes the idle connections to all upstreams.
func (f *Forwarder) CloseIdle() { f.pooled.closeIdle() }

// Do makes one attempt. The context limits the attempt including the reading of a streamed response, and the time left until
// its deadline is sent to the upstream. The error is an *AttemptError. A returned Response must be closed.
func (f *Forwarder) Do(ctx context.Context, q *Request, target Target) (*Response, error) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	a := &attempt{forwarder: f, ctx: attemptCtx, cancel: cancel, start: time.Now(), attemptID: q.ID}
	if !q.Verbatim {
		a.attemptID = f.attemptID(q.ID)
	}
	if f.options.AwaitMemory && f.options.Budget.scarceFor(target.Address) {
		cancel(errAttemptEnded)
		return nil, &AttemptError{Kind: NoMemory, Cause: errNoMemory}
	}
	var firstByteTimer *time.Timer
	if target.FirstByteTimeout > 0 {
		firstByteTimer = time.AfterFunc(target.FirstByteTimeout, func() { cancel(errFirstByteTimeout) })
	}
	transport := f.unpooled
	if q.Idempotent || q.Pooled {
		transport = f.pooled.get(target.Address)
	}
	if target.NewConnection {
		transport.CloseIdleConnections()
	}
	response, err := a.roundTrip(transport, q, target)
	if firstByteTimer != nil && !firstByteTimer.Stop() && err == nil {
		_ = response.Body.Close()
		err = errFirstByteTimeout
	}
	a.recordIdle(target, err)
	if err != nil {
		failure := a.attemptError(err)
		cancel(errAttemptEnded)
		if failure.Reused && (failure.Kind == Broken || time.Since(a.start) >= f.options.StaleConnTimeout) {
			// The other idle connections may be as unresponsive as this one, or also closed at the upstream, while new ones work.
			transport.CloseIdleConnections()
		}
		return nil, failure
	}
	return a.newResponse(response, q, target)
}

func (f *Forwarder) attemptID(requestID string) string {
	return requestID + "-" + strconv.FormatUint(f.serial.Add(1), 36)
}

// attempt is the state of one attempt.
type attempt struct {
	forwarder *Forwarder
	ctx       context.Context
	cancel    context.CancelCauseFunc
	start     time.Time
	attemptID string
	assigned  atomic.Pointer[assignment] // nil until there is a connection
	bodyError atomic.Pointer[error]      // error of reading the caller's body
}

// roundTrip sends the request. If http.Transport chooses an idle connection that must not carry it, nothing is sent on that connection, any
// response on it belongs to an earlier request, and another connection is used.
func (a *attempt) roundTrip(transport *http.Transport, q *Request, target Target) (*http.Response, error) {
	for {
		a.assigned.Store(nil) // otherwise a failed dial would count as a failure on the connection before it
		response, err := transport.RoundTrip(a.newRequest(q, target))
		if !a.connection().claimFailed {
			return response, err
		}
		if err == nil {
			_ = response.Body.Close() // also closes the connection, which is blocked for writing
			err = errNotSentOnConnection
		}
		if q.Stream != nil || a.ctx.Err() != nil {
			return nil, err
		}
		if a.connection().untrusted {
			transport.CloseIdleConnections() // the others have been idle for longer, as http.Transport uses the newest first
		}
	}
}

// newRequest builds the outgoing request.
func (a *attempt) newRequest(q *Request, target Target) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used := assignment{connected: true, reused: info.Reused}
		if counted, ok := info.Conn.(*countedConn); ok {
			used.conn, used.sentBefore, used.Connection = counted, counted.sent.count(), counted.assign(a.attemptID)
			a.forwarder.index.remove(counted, false)
			used.idle, used.receivedBefore = info.IdleTime, counted.received.Load()
			used.untrusted = !q.Idempotent && info.Reused && !a.forwarder.idle.trusts(time.Now(), target.Service, target.Address, info.IdleTime)
			if used.untrusted {
				counted.sent.block()
			}
			used.claimFailed = used.untrusted || (q.Verbatim && !counted.claim(a.attemptID))
		}
		a.assigned.Store(&used)
	}, PutIdleConn: func(err error) {
		if used := a.connection(); err == nil && used.conn != nil {
			a.forwarder.index.add(time.Now(), target.Service, target.Address, &used)
		}
	}}
	names := &a.forwarder.options.HeaderNames
	header := make(http.Header, len(q.Header)+2)
	for name, values := range q.Header {
		header[name] = values
	}
	header[names.RequestID] = []string{a.attemptID}
	if deadline, ok := a.ctx.Deadline(); ok {
		remaining := max(1, time.Until(deadline).Milliseconds())
		header[names.Timeout] = []string{strconv.FormatInt(remaining, 10)}
	}
	if q.Verbatim {
		hideIdempotencyKeys(header)
	}
	for name, value := range target.Header {
		header[name] = []string{value}
	}
	request := &http.Request{
		Method: q.Method, URL: q.url(target.Address), Host: q.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	a.setBody(request, q)
	return request.WithContext(httptrace.WithClientTrace(a.ctx, trace))
}

// hideIdempotencyKeys prevents http.Transport from resending a request without a body because a header declares it
// idempotent. http.Transport looks up the canonical names only, while recipients compare header names without regard to case.
func hideIdempotencyKeys(header http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := header[name]; ok {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
}

func (a *attempt) setBody(request *http.Request, q *Request) {
	request.Trailer = q.Trailer
	if q.Stream != nil {
		request.ContentLength = q.StreamLength
		if len(q.Trailer) > 0 {
			request.ContentLength = -1
		}
		request.Body = io.NopCloser(&errorRecordingReader{body: q.Stream, err: &a.bodyError})
		return
	}
	if len(q.Buffered) == 0 && len(q.Trailer) == 0 {
		if q.Verbatim && isReplayedMethod(q.Method) {
			// A body without GetBody prevents http.Transport from resending the request. http.Transport detects that the body is
			// empty before it sends anything.
			request.Body = io.NopCloser(bytes.NewReader(nil))
			if q.Method == http.MethodTrace {
				request.TransferEncoding = []string{"identity"} // otherwise http.Transport sends an empty chunked body
			}
		}
		return
	}
	request.ContentLength = int64(len(q.Buffered))
	if len(q.Trailer) > 0 {
		request.ContentLength = -1
	}
	request.Body = io.NopCloser(bytes.NewReader(q.Buffered))
	if q.Idempotent && !q.Verbatim {
		request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(q.Buffered)), nil }
	}
}

// errorRecordingReader records an error of reading the caller's body, which must not be attributed to the upstream.
type errorRecordingReader struct {
	body io.Reader
	err  *atomic.Pointer[error]
}

// Read implements io.Reader.
func (r *errorRecordingReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err != nil && err != io.EOF {
		r.err.Store(&err)
	}
	return n, err
}

// connection returns the connection that was assigned to the attempt. It is zero if there was none.
func (a *attempt) connection() assignment {
	if used := a.assigned.Load(); used != nil {
		return *used
	}
	return assignment{}
}

// recordIdle records whether the connection of the attempt still worked after the time for which it was idle. Only a connection that
// broke after it was given a request, and before any byte of the response, may have been dropped while it was idle.
func (a *attempt) recordIdle(target Target, err error) {
	used := a.connection()
	switch {
	case used.conn == nil || used.claimFailed:
	case err == nil:
		a.forwarder.idle.worked(time.Now(), target.Service, target.Address, used.idle)
	case context.Cause(a.ctx) == nil && a.bodyError.Load() == nil && used.conn.received.Load() == used.receivedBefore:
		a.forwarder.idle.broke(time.Now(), target.Service, target.Address, used.idle)
	}
}

// attemptError classifies an error of the attempt. If no byte of the request was written, it also blocks later writes, so that
// Sent stays correct.
func (a *attempt) attemptError(err error) *AttemptError {
	used := a.connection()
	failure := &AttemptError{
		Kind: Broken, Connected: used.connected, Sent: used.connected, Reused: used.reused, Connection: used.Connection, Cause: err,
	}
	if used.conn != nil {
		failure.Sent = used.conn.sent.seal(used.sentBefore)
		if used.conn.head.tooLong() {
			failure.Cause = errHeadTooLong // parsers report the part before the limit as malformed
		}
	}
	cause := context.Cause(a.ctx)
	switch {
	case errors.Is(err, errNoMemory) && errors.Is(cause, context.DeadlineExceeded):
		failure.Kind = NoMemory
	case errors.Is(err, errUnknownLength) && (cause == nil || errors.Is(cause, context.DeadlineExceeded)): // Broken
	case isWrongResponse(err):
		failure.Kind = WrongResponse
	case a.bodyError.Load() != nil:
		failure.Kind, failure.Cause = RequestBroken, *a.bodyError.Load()
	case errors.Is(cause, errFirstByteTimeout), errors.Is(cause, errIdleTimeout), errors.Is(cause, context.DeadlineExceeded):
		failure.Kind, failure.Cause = TimedOut, cause
	case errors.Is(err, errFirstByteTimeout):
		failure.Kind = TimedOut
	case cause != nil:
		failure.Kind, failure.Cause = Cancelled, cause
	case !failure.Connected:
		failure.Kind = NotConnected
	}
	return failure
}
