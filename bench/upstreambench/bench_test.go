package upstreambench

import (
	"flag"
	"os"
	"testing"
	"time"
)

var (
	full  = flag.String("upstreams", "", "deployment to measure in full; prints the table")
	quick = flag.Bool("quick", false, "with -upstreams: leave out the baselines")
)

// Guards against a broken simulation and against large regressions. In a run with few trials, all hosts detect each fault
// that fails or delays all requests within 5 s, no healthy upstream is ejected, the floor holds, and retries are bounded.
func TestShortRun(t *testing.T) {
	options := Options{Deployment: "daan", Trials: 3, NoiseDuration: time.Minute, SkipBaselines: true, SkipAvailability: true}
	if *full != "" {
		options = Options{Deployment: *full, Out: os.Stdout, SkipBaselines: *quick}
	}
	report, err := Run(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range report.Detections {
		certain := d.Fault == Slow || d.Fault == Hang || d.Fault == Fail || d.Fault == TruncatedResponse
		if d.Mode == FleetWide && certain && (d.P99 < 0 || d.P99 > 5) {
			t.Errorf("%s: detected in %d of %d trials, p99 %v s, want a p99 of at most 5 s", d.Fault, d.Detected, d.Trials, d.P99)
		}
		if d.Mode == FleetWide && d.Fault == Shedding && d.PartlyDetected > 0 {
			t.Errorf("an upstream that sheds load was ejected in %d trials, want 0", d.PartlyDetected)
		}
	}
	if n := report.Noise[0].Ejections; n > 0 {
		t.Errorf("%d healthy upstreams were ejected, want 0", n)
	}
	if report.FloorCrossings > 0 {
		t.Errorf("%d floor crossings, want 0", report.FloorCrossings)
	}
	if report.Amplification > 1.1 {
		t.Errorf("%v attempts per request with an unhealthy service, want at most 1.1", report.Amplification)
	}
}
