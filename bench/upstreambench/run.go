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
	// Seed fixes the run. Default 1.
	Seed uint64
	// Trials is the number of faults of each kind. Default 100.
	Trials int
	// Noise is the simulated time with healthy, noisy upstreams. Default 1 h.
	Noise time.Duration
	// SkipSick leaves out the share of requests answered in time with sick upstreams. Default false.
	SkipSick bool
	// SkipBaselines leaves out all modes but the project's own, for quick comparisons of changes. Default false.
	SkipBaselines bool
	// Out gets the table. Default none.
	Out io.Writer
}

const (
	// perUpstream is the open loop of requests/s for each upstream.
	perUpstream = 5
	warmUp      = 40 * time.Second
	faultTime   = 20 * time.Second
	sickTime    = time.Minute
	// busyShare is the utilisation at which two choices are compared with round robin.
	busyShare = 0.7
	busyTime  = 20 * time.Second
)

// Run carries out all measurements. It returns an error for an unknown deployment or when the context ends.
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
	if options.Noise == 0 {
		options.Noise = time.Hour
	}
	d, err := deployment.ByName(options.Deployment)
	if err != nil {
		return Report{}, err
	}
	r := runner{options: options, deployment: d}
	for _, service := range d.Services {
		r.upstreams = append(r.upstreams, service.Upstreams)
	}
	report := Report{Deployment: options.Deployment, Hosts: options.Hosts, Seed: options.Seed, Trials: options.Trials}
	steps := []func(*Report){r.detection, r.noise, r.sickUpstreams, r.sickService, r.choices}
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

// parallel runs f for 0 to n-1 on half of the processors. Each call must touch only its own state.
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
	// upstreams are the numbers of upstreams of the services.
	upstreams []int
}

// modes returns the modes to measure.
func (r *runner) modes(all ...Mode) []Mode {
	if r.options.SkipBaselines {
		return slices.DeleteFunc(all, func(m Mode) bool { return m != FleetWide && m != FleetHedged })
	}
	return all
}

func (r *runner) world(mode Mode, upstreams int, seed uint64) *world {
	d := r.deployment
	return newWorld(mode, upstreams, d.Slots, d.Connections, r.options.Hosts, float64(perUpstream*upstreams), seed)
}

