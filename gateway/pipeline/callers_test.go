package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

const (
	// machineBytes is the memory of the smallest machine of the deployments that are in use. Idle connections may take an eighth of it,
	// half of that for the stacks of their two goroutines, which the race detector makes larger.
	machineBytes       = 536 << 20
	maxIdleHeapBytes   = machineBytes / 16 / defaultMaxConnections
	greatestHeader     = 16 << 10
	crowdBudget        = 4 << 20
	crowdHeaderTimeout = 30 * time.Second
)

// newCrowdHarness returns a harness for many connections. MaxConnections is 0 for the default.
func newCrowdHarness(t *testing.T, maxConnections int64) *harness {
	t.Helper()
	h := &harness{release: make(chan struct{})}
	h.server = New(Options{
		Handler: h.handle,
		Limits: func() Limits {
			return Limits{HeaderBytes: greatestHeader, BodyBytes: 1 << 20, HeaderTimeout: crowdHeaderTimeout, IdleTimeout: time.Minute}
		},
		Reject: func(r Rejection, _ *http.Request) *Response {
			return &Response{Status: 400 + int(r), Header: http.Header{}, Body: []byte("rejected")}
		},
		Budget: forward.NewBufferBudget(crowdBudget), MaxConnections: maxConnections,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- h.server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
		h.await(t, "the end of all connections", func() bool { return h.server.Connections() == 0 })
		if n := h.server.options.Budget.Used(); n != 0 {
			t.Errorf("%d bytes of the memory budget are in use after the end of all connections", n)
		}
	})
	return h
}

// heapBytes returns the size of the objects in use.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC() // objects of a sync.Pool are freed by the second one
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// dialMany opens connections, sends a text on each, and returns them with their readers.
func (h *harness) dialMany(t *testing.T, count int, text string) []*bufio.Reader {
	t.Helper()
	readers := make([]*bufio.Reader, count)
	for i := range readers {
		conn, reader := h.dial(t)
		go func() { _, _ = io.WriteString(conn, text) }() // the server may stop to read
		readers[i] = reader
	}
	return readers
}

// shortFields returns header fields of about the given total size. Short ones take the most memory for their size.
func shortFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// Guards against thousands of idle connections that take the memory of a host: each kept a write buffer.
func TestIdleConnectionsAreSmall(t *testing.T) {
	h := newCrowdHarness(t, 0)
	before := heapBytes()
	const count = 1000
	for _, reader := range h.dialMany(t, count, fmt.Sprintf(get, "/a")) {
		readResponse(t, reader)
	}
	// The readers of the callers in this process are a part of the growth.
	size := (heapBytes()-before)/count - bufferBytes
	t.Logf("an idle connection takes %d bytes of the heap", size)
	if size > maxIdleHeapBytes {
		t.Errorf("an idle connection takes %d bytes, want %d at most", size, maxIdleHeapBytes)
	}
}

// quietPeriod is the time without the start of a request after which all requests that may start have done so.
const quietPeriod = 300 * time.Millisecond

// awaitNoFurtherStarts waits until the server starts no further requests. Before that, the heap holds garbage of requests that end
// while it is measured.
func (h *harness) awaitNoFurtherStarts(t *testing.T) {
	t.Helper()
	started, since := h.started.Load(), time.Now()
	h.await(t, "no further start of a request", func() bool {
		if n := h.started.Load(); n != started {
			started, since = n, time.Now()
		}
		return time.Since(since) >= quietPeriod
	})
}

// Guards against callers whose headers take many times their size when they are parsed (16 KB of short fields took 0.25 MB, and 4 MB on
// a connection with requests that wait behind another), which no budget bounded. A request of the usual size must be served beside them.
func TestGreatestHeadersStayWithinTheBudget(t *testing.T) {
	const count = 200
	fields := shortFields(greatestHeader - 1000)
	header := "GET /wait HTTP/1.1\r\nHost: a\r\n" + fields
	for name, text := range map[string]string{
		"not complete":            header,
		"running":                 header + "\r\n",
		"ahead":                   strings.Repeat(header+"\r\n", 10),
		"behind a booking":        fmt.Sprintf(post, "/wait", 0) + strings.Repeat(header+"\r\n", 10),
		"in one segment, behind":  fmt.Sprintf(post, "/wait", 0) + header[:3000],
		"one field":               "GET /wait HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", greatestHeader-1000) + "\r\n\r\n",
		"many responses not read": strings.Repeat(fmt.Sprintf(get, "/a"), 500),
	} {
		t.Run(name, func(t *testing.T) {
			h := newCrowdHarness(t, 0)
			before := heapBytes()
			h.dialMany(t, count, text)
			h.await(t, "all connections", func() bool { return h.server.Connections() > 0 })
			time.Sleep(time.Second) // until the server has read what it reads
			h.awaitNoFurtherStarts(t)
			// The callers' buffers, the parts of headers that the budget leaves out, and the buffers of idle connections.
			const want = crowdBudget + count*(bufferBytes+freeHeaderBytes+maxIdleHeapBytes)
			size := heapBytes() - before
			t.Logf("%d connections take %d bytes", count, size)
			if size > want {
				t.Errorf("%d connections take %d bytes, want %d at most", count, size, want)
			}
			conn, reader := h.dial(t)
			sendText(t, conn, fmt.Sprintf(get, "/a"))
			if status, _ := readResponse(t, reader); status != http.StatusOK {
				t.Errorf("a request of the usual size got status %d, want 200", status)
			}
			close(h.release)
		})
	}
}

// Guards against callers that keep all others out by connections on which they send nothing: a new connection replaces the one that
// has been idle for longest. Connections with a request are not replaced.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	const count = 50
	h := newCrowdHarness(t, count)
	busy, busyReader := h.dial(t)
	sendText(t, busy, fmt.Sprintf(get, "/wait"))
	partial, partialReader := h.dial(t)
	sendText(t, partial, "GET /b HTTP/1.1\r\nHo")
	h.await(t, "the first requests", func() bool { return h.started.Load() == 1 && h.readingConnections() == 1 })
	h.dialMany(t, 3*count, "")
	h.await(t, "connections that are replaced", func() bool { return h.server.RejectedConnections() == 2*count+2 })
	for range count {
		conn, reader := h.dial(t)
		sendText(t, conn, fmt.Sprintf(get, "/a"))
		if status, _ := readResponse(t, reader); status != http.StatusOK {
			t.Errorf("status %d, want 200", status)
		}
	}
	sendText(t, partial, "st: a\r\n\r\n")
	if _, body := readResponse(t, partialReader); body != "GET /b 0" {
		t.Errorf("response %q, want that of /b", body)
	}
	close(h.release)
	if _, body := readResponse(t, busyReader); body != "GET /wait 0" {
		t.Errorf("response %q, want that of /wait", body)
	}
	if open := h.server.Connections(); open > count {
		t.Errorf("%d connections are open, want %d at most", open, count)
	}
}
