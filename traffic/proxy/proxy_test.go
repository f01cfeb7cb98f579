package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet/idempotency"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
	"github.com/bronzeyard/bronzeyard/traffic/proxy"
)

// Guards against the loss of bodies, headers or trailers in either direction, buffered or streamed.
func TestResponseIsForwarded(t *testing.T) {
	for _, size := range []int{0, 5, 64 << 10, 300 << 10} {
		body := strings.Repeat("x", size)
		address := upstreamServer(t, func(w http.ResponseWriter, r *http.Request) {
			got, _ := io.ReadAll(r.Body)
			w.Header().Set("Trailer", "X-Sum")
			w.Header().Set("X-Seen", r.URL.RequestURI()+" "+r.Trailer.Get("X-Check"))
			_, _ = w.Write(got)
			w.Header().Set("X-Sum", fmt.Sprint(len(got)))
		})
		h := newHarness(t, forward.Options{}, time.Minute, address)
		server := httptest.NewServer(h.handler)
		r, _ := http.NewRequest(http.MethodPut, server.URL+"/lookup/a%20b?q=1", io.NopCloser(strings.NewReader(body)))
		r.Header.Set("X-Api-Key", testKey)
		r.Trailer = http.Header{"X-Check": {"c"}}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		received, sum := response.Header.Get("X-Seen"), response.Trailer.Get("X-Sum")
		if err != nil || string(got) != body || received != "/lookup/a%20b?q=1 c" || sum != fmt.Sprint(size) {
			t.Errorf("size %d: %v, %d bytes, seen %q, trailer %q", size, err, len(got), received, sum)
		}
		server.Close()
		h.handler.CloseIdle()
		if h.budget.Used() != 0 {
			t.Errorf("size %d: %d bytes of the buffer budget were not released", size, h.budget.Used())
		}
	}
}

// TestNoUpstreamSeesTheKey guards against a customer's key that is forwarded to an upstream, wherever in the request the
// caller put it. It searches everything that the upstream received.
func TestNoUpstreamSeesTheKey(t *testing.T) {
	escaped := ""
	for _, b := range []byte(testKey) {
		escaped += fmt.Sprintf("%%%02x", b)
	}
	requests := map[string]string{
		"bearer":        "GET /PATH HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer KEY\r\n\r\n",
		"header twice":  "GET /PATH HTTP/1.1\r\nHost: h\r\nX-Api-Key: KEY\r\nx-api-key: KEY\r\n\r\n",
		"query twice":   "GET /PATH?api_key=KEY&a=1;x=KEY&api_key=KEY&token=KEY HTTP/1.1\r\nHost: h\r\n\r\n",
		"escaped":       "GET /PATH?a%70i_key=ESCAPED HTTP/1.1\r\nHost: h\r\nReferer: http://h/?k=ESCAPED\r\n\r\n",
		"cookie":        "GET /PATH HTTP/1.1\r\nHost: h\r\nX-Api-Key: KEY\r\nCookie: a=b; api_key=KEY; s=KEY\r\n\r\n",
		"other headers": "GET /PATH HTTP/1.1\r\nHost: h\r\nX-Api-Key: KEY\r\nReferer: http://h/?api_key=KEY\r\nX-Request-Id: KEY\r\nX-KEY: 1\r\nForwarded: for=KEY\r\n\r\n",
		"hop by hop":    "GET /PATH HTTP/1.1\r\nHost: h\r\nX-Api-Key: KEY\r\nConnection: X-Other\r\nX-Other: KEY\r\nProxy-Authorization: KEY\r\n\r\n",
		"trailer":       "POST /PATH HTTP/1.1\r\nHost: h\r\nX-Api-Key: KEY\r\nTransfer-Encoding: chunked\r\nTrailer: X-Api-Key, X-T\r\n\r\n1\r\nx\r\n0\r\nX-Api-Key: KEY\r\nX-T: KEY\r\n\r\n",
		"long trailer":  "POST /PATH HTTP/1.1\r\nHost: h\r\nX-Api-Key: KEY\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n11170\r\nLONG\r\n0\r\nX-T: KEY\r\n\r\n",
		"open":          "GET /OPEN HTTP/1.1\r\nHost: h\r\nAuthorization: bearer KEY\r\nCookie: api_key=KEY\r\n\r\n",
		"open cookie":   "GET /OPEN HTTP/1.1\r\nHost: h\r\nCookie: api_key=KEY; a=b\r\n\r\n",
		"open query":    "GET /OPEN?x=1;api_key=KEY HTTP/1.1\r\nHost: h\r\n\r\n",
		"basic":         "GET /PATH?api_key=KEY HTTP/1.1\r\nHost: h\r\nAuthorization: Basic KEY\r\n\r\n",
	}
	replacer := strings.NewReplacer("KEY", testKey, "ESCAPED", escaped, "PATH", "lookup/x", "OPEN", "open/x", "LONG", strings.Repeat("x", 0x11170))
	for name, text := range requests {
		upstream := newRawUpstream(t, script{read: -1, write: completeResponse, end: serves})
		h := newHarness(t, forward.Options{}, time.Minute, upstream.address)
		server := httptest.NewServer(h.handler)
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, replacer.Replace(text))
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.Close()
		server.Close()
		got := upstream.transcript()
		decoded, _ := url.QueryUnescape(got)
		if !strings.Contains(got, "X-Request-Id: ") {
			t.Errorf("%s: the upstream did not receive the request: %q", name, got)
		}
		if strings.Contains(strings.ToLower(got), strings.ToLower(testKey)) || strings.Contains(decoded, testKey) || strings.Contains(got, escaped) {
			t.Errorf("%s: the upstream received the key: %q", name, got)
		}
		if strings.Contains(text, "a=b") && !strings.Contains(got, "Cookie: a=b\r\n") {
			t.Errorf("%s: another cookie was not forwarded: %q", name, got)
		}
		h.handler.CloseIdle()
	}
}

