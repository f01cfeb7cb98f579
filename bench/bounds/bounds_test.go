package bounds

import (
	"strings"
	"testing"
)

// Guards against a target that bounds nothing or that is stated twice.
func TestBoundsAreWellFormed(t *testing.T) {
	all, err := Load()
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]bool)
	for _, b := range all {
		name := b.Experiment + "/" + b.Figure
		if (b.Max == nil) == (b.Min == nil) || b.Unit == "" || seen[name] {
			t.Errorf("%s: needs a unit, exactly one of max and min, and to be stated once", name)
		}
		seen[name] = true
	}
}

// Guards against a broken promise that is reported as kept.
func TestCompare(t *testing.T) {
	most, least := 0.0, 99.0
	targets := []Bound{
		{Experiment: "e", Figure: "count", Unit: "x", Max: &most, Counting: true},
		{Experiment: "e", Figure: "share", Unit: "%", Min: &least},
	}
	rows := Compare(targets, []Figure{
		{Experiment: "e", Name: "count", Value: 1},
		{Experiment: "e", Name: "count", Value: 0},
		{Experiment: "e", Name: "share", Value: 98.9},
		{Experiment: "e", Name: "share", Value: 99},
		{Experiment: "other", Name: "count", Value: 5},
	})
	var verdicts []string
	for i := range rows {
		verdicts = append(verdicts, rows[i].verdict())
	}
	if got, want := strings.Join(verdicts, " "), "BROKEN ok missed ok -"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := CountViolations(rows); got != 1 {
		t.Errorf("%d broken, want 1", got)
	}
}
