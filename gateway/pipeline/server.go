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

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes bounds the request line and the header.
	HeaderBytes int64
	// BodyBytes bounds the body.
	BodyBytes int64
	// HeaderTimeout bounds the time from the first byte of a request to the end of its header.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time without a request on an open connection.
	IdleTimeout time.Duration
}

// Request is a request with its whole body.
type Request struct {
	// HTTP has no body.
	HTTP *http.Request
	Body []byte
	// ReadAt is when the header was read.
	ReadAt time.Time
}

// Response is the answer to a request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Length is the stated length of the body in answers to HEAD.
	Length int64
	// Close closes the connection after the answer.
	Close bool
}

// Handler answers requests. It is called for several requests at a time. ctx ends when the caller goes away.
type Handler func(ctx context.Context, r *Request) *Response

// Refusal is the reason why a request did not reach the handler.
type Rejection int

// The reasons of a Refusal.
const (
	Malformed Rejection = iota + 1
	HeaderTooLarge
	HeaderTimedOut
	BodyTooLarge
	BodyTimedOut
	BudgetExhausted
)

// Options configure a Server.
type Options struct {
	// Handler is required.
	Handler Handler
	// Limits is called for each request. Required.
	Limits func() Limits
	// Refuse makes the answer to a request that does not reach the handler; the connection is closed after it. Required.
	Reject func(Rejection) *Response
	// Budget bounds the memory of bodies. Required.
	Budget *forward.BufferBudget
	// Written is called when the answer of a request was written or given up; after is the time since the answer was there.
	// It must not block. Default none.
	ResponseWritten func(r *Request, after time.Duration, err error)
	// MaxConnections bounds the open connections; further ones are closed at once. Default 4096.
	MaxConnections int64
	// MaxPipelined bounds the requests of one connection that are read and not yet answered. Default 16.
	MaxPipelined int
}

const (
	defaultMaxConnections = 4096
	defaultMaxPipelined   = 16
	// bodyTimeout bounds the time in which a body must arrive.
	bodyTimeout = 20 * time.Second
	// writeTimeout bounds the time in which a caller must accept an answer.
	writeTimeout = 10 * time.Second
	// lingerTimeout is for how long a connection is read after its last answer was sent.
	lingerTimeout = 500 * time.Millisecond
	// acceptPause is the time after a failed accept, which is mostly a lack of descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// Server serves connections. It is safe for concurrent use.
type Server struct {
	options  Options
	open     atomic.Int64
	inFlight atomic.Int64
	rejected atomic.Int64
	closing  atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a Server.
func New(options Options) *Server {
	if options.MaxConnections == 0 {
		options.MaxConnections = defaultMaxConnections
	}
	if options.MaxPipelined == 0 {
		options.MaxPipelined = defaultMaxPipelined
	}
	if options.ResponseWritten == nil {
		options.ResponseWritten = func(*Request, time.Duration, error) {}
	}
	return &Server{options: options, conns: make(map[*conn]struct{})}
}

// InFlight counts the requests that were read and are not yet answered.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Connections counts the open connections.
func (s *Server) Connections() int64 { return s.open.Load() }

// RefusedConnections counts the connections that were closed because too many were open.
func (s *Server) RejectedConnections() int64 { return s.rejected.Load() }

// CloseAfterAnswers makes every further answer the last one of its connection.
func (s *Server) CloseAfterResponses() { s.closing.Store(true) }

// CloseIdle closes the connections that have no request in flight and returns how many stay open. A request whose bytes
// arrive at that moment is dropped unread, never passed on.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := 0
	for c := range s.conns {
		if !c.closeIfIdle() {
			left++
		}
	}
	return left
}

// Serve accepts connections until the listener is closed.
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
			s.open.Add(-1)
			s.rejected.Add(1)
			_ = accepted.Close()
			continue
		}
		c := newConn(ctx, s, accepted)
		s.track(c, true)
		go func() {
			defer s.open.Add(-1)
			defer s.track(c, false)
			c.serve()
		}()
	}
}

func (s *Server) track(c *conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.conns[c] = struct{}{}
		return
	}
	delete(s.conns, c)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