// Guards against requests that are not rejected as they must be, and against forwarding one of them to an upstream.
func TestRejections(t *testing.T) {
	var received atomic.Int64
	address := upstreamServer(t, func(http.ResponseWriter, *http.Request) { received.Add(1) })
	withdrawKey := func(h *harness) { h.applySettings(time.Minute, 0, nil, address) }
	endLease := func(h *harness) { h.inactive.Store(true) }
	queued := func(change func(*harness)) func(*harness) {
		return func(h *harness) {
			h.acquire = func(context.Context) error { change(h); return nil }
		}
	}
	none := func(*harness) {}
	id := map[string]string{"Idempotency-Key": newOperationID()}
	for _, c := range []struct {
		name, method, target, body string
		header                     map[string]string
		prepare                    func(*harness)
		kind                       errkind.Kind
		outcome                    errkind.Outcome
	}{
		{"no route", "GET", "/other", "", nil, none, errkind.RouteNotFound, errkind.NotRun},
		{"no key", "GET", "/lookup", "", map[string]string{"Authorization": ""}, none, errkind.KeyMissing, errkind.NotRun},
		{"wrong key", "GET", "/lookup", "", map[string]string{"Authorization": "Bearer x"}, none, errkind.KeyInvalid, errkind.NotRun},
		{"two keys", "GET", "/lookup?api_key=y", "", nil, none, errkind.KeyInvalid, errkind.NotRun},
		{"key in path", "GET", "/lookup/" + testKey, "", nil, none, errkind.RequestMalformed, errkind.NotRun},
		{"dot segments", "GET", "/lookup/../booking", "", nil, none, errkind.RequestMalformed, errkind.NotRun},
		{"encoded dots", "GET", "/lookup/%2e%2e/booking", "", nil, none, errkind.RequestMalformed, errkind.NotRun},
		{"encoded slash", "GET", "/lookup%2Fa", "", nil, none, errkind.RequestMalformed, errkind.NotRun},
		{"empty segment", "GET", "//booking", "", nil, none, errkind.RequestMalformed, errkind.NotRun},
		{"upgrade", "GET", "/lookup", "", map[string]string{"Upgrade": "h2c"}, none, errkind.RequestMalformed, errkind.NotRun},
		{"bad timeout", "GET", "/lookup", "", map[string]string{"Bronzeyard-Timeout-Ms": "-1"}, none, errkind.RequestMalformed, errkind.NotRun},
		{"too large", "PUT", "/lookup", strings.Repeat("x", 1<<20+1), nil, none, errkind.RequestTooLarge, errkind.NotRun},
		{"no operation id", "POST", "/booking", "", nil, none, errkind.OperationIDMissing, errkind.NotRun},
		{"no lease", "GET", "/lookup", "", nil, endLease, errkind.HostInactive, errkind.NotRun},
		{"no lease, route may be new", "GET", "/other", "", nil, endLease, errkind.HostInactive, errkind.NotRun},
		{"no lease, key may be new", "GET", "/lookup?api_key=y", "", nil, endLease, errkind.HostInactive, errkind.NotRun},
		{"over the rate", "GET", "/lookup", "", nil, func(h *harness) { h.decision = proxy.LimitDecision{} }, errkind.RateLimited, errkind.NotRun},
		{"operation over the rate", "POST", "/booking", "", id, func(h *harness) { h.decision = proxy.LimitDecision{} }, errkind.RateLimited, errkind.NotRun},
		{"lease ends in the queue", "GET", "/lookup", "", nil, queued(endLease), errkind.HostInactive, errkind.NotRun},
		{"key withdrawn in the queue", "GET", "/lookup", "", nil, queued(withdrawKey), errkind.KeyInvalid, errkind.NotRun},
		{"key withdrawn from queued operation", "POST", "/booking", "", id, queued(withdrawKey), errkind.KeyInvalid, errkind.NotRun},
		{"queue full", "GET", "/lookup", "", nil, func(h *harness) {
			h.acquire = func(context.Context) error { return errkind.New(errkind.Overloaded, nil) }
		}, errkind.Overloaded, errkind.NotRun},
		{"deadline in the queue", "GET", "/lookup", "", map[string]string{"Bronzeyard-Timeout-Ms": "1"}, func(h *harness) {
			h.acquire = func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
		}, errkind.DeadlineNotRun, errkind.NotRun},
		{"no budget for bodies", "PUT", "/lookup", "xx", nil, func(h *harness) { h.budget.Reserve(1 << 20) }, errkind.Overloaded, errkind.NotRun},
		{"draining", "GET", "/lookup", "", nil, func(h *harness) { _ = h.handler.Drain(context.Background()) }, errkind.ShuttingDown, errkind.NotRun},
	} {
		h := newHarness(t, forward.Options{Budget: forward.NewBufferBudget(1 << 20)}, time.Minute, address)
		c.prepare(h)
		got := h.send(c.method, c.target, c.body, c.header)
		kind, result := got.Header().Get(errkind.KindHeader), got.Header().Get(errkind.OutcomeHeader)
		if kind != string(c.kind) || result != string(c.outcome) {
			t.Errorf("%s: got %d %s %s, want %s %s", c.name, got.Code, kind, result, c.kind, c.outcome)
		}
		if c.kind != errkind.Overloaded && h.budget.Used() != 0 {
			t.Errorf("%s: %d bytes of the buffer budget were not released", c.name, h.budget.Used())
		}
	}
	if received.Load() != 0 {
		t.Errorf("an upstream received %d rejected requests", received.Load())
	}
	h := newHarness(t, forward.Options{}, time.Minute, address)
	endLease(h)
	if got := h.send("GET", "/open", "", nil); got.Code != http.StatusOK {
		t.Errorf("open route without a lease: status %d, want 200", got.Code)
	}
}

