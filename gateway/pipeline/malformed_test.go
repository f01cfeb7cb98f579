package pipeline

import (
	"io"
	"testing"
)

// Guards against a request with a space in the name of a header, which http.ReadRequest accepts. No upstream can be sent it, so it
// opened the breakers of healthy upstreams; and what follows it may be the body whose length the header was meant to state, which
// ran as a request of its own.
func TestSpaceInHeaderNameIsRejected(t *testing.T) {
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, line := range []string{"X Other: a", "Content-Length : 39", "Transfer-Encoding : chunked"} {
		h := newHarness(t)
		conn, reader := h.dial(t)
		sendText(t, conn, "GET /a HTTP/1.1\r\nHost: a\r\n"+line+"\r\n\r\n"+smuggled)
		if status, _ := readResponse(t, reader); status != 400+int(Malformed) {
			t.Errorf("%q: status %d, want that of a malformed request", line, status)
		}
		if _, err := reader.ReadByte(); err != io.EOF {
			t.Errorf("%q: read after the rejection: %v, want EOF", line, err)
		}
		if n := h.started.Load(); n != 0 {
			t.Errorf("%q: %d requests have started, want none", line, n)
		}
	}
}
