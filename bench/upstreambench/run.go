package upstreambench

import (
	"context"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bronzeyard/bronzeyard/emulator/deployment"
	"github.com/bronzeyard/bronzeyard/settings"
)

// Options configure a run.
type Options struct {
	// Deployment is "merrimack" or "daan". Default "daan".
	Deployment string
	// Hosts is the number of hosts. Default 15.
	Hosts int
	// Seed determines the trace, the noise and the faults. Default 1.
	Seed uint64
	// Trials is the number of trials for each kind of fault. Default 100.
	Trials int
	// NoiseDuration is the simulated time with healthy, noisy upstreams. Default 1 h.
	NoiseDuration time.Duration
	// SkipAvailability leaves out the share of requests answered in time with unhealthy upstreams. Default false.
	SkipAvailability bool
	// SkipBaselines leaves out all modes but FleetWide and FleetHedged, to compare changes quickly. Default false.
	SkipBaselines bool
	// Out receives the results as a table. Default none.
	Out io.Writer
}

const (
	// requestRatePerUpstream is the open-loop load in requests/s for each upstream.
	requestRatePerUpstream = 5
	warmUpDuration         = 40 * time.Second
	faultDuration          = 20 * time.Second
	unhealthyDuration      = time.Minute
	// highUtilisation is the utilisation of the slots at which two choices are compared with round robin.
	highUtilisation         = 0.7
	highUtilisationDuration = 20 * time.Second
)

// Run carries out all measurements. It returns an error if the deployment is unknown or if the context ends.
func Run(ctx context.Context, options Options) (Report, error) {
	if options.Deployment == "" {
		options.Deployment = "daan"
	}
	if options.Hosts == 0 {
		options.Hosts = 15
	}
	if options.Seed == 0 {
		options.Seed = 1
	}
	if options.Trials == 0 {
		options.Trials = 100
	}
	if options.NoiseDuration == 0 {
		options.NoiseDuration = time.Hour
	}
	d, err := deployment.ByName(options.Deployment)
	if err != nil {
		return Report{}, err
	}
	r := runner{options: options, deployment: d}
	for _, service := range d.Services {
		r.serviceSizes = append(r.serviceSizes, service.Upstreams)
	}
	report := Report{Deployment: options.Deployment, Hosts: options.Hosts, Seed: options.Seed, Trials: options.Trials}
	steps := []func(*Report){r.measureDetection, r.measureNoise, r.measureAvailability, r.measureAmplification, r.compareBalancers}
	for _, step := range steps {
		if err := ctx.Err(); err != nil {
			return report, err
		}
		step(&report)
	}
	if options.Out != nil {
		report.print(options.Out)
	}
	return report, nil
}

// parallel calls f with 0 to n-1 concurrently on half of the processors. Each call must access only its own state.
func parallel(n int, f func(i int)) {
	var group errgroup.Group
	group.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))
	for i := range n {
		group.Go(func() error {
			f(i)
			return nil
		})
	}
	_ = group.Wait()
}

type runner struct {
	options    Options
	deployment *deployment.Deployment
	// serviceSizes are the numbers of upstreams of the services.
	serviceSizes []int
}

// modes returns the modes to measure.
func (r *runner) modes(all ...Mode) []Mode {
	if r.options.SkipBaselines {
		return slices.DeleteFunc(all, func(m Mode) bool { return m != FleetWide && m != FleetHedged })
	}
	return all
}

func (r *runner) newModel(mode Mode, upstreams int, seed uint64) *model {
	d := r.deployment
	return newModel(mode, upstreams, d.Slots, d.Connections, r.options.Hosts, float64(requestRatePerUpstream*upstreams), seed)
}

// measureDetection measures, for each kind of fault, the time from its start until all hosts have ejected the upstream.
func (r *runner) measureDetection(report *Report) {
	for _, mode := range r.modes(FleetWide, Consecutive) {
		for _, fault := range []Fault{Slow, Hang, Fail, FailHalf, TruncatedResponse, Flapping, ColdStart, Shedding} {
			d := Detection{Mode: mode, Fault: fault, Trials: r.options.Trials}
			allTimes := make([]time.Duration, r.options.Trials)
			firstTimes := make([]time.Duration, r.options.Trials)
			crossings := make([]int, r.options.Trials)
			parallel(r.options.Trials, func(i int) {
				upstreams := r.serviceSizes[i%len(r.serviceSizes)]
				m := r.newModel(mode, upstreams, r.options.Seed*1_000_003+uint64(i))
				allTimes[i], firstTimes[i] = m.measureDetectionTime(fault)
				crossings[i] = m.results.floorCrossings
			})
			var times []time.Duration
			for i := range allTimes {
				if allTimes[i] < faultDuration {
					times = append(times, allTimes[i])
				}
				if firstTimes[i] < faultDuration {
					d.PartlyDetected++
				}
				report.FloorCrossings += crossings[i]
			}
			d.Detected = len(times)
			d.P50 = seconds(percentile(times, 0.5, r.options.Trials))
			d.P99 = seconds(percentile(times, 0.99, r.options.Trials))
			report.Detections = append(report.Detections, d)
		}
	}
}

