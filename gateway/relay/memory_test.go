package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/pipeline"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

const (
	largeBody      = 2 << 20
	unreadBudget   = 4 * largeBody
	unreadCallers  = 24
	unreadDeadline = time.Second
)

// pipeListener accepts connections that have no buffer: a response stays in the memory of the server until its caller reads it.
type pipeListener struct{ accepted chan net.Conn }

func (l *pipeListener) Accept() (net.Conn, error) {
	if conn, ok := <-l.accepted; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (l *pipeListener) Close() error   { close(l.accepted); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(t *testing.T) net.Conn {
	t.Helper()
	caller, accepted := net.Pipe()
	t.Cleanup(func() { _ = caller.Close() })
	l.accepted <- accepted
	return caller
}

// newLargeUpstream returns an upstream that responds to each request with largeBody bytes.
func newLargeUpstream(t *testing.T) *testUpstream {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testHeaders.RequestID, r.Header.Get(testHeaders.RequestID))
		w.Header().Set("Content-Length", strconv.Itoa(largeBody))
		_, _ = w.Write(make([]byte, largeBody))
	}))
	t.Cleanup(server.Close)
	return &testUpstream{id: "large", listener: server.Listener}
}

// newMemoryRelay returns a relay with a budget of unreadBudget bytes in front of an upstream, and the budget.
func newMemoryRelay(t *testing.T, upstream *testUpstream) (*Relay, *forward.BufferBudget) {
	t.Helper()
	f := newFixture(t)
	f.choice.upstreams = []*testUpstream{upstream}
	budget := forward.NewBufferBudget(unreadBudget)
	f.relay.options.Forwarder = forward.New(forward.Options{
		HeaderNames:         forward.HeaderNames{RequestID: testHeaders.RequestID, Timeout: testHeaders.Timeout},
		AllowCloseDelimited: true, RequireRequestID: true, MaxBufferedResponse: 2 * largeBody, Budget: budget,
	})
	f.relay.options.Observe = func(*Event) {}
	snapshot := settings.NewSnapshot(7, []settings.Route{{
		Name: "r", Service: service, PathPrefix: "/",
		Policy: settings.Policy{Timeout: unreadDeadline, MaxAttempts: 1, Open: true, Idempotent: true},
	}}, nil, nil)
	f.relay.options.Snapshot = func() *settings.Snapshot { return snapshot }
	return f.relay, budget
}

// serveCallers serves a relay to callers and returns the listener.
func serveCallers(t *testing.T, relay *Relay, budget *forward.BufferBudget) *pipeListener {
	t.Helper()
	server := pipeline.New(pipeline.Options{
		Handler: relay.Serve, Budget: budget,
		Limits: func() pipeline.Limits {
			return pipeline.Limits{HeaderBytes: 8 << 10, BodyBytes: 1 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
		Reject: func(pipeline.Rejection, *http.Request) *pipeline.Response {
			return &pipeline.Response{Status: 400, Header: http.Header{}}
		},
	})
	listener := &pipeListener{accepted: make(chan net.Conn)}
	ctx, cancel := context.WithCancel(t.Context())
	var serving sync.WaitGroup
	serving.Go(func() {
		if err := server.Serve(ctx, listener); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		serving.Wait()
	})
	return listener
}

// Guards against a host that runs out of memory because the bodies of responses do not count against the budget while they wait for
// callers that do not read them.
func TestUnreadResponsesStayWithinTheBudget(t *testing.T) {
	relay, budget := newMemoryRelay(t, newLargeUpstream(t))
	listener := serveCallers(t, relay, budget)
	before := heapBytes()
	for i := range unreadCallers {
		caller := listener.dial(t)
		if _, err := caller.Write([]byte("GET /large HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + strconv.Itoa(i) + "\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(unreadDeadline + 500*time.Millisecond) // every attempt has ended
	const allowance = 4 << 20                         // connections and the upstream
	if held := heapBytes() - before; held > unreadBudget+allowance {
		t.Errorf("%d callers that do not read hold %d bytes of memory, with a budget of %d bytes", unreadCallers, held, unreadBudget)
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
