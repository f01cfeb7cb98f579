package proxy_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/traffic/errkind"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
	"github.com/bronzeyard/bronzeyard/traffic/proxy"
)

// Guards against a response that states "not run" for an operation that an earlier request ran. A rejection before the
// operation is claimed cannot take earlier requests into account. The process bench found this when a repeat was rejected
// by the rate limit.
func TestRejectedRetryOfCompletedOperation(t *testing.T) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	defer upstream.Close()
	cases := []struct {
		name  string
		fault func(*harness)
		// replayed is true if the recorded response can be returned in spite of the fault.
		replayed bool
	}{
		{"rate used up", func(h *harness) { h.decision = proxy.LimitDecision{Kind: errkind.RateLimited} }, true},
		{"no share of the rate", func(h *harness) { h.decision = proxy.LimitDecision{Kind: errkind.LimitUnavailable} }, true},
		{"lease expired", func(h *harness) { h.inactive.Store(true) }, false},
		{"shutting down", func(h *harness) { _ = h.handler.Drain(t.Context()) }, false},
		{"key withdrawn", func(h *harness) { h.applySettings(time.Second, 0, nil, upstream.Listener.Addr().String()) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, forward.Options{}, time.Second, upstream.Listener.Addr().String())
			if first := book(h); first.Code != http.StatusOK {
				t.Fatalf("first request: status %d, body %s", first.Code, first.Body)
			}
			c.fault(h)
			repeat := book(h)
			if replayed := repeat.Header().Get(proxy.ReplayedHeader) == "true"; replayed != c.replayed {
				t.Errorf("replayed: %t, want %t", replayed, c.replayed)
			}
			if outcome := repeat.Header().Get(errkind.OutcomeHeader); outcome == string(errkind.NotRun) {
				t.Errorf("the response to the repeat states %q (%s)", outcome, repeat.Header().Get(errkind.KindHeader))
			}
		})
	}
}

// Guards against an unknown outcome where "not run" is known: the first request of an operation obtained the claim and was
// then rejected by the rate limit.
func TestRejectedFirstAttemptIsNotRun(t *testing.T) {
	h := newHarness(t, forward.Options{}, time.Second, "127.0.0.1:1")
	h.decision = proxy.LimitDecision{Kind: errkind.RateLimited}
	response := book(h)
	if response.Code != http.StatusTooManyRequests || response.Header().Get(errkind.OutcomeHeader) != string(errkind.NotRun) {
		t.Errorf("status %d with header %v, want 429 and not run", response.Code, response.Header())
	}
}

func book(h *harness) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "/booking/tree", strings.NewReader("{}"))
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set(proxy.OperationIDHeader, "018f2d3e-7b1c-7cc0-9d3a-0242ac120002")
	recorder := httptest.NewRecorder()
	h.handler.ServeHTTP(recorder, request)
	return recorder
}
