package host

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/bronzeyard/bronzeyard/settings"
)

// Guards against an upstream in trouble that passes its probe with a broken response.
func TestBrokenResponseFailsProbe(t *testing.T) {
	for head, passes := range map[string]bool{
		"HTTP/1.1 200 OK\r\nX-Trace: a\r\n":     true,
		"HTTP/1.1 000 OK\r\nX-Trace: a\r\n":     false,
		"HTTP/1.1 200 OK\r\nX-Trace : a\r\n":    false,
		"HTTP/1.1 200 OK\r\nX Trace: a\r\n":     false,
		"HTTP/1.1 200 OK\r\nX-\x01Trace: a\r\n": false,
		"HTTP/1.1 200 OK\r\nX-Trace: a":         false,
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = conn.Write([]byte(head + "\r\n"))
			}
		}()
		h := &Host{prober: newProber(), snapshots: &snapshots{}}
		err = h.probe(t.Context(), settings.Upstream{ID: "a", Address: listener.Addr().String()})
		if (err == nil) != passes {
			t.Errorf("response %q: error %v, passes %v, want %v", head, err, err == nil, passes)
		}
		_ = listener.Close()
	}
}
