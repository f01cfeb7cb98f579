package pipeline

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

// Limits bound the size and the timing of callers' requests.
type Limits struct {
	// HeaderBytes bounds the size of the request line and the header.
	HeaderBytes int64
	// BodyBytes bounds the size of the body.
	BodyBytes int64
	// HeaderTimeout bounds the time from the first byte of a request to the end of its header.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time without a request on an open connection.
	IdleTimeout time.Duration
}

// Request is a request whose body has been read whole.
type Request struct {
	// HTTP is the request line and the header; its Body is empty.
	HTTP *http.Request
	Body []byte
	// ReadAt is when the header had been read.
	ReadAt time.Time
}

// Response is the response to a request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Length is the Content-Length in bytes of a response to HEAD that has no Body, -1 if not known.
	Length int64
	// Close requests that the connection is closed after the response.
	Close bool
	// Release, if not nil, is called once, when the response was written or dropped and Body is no longer in use.
	Release func()
}

// Handler responds to requests. It is called concurrently. ctx is cancelled when the caller closes the connection.
type Handler func(ctx context.Context, r *Request) *Response

// Rejection is the reason why a request did not reach the handler.
type Rejection int

// The reasons for a Rejection. BudgetExhausted means that Options.Budget has no memory left for the header or
// the body, and ShuttingDown that the
// request had not arrived completely when the server stopped to wait for it.
const (
	Malformed Rejection = iota + 1
	HeaderTooLarge
	HeaderTimedOut
	BodyTooLarge
	BodyTimedOut
	BudgetExhausted
	ShuttingDown
)

// String returns the name of the rejection in lower case with underscores.
func (r Rejection) String() string {
	names := [...]string{
		"invalid", "malformed", "header_too_large", "header_timed_out", "body_too_large", "body_timed_out", "memory_exhausted",
		"shutting_down",
	}
	if r < 0 || int(r) >= len(names) {
		return names[0]
	}
	return names[r]
}

// Options configures a Server.
type Options struct {
	// Handler handles the requests. Required.
	Handler Handler
	// Limits returns the current limits. It is called for each request. Required.
	Limits func() Limits
	// Reject returns the response to a request that does not reach the handler. The request is nil if its header was not read. The
	// connection is closed after the response. Required.
	Reject func(Rejection, *http.Request) *Response
	// Budget bounds the memory of request bodies and of large headers. Required.
	Budget *forward.BufferBudget
	// ResponseWritten is called when a response of the handler was written or its write failed, but not if the connection ended
	// before the write; after is the time since the handler returned it. ResponseWritten must not block. Default none.
	ResponseWritten func(r *Request, after time.Duration, err error)
	// MaxConnections bounds the open connections. A further one replaces the one that has been idle for longest, or is closed
	// immediately if none is idle. Default 4096.
	MaxConnections int64
	// MaxPipelined bounds the requests of one connection that were read and wait for their response. Further ones are discarded:
	// the response to the last one that was accepted closes the connection, and the caller sends them again. Default 64.
	MaxPipelined int
	// MaxConcurrent bounds the requests of one connection that are handled or whose response waits to be written. Default 16.
	MaxConcurrent int
}

