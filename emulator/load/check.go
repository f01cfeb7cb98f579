package load

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/bronzeyard/bronzeyard/emulator/upstream"
)

// Response header and value by which the fleet states that a request was not executed. Both are part of its API for callers.
const (
	outcomeHeader = "Bronzeyard-Outcome"
	notRun        = "not-run"
)

// Summary is the result of a run. The counts of violations must be 0.
type Summary struct {
	Requests int            `json:"requests"`
	ByStatus map[string]int `json:"by_status"`
	// ByError counts responses by the value of the header Bronzeyard-Error.
	ByError map[string]int `json:"by_error"`

	// DuplicateRuns counts operations that were executed more than once.
	DuplicateRuns int `json:"duplicate_runs"`
	// FalseNotRun counts operations that were executed although their last response reports not-run.
	FalseNotRun int `json:"false_not_run"`
	// LeakedKeys counts requests that reached an upstream with a customer's API key in them.
	LeakedKeys int `json:"leaked_keys"`
	// WrongResponses counts responses with status 200 that are incomplete or belong to another request.
	WrongResponses int `json:"wrong_answers"`
	// CutRequests counts requests that failed before a response arrived.
	CutRequests int `json:"cut_requests"`

	P50 time.Duration `json:"p50_ns"`
	P99 time.Duration `json:"p99_ns"`
	// Examples describes the first violations, at most maxExamples.
	Examples []string `json:"examples,omitempty"`
}

const maxExamples = 10

// Check compares the responses with the records of all emulated upstreams. Keys are the API keys that must not reach an
// upstream.
func Check(responses []Response, records []upstream.Record, keys []string) Summary {
	summary := Summary{Requests: len(responses), ByStatus: make(map[string]int), ByError: make(map[string]int)}
	summary.countResponses(responses)
	summary.checkOperations(responses, records)
	summary.checkKeys(records, keys)
	return summary
}

func (s *Summary) addExample(format string, args ...any) {
	if len(s.Examples) < maxExamples {
		s.Examples = append(s.Examples, fmt.Sprintf(format, args...))
	}
}

func (s *Summary) countResponses(responses []Response) {
	latencies := make([]time.Duration, 0, len(responses))
	for i := range responses {
		response := &responses[i]
		if response.Err != "" {
			s.CutRequests++
			s.addExample("%s %s: %s", response.Method, response.Path, response.Err)
			continue
		}
		latencies = append(latencies, response.Latency)
		s.ByStatus[fmt.Sprint(response.Status)]++
		if kind := response.Header.Get("Bronzeyard-Error"); kind != "" {
			s.ByError[kind]++
		}
		if response.Status == http.StatusOK && !response.IsComplete() {
			s.WrongResponses++
			s.addExample("%s %s: wrong response %q", response.Method, response.Path, response.Body)
		}
	}
	slices.Sort(latencies)
	if n := len(latencies); n > 0 {
		s.P50, s.P99 = latencies[n/2], latencies[n*99/100]
	}
}

func (s *Summary) checkOperations(responses []Response, records []upstream.Record) {
	runs := make(map[string]int)
	for i := range records {
		if records[i].Ran && records[i].Operation != "" {
			runs[records[i].Operation]++
		}
	}
	for operation, n := range runs {
		if n > 1 {
			s.DuplicateRuns++
			s.addExample("operation %s was executed %d times", operation, n)
		}
	}
	for operation, last := range lastResponses(responses) {
		if last.Header.Get(outcomeHeader) == notRun && runs[operation] > 0 {
			s.FalseNotRun++
			s.addExample("operation %s was executed, its last response reports not-run (%s)", operation, last.Header.Get("Bronzeyard-Error"))
		}
	}
}

// lastResponses returns, for each operation, the response that ended last.
func lastResponses(responses []Response) map[string]*Response {
	ended := func(r *Response) time.Time { return r.Start.Add(r.Latency) }
	byEnd := make([]*Response, 0, len(responses))
	for i := range responses {
		if responses[i].Operation != "" && responses[i].Err == "" {
			byEnd = append(byEnd, &responses[i])
		}
	}
	slices.SortFunc(byEnd, func(a, b *Response) int {
		return cmp.Compare(ended(a).UnixNano(), ended(b).UnixNano())
	})
	last := make(map[string]*Response)
	for _, response := range byEnd {
		last[response.Operation] = response
	}
	return last
}

func (s *Summary) checkKeys(records []upstream.Record, keys []string) {
	for i := range records {
		text := fmt.Sprint(records[i].Target, records[i].Header, records[i].Trailer, records[i].Body)
		for _, key := range keys {
			if strings.Contains(text, key) {
				s.LeakedKeys++
				s.addExample("upstream %s received a key in %s %s", records[i].Upstream, records[i].Method, records[i].Target)
			}
		}
	}
}

// Violations returns the number of violations. It includes CutRequests; a run that expects some subtracts them itself.
func (s *Summary) Violations() int {
	return s.DuplicateRuns + s.FalseNotRun + s.LeakedKeys + s.WrongResponses + s.CutRequests
}
