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

// singleUseUpstream responds to the first request of each connection and resets the connection after reading the next one.
type singleUseUpstream struct {
	listener net.Listener
	requests atomic.Int64
}

func newSingleUseUpstream(t *testing.T) *singleUseUpstream {
	t.Helper()
	u := &singleUseUpstream{}
	u.listener = serveConns(t, u.serve)
	return u
}

// serveConns listens on a loopback address and calls serve for each connection until the test ends.
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

func (u *singleUseUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		u.requests.Add(1)
		if n > 0 {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		response := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: " + request.Header.Get("X-Id") + "\r\n\r\n"
		if request.Method != http.MethodHead {
			response += "ok"
		}
		_, _ = conn.Write([]byte(response))
	}
}

// Guards against duplicate requests, which break at-most-once execution and bypass the retry budget: when a pooled connection
// breaks, http.Transport resends a request without a body by itself if its method is idempotent by definition. A verbatim
// request must arrive once.
func TestVerbatimRequestArrivesOnce(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "DELETE", "PUT", "POST", "TRACE"} {
		t.Run(method, func(t *testing.T) {
			upstream := newSingleUseUpstream(t)
			f := New(Options{HeaderNames: HeaderNames{RequestID: "X-Id", Timeout: "X-Left"}, AllowCloseDelimited: true})
			defer f.CloseIdle()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			request := &Request{
				Method: method, Host: "h", RequestTarget: "/p?q=%20", ID: "one", Verbatim: true, Pooled: true,
				Header: http.Header{"Idempotency-Key": {"k"}},
			}
			target := Target{Address: upstream.listener.Addr().String()}
			response, err := f.Do(ctx, request, target)
			if err != nil {
				t.Fatal(err)
			}
			response.Close()
			before := upstream.requests.Load()
			request.ID = "two" // with the same id, it would get another connection
			_, err = f.Do(ctx, request, target)
			var failure *AttemptError
			if !errors.As(err, &failure) || !failure.Sent || !failure.Reused {
				t.Errorf("the second request ended with %v, want an AttemptError with Sent and Reused true", err)
			}
			if n := upstream.requests.Load() - before; n != 1 {
				t.Errorf("the second request arrived %d times, want once", n)
			}
		})
	}
}

// Guards against a wrong outcome "not-run": a failure to open a connection must be distinguished from a failure of a connection
// that may have carried the request.
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
		t.Errorf("the attempt ended with %+v, want NotConnected with Connected and Sent false", err)
	}
}
