package durations

import (
	"math"
	"sync"
	"time"
)

const (
	// minSamples is the number of responses from which the distribution of a route or of its service is used for a route without
	// a target.
	minSamples = 6
	// window is the approximate number of most recent samples that determine a distribution. Older ones lose their weight.
	window = 150
	// priorDeviation is the standard deviation of the logarithm in the prior, which has the weight of priorSamples samples.
	// withinTargetShare is the share of successful responses that are assumed to arrive within the target.
	priorDeviation    = 0.7
	priorSamples      = 4
	withinTargetShare = 0.95
	// minDeviation is the minimum standard deviation. Durations that have varied little so far may vary more later.
	minDeviation = 0.3
	// tailShare is the share of successful responses that arrive later than the distribution predicts.
	tailShare = 0.01
	// minDuration is the shortest duration that is distinguished. Shorter ones count as minDuration.
	minDuration = 100 * time.Microsecond
	// maxRoutes is the maximum number of routes of a service with a distribution of their own. A further route makes all of
	// them start again without samples.
	maxRoutes = 512
)

// Route is a class of requests whose responses take about the same time. Target is the target latency that the operator has
// set for it; 0 if none is set.
type Route struct {
	Name   string
	Target time.Duration
}

// Model holds the distributions of one service. It is safe for concurrent use. The zero Model has no samples.
type Model struct {
	mu      sync.Mutex
	service distribution
	routes  map[string]*distribution
}

// distribution holds the moving mean and variance of the logarithms of durations in seconds.
type distribution struct {
	samples        int
	mean, variance float64
}

// normal is a normal distribution of logarithms.
type normal struct{ mean, deviation float64 }

// Observe records the duration of a successful response.
func (m *Model) Observe(route Route, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	logarithm := math.Log(max(minDuration, took).Seconds())
	m.service.observe(logarithm)
	d := m.routes[route.Name]
	if d == nil {
		if m.routes == nil || len(m.routes) >= maxRoutes {
			m.routes = make(map[string]*distribution)
		}
		d = &distribution{}
		m.routes[route.Name] = d
	}
	d.observe(logarithm)
}

// observe adds a sample with Welford's algorithm, with a bounded weight of earlier samples.
func (d *distribution) observe(x float64) {
	d.samples++
	weight := 1 / d.weight()
	delta := x - d.mean
	d.mean += weight * delta
	d.variance = (1 - weight) * (d.variance + weight*delta*delta)
}

// weight returns the number of samples that count.
func (d *distribution) weight() float64 { return float64(min(d.samples, window)) }

// withPrior returns the distribution combined with a prior.
func (d *distribution) withPrior(prior normal) normal {
	n := d.weight()
	total := n + priorSamples
	mean := (n*d.mean + priorSamples*prior.mean) / total
	variance := (n*(d.variance+square(d.mean-mean)) + priorSamples*(square(prior.deviation)+square(prior.mean-mean))) / total
	return normal{mean: mean, deviation: max(minDeviation, math.Sqrt(variance))}
}

func square(x float64) float64 { return x * x }

// distributionOf returns the distribution to use for a route. It returns false if there are too few samples.
func (m *Model) distributionOf(route Route) (normal, bool) {
	d := m.routes[route.Name]
	if d == nil {
		d = &distribution{}
	}
	switch {
	case route.Target > 0:
		quantile := math.Sqrt2 * math.Erfinv(2*withinTargetShare-1)
		return d.withPrior(normal{mean: math.Log(route.Target.Seconds()) - quantile*priorDeviation, deviation: priorDeviation}), true
	case d.samples >= minSamples:
		return d.withPrior(normal{mean: d.mean, deviation: priorDeviation}), true
	case m.service.samples >= minSamples:
		return m.service.withPrior(normal{mean: m.service.mean, deviation: priorDeviation}), true
	default:
		return normal{}, false
	}
}

// ExceedanceProbability returns the probability that a successful response takes longer than the age. It is 1 while there are
// too few samples.
func (m *Model) ExceedanceProbability(route Route, age time.Duration) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.distributionOf(route)
	if !ok || age <= 0 {
		return 1
	}
	standardized := (math.Log(age.Seconds()) - d.mean) / d.deviation
	return tailShare + (1-tailShare)*0.5*math.Erfc(standardized/math.Sqrt2)
}

// ExceedanceAge returns the age that a successful response exceeds with the given probability, which must be greater than
// tailShare. It returns false while there are too few samples.
func (m *Model) ExceedanceAge(route Route, probability float64) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.distributionOf(route)
	if !ok {
		return 0, false
	}
	upperTail := min(max((probability-tailShare)/(1-tailShare), math.SmallestNonzeroFloat64), 1-1e-9)
	quantile := math.Sqrt2 * math.Erfcinv(2*upperTail)
	return time.Duration(math.Exp(d.mean+quantile*d.deviation) * float64(time.Second)), true
}
