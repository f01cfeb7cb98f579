package relay

import (
	"context"
	"errors"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/pipeline"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

var (
	errNoUpstream = errors.New("no upstream of the service is left to try")
	errNoBudget   = errors.New("the retry budget of the service is used up")
	errAttempts   = errors.New("the route allows no further upstream")
)

// runOnce does a request that must run at most once: it goes on to a further upstream only while none can have run it.
func (x *exchange) runOnce() *pipeline.Response {
	for {
		chosen, ok := x.pick(false)
		if !ok {
			return x.refuse(x.noUpstream(errNoUpstream))
		}
		ctx, cancel := context.WithCancel(x.ctx)
		a := x.start(chosen, cancel)
		a.do(ctx, x)
		a.end(x)
		if a.ran() {
			return x.finish(a)
		}
		if refusal := x.mayTryAgain(a); refusal != nil {
			return x.refuse(refusal)
		}
	}
}

// finish answers with what an attempt that may have run has brought.
func (x *exchange) finish(a *attempt) *pipeline.Response {
	switch {
	case a.answer != nil:
		return x.pass(a.answer)
	case a.outcome == TimedOut:
		return x.refuse(&errkind.Error{Kind: errkind.UpstreamTimeout, Cause: a.cause})
	case x.policy.Idempotent:
		return x.refuse(errkind.New(errkind.UpstreamFailed, a.cause))
	default:
		return x.refuse(errkind.New(errkind.OutcomeUnknown, a.cause))
	}
}

// mayTryAgain returns nil if the limits allow a further upstream after an attempt that brought no answer.
func (x *exchange) mayTryAgain(a *attempt) *errkind.Error {
	switch {
	case x.ctx.Err() != nil:
		return x.notRunInTime(a.cause)
	case x.sent >= x.maxAttempts():
		return x.noUpstream(errAttempts)
	case len(x.tried)-x.sent >= maxUnsent:
		return x.noUpstream(errNoUpstream)
	case a.arrived() && !x.options.Upstreams.TakeRetryToken(x.service):
		return x.noUpstream(errNoBudget)
	default:
		return nil
	}
}

// noUpstream refuses a request that no upstream has run.
func (x *exchange) noUpstream(cause error) *errkind.Error {
	if x.mayRun {
		return errkind.New(errkind.UpstreamFailed, cause)
	}
	kind := errkind.NoUpstream
	if x.sent > 0 {
		kind = errkind.UpstreamRefused
	}
	return &errkind.Error{Kind: kind, RetryAfter: x.options.Upstreams.RetryAfter(x.service), Cause: cause}
}

// notRunInTime refuses a request whose time ended before any upstream ran it.
func (x *exchange) notRunInTime(cause error) *errkind.Error {
	if x.mayRun {
		return errkind.New(errkind.UpstreamTimeout, cause)
	}
	return errkind.New(errkind.DeadlineNotRun, cause)
}

// race makes the attempts of an idempotent request: one after the other, and one beside an attempt that hangs.
type race struct {
	x       *exchange
	results chan *attempt
	running []*attempt
	last    *attempt // the newest attempt that ended without a good answer
	failed  *attempt // the newest with an answer of failure
}

func (x *exchange) runIdempotent() *pipeline.Response {
	r := &race{x: x, results: make(chan *attempt, x.maxAttempts()+maxUnsent)}
	defer r.stop()
	if !r.launch() {
		return x.refuse(x.noUpstream(errNoUpstream))
	}
	return r.run()
}

func (r *race) run() *pipeline.Response {
	hang := time.NewTimer(r.hedgeDelay())
	defer hang.Stop()
	for {
		select {
		case a := <-r.results:
			r.remove(a)
			a.end(r.x)
			if a.outcome == Answered {
				return r.x.pass(a.answer)
			}
			r.keep(a)
			if len(r.running) > 0 {
				continue
			}
			if refusal := r.again(a); refusal != nil {
				return r.lost(refusal)
			}
			hang.Reset(r.hedgeDelay())
		case <-hang.C:
			if r.launchBeside() {
				hang.Reset(budgetWait)
			}
		}
	}
}

// hedgeDelay is the time after which a second attempt starts beside the newest one. It leaves at least half of the remaining
// time for it, and the usual duration of an answer before the time within which answers are worth most.
func (r *race) hedgeDelay() time.Duration {
	chosen := &r.running[len(r.running)-1].chosen
	now := time.Now()
	after := r.x.deadline.Sub(now) / 2
	if chosen.HedgeAfter > 0 {
		after = min(after, chosen.HedgeAfter)
	}
	if target := r.x.policy.TargetLatency; target > 0 && chosen.TypicalDuration > 0 {
		if last := r.x.request.ReadAt.Add(target).Sub(now) - chosen.TypicalDuration; last >= chosen.TypicalDuration {
			after = min(after, last)
		}
	}
	return max(after, time.Millisecond)
}

// budgetWait is the time after which a request for which there was no room or no retry budget asks again.
const budgetWait = 100 * time.Millisecond

// launchBeside starts an attempt beside the only one that runs. It reports whether there is no room or no
// budget for it yet.
func (r *race) launchBeside() (later bool) {
	if len(r.running) != 1 || r.x.sent+1 >= r.x.maxAttempts() {
		return false
	}
	// The second attempt beside a trial stands in for one that is likely lost; any other one is extra load.
	chosen, ok := r.x.pick(!r.running[0].chosen.Trial)
	if !ok {
		return true
	}
	if !r.x.options.Upstreams.TakeRetryToken(r.x.service) {
		chosen.Done(Result{Outcome: Cancelled})
		return true
	}
	r.start(chosen)
	return false
}

// launch starts an attempt; false if there is no upstream.
func (r *race) launch() bool {
	chosen, ok := r.x.pick(false)
	if ok {
		r.start(chosen)
	}
	return ok
}

func (r *race) start(chosen Selection) {
	ctx, cancel := context.WithCancel(r.x.ctx)
	a := r.x.start(chosen, cancel)
	r.running = append(r.running, a)
	go func() {
		a.do(ctx, r.x)
		r.results <- a
	}()
}

func (r *race) remove(a *attempt) {
	for i, other := range r.running {
		if other == a {
			r.running = append(r.running[:i], r.running[i+1:]...)
			return
		}
	}
}

func (r *race) keep(a *attempt) {
	r.last = a
	if a.outcome == FailedStatus {
		r.failed = a
	}
}

// again starts the next attempt after all others have failed.
func (r *race) again(a *attempt) *errkind.Error {
	if refusal := r.x.mayTryAgain(a); refusal != nil {
		return refusal
	}
	if !r.launch() {
		return r.x.noUpstream(errNoUpstream)
	}
	return nil
}

// lost answers a request without a good answer: with an upstream's answer of failure if there is one.
func (r *race) lost(refusal *errkind.Error) *pipeline.Response {
	if r.failed != nil {
		return r.x.pass(r.failed.answer)
	}
	if r.x.mayRun && r.last != nil && r.last.ran() {
		return r.x.finish(r.last)
	}
	return r.x.refuse(refusal)
}

// stop cancels the attempts that still run and waits for them.
func (r *race) stop() {
	for _, a := range r.running {
		a.cancel()
	}
	for range r.running {
		a := <-r.results
		a.end(r.x)
	}
}
