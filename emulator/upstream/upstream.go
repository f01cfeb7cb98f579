package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Options configures an emulated upstream.
type Options struct {
	// ID is part of each response body.
	ID string
	// Slots is the maximum number of concurrent requests; further ones are shed. Default 6.
	Slots int
	// Connections is the maximum number of open connections; further ones are closed at once. Default 360.
	Connections int
	// ServiceTime is the median service time of a request. Default 5 ms.
	ServiceTime time.Duration
	// ServiceTimeSigma is the standard deviation of the natural logarithm of the service time. Default 0.3.
	ServiceTimeSigma float64
	// ColdStart is the time after the start during which requests are slower: the factor falls linearly from 10 to 2.
	// Default 0.
	ColdStart time.Duration
	// Seed seeds the random generator, which makes service times reproducible.
	Seed uint64
}

// Record is one request that the emulated upstream received.
type Record struct {
	Upstream  string      `json:"upstream"`
	Method    string      `json:"method"`
	Target    string      `json:"target"`
	Header    http.Header `json:"header"`
	Trailer   http.Header `json:"trailer"`
	Body      string      `json:"body"`
	Operation string      `json:"operation"`
	// Ran is true if the request was executed.
	Ran bool `json:"ran"`
}

// Server is a running emulated upstream.
type Server struct {
	opts            Options
	listener        net.Listener
	server          *http.Server
	started         time.Time
	slots           chan struct{}
	openConnections atomic.Int64
	received        atomic.Int64

	mu      sync.Mutex
	fault   Fault
	rng     *rand.Rand
	records []Record
}

// Start listens on the address and serves until Close.
func Start(address string, opts Options) (*Server, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("start upstream emulator %s: %w", opts.ID, err)
	}
	setDefaults(&opts)
	s := &Server{
		opts: opts, listener: listener, started: time.Now(), fault: Healthy,
		slots: make(chan struct{}, opts.Slots), rng: rand.New(rand.NewPCG(opts.Seed, 1)),
	}
	s.server = &http.Server{Handler: s, ConnState: s.countConnections, ReadHeaderTimeout: time.Minute}
	go func() {
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}()
	return s, nil
}

func setDefaults(opts *Options) {
	if opts.Slots == 0 {
		opts.Slots = 6
	}
	if opts.Connections == 0 {
		opts.Connections = 360
	}
	if opts.ServiceTime == 0 {
		opts.ServiceTime = 5 * time.Millisecond
	}
	if opts.ServiceTimeSigma == 0 {
		opts.ServiceTimeSigma = 0.3
	}
}

// Address returns the IP address and port on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// ID returns Options.ID.
func (s *Server) ID() string { return s.opts.ID }

// Close stops the server and closes its connections.
func (s *Server) Close() error { return s.server.Close() }

// SetFault sets the fault for requests that arrive from now on.
func (s *Server) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Records returns a copy of the requests received so far.
func (s *Server) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Record(nil), s.records...)
}

// Received returns the number of requests received, including shed ones and excluding health checks.
func (s *Server) Received() int64 { return s.received.Load() }

func (s *Server) countConnections(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if s.openConnections.Add(1) > int64(s.opts.Connections) {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.openConnections.Add(-1)
	default:
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := s.effectiveFault()
	s.setStateHeaders(w.Header(), fault)
	if r.URL.Path == "/healthz" {
		s.serveHealth(w, fault)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		fault = Shed
	}
	s.received.Add(1)
	s.record(r, body, isExecuted(fault))
	s.respond(w, r, fault)
}

// effectiveFault resolves Flap and HalfErrors, whose effect changes over time or between requests.
func (s *Server) effectiveFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.fault {
	case Flap:
		if int(time.Since(s.started)/FlapPeriod)%2 == 0 {
			return Healthy
		}
		return ServerError
	case HalfErrors:
		if s.rng.IntN(2) == 0 {
			return Healthy
		}
		return ServerError
	default:
		return s.fault
	}
}

func (s *Server) setStateHeaders(header http.Header, fault Fault) {
	load := float64(len(s.slots)) / float64(s.opts.Slots)
	if fault == LyingHealth {
		load = 0
	}
	header.Set("X-Load", strconv.FormatFloat(load, 'f', 2, 64))
	if fault == Drain {
		header.Set("X-Draining", "true")
	}
}

func (s *Server) serveHealth(w http.ResponseWriter, fault Fault) {
	switch fault {
	case Healthy, Slow, LyingHealth, SlowBody, HalfBody, ForeignAnswer, Drain:
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// isExecuted reports whether a request is executed under the fault.
func isExecuted(fault Fault) bool { return fault != Shed && fault != ResetBefore }

func (s *Server) record(r *http.Request, body []byte, ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, Record{
		Upstream: s.opts.ID, Method: r.Method, Target: r.URL.RequestURI(), Header: r.Header.Clone(),
		Trailer: r.Trailer.Clone(), Body: string(body), Operation: r.Header.Get("Idempotency-Key"), Ran: ran,
	})
}

// serviceTime returns a log-normally distributed service time, which is longer during a cold start.
func (s *Server) serviceTime(fault Fault) time.Duration {
	s.mu.Lock()
	factor := math.Exp(s.rng.NormFloat64() * s.opts.ServiceTimeSigma)
	s.mu.Unlock()
	if fault == Slow {
		factor *= SlowFactor
	}
	if age := time.Since(s.started); age < s.opts.ColdStart {
		factor *= 10 - 8*float64(age)/float64(s.opts.ColdStart)
	}
	return time.Duration(float64(s.opts.ServiceTime) * factor)
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, fault Fault) {
	switch fault {
	case ResetBefore:
		reset(w)
		return
	case Shed:
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Hang, LyingHealth:
		<-r.Context().Done()
		return
	default:
	}
	if !sleep(r.Context(), s.serviceTime(fault)) {
		return
	}
	s.writeResponse(w, r, fault)
}

func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, fault Fault) {
	text := fmt.Sprintf("%s %s served by %s\n", r.Method, r.URL.Path, s.opts.ID)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	switch fault {
	case Reset:
		reset(w)
	case ServerError:
		w.Header().Del("Content-Length")
		w.WriteHeader(http.StatusInternalServerError)
	case HalfBody:
		_, _ = io.WriteString(w, text[:len(text)/2])
		flush(w)
		reset(w)
	case SlowBody:
		s.writeSlowly(w, r, text)
	case ForeignAnswer:
		w.Header().Set("X-Request-Id", "answer-of-another-request")
		_, _ = io.WriteString(w, text)
	default:
		_, _ = io.WriteString(w, text)
	}
}

func (s *Server) writeSlowly(w http.ResponseWriter, r *http.Request, text string) {
	for i := range len(text) {
		if _, err := io.WriteString(w, text[i:i+1]); err != nil {
			return
		}
		flush(w)
		if !sleep(r.Context(), SlowFactor*s.opts.ServiceTime) {
			return
		}
	}
}

func flush(w http.ResponseWriter) {
	// A writer that cannot flush still sends the bytes at the end of the response.
	_ = http.NewResponseController(w).Flush()
}

// reset closes the connection with a TCP reset instead of an orderly close.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// sleep waits for d and reports whether it did so without ctx ending first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
