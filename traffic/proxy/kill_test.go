package proxy_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/traffic/errkind"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

const chunkedResponse = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
	"a\r\nthe whole \r\n12\r\nbody of the answer\r\n0\r\n\r\n"

// TestKilledConnections closes or resets the upstream's connection at each byte position of the request and of the
// response. It guards against a non-idempotent request that is sent twice, a false "not run", an incomplete body that is
// forwarded as complete, and a failure of an idempotent request that another upstream can serve.
func TestKilledConnections(t *testing.T) {
	const requestBytes = 400 // longer than the request, which has about 330 bytes
	scripts := make(map[string]script)
	for _, end := range []connectionEnd{closes, resets} {
		for n := range requestBytes {
			scripts[fmt.Sprintf("request-%d-%d", end, n)] = script{read: n, end: end}
		}
		for i, response := range []string{completeResponse, chunkedResponse} {
			for n := range len(response) {
				scripts[fmt.Sprintf("response%d-%d-%d", i, end, n)] = script{read: -1, write: response[:n], end: end}
			}
		}
	}
	for name, s := range scripts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, buffered := range []int64{0, 1} { // the default limit, and one so small that the response is streamed
				runKillCase(t, s, "/lookup/x", buffered)
				runKillCase(t, s, "/booking/x", buffered)
				runKillCase(t, s, "/plain/x", buffered)
			}
		})
	}
}

func runKillCase(t *testing.T, s script, target string, buffered int64) {
	t.Helper()
	faulty := newRawUpstream(t, s)
	healthy := newRawUpstream(t, script{read: -1, write: completeResponse, end: serves})
	h := newHarness(t, forward.Options{MaxBufferedResponse: buffered}, time.Minute, faulty.address, healthy.address)
	header := map[string]string{"Idempotency-Key": newOperationID()}
	if strings.HasPrefix(target, "/plain") {
		header = nil
	}
	got := h.send("POST", target, "a body", header)
	_ = faulty.listener.Close()
	<-faulty.accepting // conns may be waited for only when no further connection is counted
	h.handler.CloseIdle()
	faulty.conns.Wait()

	complete := got.Body.String() == completeBody
	if got.Code == http.StatusOK && !complete && !got.aborted {
		t.Errorf("%s: incomplete body %q was forwarded as complete", target, got.Body)
	}
	if strings.HasPrefix(target, "/lookup") {
		if buffered == 0 && (got.Code != http.StatusOK || !complete) {
			t.Errorf("idempotent request failed with %d %q", got.Code, got.Body)
		}
		return
	}
	if received := faulty.requestsReceived.Load() + healthy.requestsReceived.Load(); received > 1 {
		t.Errorf("%s: upstreams received the request %d times", target, received)
	}
	if got.Header().Get(errkind.OutcomeHeader) == string(errkind.NotRun) && faulty.requestsReceived.Load()+healthy.requestsReceived.Load() > 0 {
		t.Errorf("%s: response states not run, but an upstream received part of the request", target)
	}
}

// TestPooledConnectionBreaks guards against http.Transport resending a request with an Idempotency-Key by itself when a
// pooled connection breaks. The control case, over pooled connections, shows that it would do so.
func TestPooledConnectionBreaks(t *testing.T) {
	for _, c := range []struct {
		pooled   bool
		received int64
	}{{pooled: false, received: 1}, {pooled: true, received: 2}} {
		upstream := newRawUpstream(t, script{warmUp: true, read: -1, end: closes})
		forwarder := forward.New(forward.Options{})
		send := func(idempotent bool) error {
			r := newRequest("POST", "/", "", map[string]string{"Idempotency-Key": newOperationID()})
			q := forward.NewRequest(r, "id", nil, idempotent)
			response, err := forwarder.Do(t.Context(), q, forward.Target{Address: upstream.address})
			if err == nil {
				response.Close()
			}
			return err
		}
		if err := send(true); err != nil {
			t.Fatal(err)
		}
		if send(c.pooled) == nil {
			t.Fatal("the request on the broken connection succeeded")
		}
		if received := upstream.requestsReceived.Load(); received != c.received {
			t.Errorf("pooled %t: the upstream received the request %d times, want %d", c.pooled, received, c.received)
		}
		forwarder.CloseIdle()
	}
}
