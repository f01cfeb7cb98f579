package fleetbench

import (
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

var seed = flag.Uint64("fleetbench.seed", 1, "seed of the load")

var full = flag.Bool("fleetbench.full", false, "run all scenarios of both deployments for 30 s of fake time and print the report")

// TestTargets guards against limiters that miss the targets of the design: no over-admission, and few wrongful rejections
// in the steady state and during the loss of a host. It runs the real limiters in fake time.
func TestTargets(t *testing.T) {
	for _, test := range []struct {
		deployment Deployment
		scenario   string
	}{{Merrimack, "loss of one host, home set"}, {Daan, "on the home set"}} {
		synctest.Test(t, func(t *testing.T) {
			// In 30 s the smallest customer sends fewer than 100 requests, and a single rejection would miss the target of 99%.
			// Which requests are rejected depends on the order in which goroutines run.
			options := Options{Deployment: test.deployment, Seed: *seed, Duration: 120 * time.Second, Scenario: test.scenario}
			if *full {
				options.Scenario = ""
			}
			report, err := Run(t.Context(), options)
			if err != nil {
				t.Fatal(err)
			}
			for i := range report.Scenarios {
				report.Scenarios[i].check(t)
			}
			if *full {
				if err := report.WriteText(os.Stdout); err != nil {
					t.Error(err)
				}
			}
		})
	}
}

func (s *ScenarioReport) check(t *testing.T) {
	t.Helper()
	if s.Limiter.OverAdmissions > 0 {
		t.Errorf("%s: %d admissions over the limit, maximum excess %v tokens", s.Scenario, s.Limiter.OverAdmissions, s.Limiter.MaxExcess)
	}
	if s.WrongfulTarget > 0 && s.Limiter.WrongfulPercent >= s.WrongfulTarget {
		t.Errorf("%s: %.3f%% wrongful rejections, target below %v%%", s.Scenario, s.Limiter.WrongfulPercent, s.WrongfulTarget)
	}
	if s.Limiter.WorstSharePercent < s.WorstShareTarget {
		t.Errorf("%s: worst share %.2f%%, target at least %v%%", s.Scenario, s.Limiter.WorstSharePercent, s.WorstShareTarget)
	}
}
