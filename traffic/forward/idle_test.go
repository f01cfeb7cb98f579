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

// staleConnUpstream responds to the first request on each of a number of connections and resets these connections on their next
// request. It responds to every request on later connections.
type staleConnUpstream struct {
	listener  net.Listener
	remaining atomic.Int64  // connections to be reset that are not yet open
	allOpen   chan struct{} // closed when all of them are open
}

func newStaleConnUpstream(t *testing.T, connections int) *staleConnUpstream {
	t.Helper()
	u := &staleConnUpstream{allOpen: make(chan struct{})}
	u.remaining.Store(int64(connections))
	u.listener = serveConns(t, u.serve)
	return u
}

func (u *staleConnUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	resetsNext := false
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		switch remaining := u.remaining.Load(); {
		case n == 0 && remaining > 0:
			resetsNext = true
			if u.remaining.Add(-1) == 0 {
				close(u.allOpen)
			}
			<-u.allOpen // no connection may be used twice before all are open
		case resetsNext:
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: %s\r\n\r\nok", request.Header.Get("X-Request-Id"))
	}
}

// doAttempt makes one attempt and closes its response.
func doAttempt(t *testing.T, f *Forwarder, target Target, id string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	request := &Request{Method: http.MethodPost, Host: "a", RequestTarget: "/", ID: id, Verbatim: true, Pooled: true}
	response, err := f.Do(ctx, request, target)
	if err == nil {
		response.Close()
	}
	return err
}

// openIdleConnections opens connections to the target and leaves them idle.
func openIdleConnections(t *testing.T, f *Forwarder, target Target, connections int) {
	t.Helper()
	results := make(chan error, connections)
	for i := range connections {
		go func() { results <- doAttempt(t, f, target, fmt.Sprint(i)) }()
	}
	for range connections {
		if err := <-results; err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against half-open trials on an old connection. Upstreams that had dropped their idle connections stayed out of use,
// because each trial was reset (reported as FLOOR on trouble-1 of the grown daan site, seed 92342074).
func TestNewConnectionIsNotAnIdleOne(t *testing.T) {
	const connections = 4
	upstream := newStaleConnUpstream(t, connections)
	f := New(Options{})
	target := Target{Address: upstream.listener.Addr().String()}
	openIdleConnections(t, f, target, connections)
	target.NewConnection = true
	if err := doAttempt(t, f, target, "trial"); err != nil {
		t.Errorf("an attempt on a new connection failed: %v", err)
	}
}

// Guards against a series of requests that fail on idle connections which the upstream has dropped. After the first reset of an
// idle connection the other idle connections must not be used.
func TestIdleConnectionsAreClosedAfterAReset(t *testing.T) {
	const connections = 4
	upstream := newStaleConnUpstream(t, connections)
	f := New(Options{})
	target := Target{Address: upstream.listener.Addr().String()}
	openIdleConnections(t, f, target, connections)
	failed := 0
	for i := range connections {
		if doAttempt(t, f, target, fmt.Sprint("next", i)) != nil {
			failed++
		}
	}
	if failed > 1 {
		t.Errorf("%d requests were reset, want at most 1", failed)
	}
}