// Guards against an operation that is cancelled when its caller disconnects, a result that is not recorded, and a repeat
// that runs the operation again.
func TestOperationOutlivesItsCaller(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	var runs atomic.Int64
	address := upstreamServer(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		close(arrived)
		<-proceed
		w.Header().Set("Trailer", "X-Sum")
		_, _ = io.WriteString(w, "booked")
		w.Header().Set("X-Sum", "6")
	})
	h := newHarness(t, forward.Options{}, time.Minute, address)
	id := map[string]string{"Idempotency-Key": newOperationID()}
	ctx, disconnect := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		h.handler.ServeHTTP(httptest.NewRecorder(), newRequest("POST", "/booking/1", "b", id).WithContext(ctx))
	}()
	<-arrived
	disconnect()
	drained := make(chan error)
	go func() { drained <- h.handler.Drain(context.Background()) }()
	close(proceed)
	<-served
	if err := <-drained; err != nil || h.handler.InFlight() != 0 {
		t.Errorf("drain: %v, %d in flight", err, h.handler.InFlight())
	}
	if result := <-h.operations.(*fakeOperations).completed; result.State != idempotency.Done || string(result.Body) != "booked" {
		t.Errorf("recorded result: %v %q, want Done \"booked\"", result.State, result.Body)
	}
	second := newHarness(t, forward.Options{}, time.Minute, address)
	second.operations = h.operations
	got := second.send("POST", "/booking/1", "b", id)
	if sum := got.Result().Trailer.Get("X-Sum"); sum != "6" {
		t.Errorf("trailer X-Sum of the repeat: %q, want \"6\"", sum)
	}
	if got.Body.String() != "booked" || got.Header().Get(proxy.ReplayedHeader) != "true" || runs.Load() != 1 {
		t.Errorf("repeat: status %d, body %q; the operation ran %d times, want 1", got.Code, got.Body, runs.Load())
	}
}