// measureDetectionTime makes a random upstream unhealthy at a random time. It returns the times until all hosts and until
// the first host had ejected it, or faultDuration.
func (m *model) measureDetectionTime(fault Fault) (all, first time.Duration) {
	rng := rand.New(rand.NewPCG(m.seed, 3))
	m.sim.runUntil(m.sim.now.Add(warmUpDuration + time.Duration(rng.Int64N(int64(2*time.Second)))))
	faulty := m.upstreamList[rng.IntN(len(m.upstreamList))]
	faulty.setFault(fault)
	start := m.sim.now
	all, first = faultDuration, faultDuration
	for all == faultDuration && m.sim.now.Before(start.Add(faultDuration)) {
		m.sim.runUntil(m.sim.now.Add(10 * time.Millisecond))
		ejecting := 0
		for _, h := range m.hosts {
			if h.Weight(faulty.ID) == 0 {
				ejecting++
			}
		}
		if ejecting > 0 {
			first = min(first, m.sim.now.Sub(start))
		}
		if ejecting == len(m.hosts) {
			all = m.sim.now.Sub(start)
		}
	}
	return all, first
}

// measureNoise counts the ejections while all upstreams are healthy, summed over all services.
func (r *runner) measureNoise(report *Report) {
	for _, mode := range r.modes(FleetWide, Consecutive) {
		parts := make([]Noise, len(r.serviceSizes))
		crossings := make([]int, len(parts))
		parallel(len(parts), func(i int) {
			parts[i], crossings[i] = r.measureServiceNoise(mode, r.serviceSizes[i], r.options.Seed+uint64(i))
		})
		n := Noise{Mode: mode}
		for i, part := range parts {
			n.Ejections += part.Ejections
			n.UpstreamHours += part.UpstreamHours
			n.Requests += part.Requests
			n.NotInTime += part.NotInTime
			report.FloorCrossings += crossings[i]
		}
		report.Noise = append(report.Noise, n)
	}
}

func (r *runner) measureServiceNoise(mode Mode, upstreams int, seed uint64) (n Noise, crossings int) {
	m := r.newModel(mode, upstreams, seed)
	ejectedBefore := make(map[settings.UpstreamID]bool)
	m.onTick = func(time.Time) {
		for _, s := range m.upstreamList {
			ejected := false
			for _, h := range m.hosts {
				ejected = ejected || h.Weight(s.ID) == 0
			}
			if ejected && !ejectedBefore[s.ID] {
				n.Ejections++
			}
			ejectedBefore[s.ID] = ejected
		}
	}
	m.sim.runUntil(m.sim.now.Add(r.options.NoiseDuration))
	n.UpstreamHours = float64(upstreams) * r.options.NoiseDuration.Hours()
	n.Requests = m.results.requests
	n.NotInTime = m.results.requests - m.results.inTime
	return n, m.results.floorCrossings
}

// measureAvailability measures the share of requests answered in time while one or two upstreams are unhealthy for a minute.
func (r *runner) measureAvailability(report *Report) {
	if r.options.SkipAvailability {
		return
	}
	for _, fault := range []Fault{Slow, Hang, Fail, FailHalf, Flapping} {
		for unhealthy := 1; unhealthy <= 2; unhealthy++ {
			for _, mode := range r.modes(FleetWide, FleetHedged, NoEjection, Consecutive) {
				parts := make([]results, len(r.serviceSizes))
				parallel(len(parts), func(i int) {
					m := r.newModel(mode, r.serviceSizes[i], r.options.Seed+uint64(100+i))
					parts[i] = m.runWithUnhealthy(fault, unhealthy)
				})
				var requests, inTime int
				for _, part := range parts {
					requests += part.requests
					inTime += part.inTime
					report.FloorCrossings += part.floorCrossings
				}
				share := float64(inTime) / float64(requests)
				report.Availability = append(report.Availability, Availability{Mode: mode, Fault: fault, Upstreams: unhealthy, InTime: share})
			}
		}
	}
}

// runWithUnhealthy injects the fault into the first n upstreams and runs the model for unhealthyDuration. In the returned
// results, requests and inTime count from the injection on.
func (m *model) runWithUnhealthy(fault Fault, n int) results {
	m.sim.runUntil(m.sim.now.Add(warmUpDuration))
	for _, s := range m.upstreamList[:n] {
		s.setFault(fault)
	}
	before := m.results
	m.sim.runUntil(m.sim.now.Add(unhealthyDuration))
	counted := m.results
	counted.requests -= before.requests
	counted.inTime -= before.inTime
	return counted
}

// measureAmplification measures the attempts for each request while all upstreams of a service fail.
func (r *runner) measureAmplification(report *Report) {
	m := r.newModel(FleetWide, r.serviceSizes[1], r.options.Seed+200)
	m.sim.runUntil(m.sim.now.Add(warmUpDuration))
	for _, s := range m.upstreamList {
		s.setFault(Fail)
	}
	before := m.results
	m.sim.runUntil(m.sim.now.Add(unhealthyDuration))
	report.Amplification = float64(m.results.attempts-before.attempts) / float64(m.results.requests-before.requests)
	report.FloorCrossings += m.results.floorCrossings
}

// compareBalancers compares two random choices with round robin on one trace at high utilisation.
func (r *runner) compareBalancers(report *Report) {
	for _, mode := range []Mode{NoEjection, FleetRoundRobin} {
		d := r.deployment
		upstreams := r.serviceSizes[1]
		rate := highUtilisation * float64(upstreams*d.Slots) / medianLatency.Seconds()
		m := newModel(mode, upstreams, d.Slots, d.Connections, r.options.Hosts, rate, r.options.Seed+300)
		m.arbiter.SetService(&settings.Service{})
		m.sim.runUntil(m.sim.now.Add(highUtilisationDuration))
		report.Balancers = append(report.Balancers, BalancerResult{
			Policy: map[Mode]string{NoEjection: "two choices", FleetRoundRobin: "round robin"}[mode],
			P50:    seconds(percentile(m.results.latencies, 0.5, len(m.results.latencies))),
			P99:    seconds(percentile(m.results.latencies, 0.99, len(m.results.latencies))),
			InTime: float64(m.results.inTime) / float64(m.results.requests),
		})
	}
}
