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
	// ConnectTimeout bounds the time to obtain a new connection. Default 1 s.
	ConnectTimeout time.Duration
	// IdleTimeout bounds the time between two pieces of an answer. Default 5 s.
	IdleTimeout time.Duration
	// PooledIdle is for how long an idle connection is kept for another request. Default 5 s.
	IdleConnTimeout time.Duration
	// SilentAfter is the time without an answer from which a reused connection is taken to be silent; the other idle
	// connections to its upstream are then closed. Default 500 ms.
	StaleConnTimeout time.Duration
	// BufferedAnswer is the largest answer in bytes that is read to its end before it is passed on. Default 256 KiB.
	MaxBufferedResponse int64
	// Budget bounds the memory of buffered bodies. Default 64 MiB.
	Budget *BufferBudget
	// IdlePerUpstream bounds the idle connections to one upstream. Default 32.
	MaxIdlePerUpstream int
	// Names are the headers in which upstreams expect the id and the time limit of a request. Default the product's own.
	HeaderNames HeaderNames
	// ToleratesUnbounded accepts answers whose end is marked only by the proper close of the connection. They are buffered
	// whole. Default false.
	AllowCloseDelimited bool
}

// Names are the names of headers, in their canonical form.
type HeaderNames struct {
	// RequestID carries the id of the request, which upstreams echo.
	RequestID string
	// Timeout carries the remaining time in milliseconds.
	Timeout string
}

// DefaultNames returns the product's own header names.
func DefaultHeaderNames() HeaderNames {
	return HeaderNames{RequestID: "X-Request-Id", Timeout: TimeoutHeader}
}

// The defaults of Options.
const (
	defaultConnectTimeout  = time.Second
	defaultIdleTimeout     = 5 * time.Second
	defaultPooledIdle      = 5 * time.Second
	defaultSilentAfter     = 500 * time.Millisecond
	defaultBufferedAnswer  = 256 << 10
	defaultBudget          = 64 << 20
	defaultIdlePerUpstream = 32
)

func (o Options) withDefaults() Options {
	o.ConnectTimeout = defaultTo(o.ConnectTimeout, defaultConnectTimeout)
	o.IdleTimeout = defaultTo(o.IdleTimeout, defaultIdleTimeout)
	o.IdleConnTimeout = defaultTo(o.IdleConnTimeout, defaultPooledIdle)
	o.StaleConnTimeout = defaultTo(o.StaleConnTimeout, defaultSilentAfter)
	o.MaxBufferedResponse = defaultTo(o.MaxBufferedResponse, defaultBufferedAnswer)
	o.MaxIdlePerUpstream = defaultTo(o.MaxIdlePerUpstream, defaultIdlePerUpstream)
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

// Forwarder makes attempts. It is safe for concurrent use.
type Forwarder struct {
	options Options
	pooled  pools
	single  *http.Transport
	serial  atomic.Uint64
}

// New returns a Forwarder.
func New(options Options) *Forwarder {
	options = options.withDefaults()
	f := &Forwarder{options: options, single: newTransport(options, true)}
	f.pooled.options = options
	f.serial.Store(randomSerial())
	return f
}

// Budget returns the budget of buffered bodies.
func (f *Forwarder) Budget() *BufferBudget { return f.options.Budget }

// CloseIdle closes the idle connections to all upstreams.
func (f *Forwarder) CloseIdle() { f.pooled.closeIdle() }

// Do makes one attempt. The context bounds the attempt including the reading of a streamed answer; its deadline is
// stated to the upstream. The error is a *AttemptError. A returned Answer must be closed.
func (f *Forwarder) Do(ctx context.Context, q *Request, target Target) (*Response, error) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	a := &attempt{forwarder: f, ctx: attemptCtx, cancel: cancel, start: time.Now(), attemptID: q.ID}
	if !q.Verbatim {
		a.attemptID = f.attemptID(q.ID)
	}
	var firstByte *time.Timer
	if target.FirstByteTimeout > 0 {
		firstByte = time.AfterFunc(target.FirstByteTimeout, func() { cancel(errFirstByte) })
	}
	transport := f.single
	if q.Idempotent || q.Pooled {
		transport = f.pooled.get(target.Address)
	}
	if target.NewConnection {
		transport.CloseIdleConnections()
	}
	response, err := transport.RoundTrip(a.request(q, target))
	if firstByte != nil && !firstByte.Stop() && err == nil {
		_ = response.Body.Close()
		err = errFirstByte
	}
	if err != nil {
		failure := a.failure(err)
		cancel(errEnded)
		if failure.Reused && (failure.Kind == Broken || time.Since(a.start) >= f.options.StaleConnTimeout) {
			// The other idle connections may be as silent as this one, or forgotten by the upstream like it, while new ones work.
			transport.CloseIdleConnections()
		}
		return nil, failure
	}
	return a.answer(response, q)
}

