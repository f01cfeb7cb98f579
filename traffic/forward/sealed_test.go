package forward

import (
	"errors"
	"io"
	"net"
	"testing"
)

// Guards against a request that is reported as not sent, and therefore sent to another upstream, while http.Transport is about
// to write it. This happens if a response arrives before the request was written: the attempt ends earlier than the write.
func TestSealedConnectionWritesNothing(t *testing.T) {
	local, remote := net.Pipe()
	received := make(chan []byte, 1)
	go func() {
		data, _ := io.ReadAll(remote) // returns when the connection is closed
		received <- data
	}()
	conn := &countedConn{Conn: local}
	if _, err := io.WriteString(conn, "first request"); err != nil {
		t.Fatal(err)
	}
	before := conn.sent.count()
	if conn.sent.seal(before) {
		t.Error("a request of which no byte was written counts as sent")
	}
	if _, err := io.WriteString(conn, "second request"); !errors.Is(err, errSealed) {
		t.Errorf("write after the request was abandoned: error %v, want %v", err, errSealed)
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	if data := <-received; string(data) != "first request" {
		t.Errorf("the upstream received %q, want only the first request", data)
	}
	if !(&sentCounter{n: 14}).seal(13) {
		t.Error("a request of which a byte was written counts as not sent")
	}
}
