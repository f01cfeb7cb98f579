package host_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/emulator/deployment"
	"github.com/bronzeyard/bronzeyard/emulator/local"
)

// startLocal starts one host of a local deployment and waits until it is ready.
func startLocal(t *testing.T) *local.Fleet {
	t.Helper()
	fleet, err := local.Start(t.Context(), local.Options{
		Deployment: deployment.Merrimack(), Hosts: 1, ServiceTime: time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := fleet.Close(); err != nil {
			t.Error(err)
		}
	})
	if err := fleet.WaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	return fleet
}

// sendRaw writes text to a new connection and returns the statuses of all responses until the host closes it.
func sendRaw(t *testing.T, address, text string) []int {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	var statuses []int
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		statuses = append(statuses, response.StatusCode)
	}
}

// Guards against request smuggling: requests whose end, target or headers a host and an upstream could interpret
// differently, and oversized requests, must not reach an upstream.
func TestMalformedRequestsReachNoUpstream(t *testing.T) {
	fleet := startLocal(t)
	address, key := fleet.CallerAddresses()[0], local.Key("desk-1")
	smuggled := "GET /logbook/smuggled HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key + "\r\n\r\n"
	head := "Host: x\r\nAuthorization: Bearer " + key + "\r\nConnection: close\r\n"
	cases := []struct{ name, text string }{
		{"two lengths", "POST /logbook/a HTTP/1.1\r\n" + head + "Content-Length: 0\r\nContent-Length: 40\r\n\r\n" + smuggled},
		{"signed length", "POST /logbook/a HTTP/1.1\r\n" + head + "Content-Length: +5\r\n\r\nhello"},
		{"unknown transfer encoding", "POST /logbook/a HTTP/1.1\r\n" + head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"},
		{"malformed chunk", "POST /logbook/a HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n"},
		{"space before the colon", "GET /logbook/a HTTP/1.1\r\n" + head + "X-Note : 1\r\n\r\n"},
		{"control character in a header", "GET /logbook/a HTTP/1.1\r\n" + head + "X-Note: a\x00b\r\n\r\n"},
		{"no host", "GET /logbook/a HTTP/1.1\r\nAuthorization: Bearer " + key + "\r\n\r\n"},
		{"two hosts", "GET /logbook/a HTTP/1.1\r\nHost: y\r\n" + head + "\r\n"},
		{"connect", "CONNECT 127.0.0.1:80 HTTP/1.1\r\n" + head + "\r\n"},
		{"path with parent segments", "GET /logbook/../intake/a HTTP/1.1\r\n" + head + "\r\n"},
		{"backslash", "GET /logbook/..%5cintake HTTP/1.1\r\n" + head + "\r\n"},
		{"NUL in the path", "GET /logbook/%00 HTTP/1.1\r\n" + head + "\r\n"},
		{"header of 1 MiB", "GET /logbook/a HTTP/1.1\r\n" + head + "X-Note: " + strings.Repeat("a", 1<<20) + "\r\n\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, status := range sendRaw(t, address, c.text) {
				if status < http.StatusBadRequest {
					t.Errorf("got status %d, want 400 or above", status)
				}
			}
			if records := fleet.Records(); len(records) > 0 {
				t.Errorf("an upstream received %s %s", records[0].Method, records[0].Target)
			}
		})
	}
	if statuses := sendRaw(t, address, "GET /logbook/a HTTP/1.1\r\n"+head+"\r\n"); len(statuses) != 1 || statuses[0] != http.StatusOK {
		t.Errorf("a valid request for comparison got statuses %v, want [200]", statuses)
	}
}

// Guards against request smuggling with both Transfer-Encoding and Content-Length, where the host uses the chunks and an
// upstream the stated length. The request may be served, but the upstream must receive exactly the body of the chunks,
// without the caller's Content-Length, so that no part of it becomes a second request.
func TestChunkedTakesPrecedenceOverLength(t *testing.T) {
	fleet := startLocal(t)
	text := "POST /logbook/a HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + local.Key("desk-1") +
		"\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	_ = sendRaw(t, fleet.CallerAddresses()[0], text+"GET /logbook/next HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	for _, record := range fleet.Records() {
		if record.Body != "hello" || record.Header.Get("Content-Length") == "4" {
			t.Errorf("an upstream received %s %s with body %q", record.Method, record.Target, record.Body)
		}
	}
}

// Guards against an operation id that gives access to the operation of another customer.
func TestOperationIDsAreScopedToCustomer(t *testing.T) {
	fleet := startLocal(t)
	id := local.NewOperationID()
	for _, customer := range []string{"desk-1", "desk-2"} {
		url := fmt.Sprintf("http://%s/intake/%s", fleet.CallerAddresses()[0], customer)
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+local.Key(customer))
		request.Header.Set("Idempotency-Key", id)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK || !strings.HasPrefix(string(body), "POST /intake/"+customer+" ") {
			t.Errorf("%s got %d %q, %v", customer, response.StatusCode, body, err)
		}
	}
}