func (f *Forwarder) attemptID(requestID string) string {
	return requestID + "-" + strconv.FormatUint(f.serial.Add(1), 36)
}

// attempt is the state of one exchange.
type attempt struct {
	forwarder *Forwarder
	ctx       context.Context
	cancel    context.CancelCauseFunc
	start     time.Time
	attemptID string
	connected atomic.Bool
	reused    atomic.Bool
	sent      atomic.Pointer[sentCounter] // of the connection, if it counts
	sentEarly atomic.Int64                // bytes that the connection had sent before this request
	bodyError atomic.Pointer[error]       // of the caller's body
}

// request builds the outgoing request.
func (a *attempt) request(q *Request, target Target) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		a.connected.Store(true)
		a.reused.Store(info.Reused)
		if counted, ok := info.Conn.(*countedConn); ok {
			a.sentEarly.Store(counted.sent.count())
			a.sent.Store(&counted.sent)
		}
	}}
	names := &a.forwarder.options.HeaderNames
	header := make(http.Header, len(q.Header)+2)
	for name, values := range q.Header {
		header[name] = values
	}
	header[names.RequestID] = []string{a.attemptID}
	if deadline, ok := a.ctx.Deadline(); ok {
		left := max(1, time.Until(deadline).Milliseconds())
		header[names.Timeout] = []string{strconv.FormatInt(left, 10)}
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

// hideIdempotencyKeys keeps http.Transport from sending a request without a body again by itself because of a header that
// declares it idempotent. Names of headers are not case-sensitive; http.Transport looks for the canonical ones.
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
		request.Body = io.NopCloser(&watchedReader{body: q.Stream, failed: &a.bodyError})
		return
	}
	if len(q.Buffered) == 0 && len(q.Trailer) == 0 {
		if q.Verbatim && isReplayedMethod(q.Method) {
			// A body without GetBody keeps http.Transport from sending the request again by itself. It is found to be empty
			// before anything is sent.
			request.Body = io.NopCloser(bytes.NewReader(nil))
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

// watchedReader notes that reading the caller's body failed, which is not the upstream's fault.
type watchedReader struct {
	body   io.Reader
	failed *atomic.Pointer[error]
}

// Read implements io.Reader.
func (w *watchedReader) Read(p []byte) (int, error) {
	n, err := w.body.Read(p)
	if err != nil && err != io.EOF {
		w.failed.Store(&err)
	}
	return n, err
}

// failure explains an error of the exchange.
func (a *attempt) failure(err error) *AttemptError {
	failure := &AttemptError{Kind: Broken, Connected: a.connected.Load(), Reused: a.reused.Load(), Cause: err}
	failure.Sent = failure.Connected
	if counter := a.sent.Load(); counter != nil {
		failure.Sent = counter.seal(a.sentEarly.Load())
	}
	cause := context.Cause(a.ctx)
	switch {
	case errors.Is(err, errEcho), errors.Is(err, errSwitching):
		failure.Kind = WrongResponse
	case a.bodyError.Load() != nil:
		failure.Kind, failure.Cause = RequestBroken, *a.bodyError.Load()
	case errors.Is(cause, errFirstByte), errors.Is(cause, errIdle), errors.Is(cause, context.DeadlineExceeded):
		failure.Kind, failure.Cause = TimedOut, cause
	case errors.Is(err, errFirstByte):
		failure.Kind = TimedOut
	case cause != nil:
		failure.Kind, failure.Cause = Cancelled, cause
	case !failure.Connected:
		failure.Kind = NotConnected
	}
	return failure
}
