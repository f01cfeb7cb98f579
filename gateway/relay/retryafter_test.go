package relay

import (
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
