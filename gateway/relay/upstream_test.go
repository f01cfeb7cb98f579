package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// fault is the way in which a test upstream mishandles a request.
type fault struct {
	// readLimit is the number of bytes of the request that are read before the connection is closed; -1 reads all.
	readLimit int
	// writeLimit is the number of bytes of the response that are written before the connection is closed; -1 writes all.
	writeLimit int
	// reset closes the connection with a reset instead of an orderly close.
	reset bool
	// duplicate writes each response twice. duplicateLate writes it again when the next request arrives.
	duplicate, duplicateLate bool
	// hang runs requests and never responds.
	hang bool
	// notRun rejects each request without running it. notRunFirst does so for the first request of each connection.
	notRun, notRunFirst bool
	// misdirected rejects requests that name another upstream with status 421, as an upstream does that has replaced another one at its
	// address.
	misdirected bool
	// withoutID omits the request id from the duplicates of responses.
	withoutID bool
	// early responds before the body of the request is read, and then ends the connection.
	early bool
	// pause is the time between a response that is cut and the end of the connection.
	pause time.Duration
	// unframed omits the length of responses, so that the end of the connection ends the body.
	unframed bool
	// chunked sends the body in one chunk.
	chunked bool
	// status, if it is not 0, is the status of responses to requests that have run. statesNotRun adds the statement that they have not.
	status       int
	statesNotRun bool
	// statusDigits, if it is not empty, is written in place of the status of responses to requests that have run.
	statusDigits string
	// headerLine, if it is not empty, is a line of the header of responses to requests that have run.
	headerLine string
	// stray is written before each response but the first of a connection.
	stray string
}

var noFault = fault{readLimit: -1, writeLimit: -1}

// testUpstream is an HTTP/1.1 server on plain sockets. It can close a connection after any byte.
type testUpstream struct {
	id       string
	listener net.Listener
	fault    atomic.Pointer[fault]
	// size is the length in bytes of the latest request that was read completely.
	size atomic.Int64

	mu   sync.Mutex
	runs map[string]int // by request id
}

// countingReader counts the bytes that were read.
type countingReader struct {
	io.Reader
	n int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.n += int64(n)
	return n, err
}

func newUpstream(t *testing.T, id string) *testUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &testUpstream{id: id, listener: listener, runs: make(map[string]int)}
	u.fault.Store(&noFault)
	var conns sync.WaitGroup
	conns.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			stop := context.AfterFunc(t.Context(), func() { _ = conn.Close() })
			conns.Go(func() {
				defer stop()
				u.serve(conn)
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		conns.Wait()
	})
	return u
}

func (u *testUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	source := &countingReader{Reader: conn}
	reader := bufio.NewReader(source)
	previous := ""
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		f, begin := u.fault.Load(), source.n-int64(reader.Buffered())
		if f.readLimit >= 0 {
			_, _ = io.CopyN(io.Discard, reader, int64(f.readLimit))
			u.end(conn, f)
			return
		}
		if previous != "" && f.duplicateLate {
			_, _ = io.WriteString(conn, previous)
		}
		if previous != "" {
			_, _ = io.WriteString(conn, f.stray)
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if f.early {
			u.respondEarly(conn, request, f)
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		u.size.Store(source.n - int64(reader.Buffered()) - begin)
		text := u.respond(request, f, previous == "")
		if f.hang {
			continue
		}
		if f.writeLimit >= 0 {
			_, _ = io.WriteString(conn, text[:min(f.writeLimit, len(text))])
			u.end(conn, f)
			return
		}
		previous = text
		if f.withoutID {
			previous = strings.Replace(text, "X-Request-Id: ", "X-Other: ", 1)
		}
		if f.duplicate {
			text += previous
		}
		_, _ = io.WriteString(conn, text)
	}
}

// respondEarly responds to a request whose body is still being written. If the response is not cut, it ends its side of the connection
// properly and keeps the other side open until the caller of the upstream closes it.
func (u *testUpstream) respondEarly(conn net.Conn, request *http.Request, f *fault) {
	text := u.respond(request, f, true)
	if f.writeLimit >= 0 {
		_, _ = io.WriteString(conn, text[:min(f.writeLimit, len(text))])
		time.Sleep(f.pause)
		u.end(conn, f)
		return
	}
	_, _ = io.WriteString(conn, text)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, request.Body)
}

// respond runs or rejects the request and returns the response.
func (u *testUpstream) respond(request *http.Request, f *fault, first bool) string {
	id := request.Header.Get(testHeaders.RequestID)
	if f.notRun || (f.notRunFirst && first) {
		return rejection(http.StatusServiceUnavailable, id)
	}
	if f.misdirected && request.Header.Get(testHeaders.Instance) != u.id {
		return rejection(http.StatusMisdirectedRequest, id)
	}
	u.mu.Lock()
	u.runs[id]++
	u.mu.Unlock()
	body := responseText + " to " + id
	if f.chunked {
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return u.header(id, f) + body
}

// rejection returns a response which states that the request was not run.
func rejection(status int, id string) string {
	return fmt.Sprintf("HTTP/1.1 %d Rejected\r\nX-Request-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", status, id)
}

// header returns the header of the response to a request that has run.
func (u *testUpstream) header(id string, f *fault) string {
	body, status := responseText+" to "+id, strconv.Itoa(http.StatusOK)
	switch {
	case f.statusDigits != "":
		status = f.statusDigits
	case f.status != 0:
		status = strconv.Itoa(f.status)
	}
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	switch {
	case f.unframed:
		length = ""
	case f.chunked:
		length = "Transfer-Encoding: chunked\r\n"
	}
	if f.statesNotRun {
		length += testHeaders.NotRun + ": 1\r\n"
	}
	if f.headerLine != "" {
		length += f.headerLine + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s OK\r\nX-Request-Id: %s\r\n%s: %s\r\n%s\r\n", status, id, signature, u.id, length)
}

func (u *testUpstream) runsOf(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

func (u *testUpstream) end(conn net.Conn, f *fault) {
	if tcp, ok := conn.(*net.TCPConn); ok && f.reset {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
