package outlier

import (
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

var start = time.Unix(1000, 0)

func try(d *Detector, id settings.UpstreamID, took time.Duration, outcome Outcome) {
	number := d.Start(start, id)
	d.Finish(start.Add(took), number, outcome)
}

func counts(d *Detector, id settings.UpstreamID) Counts {
	for other, c := range d.Counts {
		if other == id {
			return c
		}
	}
	return Counts{}
}

// Guards against a bound that one sick upstream sets or that few samples set.
func TestBoundComesFromPeers(t *testing.T) {
	d := NewDetector(Options{})
	try(d, "sick", 900*time.Millisecond, OK)
	try(d, "a", 50*time.Millisecond, OK)
	d.Sweep(start)
	if got := d.SlowThreshold(); got != time.Second {
		t.Errorf("two latencies: bound %v, want the maximum of 1s", got)
	}
	for range 20 {
		try(d, "sick", 900*time.Millisecond, OK)
	}
	for range 4 {
		for _, id := range []settings.UpstreamID{"a", "b", "c"} {
			try(d, id, 50*time.Millisecond, OK)
		}
	}
	d.Sweep(start)
	if got := d.SlowThreshold(); got != 200*time.Millisecond {
		t.Errorf("three healthy peers at 50 ms, one sick: bound %v, want 200ms", got)
	}
	try(d, "sick", 900*time.Millisecond, OK)
	if got := counts(d, "sick"); got.Slow != 1 {
		t.Errorf("sick upstream: %+v, want one slow attempt", got)
	}
}

// Guards against a bound at its maximum on hosts that use two upstreams and have single samples of others.
func TestBoundWithFewUpstreams(t *testing.T) {
	d := NewDetector(Options{})
	for range 3 {
		try(d, "near", 50*time.Millisecond, OK)
		try(d, "sick", 500*time.Millisecond, OK)
	}
	try(d, "far", 50*time.Millisecond, OK)
	d.Sweep(start)
	if got := d.SlowThreshold(); got != 200*time.Millisecond {
		t.Errorf("bound %v, want 200ms", got)
	}
}

// Guards against an attempt that hangs being counted late, twice or as a success, and against shed answers as sickness.
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
		if test.took > time.Second && counts(d, "a").Slow != 1 {
			t.Errorf("%s: not slow while open", test.name)
		}
		d.Finish(start.Add(test.took), number, test.outcome)
		d.Finish(start.Add(test.took), number, test.outcome)
		if got := counts(d, "a"); got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}
