package upstreambench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/outlier"
)

// Fault is a fault of an upstream.
type Fault string

// The faults of a simulated upstream.
const (
	Healthy           Fault = ""
	Slow              Fault = "slow x10"
	Hang              Fault = "hang"
	Fail              Fault = "5xx 100%"
	FailHalf          Fault = "5xx 50%"
	TruncatedResponse Fault = "half answers"
	Flapping          Fault = "flapping 3 s"
	ColdStart         Fault = "cold start"
	Shedding          Fault = "shed"
)

const (
	medianLatency = 20 * time.Millisecond
	latencySigma  = 0.5
	errorRate     = 0.01
	pauseDuration = 200 * time.Millisecond
	// upstreamPauseInterval is the mean time between pauses of one upstream, servicePauseInterval the mean time between
	// simultaneous pauses of all upstreams of the service.
	upstreamPauseInterval = 20 * time.Second
	servicePauseInterval  = 60 * time.Second
	flapHalfPeriod        = 3 * time.Second
	coldStartDuration     = 20 * time.Second
	coldStartFactor       = 5
	slowFactor            = 10
	// loadReportInterval is the interval at which the reported load is updated, and so its maximum age.
	loadReportInterval = 500 * time.Millisecond
)

// simulatedUpstream is an upstream in memory with slots, a queue in front of them, noise and faults.
type simulatedUpstream struct {
	settings.Upstream
	sim          *simulation
	fault        Fault
	faultSince   time.Time
	pausedUntil  time.Time
	busySlots    int
	queue        []func()
	reportedLoad float64
}

func newSimulatedUpstream(sim *simulation, rng *rand.Rand, u settings.Upstream) *simulatedUpstream {
	s := &simulatedUpstream{Upstream: u, sim: sim}
	sim.every(0, loadReportInterval, func() { s.reportedLoad = min(1, float64(s.busySlots+len(s.queue))/float64(s.Slots)) })
	s.schedulePause(rng)
	return s
}

func (s *simulatedUpstream) schedulePause(rng *rand.Rand) {
	s.sim.after(time.Duration(rng.ExpFloat64()*float64(upstreamPauseInterval)), func() {
		s.pause()
		s.schedulePause(rng)
	})
}

func (s *simulatedUpstream) pause() { s.pausedUntil = s.sim.now.Add(pauseDuration) }

func (s *simulatedUpstream) setFault(f Fault) {
	s.fault = f
	s.faultSince = s.sim.now
}

// serve handles a request. reply is called once, unless the request hangs or is cancelled first. cancel releases the slot
// or the place in the queue.
func (s *simulatedUpstream) serve(rng *rand.Rand, reply func(outlier.Outcome)) (cancel func()) {
	ended := false
	started := false
	end := func() bool {
		if ended {
			return false
		}
		ended = true
		if started {
			s.busySlots--
			s.startQueued()
		}
		return true
	}
	start := func() {
		if ended {
			return
		}
		started = true
		s.busySlots++
		outcome, duration, hangs := s.sampleOutcome(rng)
		if hangs {
			return
		}
		s.sim.after(duration, func() {
			if end() {
				reply(outcome)
			}
		})
	}
	if s.fault == Shedding {
		s.sim.after(time.Millisecond, func() {
			if end() {
				reply(outlier.Shed)
			}
		})
		return func() { end() }
	}
	s.queue = append(s.queue, start)
	s.startQueued()
	return func() { end() }
}

func (s *simulatedUpstream) startQueued() {
	for s.busySlots < s.Slots && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next()
	}
}

// sampleOutcome chooses the outcome and duration of a request that starts now.
func (s *simulatedUpstream) sampleOutcome(rng *rand.Rand) (outcome outlier.Outcome, duration time.Duration, hangs bool) {
	factor := math.Exp(latencySigma * rng.NormFloat64())
	noise := rng.Float64()
	outcome = outlier.OK
	if noise < errorRate {
		outcome = outlier.Failed
	}
	age := s.sim.now.Sub(s.faultSince)
	switch s.fault {
	case Slow:
		factor *= slowFactor
	case Hang:
		return outcome, 0, true
	case Fail, TruncatedResponse:
		outcome = outlier.Failed
	case FailHalf:
		if noise < 0.5 {
			outcome = outlier.Failed
		}
	case Flapping:
		if age%(2*flapHalfPeriod) < flapHalfPeriod {
			outcome = outlier.Failed
		}
	case ColdStart:
		factor *= 1 + (coldStartFactor-1)*max(0, 1-float64(age)/float64(coldStartDuration))
	default:
	}
	duration = time.Duration(factor * float64(medianLatency))
	if pause := s.pausedUntil.Sub(s.sim.now); pause > 0 {
		duration += pause
	}
	return outcome, duration, false
}
