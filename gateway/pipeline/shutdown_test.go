package pipeline

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// Guards against a last response that is lost because a request of the caller crosses the close of its connection: the close of a
// connection with unread bytes resets it.
func TestConnectionWithItsLastResponseLingers(t *testing.T) {
	h := newHarness(t)
	conn, reader := h.dial(t)
	sendText(t, conn, fmt.Sprintf(get, "/close"))
	h.await(t, "the response", func() bool { return h.started.Load() == 1 && h.server.InFlight() == 0 })
	for range 10 {
		if open := h.server.CloseIdle(); open != 1 {
			t.Fatalf("%d connections are open, want the one that lingers", open)
		}
		sendText(t, conn, fmt.Sprintf(get, "/crossing"))
	}
	if status, _ := readResponse(t, reader); status != http.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("read after the last response: %v, want EOF", err)
	}
	if n := h.started.Load(); n != 1 {
		t.Errorf("%d requests have started, want 1", n)
	}
	begin := time.Now()
	h.await(t, "the end of the connection", func() bool { return h.server.Connections() == 0 })
	if took := time.Since(begin); took > 2*lingerTimeout {
		t.Errorf("the connection stayed open for %v, want about %v", took, lingerTimeout)
	}
}

// Guards against callers that wait, or whose requests start, after a stopping server has ceased to wait for the rest of requests. A
// request that runs must not be cancelled by that.
func TestRejectUnread(t *testing.T) {
	h := newHarness(t)
	busy, busyReader := h.dial(t)
	sendText(t, busy, fmt.Sprintf(get, "/wait")+"GET /hal")
	unread := []string{"G", "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx"}
	readers := make([]*bufio.Reader, len(unread))
	for i, text := range unread {
		conn, reader := h.dial(t)
		sendText(t, conn, text)
		readers[i] = reader
	}
	h.await(t, "the start of the requests", func() bool { return h.started.Load() == 1 && h.readingConnections() == 3 })
	h.server.CloseAfterResponses()
	h.server.RejectUnread()
	for i, reader := range readers {
		if status, _ := readResponse(t, reader); status != 400+int(ShuttingDown) {
			t.Errorf("status %d for %q, want %d", status, unread[i], 400+int(ShuttingDown))
		}
	}
	if n := h.cancelled.Load(); n != 0 {
		t.Errorf("%d requests were cancelled", n)
	}
	close(h.release)
	if _, body := readResponse(t, busyReader); body != "GET /wait 0" {
		t.Errorf("response %q, want that of /wait", body)
	}
	if _, err := busyReader.ReadByte(); err != io.EOF {
		t.Errorf("read after the last response: %v, want EOF", err)
	}
	if n := h.started.Load(); n != 1 {
		t.Errorf("%d requests have started, want 1", n)
	}
}

// readingConnections returns the number of connections on which a request has begun to arrive.
func (h *harness) readingConnections() (n int) {
	h.server.mu.Lock()
	defer h.server.mu.Unlock()
	for c := range h.server.conns {
		c.mu.Lock()
		if c.reading {
			n++
		}
		c.mu.Unlock()
	}
	return n
}
