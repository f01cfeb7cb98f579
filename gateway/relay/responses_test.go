package relay

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/bronzeyard/bronzeyard/gateway/pipeline"
)

// Guards against responses that reach another request. The upstream sends each response twice, at once or again when the next
// request arrives.
func TestDuplicateResponsesAreDiscarded(t *testing.T) {
	for name, f := range map[string]fault{
		"twice at once":             {readLimit: -1, writeLimit: -1, duplicate: true},
		"again on the next request": {readLimit: -1, writeLimit: -1, duplicateLate: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t)
			r.first.fault.Store(&f)
			for n := range 100 {
				method := http.MethodPost
				if n%2 == 0 {
					method = http.MethodGet
				}
				response, id := r.send(method)
				r.expect(fmt.Sprint("request ", n), method == http.MethodGet, response, id)
			}
		})
	}
}

// Guards against a rejection that an upstream writes once more on a kept connection and that is taken as the response to the next
// request. That request has run: its caller was told that it has not, or it was sent to another upstream and ran twice.
func TestRepeatedRejectionsAreDiscarded(t *testing.T) {
	for _, late := range []bool{false, true} {
		for _, withoutID := range []bool{false, true} {
			for _, budget := range []int{0, largeBudget} {
				t.Run(fmt.Sprintf("late %v, without id %v, retry budget %d", late, withoutID, budget), func(t *testing.T) {
					r := newFixture(t)
					r.choice.budget = budget
					r.first.fault.Store(&fault{
						readLimit: -1, writeLimit: -1, notRunFirst: true, duplicate: !late, duplicateLate: late, withoutID: withoutID,
					})
					for n := range 100 {
						response, id := r.send(http.MethodPost)
						r.expect(fmt.Sprint("request ", n), false, response, id)
					}
				})
			}
		}
	}
}

// Guards against the copy of a rejection that is taken as the response to the same request, sent once more on the same connection:
// the id in it is that of the request. The retry reaches the connection because two entries name one address, an upstream that has
// ended and its successor. That request ran twice, or its caller was told that it has not run.
func TestCopyOfRejectionIsNotTakenForRetry(t *testing.T) {
	for _, late := range []bool{false, true} {
		for _, budget := range []int{1, largeBudget} {
			t.Run(fmt.Sprintf("late %v, retry budget %d", late, budget), func(t *testing.T) {
				r := newFixture(t)
				r.choice.replaced, r.choice.budget = "earlier", 0
				r.first.fault.Store(&fault{readLimit: -1, writeLimit: -1, misdirected: true, duplicate: !late, duplicateLate: late})
				for n := range 100 {
					r.choice.budget, r.choice.retries = budget, 0
					response, id := r.send(http.MethodPost)
					r.expect(fmt.Sprint("request ", n), false, response, id)
				}
			})
		}
	}
}

// Guards against the same copy when a caller that was rejected sends the request again with the id that it had.
func TestCopyOfRejectionIsNotTakenForRepeatedID(t *testing.T) {
	r := newFixture(t)
	r.choice.budget = 0
	r.first.fault.Store(&fault{readLimit: -1, writeLimit: -1, notRunFirst: true, duplicateLate: true})
	for range 100 {
		response, id := r.send(http.MethodPost)
		for try := 0; try < 3 && indicatesNotRun(response.Status); try++ {
			response = r.sendWithID(http.MethodPost, id)
		}
		r.expect("request "+id, false, response, id)
	}
}

// Guards against a status that promises that a non-idempotent request has not run, although its upstream has not stated that.
func TestUnmarkedRejectionsArePassedOnAsUnknown(t *testing.T) {
	for _, status := range []int{
		http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusMisdirectedRequest,
	} {
		r := newFixture(t)
		r.first.fault.Store(&fault{readLimit: -1, writeLimit: -1, status: status})
		response, id := r.send(http.MethodPost)
		r.expect(fmt.Sprint("status ", status), false, response, id)
		if response.Status != http.StatusBadGateway {
			t.Errorf("status %d of an upstream that has run the request became %d, want 502", status, response.Status)
		}
	}
}

