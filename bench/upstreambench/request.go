package upstreambench

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/loadbalancer"
	"github.com/bronzeyard/bronzeyard/traffic/outlier"
	"github.com/bronzeyard/bronzeyard/traffic/retry"
)

// busyRetryDelay models the queue in front of the balancer: if all upstreams are at the host's in-flight limits, the
// request tries again after this time.
const busyRetryDelay = 2 * time.Millisecond

// request is one idempotent request, handled by one host.
type request struct {
	host     *host
	number   int
	start    time.Time
	tried    []settings.UpstreamID
	finished bool
	inFlight map[int]func()
}

// scheduleArrival sends requests at exponentially distributed intervals to random hosts. The trace does not depend on the
// mode.
func (m *model) scheduleArrival() {
	m.sim.after(time.Duration(m.arrivalRNG.ExpFloat64()/m.requestRate*float64(time.Second)), func() {
		h := m.hosts[m.arrivalRNG.IntN(len(m.hosts))]
		m.results.requests++
		r := &request{host: h, number: m.results.requests, start: m.sim.now, inFlight: make(map[int]func())}
		m.sim.after(deadline, r.expire)
		r.attempt()
		if threshold := h.detector.SlowThreshold(); m.mode == FleetHedged {
			m.sim.after(threshold, func() { r.hedge(threshold) })
		}
		m.scheduleArrival()
	})
}

// attempt sends the request to an upstream that it was not yet sent to.
func (r *request) attempt() {
	h, m := r.host, r.host.model
	if r.finished {
		return
	}
	u, err := h.pick(r.tried)
	if errors.Is(err, loadbalancer.ErrBusy) {
		m.sim.after(busyRetryDelay, r.attempt)
	}
	if err != nil {
		return
	}
	m.results.attempts++
	n := len(r.tried)
	r.tried = append(r.tried, u.ID)
	token := h.detector.Start(m.sim.now, u.ID)
	rng := rand.New(rand.NewPCG(m.seed^uint64(r.number), uint64(n)))
	done := func(outcome outlier.Outcome) {
		delete(r.inFlight, n)
		h.detector.Finish(m.sim.now, token, outcome)
		h.observe(u.ID, outcome)
		h.release(u.ID, outcome)
	}
	cancel := m.upstreams[u.ID].serve(rng, func(outcome outlier.Outcome) {
		done(outcome)
		r.handleOutcome(outcome)
	})
	r.inFlight[n] = func() {
		cancel()
		outcome := outlier.Failed
		if r.finished {
			outcome = outlier.Abandoned
		}
		done(outcome)
	}
}

func (h *host) pick(exclude []settings.UpstreamID) (settings.Upstream, error) {
	if h.model.mode == FleetRoundRobin || h.model.mode == Consecutive {
		return h.roundRobin.Pick(h, exclude)
	}
	return h.balancer.Pick(h.model.sim.now, h, exclude)
}

func (h *host) release(id settings.UpstreamID, outcome outlier.Outcome) {
	if h.model.mode == FleetRoundRobin || h.model.mode == Consecutive {
		return
	}
	h.balancer.Done(h.model.sim.now, id, loadbalancer.Result{
		OK: outcome == outlier.OK, Shed: outcome == outlier.Shed,
		Load: h.model.upstreams[id].reportedLoad, HasLoad: outcome == outlier.OK,
	})
}

// handleOutcome ends the request after a successful attempt, or retries it if the policy allows.
func (r *request) handleOutcome(outcome outlier.Outcome) {
	h, m := r.host, r.host.model
	if r.finished {
		return
	}
	if outcome == outlier.OK {
		r.finished = true
		h.budget.OnSuccess(m.sim.now)
		m.results.inTime++
		m.results.latencies = append(m.results.latencies, m.sim.now.Sub(r.start))
		r.cancelInFlight()
		return
	}
	if (retry.Policy{}).Retry(m.sim.now, r.retryState(), h.budget) {
		m.results.retries++
		r.attempt()
	}
}

func (r *request) retryState() retry.Request {
	return retry.Request{
		Idempotent: true, Attempts: len(r.tried), MaxAttempts: maxAttempts,
		Remaining: r.start.Add(deadline).Sub(r.host.model.sim.now), ExpectedDuration: medianLatency,
		OtherUpstream: len(r.tried) < len(r.host.model.upstreamList),
	}
}

// hedge starts a second attempt if the request is still unanswered once the slow threshold has passed.
func (r *request) hedge(delay time.Duration) {
	h, now := r.host, r.host.model.sim.now
	if !r.finished && (retry.Policy{HedgeDelay: delay}).Hedge(now, r.retryState(), delay, h.budget) {
		h.model.results.retries++
		r.attempt()
	}
}

// expire cancels the attempts in flight at the deadline of the request.
func (r *request) expire() {
	r.cancelInFlight()
	r.finished = true
}

func (r *request) cancelInFlight() {
	for n := range maxAttempts {
		if cancel := r.inFlight[n]; cancel != nil {
			cancel()
		}
	}
}
