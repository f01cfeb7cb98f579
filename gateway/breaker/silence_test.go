package breaker

import "testing"

// silent is the evidence of an attempt that has passed a level.
func silent(level int) OverdueUpdate {
	before := 0.0
	if level > 0 {
		before = OverdueScore(OverdueProbabilities[level-1])
	}
	return OverdueUpdate{Previous: before, Current: OverdueScore(OverdueProbabilities[level])}
}

// Guards against bookings that go on to an upstream that hangs: two attempts that only 1 in 25 answers exceed open its breaker,
// and hosts of other data centres, which are not told of attempts, hear of that.
func TestTwoSilentAttemptsOpenEverywhere(t *testing.T) {
	a, far := New("a"), New("far")
	var all []Notice
	for range 2 {
		for level := range 2 {
			_, told := a.ReportOverdue(at(0), "u", silent(level))
			all = append(all, told...)
		}
	}
	expectState(t, a, 0.1, Open)
	for _, notice := range all {
		far.Receive(at(0.1), notice)
	}
	expectState(t, far, 0.2, Open)
	if !a.Hangs("u") || !far.Hangs("u") {
		t.Error("it is not known that the upstream hangs")
	}
}

// Guards against a sound upstream out of use: the answers that come after all close a breaker that silence alone has opened,
// at all hosts. One that has other evidence stays open.
func TestAnswersCloseWhatSilenceOpened(t *testing.T) {
	for name, hard := range map[string]bool{"silence alone": false, "silence and an error": true} {
		a, far := New("a"), New("far")
		if hard {
			a.Report(at(0), "u", ErrorStatus)
		}
		var all []Notice
		for range 2 {
			for level := range 2 {
				_, told := a.ReportOverdue(at(0), "u", silent(level))
				all = append(all, told...)
			}
		}
		expectState(t, a, 0.01, Open)
		for range 2 {
			_, told := a.ReportOverdue(at(0.05), "u", OverdueUpdate{Previous: OverdueScore(OverdueProbabilities[1])})
			all = append(all, told...)
		}
		for _, notice := range all {
			far.Receive(at(0.06), notice)
		}
		want := Closed
		if hard {
			want = Open
		}
		t.Log(name)
		expectState(t, a, 0.1, want)
		expectState(t, far, 0.1, want)
	}
}

// Guards against a sick upstream that a lucky answer brings back: it answers a part of its requests.
func TestOneGoodTrialIsNotEnough(t *testing.T) {
	s := New("a")
	s.Report(at(0), "u", Broken)
	s.BeginTrial(at(6.1), "u")
	s.Report(at(6.2), "u", Good)
	expectState(t, s, 6.3, Open)
	if got := s.State(at(6.3), "u", true); got != TrialDue {
		t.Errorf("after a good trial the next one is not due for a repeatable request: %v", got)
	}
	s.BeginTrial(at(6.3), "u")
	for level := range 2 {
		s.ReportOverdue(at(6.8), "u", silent(level))
	}
	expectState(t, s, 7.5, Open)
	if got := s.State(at(6.9), "u", true); got != Open {
		t.Errorf("right after a trial that hung the state is %v", got)
	}
}