// Guards against an idempotent request that continues at the upstream after its caller has disconnected, and against a
// hedged request whose slower attempt is not cancelled.
func TestIdempotentWorkIsCancelled(t *testing.T) {
	arrived, cancelled := make(chan struct{}, 2), make(chan struct{}, 2)
	slow := upstreamServer(t, func(_ http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-r.Context().Done()
		cancelled <- struct{}{}
	})
	// Without the wait, its response may arrive before the first attempt was sent, so that nothing would be cancelled.
	quick := upstreamServer(t, func(w http.ResponseWriter, _ *http.Request) {
		<-arrived
		_, _ = io.WriteString(w, "ok")
	})

	h := newHarness(t, forward.Options{}, time.Minute, slow)
	ctx, disconnect := context.WithCancel(context.Background())
	go func() {
		<-arrived
		disconnect()
	}()
	func() {
		defer func() { _ = recover() }() // the handler aborts the caller's connection
		h.handler.ServeHTTP(httptest.NewRecorder(), newRequest("GET", "/lookup", "", nil).WithContext(ctx))
	}()
	<-cancelled

	h = newHarness(t, forward.Options{}, time.Minute, slow, quick)
	h.applySettings(time.Minute, time.Millisecond, []settings.Key{{ID: "k1", Hash: settings.HashKey(testKey)}}, slow, quick)
	if got := h.send("GET", "/lookup", "", nil); got.Body.String() != "ok" {
		t.Errorf("hedged request: status %d, body %q, want \"ok\"", got.Code, got.Body)
	}
	<-cancelled
}

// Guards against a request that hangs when its response comes before the caller has sent its complete body, and against
// the rest of that body being parsed as the next request.
func TestResponseBeforeEndOfBody(t *testing.T) {
	for _, c := range []struct {
		request    string // up to the end of its header
		sent       int
		begin, end string // of the response
	}{
		{"PUT /lookup/x HTTP/1.1\r\nContent-Length: 500000\r\n", 100 << 10, "HTTP/1.1 200 OK", completeBody},
		{"PUT /lookup/x HTTP/1.1\r\nContent-Length: 5\r\nBronzeyard-Timeout-Ms: 20\r\n", 1, "HTTP/1.1 504", "}\n"},
	} {
		upstream := newRawUpstream(t, script{read: 100, write: completeResponse, end: serves})
		h := newHarness(t, forward.Options{}, time.Minute, upstream.address)
		server := httptest.NewServer(h.handler)
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(conn, "%sHost: h\r\nX-Api-Key: %s\r\n\r\n%s", c.request, testKey, strings.Repeat("x", c.sent))
		got, err := io.ReadAll(conn) // ends when the host closes the connection
		if err != nil || !strings.HasPrefix(string(got), c.begin) || !strings.HasSuffix(string(got), c.end) {
			t.Errorf("read error %v, response %q", err, got)
		}
		_ = conn.Close()
		server.Close()
		h.handler.CloseIdle()
	}
}
