package pipeline

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

const post = "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"

// Guards against requests that start, or continue to run, after their caller has left: the end of a connection was not seen while
// requests on it waited for others (review of 2026-12-05, GONE: 102 requests reached upstreams in each of 5 runs).
func TestNoRequestStartsAfterItsCallerHasLeft(t *testing.T) {
	booking := fmt.Sprintf(post, "/wait/booking", 0)
	lookups := func(n int) string { return strings.Repeat(fmt.Sprintf(get, "/lookup"), n) }
	for name, c := range map[string]struct {
		text string
		// running is the number of requests that start before the caller leaves.
		running int64
	}{
		"few requests behind a booking":        {booking + lookups(2), 1},
		"20 requests behind a booking":         {booking + lookups(20), 1},
		"more than a connection may hold":      {booking + lookups(1000), 1},
		"bookings behind a booking":            {strings.Repeat(booking, 20), 1},
		"a body behind a booking":              {booking + fmt.Sprintf(post, "/b", 1000) + strings.Repeat("x", 1000), 1},
		"half a body behind a booking":         {booking + fmt.Sprintf(post, "/b", 1000) + "x", 1},
		"half a header behind a booking":       {booking + "GET / HT", 1},
		"a malformed request behind a booking": {booking + "nonsense\r\n\r\n" + lookups(1000), 1},
		"a large body behind a booking":        {booking + fmt.Sprintf(post, "/b", 1<<20) + lookups(1000), 1},
		"a wait for 100 Continue":              {booking + "POST /b HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", 1},
		"requests behind the last of its kind": {"POST /wait HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" + lookups(1000), 1},
		"more requests than run at a time":     {strings.Repeat(fmt.Sprintf(get, "/wait"), 20), defaultMaxConcurrent},
		"more running than may be read ahead":  {strings.Repeat(fmt.Sprintf(get, "/wait"), 500), defaultMaxConcurrent},
		"a malformed request behind running":   {fmt.Sprintf(get, "/wait") + "nonsense\r\n\r\n", 1},
		"a booking behind requests that run":   {strings.Repeat(fmt.Sprintf(get, "/wait"), 3) + booking + lookups(30), 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			conn, _ := h.dial(t)
			sendText(t, conn, c.text)
			h.await(t, "the start of the first requests", func() bool { return h.started.Load() == c.running })
			_ = conn.Close()
			h.await(t, "the end of the requests that run", func() bool { return h.cancelled.Load() == c.running })
			close(h.release)
			h.await(t, "the end of the connection", func() bool { return h.server.Connections() == 0 })
			if n := h.started.Load(); n != c.running {
				t.Errorf("%d requests have started, want the %d that ran when the caller left", n, c.running)
			}
			h.await(t, "the release of memory", func() bool { return h.server.InFlight() == 0 && h.server.options.Budget.Used() == 0 })
		})
	}
}

// expectAnswersThenClose reads responses until one closes the connection, and returns the number of those of the handler.
func (h *harness) expectAnswersThenClose(t *testing.T, text string) (answered int64) {
	t.Helper()
	conn, reader := h.dial(t)
	sendText(t, conn, text)
	h.await(t, "the start of the first request", func() bool { return h.started.Load() > 0 })
	close(h.release)
	for n := 1; ; n++ {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("response %d: %v", n, err)
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil {
			t.Fatalf("response %d: %v", n, err)
		}
		if response.StatusCode == http.StatusOK {
			answered++
		}
		if response.Close {
			if _, err := reader.ReadByte(); err != io.EOF {
				t.Errorf("read after the last response: %v, want EOF", err)
			}
			return answered
		}
	}
}

// Guards against requests that are neither answered nor marked as unread when a caller sends more of them ahead than a connection may
// hold, and against bodies of one connection that take the memory of all others.
func TestRequestsBeyondTheReadAheadAreUnread(t *testing.T) {
	body := strings.Repeat("x", 1000)
	for name, c := range map[string]struct {
		text string
		want int64
		// budget is the memory for bodies, and of headers that wait.
		budget int64
	}{
		"number of requests": {fmt.Sprintf(get, "/wait") + strings.Repeat(fmt.Sprintf(get, "/n"), 500), defaultMaxPipelined, 1 << 20},
		"memory":             {fmt.Sprintf(get, "/wait") + strings.Repeat(fmt.Sprintf(post, "/b", len(body))+body, 50), 1, 500},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.server.options.Budget = forward.NewBufferBudget(c.budget)
			n := h.expectAnswersThenClose(t, c.text)
			if n < c.want || n != h.started.Load() {
				t.Errorf("%d responses for %d started requests, want at least %d and one for each", n, h.started.Load(), c.want)
			}
			h.await(t, "the release of memory", func() bool { return h.server.options.Budget.Used() == 0 })
		})
	}
}

// Guards against a request of the usual size that is rejected, or never answered, while bodies use up the memory budget, because
// others arrive with it.
func TestUsualRequestIsServedWithoutMemoryForOthers(t *testing.T) {
	h := newHarness(t)
	h.server.options.Budget.Reserve(1 << 20)
	conn, reader := h.dial(t)
	sendText(t, conn, strings.Repeat(fmt.Sprintf(get, "/a"), 80))
	served := int64(0)
	for last := false; !last; served++ {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("response %d: %v", served, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if last = response.Close; response.StatusCode != http.StatusOK {
			t.Errorf("response %d has status %d, want 200", served, response.StatusCode)
		}
	}
	if started := h.started.Load(); started != served {
		t.Errorf("%d requests have started, %d were answered", started, served)
	}
}
