package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const chunkedHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// framingDo makes one attempt at an upstream and buffers up to 16 MiB.
func framingDo(t *testing.T, listener net.Listener) (*Response, error) {
	t.Helper()
	f := New(Options{MaxBufferedResponse: 16 << 20, IdleTimeout: time.Minute})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	t.Cleanup(cancel)
	request := &Request{Method: http.MethodGet, Host: "a", RequestTarget: "/", ID: "1", Verbatim: true, Pooled: true}
	return f.Do(ctx, request, Target{Address: listener.Addr().String()})
}

// Guards against an upstream that takes the processor time of a host with chunks of one byte without an end.
func TestTinyChunksWithoutEndAreBroken(t *testing.T) {
	upstream := newEndlessUpstream(t, chunkedHeader, strings.Repeat("1\r\nx\r\n", 1000), 0)
	response, err := framingDo(t, upstream.listener)
	if err == nil {
		response.Close()
	}
	var failure *AttemptError
	if !errors.As(err, &failure) || failure.Kind != Broken || !errors.Is(err, errFraming) {
		t.Errorf("the error is %v, want a broken attempt because of the framing", err)
	}
	select {
	case <-upstream.sent:
	case <-time.After(10 * time.Second):
		t.Error("the connection is still open after 10 s")
	}
}

// Guards against sound responses in small chunks that are taken for bad ones: many chunks of four bytes, and a short body in chunks of
// one byte.
func TestSmallChunksAreAccepted(t *testing.T) {
	for _, c := range []struct {
		chunk string
		count int
	}{{"xxxx", 100_000}, {"x", 20_000}} {
		listener := serveConns(t, func(conn net.Conn) {
			defer func() { _ = conn.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			chunk := fmt.Sprintf("%x\r\n%s\r\n", len(c.chunk), c.chunk)
			_, _ = fmt.Fprint(conn, chunkedHeader, strings.Repeat(chunk, c.count), "0\r\n\r\n")
		})
		response, err := framingDo(t, listener)
		if err != nil {
			t.Errorf("%d chunks of %d bytes: %v", c.count, len(c.chunk), err)
			continue
		}
		if !response.Complete || len(response.Body) != c.count*len(c.chunk) {
			t.Errorf("%d chunks of %d bytes: body of %d bytes, complete %v", c.count, len(c.chunk), len(response.Body), response.Complete)
		}
		response.Close()
	}
}

// serveHeader responds to one request with a header of the given number of fields and no body.
func serveHeader(t *testing.T, fields int) net.Listener {
	t.Helper()
	return serveConns(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		var header strings.Builder
		for i := range fields - 1 {
			_, _ = fmt.Fprintf(&header, "A%d:\r\n", i)
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%s\r\n", header.String())
	})
}

// Guards against headers that take many times their size in memory, and against memory of headers that the budget does not count.
func TestHeadersOfManyFields(t *testing.T) {
	for fields, accepted := range map[int]bool{maxHeaderFields: true, maxHeaderFields + 1: false, 8000: false} {
		budget := NewBufferBudget(1 << 20)
		f := New(Options{Budget: budget, AwaitMemory: true})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		request := &Request{Method: http.MethodGet, Host: "a", RequestTarget: "/", ID: "1", Verbatim: true, Pooled: true}
		response, err := f.Do(ctx, request, Target{Address: serveHeader(t, fields).Addr().String()})
		if (err == nil) != accepted {
			t.Errorf("%d fields: error %v, accepted %v; want %v", fields, err, err == nil, accepted)
		}
		if err == nil {
			if used := budget.Used(); used < int64(fields)*fieldOverheadBytes {
				t.Errorf("%d fields: %d bytes are reserved", fields, used)
			}
			response.Close()
		}
		if used := budget.Used(); used != 0 {
			t.Errorf("%d fields: %d bytes are reserved after the attempt", fields, used)
		}
	}
}
