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

// slowRig serves one connection in fake time. The answers of its handler are large.
type slowCaller struct {
	server *Server
	caller net.Conn
	budget *forward.BufferBudget
	ended  chan struct{}
	cancel context.CancelFunc
	// sending are the goroutines that send for the caller.
	sending sync.WaitGroup
}

func newSlowCaller(t *testing.T) *slowCaller {
	t.Helper()
	r := &slowCaller{budget: forward.NewBufferBudget(slowBudgetBytes), ended: make(chan struct{})}
	r.server = New(Options{
		Handler: func(context.Context, *Request) *Response {
			return &Response{Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, largeResponseBytes)}
		},
		Limits: func() Limits {
			return Limits{HeaderBytes: 8 << 10, BodyBytes: slowBudgetBytes / 2, HeaderTimeout: headerTimeout, IdleTimeout: time.Minute}
		},
		Reject: func(r Rejection) *Response { return &Response{Status: 400 + int(r), Header: http.Header{}} },
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
func (r *slowCaller) drip(text string) {
	r.sending.Go(func() {
		for i := range len(text) {
			if _, err := io.WriteString(r.caller, text[i:i+1]); err != nil {
				return
			}
			time.Sleep(dripInterval)
		}
	})
}

// close ends the caller's side.
func (r *slowCaller) close() {
	r.cancel()
	_ = r.caller.Close()
	r.sending.Wait()
}

// expectEnd checks that the connection ends with the status and leaves nothing behind.
func (r *slowCaller) expectEnd(t *testing.T, status int) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(r.caller), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != status || !response.Close {
		t.Errorf("status %d, closing %v; want %d and true", response.StatusCode, response.Close, status)
	}
	r.expectAllReleased(t)
}

func (r *slowCaller) expectAllReleased(t *testing.T) {
	t.Helper()
	<-r.ended
	if n := r.server.InFlight(); n != 0 {
		t.Errorf("%d requests are in flight", n)
	}
	if !r.budget.Reserve(slowBudgetBytes) {
		t.Error("memory of bodies is still reserved")
	}
}

// Guards against callers that hold a connection by a header that never ends.
func TestSlowHeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newSlowCaller(t)
		defer r.close()
		r.drip("GET /" + strings.Repeat("x", 100))
		begin := time.Now()
		r.expectEnd(t, 400+int(HeaderTimedOut))
		if took := time.Since(begin); took > headerTimeout+time.Second {
			t.Errorf("the connection was held for %v", took)
		}
	})
}

// Guards against callers that hold memory by a body that comes a byte at a time.
func TestSlowBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newSlowCaller(t)
		defer r.close()
		if _, err := io.WriteString(r.caller, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		r.drip(strings.Repeat("x", 100))
		begin := time.Now()
		r.expectEnd(t, 400+int(BodyTimedOut))
		if took := time.Since(begin); took > bodyTimeout+time.Second {
			t.Errorf("the memory was held for %v", took)
		}
	})
}

// Guards against callers that hold answers in memory by not reading them.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newSlowCaller(t)
		defer r.close()
		begin := time.Now()
		if _, err := io.WriteString(r.caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		r.expectAllReleased(t)
		if took := time.Since(begin); took > writeTimeout+time.Second {
			t.Errorf("the answer was held for %v", took)
		}
	})
}

// Guards against a flood of connections that takes the descriptors of the connections to upstreams and to the store, and
// against a server that serves nobody after it.
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
	if refused := h.server.RejectedConnections(); served != harnessConnections || refused != 2*harnessConnections {
		t.Errorf("%d connections were served and %d refused, want %d and %d", served, refused, harnessConnections,
			2*harnessConnections)
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
	h.await(t, "the end of the connections", func() bool { return h.server.Connections() == 0 })
	conn, reader := h.dial(t)
	sendText(t, conn, "GET /after HTTP/1.1\r\nHost: a\r\n\r\n")
	if status, _ := readResponse(t, reader); status != http.StatusOK {
		t.Errorf("status %d after the flood", status)
	}
}
