package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

// harness is a server whose handler is controlled by the path of a request: /wait blocks until release is closed, and /close
// closes the connection.
type harness struct {
	server    *Server
	address   string
	release   chan struct{}
	started   atomic.Int64
	cancelled atomic.Int64
}

// harnessConnections is the maximum number of open connections of a harness.
const harnessConnections = 8

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{release: make(chan struct{})}
	h.server = New(Options{
		Handler: h.handle,
		Limits: func() Limits {
			return Limits{HeaderBytes: 8 << 10, BodyBytes: 1 << 10, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second}
		},
		Reject: func(r Rejection, _ *http.Request) *Response {
			return &Response{Status: 400 + int(r), Header: http.Header{}, Body: []byte("rejected")}
		},
		Budget: forward.NewBufferBudget(1 << 20), MaxConnections: harnessConnections,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.address = listener.Addr().String()
	served := make(chan error, 1)
	go func() { served <- h.server.Serve(t.Context(), listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return h
}

func (h *harness) handle(ctx context.Context, r *Request) *Response {
	h.started.Add(1)
	if strings.HasPrefix(r.HTTP.URL.Path, "/wait") {
		select {
		case <-h.release:
		case <-ctx.Done():
			h.cancelled.Add(1)
		}
	}
	if strings.HasPrefix(r.HTTP.URL.Path, "/length/") {
		return &Response{Status: 200, Header: http.Header{}, Length: -1}
	}
	body := fmt.Sprintf("%s %s %d", r.HTTP.Method, r.HTTP.URL.Path, len(r.Body))
	return &Response{Status: 200, Header: http.Header{}, Body: []byte(body), Close: r.HTTP.URL.Path == "/close"}
}

func (h *harness) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

func sendText(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

func readResponse(t *testing.T, reader *bufio.Reader) (int, string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

func (h *harness) await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for: " + what)
		}
	}
}

const get = "GET %s HTTP/1.1\r\nHost: a\r\n\r\n"

// Guards against pipelined requests that are not read until a slow one before them is answered, and against responses in the
// wrong order.
func TestPipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	h := newHarness(t)
	conn, reader := h.dial(t)
	sendText(t, conn, fmt.Sprintf(get, "/wait/1"))
	sendText(t, conn, fmt.Sprintf(get, "/2")+fmt.Sprintf(get, "/3"))
	h.await(t, "all requests to start", func() bool { return h.started.Load() == 3 })
	close(h.release)
	for _, want := range []string{"/wait/1", "/2", "/3"} {
		if _, body := readResponse(t, reader); body != "GET "+want+" 0" {
			t.Errorf("got response %q, want that for %s", body, want)
		}
	}
}

// Guards against a request with an unsafe method that runs concurrently with the requests before or after it.
func TestUnsafeRequestsWaitForEarlierRequests(t *testing.T) {
	h := newHarness(t)
	conn, reader := h.dial(t)
	sendText(t, conn, fmt.Sprintf(get, "/wait")+"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"+fmt.Sprintf(get, "/after"))
	h.await(t, "the first request to start", func() bool { return h.started.Load() == 1 })
	close(h.release)
	readResponse(t, reader)
	if _, body := readResponse(t, reader); body != "POST /p 2" {
		t.Errorf("second response is %q", body)
	}
	if _, body := readResponse(t, reader); body != "GET /after 0" {
		t.Errorf("third response is %q", body)
	}
}

// Guards against a request that runs twice: the caller sends a request again if the response before it closes the connection,
// so the server must not run it.
func TestNoRequestRunsAfterClosingResponse(t *testing.T) {
	h := newHarness(t)
	conn, reader := h.dial(t)
	sendText(t, conn, fmt.Sprintf(get, "/close")+"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi")
	if status, _ := readResponse(t, reader); status != 200 {
		t.Errorf("status %d, want 200", status)
	}
	if rest, _ := io.ReadAll(reader); len(rest) > 0 {
		t.Errorf("received %q after the response that closes the connection", rest)
	}
	if n := h.started.Load(); n != 1 {
		t.Errorf("%d requests started, want 1", n)
	}
}

// Guards against requests that continue to run after their caller has disconnected.
func TestClosedConnectionCancelsItsRequests(t *testing.T) {
	h := newHarness(t)
	conn, _ := h.dial(t)
	sendText(t, conn, fmt.Sprintf(get, "/wait/1")+fmt.Sprintf(get, "/wait/2"))
	h.await(t, "both requests to start", func() bool { return h.started.Load() == 2 })
	_ = conn.Close()
	h.await(t, "both requests to be cancelled", func() bool { return h.cancelled.Load() == 2 })
}

// Guards against a shutdown that drops a request. On trouble-2 of the mfbb deployment a request was reported as LOST: it was read
// while the process was closing its connections.
func TestCloseIdleLeavesRequestsInFlight(t *testing.T) {
	h := newHarness(t)
	busy, reader := h.dial(t)
	idle, idleReader := h.dial(t)
	sendText(t, busy, fmt.Sprintf(get, "/wait"))
	h.await(t, "the request to start", func() bool { return h.started.Load() == 1 && h.server.Connections() == 2 })
	if open := h.server.CloseIdle(); open != 1 {
		t.Errorf("%d connections stay open, want 1", open)
	}
	if _, err := idleReader.ReadByte(); err == nil {
		t.Error("the idle connection is still open")
	}
	_ = idle.Close()
	close(h.release)
	if status, _ := readResponse(t, reader); status != 200 {
		t.Errorf("status %d, want 200", status)
	}
}

// Guards against requests that start on a connection after it was closed because it was idle.
func TestClosedIdleConnectionStartsNoRequest(t *testing.T) {
	h := newHarness(t)
	callerSide, serverSide := net.Pipe()
	defer func() { _ = callerSide.Close() }()
	c := newConn(t.Context(), h.server, serverSide)
	if !c.closeIfIdle() {
		t.Fatal("an idle connection was not closed")
	}
	e := newExchange()
	if c.accept(e) || e.inFlight {
		t.Error("a request counts as in flight on a closed connection")
	}
}

// Guards against request smuggling and oversized or slow requests: a request whose framing is malformed or ambiguous, or that
// exceeds a limit, must be rejected, and the connection must be closed after the response.
func TestRejections(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		want    int
	}{
		"not HTTP":        {"nonsense\r\n\r\n", 400 + int(Malformed)},
		"two lengths":     {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", 400 + int(Malformed)},
		"negative length": {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400 + int(Malformed)},
		"unknown coding":  {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", 400 + int(Malformed)},
		"malformed chunk": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400 + int(Malformed)},
		"large header":    {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n", 400 + int(HeaderTooLarge)},
		"large body":      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n", 400 + int(BodyTooLarge)},
		"large chunks":    {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n", 400 + int(BodyTooLarge)},
		"slow header":     {"GET / HTTP/1.1\r\nHo", 400 + int(HeaderTimedOut)},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			conn, reader := h.dial(t)
			_, _ = io.WriteString(conn, c.request) // the server may close the connection before the whole request was sent
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			if response.StatusCode != c.want || !response.Close {
				t.Errorf("status %d, close %v; want %d, true", response.StatusCode, response.Close, c.want)
			}
			if n := h.started.Load(); n != 0 {
				t.Errorf("%d requests reached the handler, want 0", n)
			}
		})
	}
}

// Guards against a "100 Continue" that is sent before or between the responses to earlier requests.
func TestContinueFollowsEarlierResponses(t *testing.T) {
	h := newHarness(t)
	conn, reader := h.dial(t)
	sendText(t, conn, fmt.Sprintf(get, "/wait")+"POST /p HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	h.await(t, "the first request to start", func() bool { return h.started.Load() == 1 })
	close(h.release)
	if _, body := readResponse(t, reader); body != "GET /wait 0" {
		t.Errorf("first response is %q", body)
	}
	if line, err := reader.ReadString('\n'); err != nil || line != "HTTP/1.1 100 Continue\r\n" {
		t.Errorf("got %q, %v; want 100 Continue", line, err)
	}
	if line, err := reader.ReadString('\n'); err != nil || line != "\r\n" {
		t.Errorf("got %q, %v; want an empty line", line, err)
	}
	sendText(t, conn, "hi")
	if _, body := readResponse(t, reader); body != "POST /p 2" {
		t.Errorf("second response is %q", body)
	}
}

// Guards against chunked bodies that are decoded wrongly, and against data left over for the next request.
func TestChunkedBody(t *testing.T) {
	h := newHarness(t)
	conn, reader := h.dial(t)
	sendText(t, conn, "POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"+fmt.Sprintf(get, "/n"))
	if _, body := readResponse(t, reader); body != "POST /c 5" {
		t.Errorf("first response is %q", body)
	}
	if _, body := readResponse(t, reader); body != "GET /n 0" {
		t.Errorf("second response is %q", body)
	}
}

// Guards against pipelined requests that run but are never answered: the server began to close its connections and made the
// response to an earlier request the last one (seed 3 of the soak).
func TestClosingServerAnswersStartedRequests(t *testing.T) {
	h := newHarness(t)
	conn, reader := h.dial(t)
	const count = 5
	for i := range count {
		sendText(t, conn, fmt.Sprintf(get, fmt.Sprint("/wait/", i)))
	}
	h.await(t, "the start of all requests", func() bool { return h.started.Load() == count })
	h.server.CloseAfterResponses()
	sendText(t, conn, fmt.Sprintf(get, "/late"))
	close(h.release)
	for i := range count {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if last := i == count-1; response.Close != last {
			t.Errorf("response %d closes the connection: %v, want %v", i, response.Close, last)
		}
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("read after the last response: %v, want EOF", err)
	}
	if n := h.started.Load(); n != count {
		t.Errorf("%d requests were started, want %d, without the one sent after the server began to close", n, count)
	}
}

// Guards against responses that wait for earlier ones on their connection without being reported.
func TestResponseWrittenReportsWaitingTime(t *testing.T) {
	h := newHarness(t)
	type written struct {
		path  string
		after time.Duration
	}
	all := make(chan written, 2)
	h.server.options.ResponseWritten = func(r *Request, after time.Duration, err error) {
		if err != nil {
			t.Error(err)
		}
		all <- written{r.HTTP.URL.Path, after}
	}
	conn, reader := h.dial(t)
	sendText(t, conn, fmt.Sprintf(get, "/wait")+fmt.Sprintf(get, "/quick"))
	h.await(t, "the start of both requests", func() bool { return h.started.Load() == 2 })
	const delay = 50 * time.Millisecond
	time.Sleep(delay)
	close(h.release)
	readResponse(t, reader)
	readResponse(t, reader)
	if first := <-all; first.path != "/wait" {
		t.Errorf("the first response is that for %s, want /wait", first.path)
	}
	if second := <-all; second.path != "/quick" || second.after < delay/2 {
		t.Errorf("the response for %s waited for %v, want /quick and at least %v", second.path, second.after, delay/2)
	}
}

// Guards against "Connection: close" on a response to HEAD whose connection stays open: a caller that heeds it sends the requests
// behind it once more. net/http adds it to a response without a length, and the server's own responses to HEAD had none.
func TestResponseToHeadClosesOnlyAClosingConnection(t *testing.T) {
	for name, c := range map[string]struct{ path, length string }{
		"without a length": {"/length/unknown", ""}, "with a body for other methods": {"/own", "11"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			conn, reader := h.dial(t)
			for n := range 3 {
				sendText(t, conn, "HEAD "+c.path+" HTTP/1.1\r\nHost: a\r\n\r\n")
				response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodHead})
				if err != nil {
					t.Fatalf("response %d: %v", n, err)
				}
				_ = response.Body.Close()
				if response.Close || response.Header.Get("Content-Length") != c.length {
					t.Errorf("response %d: close %v, Content-Length %q; want false and %q",
						n, response.Close, response.Header.Get("Content-Length"), c.length)
				}
			}
			sendText(t, conn, "HEAD /close HTTP/1.1\r\nHost: a\r\n\r\n")
			response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodHead})
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			if !response.Close {
				t.Error("the last response of a connection does not close it")
			}
		})
	}
}
