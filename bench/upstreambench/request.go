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

// busyWait stands for the queue in front of the balancer: a request waits this long for a place within the host's
// in-flight limits.
const busyWait = 2 * time.Millisecond

// request is one idempotent request at one host.
type request struct {
	host     *host
	number   int
	start    time.Time
	tried    []settings.UpstreamID
	answered bool
	open     map[int]func()
}

// scheduleArrival sends requests at exponential intervals to random hosts. The trace does not depend on the mode.
func (w *world) scheduleArrival() {
	w.sim.after(time.Duration(w.trace.ExpFloat64()/w.rate*float64(time.Second)), func() {
		h := w.hosts[w.trace.IntN(len(w.hosts))]
		w.results.requests++
		r := &request{host: h, number: w.results.requests, start: w.sim.now, open: make(map[int]func())}
		w.sim.after(deadline, r.expire)
		r.attempt()
		if bound := h.detector.SlowThreshold(); w.mode == FleetHedged {
			w.sim.after(bound, func() { r.hedge(bound) })
		}
		w.scheduleArrival()
	})
}

// attempt sends the request to one more upstream.
func (r *request) attempt() {
	h, w := r.host, r.host.w
	if r.answered {
		return
	}
	u, err := h.pick(r.tried)
	if errors.Is(err, loadbalancer.ErrBusy) {
		w.sim.after(busyWait, r.attempt)
	}
	if err != nil {
		return
	}
	w.results.attempts++
	n := len(r.tried)
	r.tried = append(r.tried, u.ID)
	token := h.detector.Start(w.sim.now, u.ID)
	rng := rand.New(rand.NewPCG(w.seed^uint64(r.number), uint64(n)))
	done := func(outcome outlier.Outcome) {
		delete(r.open, n)
		h.detector.Finish(w.sim.now, token, outcome)
		h.observe(u.ID, outcome)
		h.release(u.ID, outcome)
	}
	cancel := w.upstreams[u.ID].serve(rng, func(outcome outlier.Outcome) {
		done(outcome)
		r.end(outcome)
	})
	r.open[n] = func() {
		cancel()
		outcome := outlier.Failed
		if r.answered {
			outcome = outlier.Abandoned
		}
		done(outcome)
	}
}

func (h *host) pick(exclude []settings.UpstreamID) (settings.Upstream, error) {
	if h.w.mode == FleetRoundRobin || h.w.mode == Consecutive {
		return h.robin.Pick(h, exclude)
	}
	return h.balancer.Pick(h.w.sim.now, h, exclude)
}

func (h *host) release(id settings.UpstreamID, outcome outlier.Outcome) {
	if h.w.mode == FleetRoundRobin || h.w.mode == Consecutive {
		return
	}
	h.balancer.Done(h.w.sim.now, id, loadbalancer.Result{
		OK: outcome == outlier.OK, Shed: outcome == outlier.Shed, Load: h.w.upstreams[id].load, HasLoad: outcome == outlier.OK,
	})
}

// end takes the outcome of one attempt.
func (r *request) end(outcome outlier.Outcome) {
	h, w := r.host, r.host.w
	if r.answered {
		return
	}
	if outcome == outlier.OK {
		r.answered = true
		h.budget.OnSuccess(w.sim.now)
		w.results.inTime++
		w.results.latencies = append(w.results.latencies, w.sim.now.Sub(r.start))
		r.cancelOpen()
		return
	}
	if (retry.Policy{}).Retry(w.sim.now, r.state(), h.budget) {
		w.results.retries++
		r.attempt()
	}
}

func (r *request) state() retry.Request {
	return retry.Request{
		Idempotent: true, Attempts: len(r.tried), MaxAttempts: maxAttempts,
		Remaining: r.start.Add(deadline).Sub(r.host.w.sim.now), ExpectedDuration: medianLatency,
		OtherUpstream: len(r.tried) < len(r.host.w.order),
	}
}

// hedge starts a second attempt if the first one is open for longer than the slow bound.
func (r *request) hedge(after time.Duration) {
	h, now := r.host, r.host.w.sim.now
	if !r.answered && (retry.Policy{HedgeDelay: after}).Hedge(now, r.state(), after, h.budget) {
		h.w.results.retries++
		r.attempt()
	}
}

// expire ends the request at its deadline.
func (r *request) expire() {
	r.cancelOpen()
	r.answered = true
}

func (r *request) cancelOpen() {
	for n := range maxAttempts {
		if cancel := r.open[n]; cancel != nil {
			cancel()
		}
	}
}
