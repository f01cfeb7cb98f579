package breaker

import "testing"

// overdue returns the update of an attempt that has just reached a level of OverdueProbabilities.
func overdue(level int) OverdueUpdate {
	before := 0.0
	if level > 0 {
		before = OverdueScore(OverdueProbabilities[level-1])
	}
	return OverdueUpdate{Previous: before, Current: OverdueScore(OverdueProbabilities[level])}
}

// Guards against non-idempotent requests that continue to go to a hanging upstream. Two attempts whose age only 1 in 25
// responses exceeds must open its breaker, also on hosts of other data centres, which receive no notices of single attempts.
func TestTwoOverdueAttemptsOpenOnAllHosts(t *testing.T) {
	a, remote := New("a"), New("far")
	var all []Notice
	for range 2 {
		for level := range 2 {
			_, notices := a.ReportOverdue(at(0), "u", overdue(level))
			all = append(all, notices...)
		}
	}
	expectState(t, a, 0.1, Open)
	for _, notice := range all {
		remote.Receive(at(0.1), notice)
	}
	expectState(t, remote, 0.2, Open)
	if !a.Hangs("u") || !remote.Hangs("u") {
		t.Error("Hangs is false on the own host or on the remote host")
	}
}

// Guards against a healthy upstream that stays out of use: late responses must close a breaker that overdue attempts alone
// have opened, on all hosts. A breaker with other failures must stay open.
func TestLateResponsesCloseBreaker(t *testing.T) {
	for name, otherFailure := range map[string]bool{"overdue attempts alone": false, "overdue attempts and an error status": true} {
		a, remote := New("a"), New("far")
		if otherFailure {
			a.Report(at(0), "u", ErrorStatus)
		}
		var all []Notice
		for range 2 {
			for level := range 2 {
				_, notices := a.ReportOverdue(at(0), "u", overdue(level))
				all = append(all, notices...)
			}
		}
		expectState(t, a, 0.01, Open)
		for range 2 {
			_, notices := a.ReportOverdue(at(0.05), "u", OverdueUpdate{Previous: OverdueScore(OverdueProbabilities[1])})
			all = append(all, notices...)
		}
		for _, notice := range all {
			remote.Receive(at(0.06), notice)
		}
		want := Closed
		if otherFailure {
			want = Open
		}
		t.Log(name)
		expectState(t, a, 0.1, want)
		expectState(t, remote, 0.1, want)
	}
}

// Guards against an unhealthy upstream that comes back into use after one successful trial: it still responds to a part of its
// requests.
func TestOneSuccessfulTrialIsNotEnough(t *testing.T) {
	s := New("a")
	s.Report(at(0), "u", Broken)
	s.BeginTrial(at(6.1), "u")
	s.Report(at(6.2), "u", Good)
	expectState(t, s, 6.3, Open)
	if got := s.State(at(6.3), "u", true); got != TrialDue {
		t.Errorf("after a successful trial the state for a retryable request is %v, want a further trial to be due", got)
	}
	s.BeginTrial(at(6.3), "u")
	for level := range 2 {
		s.ReportOverdue(at(6.8), "u", overdue(level))
	}
	expectState(t, s, 7.5, Open)
	if got := s.State(at(6.9), "u", true); got != Open {
		t.Errorf("0.1 s after a trial became overdue the state for a retryable request is %v, want open", got)
	}
}
