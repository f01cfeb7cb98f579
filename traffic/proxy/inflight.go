package proxy

import (
	"context"
	"sync"
)

// inflight counts the requests in flight and rejects new ones while the host drains.
type inflight struct {
	mu       sync.Mutex
	requests int
	draining bool
	empty    chan struct{} // closed when the host drains and no request is in flight
}

// enter counts a request. It returns false if the host drains.
func (f *inflight) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return false
	}
	f.requests++
	return true
}

func (f *inflight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests--
	if f.draining && f.requests == 0 {
		close(f.empty)
	}
}

func (f *inflight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests
}

func (f *inflight) drain(ctx context.Context) error {
	f.mu.Lock()
	if !f.draining {
		f.draining = true
		f.empty = make(chan struct{})
		if f.requests == 0 {
			close(f.empty)
		}
	}
	f.mu.Unlock()
	select {
	case <-f.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
