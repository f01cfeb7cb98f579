package pipeline

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// releaseHarness is a slowHarness whose responses count their releases.
type releaseHarness struct {
	*slowHarness
	returned, released atomic.Int64
}

func newReleaseHarness(t *testing.T, handlerTakes time.Duration) *releaseHarness {
	t.Helper()
	r := &releaseHarness{slowHarness: newSlowHarness(t)}
	r.server.options.Handler = func(context.Context, *Request) *Response {
		time.Sleep(handlerTakes)
		r.returned.Add(1)
		return &Response{
			Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, largeResponseBytes),
			Release: func() { r.released.Add(1) },
		}
	}
	return r
}

func (r *releaseHarness) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(r.caller, text); err != nil {
		t.Fatal(err)
	}
}

func (r *releaseHarness) expectReleased(t *testing.T, returned, released int64) {
	t.Helper()
	synctest.Wait()
	if n := r.returned.Load(); n != returned {
		t.Errorf("%d responses were returned, want %d", n, returned)
	}
	if n := r.released.Load(); n != released {
		t.Errorf("%d responses were released, want %d", n, released)
	}
}

const releaseRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// Guards against memory that counts as free while a response waits for a caller that does not read it, and against memory that
// never counts as free again.
func TestUnreadResponseIsReleasedWhenItsWriteEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReleaseHarness(t, 0)
		defer r.close()
		r.send(t, releaseRequest+releaseRequest)
		time.Sleep(writeTimeout - time.Second)
		r.expectReleased(t, 2, 0)
		time.Sleep(2 * time.Second)
		r.expectReleased(t, 2, 2)
	})
}

// Guards against a response that stays reserved after its caller has read it, while the connection stays open.
func TestReadResponseIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReleaseHarness(t, 0)
		defer r.close()
		r.send(t, releaseRequest)
		response, err := http.ReadResponse(bufio.NewReader(r.caller), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		if n, err := io.Copy(io.Discard, response.Body); err != nil || n != largeResponseBytes {
			t.Errorf("the body has %d bytes, error %v; want %d bytes", n, err, largeResponseBytes)
		}
		r.expectReleased(t, 1, 1)
	})
}

// Guards against a response that stays reserved because the connection ended while its handler ran.
func TestResponseOfEndedConnectionIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReleaseHarness(t, time.Second)
		r.send(t, releaseRequest+releaseRequest)
		synctest.Wait()
		r.close()
		time.Sleep(2 * time.Second)
		r.expectReleased(t, 2, 2)
	})
}
