package pipeline

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

const (
	slowBudgetBytes    = 1 << 20
	headerTimeout      = 2 * time.Second
	largeResponseBytes = 1 << 20
	dripInterval       = time.Second
)

// slowHarness serves one connection in the fake time of package synctest. Its handler returns large responses.
type slowHarness struct {
	server *Server
	caller net.Conn
	budget *forward.BufferBudget
	ended  chan struct{}
	cancel context.CancelFunc
	// sending tracks the goroutines that send for the caller.
	sending sync.WaitGroup
}

func newSlowHarness(t *testing.T) *slowHarness {
	t.Helper()
	r := &slowHarness{budget: forward.NewBufferBudget(slowBudgetBytes), ended: make(chan struct{})}
	r.server = New(Options{
		Handler: func(context.Context, *Request) *Response {
			return &Response{Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, largeResponseBytes)}
		},
		Limits: func() Limits {
			return Limits{HeaderBytes: 8 << 10, BodyBytes: slowBudgetBytes / 2, HeaderTimeout: headerTimeout, IdleTimeout: time.Minute}
		},
		Reject: func(r Rejection, _ *http.Request) *Response {
			return &Response{Status: 400 + int(r), Header: http.Header{}}
		},
		Budget: r.budget,
	})
	var accepted net.Conn
	r.caller, accepted = net.Pipe()
	ctx, cancel := context.WithCancel(t.Context())
	r.cancel = cancel
	c := newConn(ctx, r.server, accepted)
	go func() {
		defer close(r.ended)
		c.serve()
	}()
	return r
}

// drip sends the text one byte at a time until the connection ends.
func (r *slowHarness) drip(text string) {
	r.sending.Go(func() {
		for i := range len(text) {
			if _, err := io.WriteString(r.caller, text[i:i+1]); err != nil {
				return
			}
			time.Sleep(dripInterval)
		}
	})
}

// close closes the caller's side of the connection.
func (r *slowHarness) close() {
	r.cancel()
	_ = r.caller.Close()
	r.sending.Wait()
}

// expectEnd checks that the server closes the connection with the given status and releases all its resources.
func (r *slowHarness) expectEnd(t *testing.T, status int) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(r.caller), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != status || !response.Close {
		t.Errorf("status %d, close %v; want %d, true", response.StatusCode, response.Close, status)
	}
	r.expectAllReleased(t)
}

func (r *slowHarness) expectAllReleased(t *testing.T) {
	t.Helper()
	<-r.ended
	if n := r.server.InFlight(); n != 0 {
		t.Errorf("%d requests are in flight, want 0", n)
	}
	if !r.budget.Reserve(slowBudgetBytes) {
		t.Error("memory for request bodies is still reserved")
	}
}

// Guards against callers that occupy a connection with a header that never ends.
func TestSlowHeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newSlowHarness(t)
		defer r.close()
		r.drip("GET /" + strings.Repeat("x", 100))
		begin := time.Now()
		r.expectEnd(t, 400+int(HeaderTimedOut))
		if took := time.Since(begin); took > headerTimeout+time.Second {
			t.Errorf("the connection was occupied for %v", took)
		}
	})
}

// Guards against callers that occupy memory with a body that arrives one byte at a time.
func TestSlowBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newSlowHarness(t)
		defer r.close()
		if _, err := io.WriteString(r.caller, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		r.drip(strings.Repeat("x", 100))
		begin := time.Now()
		r.expectEnd(t, 400+int(BodyTimedOut))
		if took := time.Since(begin); took > bodyTimeout+time.Second {
			t.Errorf("the memory was occupied for %v", took)
		}
	})
}

// Guards against callers that keep responses in memory by not reading them.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newSlowHarness(t)
		defer r.close()
		begin := time.Now()
		if _, err := io.WriteString(r.caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		r.expectAllReleased(t)
		if took := time.Since(begin); took > writeTimeout+time.Second {
			t.Errorf("the response was kept for %v", took)
		}
	})
}

// Guards against a flood of connections that uses up the file descriptors needed for connections to upstreams and to the store,
// and against a server that no longer serves callers after the flood.
func TestConnectionFlood(t *testing.T) {
	h := newHarness(t)
	served := 0
	var conns []net.Conn
	for range 3 * harnessConnections {
		conn, err := net.Dial("tcp", h.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		conns = append(conns, conn)
	}
	// A connection may replace an idle one, also one that was served, as long as connections are accepted.
	h.await(t, "the end of the flood", func() bool { return h.server.RejectedConnections() == 2*harnessConnections })
	for _, conn := range conns {
		if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
		if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			served++
			_ = response.Body.Close()
		}
	}
	if rejected := h.server.RejectedConnections(); served != harnessConnections || rejected != 2*harnessConnections {
		t.Errorf("%d connections were served and %d rejected, want %d and %d", served, rejected, harnessConnections,
			2*harnessConnections)
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
	h.await(t, "the end of the connections", func() bool { return h.server.Connections() == 0 })
	conn, reader := h.dial(t)
	sendText(t, conn, "GET /after HTTP/1.1\r\nHost: a\r\n\r\n")
	if status, _ := readResponse(t, reader); status != http.StatusOK {
		t.Errorf("status %d after the flood, want 200", status)
	}
}
