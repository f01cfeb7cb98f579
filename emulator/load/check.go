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

// outcomeHeader and its value are part of the fleet's contract with callers.
const (
	outcomeHeader = "Bronzeyard-Outcome"
	notRun        = "not-run"
)

// Summary is what a run showed. The counts of broken promises must be 0.
type Summary struct {
	Requests int            `json:"requests"`
	ByStatus map[string]int `json:"by_status"`
	// ByError counts kinds of errors that hosts answered with.
	ByError map[string]int `json:"by_error"`

	// DuplicateRuns counts operations that took effect more than once.
	DuplicateRuns int `json:"duplicate_runs"`
	// FalseNotRun counts operations whose last answer said not-run although they took effect.
	FalseNotRun int `json:"false_not_run"`
	// LeakedKeys counts requests in which an upstream saw a caller's key.
	LeakedKeys int `json:"leaked_keys"`
	// WrongAnswers counts successful answers that are not the whole answer to their own request.
	WrongResponses int `json:"wrong_answers"`
	// CutRequests counts requests whose connection broke before an answer.
	CutRequests int `json:"cut_requests"`

	P50 time.Duration `json:"p50_ns"`
	P99 time.Duration `json:"p99_ns"`
	// Examples describe some broken promises for people.
	Examples []string `json:"examples,omitempty"`
}

const maxExamples = 10

// Check compares the answers with the records of all upstream stand-ins.
func Check(responses []Response, records []upstream.Record, keys []string) Summary {
	summary := Summary{Requests: len(responses), ByStatus: make(map[string]int), ByError: make(map[string]int)}
	summary.count(responses)
	summary.checkOperations(responses, records)
	summary.checkKeys(records, keys)
	return summary
}

func (s *Summary) example(format string, args ...any) {
	if len(s.Examples) < maxExamples {
		s.Examples = append(s.Examples, fmt.Sprintf(format, args...))
	}
}

func (s *Summary) count(responses []Response) {
	latencies := make([]time.Duration, 0, len(responses))
	for i := range responses {
		response := &responses[i]
		if response.Err != "" {
			s.CutRequests++
			s.example("%s %s: %s", response.Method, response.Path, response.Err)
			continue
		}
		latencies = append(latencies, response.Latency)
		s.ByStatus[fmt.Sprint(response.Status)]++
		if kind := response.Header.Get("Bronzeyard-Error"); kind != "" {
			s.ByError[kind]++
		}
		if response.Status == http.StatusOK && !response.IsComplete() {
			s.WrongResponses++
			s.example("%s %s: wrong answer %q", response.Method, response.Path, response.Body)
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
			s.example("operation %s ran %d times", operation, n)
		}
	}
	for operation, last := range lastAnswers(responses) {
		if last.Header.Get(outcomeHeader) == notRun && runs[operation] > 0 {
			s.FalseNotRun++
			s.example("operation %s ran, its last answer says not-run (%s)", operation, last.Header.Get("Bronzeyard-Error"))
		}
	}
}

// lastAnswers returns the answer to the attempt of each operation that ended last.
func lastAnswers(responses []Response) map[string]*Response {
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
				s.example("upstream %s saw a key in %s %s", records[i].Upstream, records[i].Method, records[i].Target)
			}
		}
	}
}

// Broken returns the number of broken promises. Cut requests count, since a run that expects some says so itself.
func (s *Summary) Violations() int {
	return s.DuplicateRuns + s.FalseNotRun + s.LeakedKeys + s.WrongResponses + s.CutRequests
}
