package proxy_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
)

type connectionEnd int

const (
	closes connectionEnd = iota // FIN
	resets                      // RST
	hangs                       // keeps the connection open without sending until the test ends
	serves                      // waits for the next request
)

// script is what a raw upstream does on each connection.
type script struct {
	warmUp bool   // respond completely to the first request of the upstream, so that its connection is pooled
	read   int    // bytes of the request that are read, -1 for the whole request
	write  string // bytes of the response
	end    connectionEnd
}

const completeBody = "the whole body of the answer"

// completeResponse is a complete response whose connection can be reused.
const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n" + completeBody

// rawUpstream runs a script on each of its connections and records the bytes that it receives.
type rawUpstream struct {
	address          string
	script           script
	listener         net.Listener
	done             chan struct{}
	accepting        chan struct{} // closed when no further connection is accepted
	conns            sync.WaitGroup
	warmedUp         atomic.Bool
	requestsReceived atomic.Int64 // requests of which a byte was read, without the warm-up request

	mu       sync.Mutex
	received bytes.Buffer
}

func newRawUpstream(t testing.TB, s script) *rawUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &rawUpstream{address: listener.Addr().String(), script: s, listener: listener, done: make(chan struct{}), accepting: make(chan struct{})}
	go func() {
		defer close(u.accepting)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			u.conns.Add(1)
			go u.serve(conn.(*net.TCPConn))
		}
	}()
	t.Cleanup(func() {
		close(u.done)
		_ = listener.Close()
		<-u.accepting
	})
	return u
}

func (u *rawUpstream) serve(conn *net.TCPConn) {
	defer u.conns.Done()
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(io.TeeReader(conn, u))
	if u.script.warmUp && u.warmedUp.CompareAndSwap(false, true) {
		if readRequest(reader) != nil {
			return
		}
		_, _ = io.WriteString(conn, completeResponse)
		_, _ = reader.Peek(1) // waits for the next request on the pooled connection
	}
	for u.serveRequest(conn, reader) {
		if _, err := reader.Peek(1); err != nil {
			return
		}
	}
}

// serveRequest serves one request and reports whether the connection stays open for another.
func (u *rawUpstream) serveRequest(conn *net.TCPConn, reader *bufio.Reader) bool {
	if u.script.read != 0 {
		if _, err := reader.Peek(1); err != nil {
			return false
		}
		u.requestsReceived.Add(1)
	}
	if u.script.read < 0 {
		if readRequest(reader) != nil {
			return false
		}
	} else {
		// The read ends after the given number of bytes or at the end of the request, whichever comes first.
		_ = readRequest(bufio.NewReader(io.LimitReader(reader, int64(u.script.read))))
	}
	_, _ = io.WriteString(conn, u.script.write)
	switch u.script.end {
	case closes:
	case resets:
		_ = conn.SetLinger(0)
	case hangs:
		<-u.done
	case serves:
		return true
	}
	return false
}

// Write records received bytes.
func (u *rawUpstream) Write(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.received.Write(p)
}

func (u *rawUpstream) transcript() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.received.String()
}

func readRequest(reader *bufio.Reader) error {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err
}

// refusingAddress returns an address that refuses connections. Its socket is bound but does not listen, so that no other
// test gets its port.
func refusingAddress(t testing.TB) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	address, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprint("127.0.0.1:", address.(*syscall.SockaddrInet4).Port)
}

// callerResult is what the caller of the Handler receives.
type callerResult struct {
	*httptest.ResponseRecorder
	aborted bool // the handler aborted the caller's connection
}

// send passes a request to the Handler and records whether the Handler aborted the caller's connection.
func (h *harness) send(method, target, body string, header map[string]string) (result callerResult) {
	result.ResponseRecorder = httptest.NewRecorder()
	defer func() {
		if cause := recover(); cause != nil {
			if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(cause)
			}
			result.aborted = true
		}
	}()
	h.handler.ServeHTTP(result, newRequest(method, target, body, header))
	return result
}
