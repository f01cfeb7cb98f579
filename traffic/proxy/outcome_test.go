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

// Guards against "not run" about an operation that an earlier attempt ran: a refusal that comes before the ledger was
// asked knows nothing of earlier attempts. Found by the process bench: a repeat was refused for lack of rate.
func TestRejectedRetryOfCompletedOperation(t *testing.T) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	defer upstream.Close()
	cases := []struct {
		name  string
		fault func(*harness)
		// replayed is true if the recorded answer can be given in spite of the fault.
		replayed bool
	}{
		{"rate used up", func(h *harness) { h.decision = proxy.LimitDecision{Kind: errkind.RateLimited} }, true},
		{"no share of the rate", func(h *harness) { h.decision = proxy.LimitDecision{Kind: errkind.LimitUnavailable} }, true},
		{"lease lapsed", func(h *harness) { h.inactive.Store(true) }, false},
		{"shutting down", func(h *harness) { _ = h.handler.Drain(t.Context()) }, false},
		{"key withdrawn", func(h *harness) { h.applySettings(time.Second, 0, nil, upstream.Listener.Addr().String()) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, forward.Options{}, time.Second, upstream.Listener.Addr().String())
			if first := book(h); first.Code != http.StatusOK {
				t.Fatalf("first attempt: %d %s", first.Code, first.Body)
			}
			c.fault(h)
			repeat := book(h)
			if replayed := repeat.Header().Get(proxy.ReplayedHeader) == "true"; replayed != c.replayed {
				t.Errorf("replayed: %t, want %t", replayed, c.replayed)
			}
			if outcome := repeat.Header().Get(errkind.OutcomeHeader); outcome == string(errkind.NotRun) {
				t.Errorf("the repeat says %q (%s)", outcome, repeat.Header().Get(errkind.KindHeader))
			}
		})
	}
}

// Guards against the opposite fault: a first attempt that the ledger granted and that was refused later did not run.
func TestRejectedFirstAttemptIsNotRun(t *testing.T) {
	h := newHarness(t, forward.Options{}, time.Second, "127.0.0.1:1")
	h.decision = proxy.LimitDecision{Kind: errkind.RateLimited}
	response := book(h)
	if response.Code != http.StatusTooManyRequests || response.Header().Get(errkind.OutcomeHeader) != string(errkind.NotRun) {
		t.Errorf("got %d with header %v", response.Code, response.Header())
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
