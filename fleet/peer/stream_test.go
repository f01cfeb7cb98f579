package peer

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a response that reaches another call on a reused stream. Calls that fail, time out or get a response above
// the limit alternate with calls that succeed, all over one session.
func TestReusedStreamsDoNotCrossResponses(t *testing.T) {
	_, address := startServer(t, Options{})
	c := newClient(t, Options{MaxMessageBytes: 1000, StaleSessionTimeout: time.Hour})
	defer func() { _ = c.Close() }()
	failing := []string{"fails", "not owner", "large", "unfinished", "hangs", "inactive"}
	for i := range 60 {
		timeout := 30 * time.Second
		text := failing[i%len(failing)]
		if text == "hangs" {
			timeout = time.Millisecond
		}
		if response, err := callEcho(t, c, address, text, timeout); err == nil {
			t.Fatalf("%q: got response %q, want an error", text, response)
		}
		for j := range 3 {
			text := fmt.Sprint("call ", i, " ", j)
			response, err := callEcho(t, c, address, text, 30*time.Second)
			if err != nil || response != "client:"+text {
				t.Fatalf("%q: got response %q, error %v", text, response, err)
			}
		}
	}
}

// Guards against a new stream for each call, which doubles the traffic between hosts.
func TestStreamsAreReused(t *testing.T) {
	_, address := startServer(t, Options{})
	c := newClient(t, Options{})
	defer func() { _ = c.Close() }()
	for i := range 20 {
		if _, err := callEcho(t, c, address, fmt.Sprint(i), 30*time.Second); err != nil {
			t.Fatal(err)
		}
	}
	l, err := c.link(address)
	if err != nil {
		t.Fatal(err)
	}
	s, err := l.session(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if n := s.NumStreams(); n != 1 {
		t.Errorf("%d streams are open after 20 sequential calls, want 1", n)
	}
}
