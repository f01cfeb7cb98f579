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

// Guards against a broken simulation and the worst regressions: with few trials, each fault that fails or delays all
// requests is seen by all hosts within 5 s, nothing healthy is ejected, the floor holds, and retries are bounded.
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
			t.Errorf("%s: detected in %d of %d trials, p99 %v s", d.Fault, d.Detected, d.Trials, d.P99)
		}
		if d.Mode == FleetWide && d.Fault == Shedding && d.PartlyDetected > 0 {
			t.Errorf("an upstream that sheds load was ejected in %d trials", d.PartlyDetected)
		}
	}
	if n := report.Noise[0].Ejections; n > 0 {
		t.Errorf("%d healthy upstreams were ejected", n)
	}
	if report.FloorCrossings > 0 {
		t.Errorf("%d floor crossings", report.FloorCrossings)
	}
	if report.Amplification > 1.1 {
		t.Errorf("%v attempts per request with a sick service, want at most 1.1", report.Amplification)
	}
}
