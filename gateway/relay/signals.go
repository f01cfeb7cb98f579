package relay

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxRetryAfter bounds the time that is read from a Retry-After header, so that it fits into a Duration. Package placement applies the
// shorter bound that is in force.
const maxRetryAfter = 24 * time.Hour

// parseSignals returns what an upstream asks for in a complete response: it leaves, or it wants no requests for a time, which counts only
// with status 503. Of repeated headers, and of several values in one, the strongest counts: any statement that it leaves, and the longest
// time. Values that cannot be read are ignored. The signals of a response that was cut short are not known.
func parseSignals(response http.Header, status int, leavingHeader string) (leaving bool, backoff time.Duration) {
	for _, value := range headerValues(response, leavingHeader) {
		leaving = leaving || value == "1"
	}
	if status != http.StatusServiceUnavailable {
		return leaving, 0
	}
	for _, value := range headerValues(response, "Retry-After") {
		backoff = max(backoff, parseRetryAfter(value))
	}
	return leaving, backoff
}

// headerValues returns the values of a header that may be repeated, or hold several values separated by commas.
func headerValues(header http.Header, name string) []string {
	var values []string
	for _, line := range header.Values(name) {
		for value := range strings.SplitSeq(line, ",") {
			values = append(values, strings.TrimSpace(value))
		}
	}
	return values
}

// parseRetryAfter parses a number of seconds, which may have a fraction. It returns 0 for a text that is not a positive number, as
// dates are not.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0
	}
	if !(seconds > 0) { // also for NaN
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
