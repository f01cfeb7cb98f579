package forward

import (
	"errors"
	"io"
	"net"
	"testing"
)

// Guards against a request that is reported as not sent, and so sent to another upstream, while http.Transport is about to
// write it: an answer that arrives before the request was written ends the attempt earlier than the write.
func TestSealedConnectionWritesNothing(t *testing.T) {
	ours, theirs := net.Pipe()
	received := make(chan []byte, 1)
	go func() {
		data, _ := io.ReadAll(theirs) // ends with the connection
		received <- data
	}()
	conn := &countedConn{Conn: ours}
	if _, err := io.WriteString(conn, "first request"); err != nil {
		t.Fatal(err)
	}
	before := conn.sent.count()
	if conn.sent.seal(before) {
		t.Error("a request without a byte on the connection counts as sent")
	}
	if _, err := io.WriteString(conn, "second request"); !errors.Is(err, errSealed) {
		t.Errorf("a write after the request was given up: error %v, want %v", err, errSealed)
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	if data := <-received; string(data) != "first request" {
		t.Errorf("the upstream received %q", data)
	}
	if !(&sentCounter{n: 14}).seal(13) {
		t.Error("a request with a byte on the connection counts as not sent")
	}
}
