package harness

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// BackEnd is a sound back end: it runs as many requests at once as it has slots, queues as many more, and rejects others.
type BackEnd struct {
	ID         string
	names      Names
	processing time.Duration
	slots      chan struct{}
	queued     atomic.Int64
	listener   net.Listener
	server     *http.Server

	mu   sync.Mutex
	runs []BackEndRun
}

// BackEndRun is a request that a back end has begun to run.
type BackEndRun struct {
	ID        string
	ArrivedAt time.Time
}

// NewBackEnd starts a back end on a loopback address.
func NewBackEnd(names Names, id string, slots int, processing time.Duration) (*BackEnd, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // returns at once
	if err != nil {
		return nil, err
	}
	b := &BackEnd{ID: id, names: names, processing: processing, slots: make(chan struct{}, slots), listener: listener}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: time.Second}
	go func() { _ = b.server.Serve(listener) }()
	return b, nil
}

// Address returns the host and port.
func (b *BackEnd) Address() string { return b.listener.Addr().String() }

// Close ends the back end.
func (b *BackEnd) Close() { _ = b.server.Close() }

// Runs returns the requests that it has begun to run.
func (b *BackEnd) Runs() []BackEndRun {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]BackEndRun(nil), b.runs...)
}

// ServeHTTP implements http.Handler.
func (b *BackEnd) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt, id := time.Now(), r.Header.Get(b.names.RequestID)
	w.Header().Set(b.names.RequestID, id)
	w.Header().Set(b.names.Load, fmt.Sprintf("%d,%d,%d", len(b.slots), b.queued.Load(), cap(b.slots)))
	if target := r.Header.Get(b.names.Target); target != "" && target != b.ID {
		b.reject(w, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		b.reject(w, http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	deadline := time.After(time.Hour)
	if ms, err := strconv.Atoi(r.Header.Get(b.names.TimeoutMs)); err == nil {
		deadline = time.After(time.Duration(ms) * time.Millisecond)
	}
	if !b.takeSlot(r, deadline) {
		b.reject(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.slots }()
	b.mu.Lock()
	b.runs = append(b.runs, BackEndRun{id, arrivedAt})
	b.mu.Unlock()
	w.Header().Set(b.names.Signature, "signed "+id)
	select {
	case <-time.After(b.processing):
		_, _ = io.WriteString(w, "answer to "+id+" by "+b.ID)
	case <-deadline:
		w.WriteHeader(http.StatusGatewayTimeout)
	case <-r.Context().Done():
	}
}

// takeSlot waits for a slot. It reports false if the queue is full, or the time is over first.
func (b *BackEnd) takeSlot(r *http.Request, deadline <-chan time.Time) bool {
	select {
	case b.slots <- struct{}{}:
		return true
	default:
	}
	defer b.queued.Add(-1)
	if b.queued.Add(1) > int64(cap(b.slots)) {
		return false
	}
	select {
	case b.slots <- struct{}{}:
		return true
	case <-deadline:
	case <-r.Context().Done():
	}
	return false
}

func (b *BackEnd) reject(w http.ResponseWriter, status int) {
	w.Header().Set(b.names.NotExecuted, "1")
	w.WriteHeader(status)
}
