package outlier

import (
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

var start = time.Unix(1000, 0)

func recordAttempt(d *Detector, id settings.UpstreamID, latency time.Duration, outcome Outcome) {
	number := d.Start(start, id)
	d.Finish(start.Add(latency), number, outcome)
}

func countsOf(d *Detector, id settings.UpstreamID) Counts {
	for other, c := range d.Counts {
		if other == id {
			return c
		}
	}
	return Counts{}
}

// Guards against a slow threshold that follows a single unhealthy upstream or too few samples.
func TestSlowThresholdComesFromPeers(t *testing.T) {
	d := NewDetector(Options{})
	recordAttempt(d, "unhealthy", 900*time.Millisecond, OK)
	recordAttempt(d, "a", 50*time.Millisecond, OK)
	d.Sweep(start)
	if got := d.SlowThreshold(); got != time.Second {
		t.Errorf("two latencies: threshold %v, want the maximum of 1s", got)
	}
	for range 20 {
		recordAttempt(d, "unhealthy", 900*time.Millisecond, OK)
	}
	for range 4 {
		for _, id := range []settings.UpstreamID{"a", "b", "c"} {
			recordAttempt(d, id, 50*time.Millisecond, OK)
		}
	}
	d.Sweep(start)
	if got := d.SlowThreshold(); got != 200*time.Millisecond {
		t.Errorf("three healthy peers at 50 ms, one unhealthy: threshold %v, want 200ms", got)
	}
	recordAttempt(d, "unhealthy", 900*time.Millisecond, OK)
	if got := countsOf(d, "unhealthy"); got.Slow != 1 {
		t.Errorf("unhealthy upstream: %+v, want one slow attempt", got)
	}
}

// Guards against a slow threshold that stays at its maximum on hosts that use two upstreams and have single samples of others.
func TestSlowThresholdWithFewUpstreams(t *testing.T) {
	d := NewDetector(Options{})
	for range 3 {
		recordAttempt(d, "local", 50*time.Millisecond, OK)
		recordAttempt(d, "unhealthy", 500*time.Millisecond, OK)
	}
	recordAttempt(d, "remote", 50*time.Millisecond, OK)
	d.Sweep(start)
	if got := d.SlowThreshold(); got != 200*time.Millisecond {
		t.Errorf("threshold %v, want 200ms", got)
	}
}

// Guards against a hanging attempt that is counted late, twice or as a success, and against shed responses that are counted as
// evidence of an unhealthy upstream.
func TestOutcomes(t *testing.T) {
	for _, test := range []struct {
		name    string
		took    time.Duration
		outcome Outcome
		want    Counts
	}{
		{"ok", time.Millisecond, OK, Counts{OK: 1}},
		{"failed", time.Millisecond, Failed, Counts{Failed: 1}},
		{"shed", time.Millisecond, Shed, Counts{Shed: 1}},
		{"abandoned early", time.Millisecond, Abandoned, Counts{}},
		{"abandoned when slow", 2 * time.Second, Abandoned, Counts{Slow: 1}},
		{"slow", 2 * time.Second, OK, Counts{Slow: 1}},
		{"slow, then failed", 2 * time.Second, Failed, Counts{Slow: 1}},
	} {
		d := NewDetector(Options{})
		number := d.Start(start, "a")
		for at := time.Duration(0); at < test.took; at += 250 * time.Millisecond {
			d.Sweep(start.Add(at))
		}
		if test.took > time.Second && countsOf(d, "a").Slow != 1 {
			t.Errorf("%s: not counted as slow while in flight", test.name)
		}
		d.Finish(start.Add(test.took), number, test.outcome)
		d.Finish(start.Add(test.took), number, test.outcome)
		if got := countsOf(d, "a"); got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}
