package bounds

import (
	"strings"
	"testing"
)

// Guards against a target without a limit, and against two targets for the same figure.
func TestBoundsAreWellFormed(t *testing.T) {
	all, err := Load()
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]bool)
	for _, b := range all {
		name := b.Experiment + "/" + b.Figure
		if (b.Max == nil) == (b.Min == nil) || b.Unit == "" || seen[name] {
			t.Errorf("%s: must have a unit and exactly one of max and min, and must not be listed twice", name)
		}
		seen[name] = true
	}
}

// Guards against a violated bound that is reported as met.
func TestCompare(t *testing.T) {
	maxCount, minShare := 0.0, 99.0
	targets := []Bound{
		{Experiment: "e", Figure: "count", Unit: "x", Max: &maxCount, Counting: true},
		{Experiment: "e", Figure: "share", Unit: "%", Min: &minShare},
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
		t.Errorf("verdicts are %q, want %q", got, want)
	}
	if got := CountViolations(rows); got != 1 {
		t.Errorf("%d violations of counting bounds, want 1", got)
	}
}
