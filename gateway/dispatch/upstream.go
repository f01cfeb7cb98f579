package dispatch

import (
	"math"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/gateway/signals"
	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// refreshInterval is the age from which the costs and breaker states of all upstreams are computed again. Computing them for
	// each grant would cost more than everything else if a service has hundreds of upstreams.
	refreshInterval = 20 * time.Millisecond
	// durationWeight is the weight of a new sample in the mean response duration of an upstream. In that of the service, a sample
	// has a quarter of this weight.
	durationWeight = 0.25
	// maxDurationFactor limits a sample to a multiple of the mean of the service, so that a few requests that hang do not cause the
	// rejection of requests that would be served in time.
	maxDurationFactor = 4
	// defaultDuration is assumed until there is a response.
	defaultDuration = time.Second
	// slowCost is added to the load of an upstream for each multiple by which its mean duration exceeds that of the service, up to
	// maxSlowCost. slowHalfLife is the half-life of this cost, so that a slow upstream is tried again.
	slowCost     = 0.4
	maxSlowCost  = 1.0
	slowHalfLife = 3 * time.Second
	// shedCost is added to the load of an upstream that sheds all requests. shedWeight is the weight of a new sample in the share
	// of requests that it sheds, and shedHalfLife the half-life of this share.
	shedCost     = 1.0
	shedWeight   = 0.25
	shedHalfLife = 3 * time.Second
	// warmUpCost is added to the load of an upstream until it is warm.
	warmUpCost = 0.35
	// failureScoreCost is added to the load of an upstream for each unit of its failure score, for a non-idempotent request.
	failureScoreCost = 1.5
)

// upstream is what the dispatcher knows about one process of an upstream.
type upstream struct {
	settings.Upstream
	listed bool
	hash   uint32 // by which hints name it

	grants int
	// unknown is the number of requests in flight that the upstream reported beyond the grants.
	unknown   float64
	decayedAt time.Time // when unknown, slow and shed were last decayed
	mean      time.Duration
	slow      float64 // cost of the mean duration
	shed      float64 // share of the requests that the upstream sheds
	goodAt    time.Time
	usedAt    time.Time // when the last request was granted

	trial   bool // a half-open trial is running
	trialAt time.Time
	// signals is what the processes of the upstream have asked for. They share it.
	signals *signals.State

	// The following values are computed by refresh.
	usable bool             // listed, and accepts requests
	closed bool             // usable, and the breaker is closed
	state  [2]breaker.State // for requests that are not retryable, and for retryable ones
	cost   float64          // costs in units of load
	score  float64          // cost of the failure score
}

func (u *upstream) refuses(now time.Time) bool { return u.signals.Refuses(now, &u.Upstream) }

// inFlight returns the expected number of requests at the upstream.
func (u *upstream) inFlight() float64 { return float64(u.grants) + u.unknown }

// load returns the share of the slots in use.
func (u *upstream) load() float64 { return u.inFlight() / float64(u.Slots) }

// isFree reports whether the upstream has a free slot if it may get some requests more than it has slots.
func (u *upstream) isFree(extra int) bool { return u.inFlight() < float64(u.Slots+extra) }

func (d *Dispatcher) refreshAll(now time.Time) {
	d.refreshedAt = now
	for _, u := range d.upstreams {
		d.refresh(now, u)
	}
}

func (d *Dispatcher) refresh(now time.Time, u *upstream) {
	if age := now.Sub(u.decayedAt); age > 0 {
		u.unknown *= math.Exp(-float64(age) / float64(d.durations.orDefault()))
		u.slow *= decay(age, slowHalfLife)
		u.shed *= decay(age, shedHalfLife)
		u.decayedAt = now
	}
	u.state[0] = d.options.Breakers.TrialState(now, u.ID, false)
	u.state[1] = u.state[0]
	if u.state[0] == breaker.Open {
		u.state[1] = d.options.Breakers.TrialState(now, u.ID, true)
	}
	setFlag(&d.usable, &u.usable, u.listed && !u.Leaving && !u.refuses(now))
	setFlag(&d.closed, &u.closed, u.usable && u.state[0] == breaker.Closed)
	u.cost = u.slow + shedCost*u.shed
	if now.Before(u.WarmUntil) {
		u.cost += warmUpCost
	}
	u.score = failureScoreCost * d.options.Breakers.FailureScore(now, u.ID)
}

// setFlag sets a flag and the number of upstreams for which it is true.
func setFlag(count *int, flag *bool, value bool) {
	switch {
	case value && !*flag:
		*count++
	case !value && *flag:
		*count--
	}
	*flag = value
}

func decay(age, halfLife time.Duration) float64 { return math.Exp2(-float64(age) / float64(halfLife)) }

// learn applies what a released attempt shows about its upstream. The grant still counts as in use, because the upstream may have
// counted it in its report.
func (d *Dispatcher) learn(now time.Time, u *upstream, release *Release) {
	d.refresh(now, u) // decays the old values
	if release.Load != nil {
		u.unknown = max(0, float64(release.Load.Running+release.Load.Waiting-u.grants))
	}
	switch release.Outcome {
	case Served:
		u.goodAt = now
		u.shed *= 1 - shedWeight
		d.observeDuration(u, release.Took)
	case Failed, Responded:
		u.shed *= 1 - shedWeight
	case Shed:
		u.shed += shedWeight * (1 - u.shed)
	default:
	}
	if release.Outcome != Misdirected { // the response is of another upstream
		u.signals.Add(now, signals.Signal{
			Address: u.Address, Incarnation: u.Incarnation, EntryLifetime: d.options.EntryLifetime(),
			Leaving: release.Leaving, Backoff: release.Backoff,
		})
	}
	d.refresh(now, u)
	if present := d.known[u.ID]; present != nil && present != u {
		d.refresh(now, present)
	}
}

func (d *Dispatcher) observeDuration(u *upstream, took time.Duration) {
	if took <= 0 {
		return
	}
	d.durations.add(took)
	if u.mean == 0 {
		u.mean = d.durations.mean // one slow response says little
	}
	u.mean += time.Duration(durationWeight * float64(took-u.mean))
	u.slow = min(maxSlowCost, max(0, slowCost*(float64(u.mean)/float64(d.durations.mean)-1)))
}

// durations are moving averages of the durations of the responses of the service.
type durations struct{ mean, deviation time.Duration }

func (m *durations) add(took time.Duration) {
	if m.mean == 0 {
		m.mean = took
		return
	}
	took = min(took, maxDurationFactor*m.mean)
	m.mean += time.Duration(durationWeight / 4 * float64(took-m.mean))
	m.deviation += time.Duration(durationWeight / 4 * float64((took-m.mean).Abs()-m.deviation))
}

// typical returns a duration that most responses do not exceed; 0 if there was none.
func (m *durations) typical() time.Duration { return m.mean + m.deviation }

func (m *durations) orDefault() time.Duration {
	if m.mean == 0 {
		return defaultDuration
	}
	return m.mean
}
