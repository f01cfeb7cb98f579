package ctl_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/bronzeyard/bronzeyard/cmd/internal/ctl"
)

// changeMade is the body of the response to a change.
const changeMade = `{"revision":2,"in_force":true}`

// serveText responds to one request on each connection with a text, and then closes the connection properly. It returns the URL.
func serveText(t *testing.T, text string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, text)
			}
			_ = conn.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against a command that reports a success although the response of the host has a faulty head.
func TestFaultyHeadIsNoSuccess(t *testing.T) {
	for head, want := range map[string]ctl.ExitCode{
		"HTTP/1.1 200 OK\r\nX-Trace: a\r\n\r\n":     ctl.ExitOK,
		"HTTP/1.1 000 OK\r\nX-Trace: a\r\n\r\n":     ctl.ExitUnavailable,
		"HTTP/1.1 200 OK\r\nX-Trace : a\r\n\r\n":    ctl.ExitUnavailable,
		"HTTP/1.1 200 OK\r\nX Trace: a\r\n\r\n":     ctl.ExitUnavailable,
		"HTTP/1.1 200 OK\r\nX-\x01Trace: a\r\n\r\n": ctl.ExitUnavailable,
	} {
		for _, line := range []string{"set customers/harbour/burst 90 --base 1", "status --json"} {
			t.Run(head+line, func(t *testing.T) {
				t.Parallel()
				sh := newShell(t)
				sh.admin = serveText(t, head+changeMade)
				if code, out, errOut := sh.run(line); code != want {
					t.Errorf("exit code %d, want %d: %s%s", code, want, out, errOut)
				}
			})
		}
	}
}

// Guards against a command that takes a part of a response for the whole. A response without a length ends with the connection, so that its
// content must show that it is whole.
func TestPartOfResponseIsNoSuccess(t *testing.T) {
	for _, line := range []string{"set customers/harbour/burst 90 --base 1", "status --json", "status"} {
		for n := range len(changeMade) {
			sh := newShell(t)
			sh.admin = serveText(t, "HTTP/1.1 200 OK\r\n\r\n"+changeMade[:n])
			if code, out, errOut := sh.run(line); code == ctl.ExitOK {
				t.Errorf("%s: success after %d of %d bytes of the response: %s%s", line, n, len(changeMade), out, errOut)
			}
		}
	}
}
