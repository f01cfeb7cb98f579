package gateway

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/bronzeyard/bronzeyard/gateway/pipeline"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

// Guards against rejections without a line in the log, without the id of the request, and against a 503 that does not say when to come
// back.
func TestRejectionsAreExplained(t *testing.T) {
	var log bytes.Buffer
	g := &Gateway{log: newDecisionLog(zerolog.New(&log)), budget: forward.NewBufferBudget(1)}
	g.options.Headers.RequestID = "X-Request-Id"
	request := &http.Request{Header: http.Header{"X-Request-Id": {"id-1"}}}
	for rejection, want := range map[pipeline.Rejection]int{
		pipeline.Malformed: 400, pipeline.HeaderTooLarge: 431, pipeline.HeaderTimedOut: 408, pipeline.BodyTooLarge: 413,
		pipeline.BodyTimedOut: 408, pipeline.BudgetExhausted: 503, pipeline.ShuttingDown: 503,
	} {
		log.Reset()
		response := g.reject(rejection, request)
		if response.Status != want || response.Header.Get("X-Request-Id") != "id-1" ||
			response.Header.Get(errkind.OutcomeHeader) != string(errkind.NotRun) {
			t.Errorf("%v: status %d, header %v; want status %d", rejection, response.Status, response.Header, want)
		}
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		if want == http.StatusServiceUnavailable && (err != nil || seconds <= 0 || seconds > 1) {
			t.Errorf("%v: Retry-After %q", rejection, response.Header.Get("Retry-After"))
		}
		if line := log.String(); !strings.Contains(line, `"id":"id-1"`) || !strings.Contains(line, `"reason":"`+rejection.String()+`"`) {
			t.Errorf("%v: the log line is %q", rejection, line)
		}
		if response := g.reject(rejection, nil); response.Status != want {
			t.Errorf("%v without a header: status %d, want %d", rejection, response.Status, want)
		}
	}
}

// Guards against a rejection for lack of memory that does not say when to return.
func TestRejectionForLackOfMemoryStatesWhenToReturn(t *testing.T) {
	g := &Gateway{log: newDecisionLog(zerolog.Nop()), budget: forward.NewBufferBudget(1)}
	response := g.reject(pipeline.BudgetExhausted, nil)
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if response.Status != http.StatusServiceUnavailable || err != nil || seconds < 0.5 || seconds > 1.6 {
		t.Errorf("status %d, Retry-After %q; want 503 and 0.5 to 1.6 s", response.Status, response.Header.Get("Retry-After"))
	}
}
