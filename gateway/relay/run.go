package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/pipeline"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

var (
	errMemoryScarce = errors.New("the host has too little free memory for a further response")
	errMaxAttempts  = errors.New("the request has been sent to the maximum number of upstreams of its route")
)

// serveAtMostOnce serves a non-idempotent request. It tries a further upstream only while none can have run the request.
func (x *exchange) serveAtMostOnce() *pipeline.Response {
	for {
		selection, err := x.pick()
		if err != nil {
			return x.reject(x.notPicked(err))
		}
		if rejection := x.rejectUnfinishable(&selection); rejection != nil {
			selection.Done(Result{Outcome: Cancelled})
			return x.reject(rejection)
		}
		ctx, cancel := context.WithCancel(x.ctx)
		a := x.start(selection, cancel)
		a.send(ctx, x)
		a.end(x)
		if a.mayHaveRun() {
			return x.finish(a)
		}
		if rejection := x.checkRetry(a); rejection != nil {
			return x.reject(rejection)
		}
	}
}

// errUnmarkedRejection is the cause when an upstream responds with a status that promises callers that the request has not run, but
// does not state that itself.
var errUnmarkedRejection = errors.New("the upstream rejected the request without stating that it was not run")

// promisesNotRun reports whether a status promises callers that the request has not run and will not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// finish returns the response for an attempt after which the request may have run.
func (x *exchange) finish(a *attempt) *pipeline.Response {
	switch {
	case a.response != nil && !x.policy.Idempotent && promisesNotRun(a.response.Status):
		return x.reject(errkind.New(errkind.OutcomeUnknown, errUnmarkedRejection))
	case a.response != nil:
		return x.respond(a.response)
	case a.outcome == TimedOut, a.outcome == NoMemory: // an attempt without memory has waited until its deadline
		return x.reject(&errkind.Error{Kind: errkind.UpstreamTimeout, Cause: a.cause})
	case x.policy.Idempotent:
		return x.reject(errkind.New(errkind.UpstreamFailed, a.cause))
	default:
		return x.reject(errkind.New(errkind.OutcomeUnknown, a.cause))
	}
}

// checkRetry returns nil if the limits allow a further upstream after a failed attempt. The next pick takes a token of the retry
// budget if the attempt has reached its upstream.
func (x *exchange) checkRetry(a *attempt) *errkind.Error {
	switch {
	case x.ctx.Err() != nil:
		return x.deadlineExceeded(a.cause)
	case x.sent >= x.maxAttempts():
		return x.noUpstream(errMaxAttempts)
	case len(x.tried)-x.sent >= maxUnsent:
		return x.noUpstream(ErrNoUpstream)
	default:
		x.needsToken = a.reachedUpstream()
		return nil
	}
}

// notPicked returns the error of a request for which Pick has returned an error.
func (x *exchange) notPicked(err error) *errkind.Error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		if rejection := x.rejectInShutdown(); rejection != nil && x.ctx.Err() == nil {
			return rejection
		}
		return x.deadlineExceeded(err)
	}
	rejection := x.noUpstream(err)
	var rejected *RejectedError
	if errors.As(err, &rejected) && rejection.RetryAfter > 0 && !x.memoryScarce {
		rejection.RetryAfter = rejected.RetryAfter
	}
	return rejection
}

// memoryRetryAfter is the time within which requests and responses that fill the memory of a host are likely to end.
const memoryRetryAfter = 500 * time.Millisecond

// noMemory returns the error of a request that was not sent because the host has no memory for its response.
func (x *exchange) noMemory() *errkind.Error {
	return &errkind.Error{Kind: errkind.Overloaded, RetryAfter: MemoryRetryAfter(x.options.Random()), Cause: errMemoryScarce}
}

// MemoryRetryAfter returns the time after which a caller is asked to return that was rejected for lack of memory. random is a random
// number in [0, 1): callers that are rejected together must not return together.
func MemoryRetryAfter(random float64) time.Duration {
	return time.Duration((1 + random) * float64(memoryRetryAfter))
}

// noUpstream returns the error of a request for which there is no further upstream.
func (x *exchange) noUpstream(cause error) *errkind.Error {
	if x.mayHaveRun {
		return errkind.New(errkind.UpstreamFailed, cause)
	}
	if x.memoryScarce {
		return x.noMemory()
	}
	kind := errkind.NoUpstream
	if x.sent > 0 {
		kind = errkind.UpstreamRefused
	}
	return &errkind.Error{Kind: kind, RetryAfter: x.options.Upstreams.RetryAfter(x.service), Cause: cause}
}

// deadlineExceeded returns the error of a request whose time limit ended, or whose caller disconnected, after a failed attempt.
func (x *exchange) deadlineExceeded(cause error) *errkind.Error {
	switch {
	case x.mayHaveRun:
		return errkind.New(errkind.UpstreamTimeout, cause)
	case cancelledByShutdown(x.ctx):
		return shuttingDown(cause)
	default:
		return errkind.New(errkind.DeadlineNotRun, cause)
	}
}

