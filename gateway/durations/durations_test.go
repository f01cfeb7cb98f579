package durations

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// logNormal returns a random log-normally distributed duration. mean is the mean duration, deviation the standard deviation of
// its logarithm.
func logNormal(random *rand.Rand, mean time.Duration, deviation float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(deviation*random.NormFloat64()-deviation*deviation/2))
}

// Guards against attempts that count as overdue too early, while many responses still arrive, or much too late. The ages must
// match the distribution of the durations, also with few samples.
func TestExceedanceAgesMatchDistribution(t *testing.T) {
	for _, c := range []struct {
		samples            int
		deviation          float64
		minShare, maxShare float64 // bounds of the share of responses later than the age that 1 in 10 should exceed
		mean               time.Duration
		seeds, draws       int
	}{
		{samples: 12, deviation: 0.5, minShare: 0.01, maxShare: 0.3, mean: 200 * time.Millisecond, seeds: 30, draws: 2000},
		{samples: 150, deviation: 0.5, minShare: 0.05, maxShare: 0.17, mean: 200 * time.Millisecond, seeds: 30, draws: 2000},
		{samples: 150, deviation: 0.8, minShare: 0.05, maxShare: 0.17, mean: 5 * time.Second, seeds: 30, draws: 2000},
	} {
		for seed := range uint64(c.seeds) {
			random := rand.New(rand.NewPCG(seed, 1))
			var m Model
			for range c.samples {
				m.Observe(Route{Name: "r"}, logNormal(random, c.mean, c.deviation))
			}
			age, ok := m.ExceedanceAge(Route{Name: "r"}, 0.1)
			if !ok {
				t.Fatalf("no age from %d samples", c.samples)
			}
			later := 0
			for range c.draws {
				if logNormal(random, c.mean, c.deviation) > age {
					later++
				}
			}
			if share := float64(later) / float64(c.draws); share < c.minShare || share > c.maxShare {
				t.Errorf("%+v, seed %d: a share of %.3f of the responses is later than %v", c, seed, share, age)
			}
		}
	}
}

// Guards against levels that do not match the scores: ExceedanceAge must be the inverse of ExceedanceProbability.
func TestExceedanceAgeIsInverse(t *testing.T) {
	var m Model
	for i := range 100 {
		m.Observe(Route{Name: "r"}, time.Duration(100+i)*time.Millisecond)
	}
	for _, probability := range []float64{0.5, 0.12, 0.04, 0.015} {
		age, _ := m.ExceedanceAge(Route{Name: "r"}, probability)
		if got := m.ExceedanceProbability(Route{Name: "r"}, age); math.Abs(got-probability) > 1e-3 {
			t.Errorf("the age %v for probability %v is exceeded with probability %v", age, probability, got)
		}
	}
}

// Guards against estimates from too few samples: after the start of a host no age may count as overdue.
func TestTooFewSamples(t *testing.T) {
	var m Model
	for range minSamples - 1 {
		m.Observe(Route{Name: "r"}, time.Millisecond)
	}
	if _, ok := m.ExceedanceAge(Route{Name: "r"}, 0.1); ok {
		t.Error("an age was returned from too few samples")
	}
	if got := m.ExceedanceProbability(Route{Name: "r"}, time.Hour); got != 1 {
		t.Errorf("an hour is exceeded with probability %v, want 1", got)
	}
}

// Guards against slow responses of one route that count as overdue because another route is fast.
func TestRoutesHaveSeparateDistributions(t *testing.T) {
	var m Model
	for range 500 {
		m.Observe(Route{Name: "quick"}, 2*time.Millisecond)
		m.Observe(Route{Name: "slow"}, time.Second)
	}
	if got := m.ExceedanceProbability(Route{Name: "slow"}, 900*time.Millisecond); got < 0.4 {
		t.Errorf("900 ms on a route of 1 s is exceeded with probability %v", got)
	}
	if got := m.ExceedanceProbability(Route{Name: "quick"}, 100*time.Millisecond); got > 0.02 {
		t.Errorf("100 ms on a route of 2 ms is exceeded with probability %v", got)
	}
	for i := range 3 * maxRoutes {
		m.Observe(Route{Name: strconv.Itoa(i)}, time.Second)
	}
	if len(m.routes) > maxRoutes {
		t.Errorf("%d routes are retained", len(m.routes))
	}
}

// Guards against a service that becomes slower under load and whose attempts then all count as overdue.
func TestFollowsSlowerResponses(t *testing.T) {
	var m Model
	for range 1000 {
		m.Observe(Route{Name: "r"}, 100*time.Millisecond)
	}
	for range 2 * window {
		m.Observe(Route{Name: "r"}, 400*time.Millisecond)
	}
	if got := m.ExceedanceProbability(Route{Name: "r"}, 400*time.Millisecond); got < 0.2 {
		t.Errorf("after the change 400 ms is exceeded with probability %v", got)
	}
}

// Guards against hanging requests that go undetected after the start of a host: the target latency must serve as the prior until
// there are responses. A target that is far from the actual durations must soon lose its weight.
func TestTargetIsPrior(t *testing.T) {
	var m Model
	route := Route{Name: "r", Target: 600 * time.Millisecond}
	if got := m.ExceedanceProbability(route, 600*time.Millisecond); got < 0.04 || got > 0.08 {
		t.Errorf("without samples the target is exceeded with probability %v", got)
	}
	for range 30 {
		m.Observe(route, 2*time.Second)
	}
	if got := m.ExceedanceProbability(route, 2*time.Second); got < 0.2 {
		t.Errorf("responses of 2 s exceed 2 s with probability %v with a target of 600 ms, want at least 0.2", got)
	}
}
