package forward

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// dropper answers the first request of each connection and resets the connection on the next one, after reading it.
type dropper struct {
	listener net.Listener
	requests atomic.Int64
}

func newDropper(t *testing.T) *dropper {
	t.Helper()
	d := &dropper{}
	d.listener = serveConns(t, d.serve)
	return d
}

// serveConns serves each connection to a loopback listener until the test ends.
func serveConns(t *testing.T, serve func(net.Conn)) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener
}

func (d *dropper) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		d.requests.Add(1)
		if n > 0 {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: " + request.Header.Get("X-Id") + "\r\n\r\n"
		if request.Method != http.MethodHead {
			answer += "ok"
		}
		_, _ = conn.Write([]byte(answer))
	}
}

// Guards at most once and the retry budget: http.Transport sends a request without a body again by itself when a kept
// connection breaks, for methods that are idempotent by definition; a verbatim request must arrive once.
func TestVerbatimRequestArrivesOnce(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "DELETE", "PUT", "POST"} {
		t.Run(method, func(t *testing.T) {
			d := newDropper(t)
			f := New(Options{HeaderNames: HeaderNames{RequestID: "X-Id", Timeout: "X-Left"}, AllowCloseDelimited: true})
			defer f.CloseIdle()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			request := &Request{
				Method: method, Host: "h", RequestTarget: "/p?q=%20", ID: "one", Verbatim: true, Pooled: true,
				Header: http.Header{"Idempotency-Key": {"k"}},
			}
			target := Target{Address: d.listener.Addr().String()}
			answer, err := f.Do(ctx, request, target)
			if err != nil {
				t.Fatal(err)
			}
			answer.Close()
			before := d.requests.Load()
			_, err = f.Do(ctx, request, target)
			var failure *AttemptError
			if !errors.As(err, &failure) || !failure.Sent || !failure.Reused {
				t.Errorf("the second request ended with %v", err)
			}
			if n := d.requests.Load() - before; n != 1 {
				t.Errorf("the second request arrived %d times", n)
			}
		})
	}
}

// Guards the promise "not run": a connection that cannot be opened is told from one that may have carried the request.
func TestUnreachableUpstreamWasSentNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err = New(Options{}).Do(ctx, &Request{Method: "POST", Host: "h", RequestTarget: "/", ID: "x", Verbatim: true, Pooled: true}, Target{Address: address})
	var failure *AttemptError
	if !errors.As(err, &failure) || failure.Connected || failure.Sent || failure.Kind != NotConnected {
		t.Errorf("the attempt ended with %+v", err)
	}
}