// race makes the attempts of an idempotent request: one after the other, and a hedged one while an attempt hangs.
type race struct {
	x                *exchange
	results          chan *attempt
	running          []*attempt
	lastFailed       *attempt // the latest attempt that ended without a successful response
	lastFailedStatus *attempt // the latest attempt with an error status
}

func (x *exchange) serveIdempotent() *pipeline.Response {
	r := &race{x: x, results: make(chan *attempt, x.maxAttempts()+maxUnsent)}
	defer r.stop()
	if rejection := r.launch(); rejection != nil {
		return x.reject(rejection)
	}
	return r.run()
}

func (r *race) run() *pipeline.Response {
	hedgeTimer := time.NewTimer(r.hedgeDelay())
	defer hedgeTimer.Stop()
	for {
		select {
		case a := <-r.results:
			r.remove(a)
			a.end(r.x)
			if a.outcome == Answered {
				return r.x.respond(a.response)
			}
			r.recordFailure(a)
			if len(r.running) > 0 {
				continue
			}
			if rejection := r.retry(a); rejection != nil {
				return r.fail(rejection)
			}
			hedgeTimer.Reset(r.hedgeDelay())
		case <-hedgeTimer.C:
			if r.launchHedge() {
				hedgeTimer.Reset(hedgeRetryInterval)
			}
		}
	}
}

// hedgeDelay returns the time after which a hedged attempt starts while the latest one still runs. It leaves the hedged attempt
// at least half of the remaining time and, where possible, the typical duration of a response before the target latency ends.
func (r *race) hedgeDelay() time.Duration {
	selection := &r.running[len(r.running)-1].selection
	now := time.Now()
	after := r.x.deadline.Sub(now) / 2
	if selection.HedgeAfter > 0 {
		after = min(after, r.x.options.Hedging.Delay(selection.HedgeAfter, selection.TypicalDuration))
	}
	if target := r.x.policy.TargetLatency; target > 0 && selection.TypicalDuration > 0 {
		if last := r.x.request.ReadAt.Add(target).Sub(now) - selection.TypicalDuration; last >= selection.TypicalDuration {
			after = min(after, last)
		}
	}
	return max(after, time.Millisecond)
}

// hedgeRetryInterval is the time after which a hedged attempt is tried again if there was no spare capacity or retry budget.
const hedgeRetryInterval = 100 * time.Millisecond

// launchHedge starts a hedged attempt if exactly one attempt runs and the limits allow it. later is true if there is no spare
// capacity, no retry budget or nothing left of the operators' limit for it yet.
func (r *race) launchHedge() (later bool) {
	if len(r.running) != 1 || r.x.sent+1 >= r.x.maxAttempts() {
		return false
	}
	selection, ok := r.pickHedge()
	if !ok {
		return true
	}
	r.start(selection)
	r.running[len(r.running)-1].hedge = true
	return false
}

// launch starts an attempt. It returns an error if there is no upstream or the host shuts down.
func (r *race) launch() *errkind.Error {
	selection, err := r.x.pick()
	if err != nil {
		return r.x.notPicked(err)
	}
	if rejection := r.x.rejectUnfinishable(&selection); rejection != nil {
		selection.Done(Result{Outcome: Cancelled})
		return rejection
	}
	r.start(selection)
	return nil
}

func (r *race) start(selection Selection) {
	ctx, cancel := context.WithCancel(r.x.ctx)
	a := r.x.start(selection, cancel)
	r.running = append(r.running, a)
	go func() {
		a.send(ctx, r.x)
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

func (r *race) recordFailure(a *attempt) {
	r.lastFailed = a
	if a.outcome == FailedStatus {
		r.lastFailedStatus = a
	}
}

// retry starts the next attempt after all others have failed.
func (r *race) retry(a *attempt) *errkind.Error {
	if rejection := r.x.checkRetry(a); rejection != nil {
		return rejection
	}
	return r.launch()
}

// fail returns the response for a request without a successful attempt: an error response of an upstream if there is one.
func (r *race) fail(rejection *errkind.Error) *pipeline.Response {
	if r.lastFailedStatus != nil {
		return r.x.respond(r.lastFailedStatus.response)
	}
	if r.x.mayHaveRun && r.lastFailed != nil && r.lastFailed.mayHaveRun() {
		return r.x.finish(r.lastFailed)
	}
	return r.x.reject(rejection)
}

// stop cancels the running attempts and waits for them.
func (r *race) stop() {
	for _, a := range r.running {
		a.cancel()
	}
	for range r.running {
		a := <-r.results
		a.end(r.x)
	}
}
