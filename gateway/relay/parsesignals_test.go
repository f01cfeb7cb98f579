package relay

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a Retry-After header of an upstream that is misread: missing, negative, huge, a fraction, a date or no number.
func TestParseRetryAfter(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": 0, "2": 2 * time.Second, " 2 ": 2 * time.Second, "1.5": 1500 * time.Millisecond, "0.25": 250 * time.Millisecond,
		"0": 0, "-3": 0, "-Inf": 0, "NaN": 0, "soon": 0, "2 s": 0, "Fri, 31 Dec 2027 23:59:59 GMT": 0,
		"1e300": maxRetryAfter, "1e400": maxRetryAfter, "Inf": maxRetryAfter, "99999999999999999999": maxRetryAfter, "-1e400": 0,
	} {
		if got := parseRetryAfter(text); got != want {
			t.Errorf("%q was read as %v, want %v", text, got, want)
		}
	}
}

// Guards against signals that are missed, or read from a response that does not carry them, because a header is repeated, holds several
// values, or belongs to another status.
func TestParseSignals(t *testing.T) {
	const leavingHeader = "Leaving"
	for _, c := range []struct {
		name    string
		status  int
		header  http.Header
		leaving bool
		backoff time.Duration
	}{
		{name: "none", status: 503, header: http.Header{}},
		{name: "both", status: 503, header: http.Header{"Leaving": {"1"}, "Retry-After": {"2"}}, leaving: true, backoff: 2 * time.Second},
		{name: "no 503", status: 200, header: http.Header{"Leaving": {"1"}, "Retry-After": {"2"}}, leaving: true},
		{name: "429", status: 429, header: http.Header{"Retry-After": {"2"}}},
		{name: "not leaving", status: 200, header: http.Header{"Leaving": {"0"}}},
		{name: "unknown values", status: 503, header: http.Header{"Leaving": {"yes"}, "Retry-After": {"soon"}}},
		{name: "repeated", status: 503, header: http.Header{"Leaving": {"0", "1"}, "Retry-After": {"1", "-4", "3", "2"}}, leaving: true, backoff: 3 * time.Second},
		{name: "lists", status: 503, header: http.Header{"Leaving": {"0, 1"}, "Retry-After": {"0.5, 1.5"}}, leaving: true, backoff: 1500 * time.Millisecond},
		{name: "a date, which has a comma", status: 503, header: http.Header{"Retry-After": {"Fri, 31 Dec 2027 23:59:59 GMT"}}},
	} {
		leaving, backoff := parseSignals(c.header, c.status, leavingHeader)
		if leaving != c.leaving || backoff != c.backoff {
			t.Errorf("%s: read as leaving %v, backoff %v; want %v and %v", c.name, leaving, backoff, c.leaving, c.backoff)
		}
	}
}
