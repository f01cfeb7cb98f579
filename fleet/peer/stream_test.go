package peer

import (
	"fmt"
	"testing"
	"time"
)

// Guards against answers that reach another call: a stream is used again only after an exchange that ended properly. Calls
// that fail, time out or answer too much are mixed with calls that succeed, all over one session.
func TestReusedStreamsDoNotCrossResponses(t *testing.T) {
	_, address := startServer(t, Options{})
	c := newClient(t, Options{MaxMessageBytes: 1000, StaleSessionTimeout: time.Hour})
	defer func() { _ = c.Close() }()
	disturbing := []string{"fails", "not owner", "large", "unfinished", "hangs", "inactive"}
	for i := range 60 {
		timeout := 30 * time.Second
		text := disturbing[i%len(disturbing)]
		if text == "hangs" {
			timeout = time.Millisecond
		}
		if answer, err := callEcho(t, c, address, text, timeout); err == nil {
			t.Fatalf("%q answers %q", text, answer)
		}
		for j := range 3 {
			text := fmt.Sprint("call ", i, " ", j)
			answer, err := callEcho(t, c, address, text, 30*time.Second)
			if err != nil || answer != "client:"+text {
				t.Fatalf("%q answers %q, %v", text, answer, err)
			}
		}
	}
}

// Guards against a stream per call, which doubles the traffic between hosts.
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
		t.Errorf("%d streams are open after 20 calls one after another, want 1", n)
	}
}
