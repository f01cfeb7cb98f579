package durations

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// logNormal draws durations with the mean and the standard deviation of their logarithm.
func logNormal(random *rand.Rand, mean time.Duration, spread float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(spread*random.NormFloat64()-spread*spread/2))
}

// Guards against attempts that are taken to hang although many answers come so late, or only long after: the ages must fit
// the durations that were drawn, with few samples too.
func TestAgesFitTheDurations(t *testing.T) {
	for _, c := range []struct {
		samples      int
		spread       float64
		least, most  float64 // bounds of the share of answers that are later than the age of 1 in 10
		mean         time.Duration
		seeds, draws int
	}{
		{samples: 12, spread: 0.5, least: 0.01, most: 0.3, mean: 200 * time.Millisecond, seeds: 30, draws: 2000},
		{samples: 150, spread: 0.5, least: 0.05, most: 0.17, mean: 200 * time.Millisecond, seeds: 30, draws: 2000},
		{samples: 150, spread: 0.8, least: 0.05, most: 0.17, mean: 5 * time.Second, seeds: 30, draws: 2000},
	} {
		for seed := range uint64(c.seeds) {
			random := rand.New(rand.NewPCG(seed, 1))
			var m Model
			for range c.samples {
				m.Observe(Route{Name: "r"}, logNormal(random, c.mean, c.spread))
			}
			age, ok := m.ExceedanceAge(Route{Name: "r"}, 0.1)
			if !ok {
				t.Fatalf("%d samples are not enough", c.samples)
			}
			later := 0
			for range c.draws {
				if logNormal(random, c.mean, c.spread) > age {
					later++
				}
			}
			if share := float64(later) / float64(c.draws); share < c.least || share > c.most {
				t.Errorf("%+v, seed %d: %.3f of the answers are later than %v", c, seed, share, age)
			}
		}
	}
}

// Guards the inverse: the ages of the levels and the weight of an age must agree.
func TestAgeIsTheInverseOfExceeds(t *testing.T) {
	var m Model
	for i := range 100 {
		m.Observe(Route{Name: "r"}, time.Duration(100+i)*time.Millisecond)
	}
	for _, chance := range []float64{0.5, 0.12, 0.04, 0.015} {
		age, _ := m.ExceedanceAge(Route{Name: "r"}, chance)
		if got := m.ExceedanceProbability(Route{Name: "r"}, age); math.Abs(got-chance) > 1e-3 {
			t.Errorf("the age %v of %v is exceeded with %v", age, chance, got)
		}
	}
}

// Guards against conclusions from nothing: at the start of a host every age is possible.
func TestUnknownDurations(t *testing.T) {
	var m Model
	for range enoughSamples - 1 {
		m.Observe(Route{Name: "r"}, time.Millisecond)
	}
	if _, ok := m.ExceedanceAge(Route{Name: "r"}, 0.1); ok {
		t.Error("an age is known from too few samples")
	}
	if got := m.ExceedanceProbability(Route{Name: "r"}, time.Hour); got != 1 {
		t.Errorf("an hour is exceeded with %v", got)
	}
}

// Guards against the quick answers of one route that make the slow ones of another look hung.
func TestRoutesAreToldApart(t *testing.T) {
	var m Model
	for range 500 {
		m.Observe(Route{Name: "quick"}, 2*time.Millisecond)
		m.Observe(Route{Name: "slow"}, time.Second)
	}
	if got := m.ExceedanceProbability(Route{Name: "slow"}, 900*time.Millisecond); got < 0.4 {
		t.Errorf("900 ms on a route of 1 s are exceeded with %v", got)
	}
	if got := m.ExceedanceProbability(Route{Name: "quick"}, 100*time.Millisecond); got > 0.02 {
		t.Errorf("100 ms on a route of 2 ms are exceeded with %v", got)
	}
	for i := range 3 * maxRoutes {
		m.Observe(Route{Name: strconv.Itoa(i)}, time.Second)
	}
	if len(m.routes) > maxRoutes {
		t.Errorf("%d routes are kept", len(m.routes))
	}
}

// Guards against a service that becomes slower under load, whose attempts then all seem to hang.
func TestFollowsAChange(t *testing.T) {
	var m Model
	for range 1000 {
		m.Observe(Route{Name: "r"}, 100*time.Millisecond)
	}
	for range 2 * window {
		m.Observe(Route{Name: "r"}, 400*time.Millisecond)
	}
	if got := m.ExceedanceProbability(Route{Name: "r"}, 400*time.Millisecond); got < 0.2 {
		t.Errorf("after the change 400 ms are exceeded with %v", got)
	}
}

// Guards against requests that hang unnoticed at the start of a host: the operator's target stands for the durations until
// there are answers, and a target far from them is soon forgotten.
func TestTargetStandsInForSamples(t *testing.T) {
	var m Model
	route := Route{Name: "r", Target: 600 * time.Millisecond}
	if got := m.ExceedanceProbability(route, 600*time.Millisecond); got < 0.04 || got > 0.08 {
		t.Errorf("without samples the target is exceeded with %v", got)
	}
	for range 30 {
		m.Observe(route, 2*time.Second)
	}
	if got := m.ExceedanceProbability(route, 2*time.Second); got < 0.2 {
		t.Errorf("answers that all take 2 s exceed it with %v, with a target of 600 ms", got)
	}
}