// Guards against a request that has run and is sent to a further upstream, or answered with a promise that it has not run, because
// its response also states "not run": the response is signed, or the beginning of another one came before it.
func TestStatementInResponseOfRunIsNotBelieved(t *testing.T) {
	for name, f := range map[string]fault{
		"success":                     {statesNotRun: true},
		"failure":                     {statesNotRun: true, status: http.StatusInternalServerError},
		"rejection":                   {statesNotRun: true, status: http.StatusServiceUnavailable},
		"beginning of a rejection":    {stray: "HTTP/1.1 503 Rejected\r\nX-Not-Run: 1\r\nX-Cut: "},
		"beginning of a 421":          {stray: "HTTP/1.1 421 Misdirected\r\nX-Cut: "},
		"beginning without statement": {stray: "HTTP/1.1 503 Rejected\r\nX-Cut: "},
	} {
		for _, budget := range []int{0, largeBudget} {
			t.Run(fmt.Sprintf("%s, retry budget %d", name, budget), func(t *testing.T) {
				r := newFixture(t)
				r.choice.budget = budget
				f.readLimit, f.writeLimit = -1, -1
				r.first.fault.Store(&f)
				for n := range 20 {
					response, id := r.send(http.MethodPost)
					r.expect(fmt.Sprint("request ", n), false, response, id)
				}
			})
		}
	}
}

// Guards against a response that has the status of one response and the body of another: an upstream sends a part of a response that
// ends within a header, and then its response. A failure became a success, and a success became a failure.
func TestMergedResponsesAreBroken(t *testing.T) {
	for name, f := range map[string]fault{
		"a success before a failure": {stray: "HTTP/1.1 200 OK\r\nX-Cut: ", status: http.StatusInternalServerError},
		"a failure before a success": {stray: "HTTP/1.0 500 Failed\r\nDate: Sun, 06 Dec"},
		"a success before a success": {stray: "HTTP/1.1 200 OK\r\nETag: a"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t)
			r.choice.upstreams = r.choice.upstreams[:1]
			f.readLimit, f.writeLimit = -1, -1
			r.first.fault.Store(&f)
			r.send(http.MethodPost) // only later requests of a connection get the stray part
			response, id := r.send(http.MethodPost)
			r.expect(name, false, response, id)
			if response.Status != http.StatusBadGateway {
				t.Errorf("status %d, want 502", response.Status)
			}
		})
	}
}

// Guards against a response whose header has a blank in the name of a field, as an upstream in trouble sends: callers received it as the
// response, without that field, and with another body if the field was to state its length.
func TestFieldNameWithBlankIsAFailure(t *testing.T) {
	for _, line := range []string{"X-Trace : 1", "X Trace: 1", "Content-Length : 4", "Transfer-Encoding : chunked"} {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			t.Run(line+" "+method, func(t *testing.T) {
				r := newFixture(t)
				r.first.fault.Store(&fault{readLimit: -1, writeLimit: maxResponseBytes, unframed: true, headerLine: line})
				response, id := r.send(method)
				r.expectFailureOfFirst(method, response, id)
			})
		}
	}
}

// expectFailureOfFirst expects the response to a request for which the response of the first upstream was a failure.
func (r *fixture) expectFailureOfFirst(method string, response *pipeline.Response, id string) {
	r.t.Helper()
	r.expect("response", method == http.MethodGet, response, id)
	want := http.StatusBadGateway
	if method == http.MethodGet {
		want = http.StatusOK // from the second upstream
	}
	if response.Status != want || response.Header.Get(signature) == r.first.id {
		r.t.Errorf("status %d, signed by %q; want %d and not the first upstream", response.Status, response.Header.Get(signature), want)
	}
}

// Guards against a response with a status that is not defined for final responses, as an upstream in trouble sends: callers received
// it as the response, and since it was fast and counted as a success, such an upstream attracted requests.
func TestUndefinedStatusIsAFailure(t *testing.T) {
	for _, digits := range []string{"000", "099", "600", "999"} {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			t.Run(digits+" "+method, func(t *testing.T) {
				r := newFixture(t)
				r.first.fault.Store(&fault{readLimit: -1, writeLimit: -1, statusDigits: digits})
				response, id := r.send(method)
				r.expectFailureOfFirst(method, response, id)
			})
		}
	}
}
