package upstreambench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/outlier"
)

// Fault is a kind of sickness of an upstream.
type Fault string

// The faults of a stand-in.
const (
	Healthy   Fault = ""
	Slow      Fault = "slow x10"
	Hang      Fault = "hang"
	Fail      Fault = "5xx 100%"
	FailHalf  Fault = "5xx 50%"
	HalfReply Fault = "half answers"
	Flapping  Fault = "flapping 3 s"
	ColdStart Fault = "cold start"
	Shedding  Fault = "shed"
)

const (
	medianLatency = 20 * time.Millisecond
	latencySigma  = 0.5
	errorRate     = 0.01
	pauseLength   = 200 * time.Millisecond
	// upstreamPauses and servicePauses are the mean times between pauses of one upstream and of all at once.
	upstreamPauses = 20 * time.Second
	servicePauses  = 60 * time.Second
	flapTime       = 3 * time.Second
	coldTime       = 20 * time.Second
	coldFactor     = 5
	slowFactor     = 10
	// loadLag is the age of the load that a stand-in reports.
	loadLag = 500 * time.Millisecond
)

// standIn is an upstream in memory: slots, a queue in front of them, noise and faults.
type standIn struct {
	settings.Upstream
	sim        *simulation
	fault      Fault
	faultSince time.Time
	pausedTill time.Time
	busy       int
	waiting    []func()
	load       float64
}

func newStandIn(sim *simulation, rng *rand.Rand, u settings.Upstream) *standIn {
	s := &standIn{Upstream: u, sim: sim}
	sim.every(0, loadLag, func() { s.load = min(1, float64(s.busy+len(s.waiting))/float64(s.Slots)) })
	s.schedulePause(rng)
	return s
}

func (s *standIn) schedulePause(rng *rand.Rand) {
	s.sim.after(time.Duration(rng.ExpFloat64()*float64(upstreamPauses)), func() {
		s.pause()
		s.schedulePause(rng)
	})
}

func (s *standIn) pause() { s.pausedTill = s.sim.now.Add(pauseLength) }

func (s *standIn) setFault(f Fault) {
	s.fault = f
	s.faultSince = s.sim.now
}

// serve handles a request. reply is called once unless the request hangs; cancel gives the slot back when the caller
// goes away first.
func (s *standIn) serve(rng *rand.Rand, reply func(outlier.Outcome)) (cancel func()) {
	ended := false
	started := false
	end := func() bool {
		if ended {
			return false
		}
		ended = true
		if started {
			s.busy--
			s.startWaiting()
		}
		return true
	}
	start := func() {
		if ended {
			return
		}
		started = true
		s.busy++
		outcome, took, hangs := s.draw(rng)
		if hangs {
			return
		}
		s.sim.after(took, func() {
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
	s.waiting = append(s.waiting, start)
	s.startWaiting()
	return func() { end() }
}

func (s *standIn) startWaiting() {
	for s.busy < s.Slots && len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		next()
	}
}

// draw returns how a request comes out at present.
func (s *standIn) draw(rng *rand.Rand) (outcome outlier.Outcome, took time.Duration, hangs bool) {
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
	case Fail, HalfReply:
		outcome = outlier.Failed
	case FailHalf:
		if noise < 0.5 {
			outcome = outlier.Failed
		}
	case Flapping:
		if age%(2*flapTime) < flapTime {
			outcome = outlier.Failed
		}
	case ColdStart:
		factor *= 1 + (coldFactor-1)*max(0, 1-float64(age)/float64(coldTime))
	default:
	}
	took = time.Duration(factor * float64(medianLatency))
	if pause := s.pausedTill.Sub(s.sim.now); pause > 0 {
		took += pause
	}
	return outcome, took, false
}