// detection measures, for each kind of fault, the time from its start until all hosts have ejected the upstream.
func (r *runner) detection(report *Report) {
	for _, mode := range r.modes(FleetWide, Consecutive) {
		for _, fault := range []Fault{Slow, Hang, Fail, FailHalf, HalfReply, Flapping, ColdStart, Shedding} {
			d := Detection{Mode: mode, Fault: fault, Trials: r.options.Trials}
			taken := make([]time.Duration, r.options.Trials)
			first := make([]time.Duration, r.options.Trials)
			crossings := make([]int, r.options.Trials)
			parallel(r.options.Trials, func(i int) {
				upstreams := r.upstreams[i%len(r.upstreams)]
				w := r.world(mode, upstreams, r.options.Seed*1_000_003+uint64(i))
				taken[i], first[i] = w.detect(fault)
				crossings[i] = w.results.floorCrossings
			})
			var times []time.Duration
			for i := range taken {
				if taken[i] < faultTime {
					times = append(times, taken[i])
				}
				if first[i] < faultTime {
					d.Partly++
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

// detect makes a random upstream sick at a random time. It returns when all hosts and when the first host had it
// ejected, or faultTime.
func (w *world) detect(fault Fault) (all, first time.Duration) {
	rng := rand.New(rand.NewPCG(w.seed, 3))
	w.sim.runUntil(w.sim.now.Add(warmUp + time.Duration(rng.Int64N(int64(2*time.Second)))))
	victim := w.order[rng.IntN(len(w.order))]
	victim.setFault(fault)
	start := w.sim.now
	all, first = faultTime, faultTime
	for all == faultTime && w.sim.now.Before(start.Add(faultTime)) {
		w.sim.runUntil(w.sim.now.Add(10 * time.Millisecond))
		out := 0
		for _, h := range w.hosts {
			if h.Weight(victim.ID) == 0 {
				out++
			}
		}
		if out > 0 {
			first = min(first, w.sim.now.Sub(start))
		}
		if out == len(w.hosts) {
			all = w.sim.now.Sub(start)
		}
	}
	return all, first
}

// noise counts the ejections while all upstreams are healthy.
func (r *runner) noise(report *Report) {
	for _, mode := range r.modes(FleetWide, Consecutive) {
		parts := make([]Noise, len(r.upstreams))
		crossings := make([]int, len(parts))
		parallel(len(parts), func(i int) {
			parts[i], crossings[i] = r.noiseOf(mode, r.upstreams[i], r.options.Seed+uint64(i))
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

func (r *runner) noiseOf(mode Mode, upstreams int, seed uint64) (n Noise, crossings int) {
	w := r.world(mode, upstreams, seed)
	out := make(map[settings.UpstreamID]bool)
	w.onTick = func(time.Time) {
		for _, s := range w.order {
			ejected := false
			for _, h := range w.hosts {
				ejected = ejected || h.Weight(s.ID) == 0
			}
			if ejected && !out[s.ID] {
				n.Ejections++
			}
			out[s.ID] = ejected
		}
	}
	w.sim.runUntil(w.sim.now.Add(r.options.Noise))
	n.UpstreamHours = float64(upstreams) * r.options.Noise.Hours()
	n.Requests = w.results.requests
	n.NotInTime = w.results.requests - w.results.inTime
	return n, w.results.floorCrossings
}

// sickUpstreams measures the share of requests answered in time with one and two sick upstreams for a minute.
func (r *runner) sickUpstreams(report *Report) {
	if r.options.SkipSick {
		return
	}
	for _, fault := range []Fault{Slow, Hang, Fail, FailHalf, Flapping} {
		for sick := 1; sick <= 2; sick++ {
			for _, mode := range r.modes(FleetWide, FleetHedged, NoEjection, Consecutive) {
				parts := make([]results, len(r.upstreams))
				parallel(len(parts), func(i int) {
					w := r.world(mode, r.upstreams[i], r.options.Seed+uint64(100+i))
					parts[i] = w.sicken(fault, sick)
				})
				var requests, inTime int
				for _, part := range parts {
					requests += part.requests
					inTime += part.inTime
					report.FloorCrossings += part.floorCrossings
				}
				share := float64(inTime) / float64(requests)
				report.Sick = append(report.Sick, Sick{Mode: mode, Fault: fault, Upstreams: sick, InTime: share})
			}
		}
	}
}

// sicken makes the first upstreams sick for sickTime and returns what was counted from then on.
func (w *world) sicken(fault Fault, n int) results {
	w.sim.runUntil(w.sim.now.Add(warmUp))
	for _, s := range w.order[:n] {
		s.setFault(fault)
	}
	before := w.results
	w.sim.runUntil(w.sim.now.Add(sickTime))
	sum := w.results
	sum.requests -= before.requests
	sum.inTime -= before.inTime
	return sum
}

// sickService measures the attempts for each request while all upstreams of a service fail.
func (r *runner) sickService(report *Report) {
	w := r.world(FleetWide, r.upstreams[1], r.options.Seed+200)
	w.sim.runUntil(w.sim.now.Add(warmUp))
	for _, s := range w.order {
		s.setFault(Fail)
	}
	before := w.results
	w.sim.runUntil(w.sim.now.Add(sickTime))
	report.Amplification = float64(w.results.attempts-before.attempts) / float64(w.results.requests-before.requests)
	report.FloorCrossings += w.results.floorCrossings
}

// choices compares two choices with round robin on one trace at high utilisation, with one upstream of half the speed.
func (r *runner) choices(report *Report) {
	for _, mode := range []Mode{NoEjection, FleetRoundRobin} {
		d := r.deployment
		upstreams := r.upstreams[1]
		rate := busyShare * float64(upstreams*d.Slots) / medianLatency.Seconds()
		w := newWorld(mode, upstreams, d.Slots, d.Connections, r.options.Hosts, rate, r.options.Seed+300)
		w.arbiter.SetService(&settings.Service{})
		w.sim.runUntil(w.sim.now.Add(busyTime))
		report.Choices = append(report.Choices, Choice{
			Policy: map[Mode]string{NoEjection: "two choices", FleetRoundRobin: "round robin"}[mode],
			P50:    seconds(percentile(w.results.latencies, 0.5, len(w.results.latencies))),
			P99:    seconds(percentile(w.results.latencies, 0.99, len(w.results.latencies))),
			InTime: float64(w.results.inTime) / float64(w.results.requests),
		})
	}
}
