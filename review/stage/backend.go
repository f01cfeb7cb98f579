package stage

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Run is one request at a backend.
type Run struct {
	ID, Method, Backend string
	ArrivedAt           time.Time
	// EndedAt is when the request was answered or dropped; zero while it runs.
	EndedAt time.Time
	// Ran is false for a request that the backend rejected.
	Ran bool
	// Dropped is true if the connection closed before the answer.
	Dropped bool
}

// Backend is a stand-in for a backend. It serves one request at a time on a connection.
type Backend struct {
	ID, Service, Zone string
	Slots             int
	Work              time.Duration
	// Late returns bytes that are sent on the connection after the answer to the request, late: when the next request on it has
	// arrived, before its answer. nil sends none.
	Late func(request *http.Request) []byte
	// Lost decides whether the connection is reset in place of the answer to a request that has run. nil loses none.
	Lost func(request *http.Request) bool
	// Unframed decides whether an answer has no length and ends with its connection. nil frames all.
	Unframed func(request *http.Request) bool
	// Sent is called with late bytes that were sent, and the id of the request that was waiting then.
	Sent func(waiting string)

	listener net.Listener
	gone     atomic.Bool
	running  atomic.Int64
	sequence int

	mu   sync.Mutex
	runs []*Run
}

// Start starts the backend and writes its entry to the store, every 1.5 s.
func (b *Backend) Start(store *Store) error {
	listener, err := net.Listen("tcp", net.JoinHostPort(FreeIP(), "0"))
	if err != nil {
		return err
	}
	b.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	b.register(store)
	go func() {
		for range time.Tick(1500 * time.Millisecond) {
			if b.gone.Load() {
				return
			}
			b.register(store)
		}
	}()
	return nil
}

func (b *Backend) register(store *Store) {
	b.sequence++
	store.Put("servers", b.ID, map[string]any{
		"service": b.Service, "address": b.listener.Addr().String(), "zone": b.Zone, "version": "v1", "capacity": b.Slots,
		"state": "ready", "warmup_left_ms": 0, "sequence": b.sequence,
	})
}

// Leave removes the backend's entry. The backend goes on to serve.
func (b *Backend) Leave(store *Store) {
	b.gone.Store(true)
	store.Remove("servers", b.ID)
}

// Runs returns what arrived at the backend.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := make([]Run, len(b.runs))
	for i, run := range b.runs {
		runs[i] = *run
	}
	return runs
}

// serve answers the requests of one connection.
func (b *Backend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.ContentLength > 0 {
			if _, err := reader.Discard(int(request.ContentLength)); err != nil {
				return
			}
		}
		id := request.Header.Get("X-Request-Id")
		if len(late) > 0 {
			if _, err := conn.Write(late); err != nil {
				return
			}
			b.Sent(id)
		}
		if !b.answer(conn, reader, request, id) {
			return
		}
		late = nil
		if b.Late != nil {
			late = b.Late(request)
		}
	}
}

// answer runs one request and reports whether the connection is still open.
func (b *Backend) answer(conn net.Conn, reader *bufio.Reader, request *http.Request, id string) bool {
	run := &Run{ID: id, Method: request.Method, Backend: b.ID, ArrivedAt: time.Now()}
	b.mu.Lock()
	b.runs = append(b.runs, run)
	b.mu.Unlock()
	finish := func(ran, dropped bool) {
		b.mu.Lock()
		defer b.mu.Unlock()
		run.Ran, run.Dropped, run.EndedAt = ran, dropped, time.Now()
	}
	load := fmt.Sprintf("%s: %d,0,%d\r\n", wire.Load, b.running.Load(), b.Slots)
	echo := "X-Request-Id: " + id + "\r\n" + load
	if target := request.Header.Get(wire.Instance); target != "" && target != b.ID {
		finish(false, false)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s%s: 1\r\nContent-Length: 0\r\n\r\n", echo, wire.NotRun)
		return err == nil
	}
	if b.running.Add(1) > int64(b.Slots) {
		b.running.Add(-1)
		finish(false, false)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s%s: 1\r\nContent-Length: 0\r\n\r\n", echo, wire.NotRun)
		return err == nil
	}
	defer b.running.Add(-1)
	if b.closedWithin(conn, reader, b.Work) {
		finish(true, true)
		return false
	}
	finish(true, false)
	if b.Lost != nil && b.Lost(request) {
		_ = conn.(*net.TCPConn).SetLinger(0) // the close resets the connection
		return false
	}
	body := "answer to " + id + " by " + b.ID
	length := len(body)
	if request.Method == http.MethodHead {
		body = ""
	}
	if b.Unframed != nil && b.Unframed(request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%s: %s\r\nConnection: close\r\n\r\n%s",
			echo, wire.Signature, Signature(id), body)
		return false
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%s: %s\r\nContent-Length: %s\r\n\r\n%s",
		echo, wire.Signature, Signature(id), strconv.Itoa(length), body)
	return err == nil
}

// closedWithin waits for the time of the work and reports whether the connection was closed meanwhile.
func (b *Backend) closedWithin(conn net.Conn, reader *bufio.Reader, work time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(work))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	_, err := reader.Peek(1)
	if err == nil { // more bytes; the work goes on
		time.Sleep(work)
		return false
	}
	var timeout net.Error
	if ok := asTimeout(err, &timeout); ok {
		return false
	}
	return true
}

func asTimeout(err error, target *net.Error) bool {
	timeout, ok := err.(net.Error)
	if ok && timeout.Timeout() {
		*target = timeout
		return true
	}
	return false
}

// Signature returns the signature of the answer to a request.
func Signature(id string) string { return "sig." + id }