const (
	defaultMaxConnections = 4096
	defaultMaxPipelined   = 64
	defaultMaxConcurrent  = 16
	// bodyTimeout bounds the time in which a body must arrive.
	bodyTimeout = 20 * time.Second
	// writeTimeout bounds the time in which a caller must accept a response, or the next part of a large one.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long a connection is read after its last response was sent.
	lingerTimeout = 500 * time.Millisecond
	// acceptRetryDelay is the delay after a failed accept. The usual cause is a lack of file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// Server serves connections. It is safe for concurrent use.
type Server struct {
	options  Options
	open     atomic.Int64
	inFlight atomic.Int64
	rejected atomic.Int64
	closing  atomic.Bool
	// handover is the number of connections that may still be closed for HandOver, and handedOver counts those that were.
	handover, handedOver atomic.Int64
	// rejecting is set once requests that are not complete are rejected.
	rejecting atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a Server with the given options.
func New(options Options) *Server {
	if options.MaxConnections == 0 {
		options.MaxConnections = defaultMaxConnections
	}
	if options.MaxPipelined == 0 {
		options.MaxPipelined = defaultMaxPipelined
	}
	if options.MaxConcurrent == 0 {
		options.MaxConcurrent = defaultMaxConcurrent
	}
	if options.ResponseWritten == nil {
		options.ResponseWritten = func(*Request, time.Duration, error) {}
	}
	return &Server{options: options, conns: make(map[*conn]struct{})}
}

// InFlight returns the number of requests that were read and are not yet answered.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Connections returns the number of open connections.
func (s *Server) Connections() int64 { return s.open.Load() }

// RejectedConnections returns the number of connections that were closed because too many were open.
func (s *Server) RejectedConnections() int64 { return s.rejected.Load() }

// CloseAfterResponses makes the server close each connection after the response to its last started request.
func (s *Server) CloseAfterResponses() { s.closing.Store(true) }

// HandOver makes the server close the given number of connections, so that their callers connect to other hosts. It closes each after a
// response to a request behind which no other one was read or has begun to arrive. The number replaces that of the previous call.
func (s *Server) HandOver(connections int) { s.handover.Store(int64(connections)) }

// HandedOver returns the number of connections that were closed for HandOver.
func (s *Server) HandedOver() int64 { return s.handedOver.Load() }

// takeHandover reports whether a connection is to be closed for HandOver.
func (s *Server) takeHandover() bool {
	for {
		left := s.handover.Load()
		if left <= 0 {
			return false
		}
		if s.handover.CompareAndSwap(left, left-1) {
			s.handedOver.Add(1)
			return true
		}
	}
}

// RejectUnread rejects with ShuttingDown each request that has begun to arrive and is not complete, now or when it begins to arrive
// later.
func (s *Server) RejectUnread() {
	s.rejecting.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.rejectUnread()
	}
}

// ErrShutdown is the cause of the context of a request that was cancelled by CancelRequests.
var ErrShutdown = errors.New("the host shuts down")

// CancelRequests cancels the contexts of all requests with ErrShutdown. Their responses are still written.
func (s *Server) CancelRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.cancelRequests(ErrShutdown)
	}
}

// CloseIdle closes the connections that have no request in flight and returns how many stay open. A request that arrives at
// that moment is dropped unread and never reaches the handler. A connection whose last response was written stays open until the
// caller closes it or lingerTimeout has elapsed, because a request that crosses a close would reset the connection.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := 0
	for c := range s.conns {
		if !c.closeIfIdle() {
			open++
		}
	}
	return open
}

// closeLongestIdle closes the connection that has been idle for longest, which then no longer counts as open. It reports false if none is
// idle.
func (s *Server) closeLongestIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest *conn
	var since time.Time
	for c := range s.conns {
		if start, ok := c.idleStart(); ok && (longest == nil || start.Before(since)) {
			longest, since = c, start
		}
	}
	if longest == nil || !longest.closeIfIdle() {
		return false
	}
	longest.replaced = true
	s.open.Add(-1)
	return true
}

// Serve accepts connections until the listener is closed, and then returns nil. It returns the error of ctx if ctx is done
// while Serve waits after a failed accept.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	for {
		accepted, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			if !sleep(ctx, acceptRetryDelay) {
				return ctx.Err()
			}
			continue
		}
		if s.open.Add(1) > s.options.MaxConnections {
			s.rejected.Add(1)
			if !s.closeLongestIdle() {
				s.open.Add(-1)
				_ = accepted.Close()
				continue
			}
		}
		c := newConn(ctx, s, accepted)
		s.add(c)
		go func() {
			defer s.remove(c)
			c.serve()
		}()
	}
}

func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if !c.replaced {
		s.open.Add(-1)
	}
}

// notify sends a signal on a channel of capacity 1. It does not block: a signal that is already pending is enough.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
