package decisionlog

import (
	"strings"
	"testing"
	"time"
)

const lines = `noise before the first line
   0.1 b {"host":"b","event":"breaker_open","upstream":"u1","sample":"broken","time":"2026-01-01T00:00:00.1Z"}
{"host":"a","event":"start","time":"2026-01-01T00:00:00Z"}
{"host":"a","event":"configuration","version":7,"before":0,"time":"2026-01-01T00:00:01Z"}
{"host":"a","event":"upstream","upstream":"u1","service":"s","change":"added","store_version":3,"time":"2026-01-01T00:00:01Z"}
{"host":"a","event":"upstream","upstream":"u2","service":"s","change":"added","store_version":3,"time":"2026-01-01T00:00:01Z"}
{"host":"a","event":"breaker_open","upstream":"u1","sample":"broken","from":"b","time":"2026-01-01T00:00:02Z"}
{"host":"a","event":"breaker_closed","upstream":"u1","time":"2026-01-01T00:00:03Z"}
{"host":"a","event":"dependency_lost","dependency":"upstreams","error":"store: 503","time":"2026-01-01T00:00:04Z"}
{"host":"a","event":"breaker_open","upstream":"u1","sample":"broken","time":"2026-01-01T00:00:05Z"}
{"host":"a","event":"request","id":"r1","service":"s","status":502,"error":"outcome_unknown","total_ms":100,"configuration":7,"attempts":[{"upstream":"u1","outcome":"broken"}],"time":"2026-01-01T00:00:05.05Z"}
{"host":"a","event":"request","id":"r2","service":"s","status":200,"total_ms":20,"configuration_age_ms":4000,"attempts":[{"upstream":"u2","outcome":"answered","registry_age_ms":900}],"time":"2026-01-01T00:00:06Z"}
{"host":"a","event":"request","id":"r3","service":"s","status":429,"error":"rate_limited","total_ms":0.01,"attempts":[],"time":"2026-01-01T00:00:06Z"}
{"host":"a","event":"log_lines_skipped","count":12,"time":"2026-01-01T00:00:07Z"}
{"event":"request","id":"r1"}
{broken`

func read(t *testing.T) *Log {
	t.Helper()
	log := &Log{}
	if err := log.Read(strings.NewReader(lines)); err != nil {
		t.Fatal(err)
	}
	return log
}

// Guards against losing lines because a log collector has put text before them, and against rejecting a whole file because of a
// line that is not of a host.
func TestReadSkipsForeignLines(t *testing.T) {
	log := read(t)
	if len(log.Lines) != 13 || log.Ignored != 3 {
		t.Errorf("%d lines were read and %d ignored, want 13 and 3", len(log.Lines), log.Ignored)
	}
	if log.Lines[0].Event != EventStart {
		t.Errorf("the oldest line is %q, want the start", log.Lines[0].Event)
	}
}

// Guards against a trace that shows outdated state, state of another host or upstream, or no state.
func TestTraceShowsHostStateAtRequest(t *testing.T) {
	trace := read(t).Trace("r1")
	var got []string
	for _, step := range trace.Steps {
		got = append(got, string(step.Relation)+" "+string(step.Event))
	}
	want := []string{
		"host start", "settings configuration", "upstream upstream", "dependency dependency_lost", "upstream breaker_open",
		"request request",
	}
	if strings.Join(got, "; ") != strings.Join(want, "; ") {
		t.Errorf("steps:\n%q, want\n%q", got, want)
	}
	if trace.Found != 1 || trace.Skipped != 12 {
		t.Errorf("trace has %d found and %d skipped lines, want 1 and 12", trace.Found, trace.Skipped)
	}
	if missing := read(t).Trace("none"); missing.Found != 0 || len(missing.Steps) != 0 {
		t.Errorf("the trace of an unknown ID has %d steps, want 0", len(missing.Steps))
	}
}

// Guards against a trace of a request on an old route or key that does not show that another host had reported a newer version
// to its host, and against one that does not show how late the response was sent.
func TestTraceShowsNewerSettingsAndLateAnswers(t *testing.T) {
	log := &Log{}
	err := log.Read(strings.NewReader(`{"host":"a","event":"configuration","version":7,"time":"2026-01-01T00:00:01Z"}
{"host":"a","event":"configuration_heard","version":6,"from":"b","time":"2026-01-01T00:00:01Z"}
{"host":"a","event":"configuration_heard","version":9,"from":"b","time":"2026-01-01T00:00:02Z"}
{"host":"a","event":"request","id":"r","configuration":7,"time":"2026-01-01T00:00:03Z"}
{"host":"a","event":"answer_late","id":"other","after_ms":200,"time":"2026-01-01T00:00:03.1Z"}
{"host":"a","event":"answer_late","id":"r","after_ms":300,"time":"2026-01-01T00:00:03.3Z"}`))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, step := range log.Trace("r").Steps {
		got = append(got, string(step.Relation)+" "+string(step.Event))
	}
	want := "settings configuration; settings configuration_heard; request request; request answer_late"
	if strings.Join(got, "; ") != want {
		t.Errorf("steps %q, want %q", got, want)
	}
}

// Guards against requests that are counted in the wrong group, or not counted in the last bin.
func TestSummaryCountsEveryRequest(t *testing.T) {
	s := read(t).Summarize()
	var sum Bin
	for i := range s.Bins {
		b := &s.Bins[i]
		sum.Served, sum.Limited, sum.Rejected, sum.Failed =
			sum.Served+b.Served, sum.Limited+b.Limited, sum.Rejected+b.Rejected, sum.Failed+b.Failed
		sum.BreakersOpened += b.BreakersOpened
		sum.MaxSettingsAge, sum.MaxRegistryAge = max(sum.MaxSettingsAge, b.MaxSettingsAge), max(sum.MaxRegistryAge, b.MaxRegistryAge)
	}
	want := Bin{
		Served: 1, Limited: 1, Failed: 1, BreakersOpened: 3,
		MaxSettingsAge: 4 * time.Second, MaxRegistryAge: 900 * time.Millisecond,
	}
	if sum != want {
		t.Errorf("sum %+v, want %+v", sum, want)
	}
	if s.Hosts != 2 || s.Skipped != 12 || len(s.Failures) != 2 || len(s.Latencies) != 1 || len(s.Marks) != 3 {
		t.Errorf("%d hosts, %d skipped, %d failures, %d latencies, %d marks, want 2, 12, 2, 1 and 3",
			s.Hosts, s.Skipped, len(s.Failures), len(s.Latencies), len(s.Marks))
	}
}

// Guards against panics on logs with wrong clocks or malformed lines: no input may make Read, Summarize or Trace panic.
func FuzzRead(f *testing.F) {
	f.Add(lines)
	f.Add(`{"host":"a","event":"request","total_ms":-1e300,"time":"0001-01-01T00:00:00Z"}` + "\n" +
		`{"host":"a","event":"request","total_ms":1e300,"time":"9999-01-01T00:00:00Z"}`)
	f.Fuzz(func(t *testing.T, text string) {
		log := &Log{}
		if err := log.Read(strings.NewReader(text)); err != nil {
			t.Skip("a line is longer than maxLineBytes")
		}
		if len(log.Lines) > 0 {
			log.Summarize()
			log.Trace(log.Lines[0].ID)
		}
	})
}
