package breaker

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func expectState(t *testing.T, s *Set, seconds float64, want State) {
	t.Helper()
	if got := s.State(at(seconds), "u", false); got != want {
		t.Errorf("at %v s the state is %v, want %v", seconds, got, want)
	}
}

// Guards against further failed requests after the first broken response: it must open the breaker on this host and on every
// host that receives the notice.
func TestBrokenResponseOpensOnAllHosts(t *testing.T) {
	a, b := New("a"), New("b")
	notices, opened := a.Report(at(0), "u", Broken)
	if !opened || len(notices) != 1 {
		t.Fatalf("opened %v, notices %v", opened, notices)
	}
	if !b.Receive(at(0.01), notices[0]) {
		t.Error("the breaker did not open on the host that received the notice")
	}
	expectState(t, a, 0.1, Open)
	expectState(t, b, 0.1, Open)
}

// Guards against a breaker that opens for faults that healthy upstreams also show: a single error status, a single overdue
// attempt, or two error statuses 8 s apart.
func TestSingleMinorFailureKeepsClosed(t *testing.T) {
	s := New("a")
	if _, opened := s.Report(at(0), "u", ErrorStatus); opened {
		t.Error("one error status opened the breaker")
	}
	if _, opened := s.Report(at(0.2), "u", ErrorStatus); !opened {
		t.Error("a second error status 0.2 s later did not open the breaker")
	}
	s = New("a")
	for _, level := range OverdueProbabilities {
		if _, all := s.ReportOverdue(at(0), "u", OverdueUpdate{Current: OverdueScore(level)}); len(all) > 0 {
			t.Errorf("one attempt whose age is exceeded by successful responses with probability %v opened the breaker", level)
		}
		s = New("a")
	}
	s = New("a")
	s.Report(at(0), "u", ErrorStatus)
	if _, opened := s.Report(at(8), "u", ErrorStatus); opened {
		t.Error("two error statuses 8 s apart opened the breaker")
	}
}

// Guards against an upstream that is taken out of use on all hosts because of a network fault on the path from one host.
func TestUnreachableFromOneHostKeepsOthersClosed(t *testing.T) {
	a, b := New("a"), New("b")
	notices, opened := a.Report(at(0), "u", Unreachable)
	if !opened {
		t.Error("a failed connection did not open the breaker of its own host")
	}
	if b.Receive(at(0), notices[0]) {
		t.Error("a failed connection of one host opened the breaker of another host")
	}
	notices, _ = New("c").Report(at(0.1), "u", Unreachable)
	b.Receive(at(0.1), notices[0])
	notices, _ = New("d").Report(at(0.2), "u", Unreachable)
	if !b.Receive(at(0.2), notices[0]) {
		t.Error("failed connections of three hosts did not open the breaker")
	}
}

// Guards against trials by all hosts at once. Each trial may cost a request.
func TestOneHostMakesTheTrial(t *testing.T) {
	hosts := []string{"a", "b", "c", "d"}
	sets := make([]*Set, len(hosts))
	for i, host := range hosts {
		sets[i] = New(host)
		sets[i].SetHosts(hosts)
		sets[i].Receive(at(0), Notice{Kind: NoticeSample, Upstream: "u", Sample: Broken})
	}
	due := 0
	for _, s := range sets {
		if s.State(at(6.01), "u", false) == TrialDue {
			due++
			for _, notice := range s.BeginTrial(at(6.01), "u") {
				for _, other := range sets {
					if other != s {
						other.Receive(at(6.02), notice)
					}
				}
			}
		}
	}
	if due != 1 {
		t.Errorf("%d hosts make the first trial, want 1", due)
	}
	for _, s := range sets {
		expectState(t, s, 7, Open)
	}
}

// Guards against an upstream that stays out of use after it has recovered, and against one that comes back into use without a
// successful trial.
func TestTrialsDecide(t *testing.T) {
	s := New("a")
	s.Report(at(0), "u", Broken)
	expectState(t, s, 5.9, Open)
	expectState(t, s, 6.1, TrialDue)
	s.BeginTrial(at(6.1), "u")
	s.Report(at(6.2), "u", Broken)
	expectState(t, s, 12, Open)
	expectState(t, s, 13.5, TrialDue)
	other := New("b")
	other.Report(at(13), "u", Broken)
	for trial := range trialsToClose {
		begin := 13.5 + 0.7*float64(trial)
		expectState(t, s, begin, TrialDue)
		s.BeginTrial(at(begin), "u")
		notices, _ := s.Report(at(begin+0.05), "u", Good)
		for _, notice := range notices {
			other.Receive(at(begin+0.05), notice)
		}
	}
	expectState(t, s, 14.3, Closed)
	expectState(t, other, 14.3, Closed)
	if _, opened := s.Report(at(14.6), "u", ErrorStatus); !opened {
		t.Error("an error status soon after the last trial did not open the breaker")
	}
}

// Guards against a breaker that is closed by the response to a request from before the failure.
func TestSuccessWithoutTrialKeepsOpen(t *testing.T) {
	s := New("a")
	s.Report(at(0), "u", Broken)
	s.Report(at(0.1), "u", Good)
	expectState(t, s, 0.2, Open)
}

// Guards against upstreams that get no trial while half of a service is unhealthy under high load: trials must start before
// the cooldown ends, and earlier for retryable requests.
func TestEarlyTrials(t *testing.T) {
	s := New("a")
	s.Report(at(0), "u", Broken)
	if s.EarlyTrialAllowed(at(0.9), "u") || !s.EarlyTrialAllowed(at(1.1), "u") {
		t.Error("an early trial must be allowed from 1 s after the last failed sample, and not before")
	}
	if got := s.State(at(1.6), "u", true); got != TrialDue {
		t.Errorf("after 1.6 s the state for a retryable request is %v, want a trial to be due", got)
	}
	s.BeginTrial(at(1.6), "u")
	if s.EarlyTrialAllowed(at(2), "u") {
		t.Error("a second trial is allowed while the first one runs")
	}
}
