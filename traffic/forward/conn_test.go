package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// serveEcho responds to each request with its id and an empty body, until the connection ends.
func serveEcho(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Id: %s\r\n\r\n", request.Header.Get("X-Id"))
	}
}

// echoClient sends requests to an upstream that echoes their ids.
type echoClient struct {
	t         *testing.T
	forwarder *Forwarder
	listener  net.Listener
}

func newEchoClient(t *testing.T, serve func(net.Conn)) *echoClient {
	t.Helper()
	f := New(Options{HeaderNames: HeaderNames{RequestID: "X-Id", Timeout: "X-Left"}, RequireRequestID: true})
	t.Cleanup(f.CloseIdle)
	return &echoClient{t: t, forwarder: f, listener: serveConns(t, serve)}
}

// send sends a request and returns the connection that carried it.
func (c *echoClient) send(method, id string) Connection {
	c.t.Helper()
	connection, err := c.try(method, id)
	if err != nil {
		c.t.Fatalf("request %s: %v", id, err)
	}
	return connection
}

// try is like send and returns the error of the attempt.
func (c *echoClient) try(method, id string) (Connection, error) {
	request := &Request{Method: method, Host: "a", RequestTarget: "/", ID: id, Verbatim: true, Pooled: true}
	if method == http.MethodPost {
		request.Buffered = []byte("body")
	}
	ctx, cancel := context.WithTimeout(c.t.Context(), 5*time.Second)
	defer cancel()
	response, err := c.forwarder.Do(ctx, request, Target{Address: c.listener.Addr().String()})
	if err != nil {
		return Connection{}, err
	}
	response.Close()
	return response.Connection, nil
}

// Guards against an id that is sent twice on one connection: a late copy of the first response could not be told from the second
// response. Idle connections that have carried the id are not used, however many there are.
func TestConnectionCarriesEachIDOnce(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			c := newEchoClient(t, serveEcho)
			used := make(map[uint64]bool)
			for range 5 {
				connection := c.send(method, "same")
				if used[connection.Number] {
					t.Fatalf("connection %d carried the id twice", connection.Number)
				}
				used[connection.Number] = true
			}
			first := c.send(method, "other")
			if next := c.send(method, "another"); next.Number != first.Number || next.Requests != first.Requests+1 {
				t.Errorf("a request with a new id was sent on %+v, want the kept connection of %+v", next, first)
			}
		})
	}
}

// Guards against a memory of ids that grows with the age of a connection, and against a request that fails when it is replaced.
func TestConnectionIsReplacedAfterManyRequests(t *testing.T) {
	c := newEchoClient(t, serveEcho)
	numbers := make(map[uint64]int)
	for i := range 3 * maxIDsPerConnection {
		numbers[c.send(http.MethodPost, fmt.Sprint(i)).Number]++
	}
	if len(numbers) != 3 {
		t.Errorf("%d requests were sent on %d connections, want 3", 3*maxIDsPerConnection, len(numbers))
	}
	for number, n := range numbers {
		if n > maxIDsPerConnection {
			t.Errorf("connection %d carried %d requests, want at most %d", number, n, maxIDsPerConnection)
		}
	}
}

// Guards against an attempt that dials again and again until its deadline: the kept connection must not carry the id once more, and
// the upstream refuses new connections. The request could not be tried at another upstream in time.
func TestRefusedConnectionEndsAttempt(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			c := newEchoClient(t, serveEcho)
			c.send(method, "same")
			if err := c.listener.Close(); err != nil {
				t.Fatal(err)
			}
			begin := time.Now()
			_, err := c.try(method, "same")
			var failure *AttemptError
			if !errors.As(err, &failure) || failure.Kind != NotConnected || failure.Connected || failure.Sent || failure.Reused {
				t.Errorf("the attempt ended with %+v, want NotConnected with Connected, Sent and Reused false", err)
			}
			if took := time.Since(begin); took > defaultConnectTimeout {
				t.Errorf("the attempt took %v, want at most the connect timeout of %v", took, defaultConnectTimeout)
			}
		})
	}
}

// serveOneBehind answers the first request of a connection, then the second with a copy of that response. From then on it writes each
// response when the next request arrives.
func serveOneBehind(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	owed := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Id")
		if owed == "" {
			owed = id
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Rejected\r\nContent-Length: 0\r\nX-Id: %s\r\n\r\n", owed)
		owed = id
	}
}

// Guards against one additional response that breaks all later requests of its connection: each of them would get the response of
// the request before it, and callers would not learn whether their requests ran.
func TestConnectionIsNotUsedAfterAnotherResponse(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			c := newEchoClient(t, serveOneBehind)
			c.send(method, "first")
			if _, err := c.try(method, "second"); !errors.Is(err, errRequestIDMismatch) {
				t.Fatalf("the request that got the additional response ended with %v, want %v", err, errRequestIDMismatch)
			}
			c.send(method, "third")
		})
	}
}

// Guards against the status of one response with the header and body of the next. An additional response that is cut off in its status
// line or in a header runs together with the response behind it, and its status reached the caller.
func TestResponsesRunTogetherAreRejected(t *testing.T) {
	for _, beginning := range []string{"HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nX-Cut: a", "HTTP/1.1 200 OK\r\nX-Cut: "} {
		c := newEchoClient(t, func(conn net.Conn) {
			defer func() { _ = conn.Close() }()
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 500 Failed\r\nContent-Length: 0\r\nX-Id: %s\r\n\r\n", beginning, request.Header.Get("X-Id"))
		})
		var failure *AttemptError
		if _, err := c.try(http.MethodGet, "one"); !errors.As(err, &failure) || failure.Kind != WrongResponse {
			t.Errorf("%q before the response: error %v, want a wrong response", beginning, err)
		}
	}
}
