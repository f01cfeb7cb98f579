package load

import (
	"net/http"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/emulator/upstream"
)

func newResponse(operation, outcome string, start time.Time) Response {
	header := http.Header{}
	if outcome != "" {
		header.Set(outcomeHeader, outcome)
	}
	return Response{Method: "POST", Path: "/intake", Operation: operation, Status: 503, Header: header, Start: start}
}

// Guards against a checker that overlooks a violation. Each case contains exactly one.
func TestCheckFindsEachViolation(t *testing.T) {
	start := time.Unix(100, 0)
	ran := upstream.Record{Upstream: "intake-01", Operation: "op-1", Ran: true}
	cases := []struct {
		name      string
		responses []Response
		records   []upstream.Record
		want      func(*Summary) int
	}{
		{"operation executed twice", nil, []upstream.Record{ran, ran}, func(s *Summary) int { return s.DuplicateRuns }},
		{
			"not-run for an executed operation",
			[]Response{newResponse("op-1", "unknown", start), newResponse("op-1", notRun, start.Add(time.Second))},
			[]upstream.Record{ran},
			func(s *Summary) int { return s.FalseNotRun },
		},
		{
			"key in a query parameter", nil,
			[]upstream.Record{{Target: "/x?token=secret-key"}},
			func(s *Summary) int { return s.LeakedKeys },
		},
		{
			"key in a header", nil,
			[]upstream.Record{{Header: http.Header{"Cookie": {"k=secret-key"}}}},
			func(s *Summary) int { return s.LeakedKeys },
		},
		{
			"incomplete response",
			[]Response{{Method: "GET", Path: "/logbook", Status: 200, Body: "GET /logbook ser"}},
			nil,
			func(s *Summary) int { return s.WrongResponses },
		},
		{
			"response to another request",
			[]Response{{Method: "GET", Path: "/logbook", Status: 200, Body: "GET /benchcards served by b-1\n"}},
			nil,
			func(s *Summary) int { return s.WrongResponses },
		},
		{
			"broken connection",
			[]Response{{Method: "GET", Path: "/logbook", Err: "unexpected EOF"}},
			nil,
			func(s *Summary) int { return s.CutRequests },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			summary := Check(c.responses, c.records, []string{"secret-key"})
			if c.want(&summary) != 1 || summary.Violations() != 1 {
				t.Errorf("got %+v, want exactly the one violation of this case", summary)
			}
		})
	}
}

// Guards against false positives: an operation whose first attempt is rejected with not-run and whose second attempt is
// executed is no violation.
func TestCheckAcceptsCorrectRun(t *testing.T) {
	start := time.Unix(100, 0)
	done := Response{
		Method: "POST", Path: "/intake", Operation: "op-1", Status: 200, Body: "POST /intake served by i-1\n",
		Header: http.Header{}, Start: start.Add(time.Second),
	}
	summary := Check([]Response{done, newResponse("op-1", notRun, start)},
		[]upstream.Record{{Operation: "op-1", Ran: false}, {Operation: "op-1", Ran: true}}, []string{"secret-key"})
	if summary.Violations() != 0 {
		t.Errorf("got %+v, want no violations", summary)
	}
}
