package durations

import (
	"math"
	"sync"
	"time"
)

const (
	// enoughSamples is the number of answers from which the distribution of a service is used for a route without a target.
	enoughSamples = 6
	// window is the number of newest samples that a distribution follows.
	window = 150
	// priorSpread is the standard deviation of the logarithm that is assumed with the weight of priorSamples, and
	// withinTarget the share of the good answers that are assumed to come within the target.
	priorSpread  = 0.7
	priorSamples = 4
	withinTarget = 0.95
	// leastSpread bounds the standard deviation from below: durations that have varied little so far may vary more.
	leastSpread = 0.3
	// tail is the share of good answers that come later than the distribution says.
	tail = 0.01
	// shortest is the least duration that is told apart.
	shortest = 100 * time.Microsecond
	// maxRoutes bounds the routes of a service that are told apart.
	maxRoutes = 512
)

// Route is a kind of request whose answers take about the same time. Target is the time within which the operator wants
// answers; 0 if none is stated.
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

// distribution follows the logarithms of durations in seconds.
type distribution struct {
	samples        int
	mean, variance float64
}

// normal is a normal distribution of logarithms.
type normal struct{ mean, spread float64 }

// Observe takes the duration of a good answer.
func (m *Model) Observe(route Route, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	logarithm := math.Log(max(shortest, took).Seconds())
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

// observe is Welford's algorithm with a bounded weight of the past.
func (d *distribution) observe(x float64) {
	d.samples++
	weight := 1 / d.weight()
	delta := x - d.mean
	d.mean += weight * delta
	d.variance = (1 - weight) * (d.variance + weight*delta*delta)
}

// weight is the number of samples that count.
func (d *distribution) weight() float64 { return float64(min(d.samples, window)) }

// with returns the distribution together with a prior one.
func (d *distribution) with(prior normal) normal {
	n := d.weight()
	total := n + priorSamples
	mean := (n*d.mean + priorSamples*prior.mean) / total
	variance := (n*(d.variance+square(d.mean-mean)) + priorSamples*(square(prior.spread)+square(prior.mean-mean))) / total
	return normal{mean: mean, spread: max(leastSpread, math.Sqrt(variance))}
}

func square(x float64) float64 { return x * x }

// of returns the distribution to use for a route; false if too little is known.
func (m *Model) of(route Route) (normal, bool) {
	d := m.routes[route.Name]
	if d == nil {
		d = &distribution{}
	}
	switch {
	case route.Target > 0:
		deviation := math.Sqrt2 * math.Erfinv(2*withinTarget-1)
		return d.with(normal{mean: math.Log(route.Target.Seconds()) - deviation*priorSpread, spread: priorSpread}), true
	case d.samples >= enoughSamples:
		return d.with(normal{mean: d.mean, spread: priorSpread}), true
	case m.service.samples >= enoughSamples:
		return m.service.with(normal{mean: m.service.mean, spread: priorSpread}), true
	default:
		return normal{}, false
	}
}

// Exceeds is the probability that a good answer takes longer than the age. It is 1 while too little is known.
func (m *Model) ExceedanceProbability(route Route, age time.Duration) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.of(route)
	if !ok || age <= 0 {
		return 1
	}
	deviation := (math.Log(age.Seconds()) - d.mean) / d.spread
	return tail + (1-tail)*0.5*math.Erfc(deviation/math.Sqrt2)
}

// Age is the age that a good answer exceeds with the chance, which must be above the share of late answers. It reports
// false while too little is known.
func (m *Model) ExceedanceAge(route Route, chance float64) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.of(route)
	if !ok {
		return 0, false
	}
	within := min(max((chance-tail)/(1-tail), math.SmallestNonzeroFloat64), 1-1e-9)
	deviation := math.Sqrt2 * math.Erfcinv(2*within)
	return time.Duration(math.Exp(d.mean+deviation*d.spread) * float64(time.Second)), true
}
