package forward

import (
	"bufio"
	"context"
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
	target    Target
}

func newEchoClient(t *testing.T) *echoClient {
	t.Helper()
	f := New(Options{HeaderNames: HeaderNames{RequestID: "X-Id", Timeout: "X-Left"}, RequireRequestID: true})
	t.Cleanup(f.CloseIdle)
	return &echoClient{t: t, forwarder: f, target: Target{Address: serveConns(t, serveEcho).Addr().String()}}
}

// send sends a request and returns the connection that carried it.
func (c *echoClient) send(method, id string) Connection {
	c.t.Helper()
	request := &Request{Method: method, Host: "a", RequestTarget: "/", ID: id, Verbatim: true, Pooled: true}
	if method == http.MethodPost {
		request.Buffered = []byte("body")
	}
	ctx, cancel := context.WithTimeout(c.t.Context(), 5*time.Second)
	defer cancel()
	response, err := c.forwarder.Do(ctx, request, c.target)
	if err != nil {
		c.t.Fatalf("request %s: %v", id, err)
	}
	response.Close()
	return response.Connection
}

// Guards against an id that is sent twice on one connection: a late copy of the first response could not be told from the second
// response. Idle connections that have carried the id are not used, however many there are.
func TestConnectionCarriesEachIDOnce(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			c := newEchoClient(t)
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
	c := newEchoClient(t)
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
