package forward

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// forgetful answers a first request on each of a number of connections, and resets the next request on them. It answers every
// request on later connections.
type forgetful struct {
	listener net.Listener
	left     atomic.Int64  // connections that are still to come
	all      chan struct{} // closed when they have
}

func newForgetful(t *testing.T, connections int) *forgetful {
	t.Helper()
	f := &forgetful{all: make(chan struct{})}
	f.left.Store(int64(connections))
	f.listener = serveConns(t, f.serve)
	return f
}

func (f *forgetful) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	forgets := false
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		switch left := f.left.Load(); {
		case n == 0 && left > 0:
			forgets = true
			if f.left.Add(-1) == 0 {
				close(f.all)
			}
			<-f.all // so that no connection is used twice before all are open
		case forgets:
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: %s\r\n\r\nok", request.Header.Get("X-Request-Id"))
	}
}

// do makes one attempt and closes its answer.
func do(t *testing.T, f *Forwarder, target Target, id string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	request := &Request{Method: http.MethodPost, Host: "a", RequestTarget: "/", ID: id, Verbatim: true, Pooled: true}
	answer, err := f.Do(ctx, request, target)
	if err == nil {
		answer.Close()
	}
	return err
}

// fill leaves idle connections to an upstream that forgets them.
func fill(t *testing.T, f *Forwarder, target Target, connections int) {
	t.Helper()
	ended := make(chan error, connections)
	for i := range connections {
		go func() { ended <- do(t, f, target, fmt.Sprint(i)) }()
	}
	for range connections {
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against trials that test an old connection: upstreams that forget idle connections stayed out of use, because each
// trial was reset (FLOOR on trouble-1 of the grown daan site, seed 92342074).
func TestNewConnectionIsNotAnIdleOne(t *testing.T) {
	const connections = 4
	upstream := newForgetful(t, connections)
	f := New(Options{})
	target := Target{Address: upstream.listener.Addr().String()}
	fill(t, f, target, connections)
	target.NewConnection = true
	if err := do(t, f, target, "trial"); err != nil {
		t.Errorf("an attempt on a new connection failed: %v", err)
	}
}

// Guards against requests that are lost one after the other on connections that the upstream has forgotten: after the first
// that is reset on an idle connection the others are not used.
func TestIdleConnectionsAreClosedAfterAReset(t *testing.T) {
	const connections = 4
	upstream := newForgetful(t, connections)
	f := New(Options{})
	target := Target{Address: upstream.listener.Addr().String()}
	fill(t, f, target, connections)
	failed := 0
	for i := range connections {
		if do(t, f, target, fmt.Sprint("next", i)) != nil {
			failed++
		}
	}
	if failed > 1 {
		t.Errorf("%d requests were reset, want 1", failed)
	}
}
