package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/bronzeyard/bronzeyard/traffic/errkind"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

// defaultMaxAttempts is the maximum number of attempts if the policy sets none.
const defaultMaxAttempts = 3

// runIdempotent serves a request that may be sent more than once. It is cancelled when the caller disconnects.
func (x *exchange) runIdempotent() {
	if rejection := x.readBody(x.h.options.MaxReplayBody, false); rejection != nil {
		x.reject(rejection)
		return
	}
	release, rejection := x.enqueue()
	if rejection != nil {
		x.reject(rejection)
		return
	}
	releaseSlot := onceFunc(release)
	defer releaseSlot()
	r := &retrier{x: x, ctx: x.ctx, results: make(chan *attempt, x.maxAttempts())}
	defer r.stop()
	best, rejection := r.run()
	if rejection != nil {
		x.reject(rejection)
		return
	}
	if x.callerDisconnected() {
		x.abort()
	}
	if best.response == nil {
		x.reject(r.failureError(best))
		return
	}
	if best.response.Complete {
		releaseSlot() // the response is complete, so a caller that reads slowly must not occupy a slot
	}
	if statusOutcome(best.response.Status, &x.policy) == OutcomeOK {
		x.h.options.RetryBudget.OnSuccess(x.route.Service)
	}
	x.respondIdempotent(best)
}

func (x *exchange) respondIdempotent(best *attempt) {
	err := x.writeResponse(best)
	switch {
	case err == nil:
		x.reportEvent()
	case errors.Is(err, errCloseDelimitedHTTP10):
		x.reject(errkind.New(errkind.UpstreamFailed, err))
	default:
		x.abort()
	}
}

func (x *exchange) maxAttempts() int { return defaultTo(x.policy.MaxAttempts, defaultMaxAttempts) }

// retrier makes the attempts of an idempotent request: one after another, and a hedge while a slow one still runs.
type retrier struct {
	x         *exchange
	ctx       context.Context
	results   chan *attempt
	running   []*attempt
	best      *attempt // the best finished attempt so far, see keepBest
	connected bool     // whether any attempt obtained a connection
	done      bool     // whether best is final
}

// run returns the attempt whose response or failure determines the response to the caller, or a rejection if no attempt
// was made.
func (r *retrier) run() (*attempt, *errkind.Error) {
	selection, rejection := r.x.pick()
	if rejection != nil {
		return nil, rejection
	}
	r.start(selection)
	timer := time.NewTimer(r.nextAttemptDelay())
	defer timer.Stop()
	for len(r.running) > 0 && !r.done {
		select {
		case t := <-r.results:
			r.handleResult(t)
		case <-timer.C:
			r.retry()
			timer.Reset(r.nextAttemptDelay())
		}
	}
	for _, t := range r.running {
		t.cancel()
	}
	return r.best, nil
}

// nextAttemptDelay is the time until another attempt is started while earlier ones still run. The first one is started
// after the policy's hedge delay. Otherwise half of the remaining time is left for another upstream to respond. The slow
// attempt continues, because a slow response is better than none.
func (r *retrier) nextAttemptDelay() time.Duration {
	if after := r.x.policy.HedgeAfter; after > 0 && len(r.x.tried) == 1 {
		return after
	}
	return max(time.Until(r.x.deadline)/2, time.Millisecond)
}

func (r *retrier) start(selection Selection) {
	ctx, cancel := context.WithCancel(r.ctx)
	t := r.x.newAttempt(selection, cancel)
	r.running = append(r.running, t)
	go func() {
		t.send(ctx, r.x, r.x.h.options.FirstByteTimeout)
		r.results <- t
	}()
}

// handleResult decides whether a finished attempt ends the request, and retries if it does not.
func (r *retrier) handleResult(t *attempt) {
	r.remove(t)
	successful := t.response != nil && statusOutcome(t.response.Status, &r.x.policy) == OutcomeOK
	r.connected = r.connected || t.response != nil || t.failure.Connected
	r.keepBest(t, successful)
	if successful {
		r.done = true
		return
	}
	if len(r.running) == 0 {
		r.retry()
	}
}

func (r *retrier) remove(t *attempt) {
	for i, other := range r.running {
		if other == t {
			r.running = append(r.running[:i], r.running[i+1:]...)
			return
		}
	}
}

// keepBest keeps one finished attempt and closes the other. It prefers a successful response, then the newest response,
// then the newest failure.
func (r *retrier) keepBest(t *attempt, successful bool) {
	if r.best != nil && !successful && t.response == nil && r.best.response != nil {
		t.close(r.x)
		return
	}
	if r.best != nil {
		r.best.close(r.x)
	}
	r.best = t
}

// retry starts a retry, or a hedge if another attempt runs, unless the number of attempts, the request, the upstreams or
// the retry budget forbid it.
func (r *retrier) retry() {
	x := r.x
	if len(x.tried) >= x.maxAttempts() || r.ctx.Err() != nil || !r.retryable() {
		return
	}
	selection, rejection := x.pick()
	if rejection != nil {
		return
	}
	if !x.h.options.RetryBudget.TakeRetryToken(x.route.Service) {
		selection.Done(Result{Outcome: OutcomeCancelled})
		return
	}
	if len(r.running) > 0 {
		x.event.Hedges++
	}
	r.start(selection)
}

// retryable reports whether the request can be sent again. A request with a streamed body can only if no part of the body
// was sent.
func (r *retrier) retryable() bool {
	if r.x.body != nil && len(r.running) > 0 {
		return false
	}
	if r.best != nil && r.best.failure != nil && r.best.failure.Kind == forward.RequestBroken {
		return false
	}
	return r.x.body == nil || !r.connected
}

// stop waits for the attempts that still run, which have been cancelled, and closes all attempts.
func (r *retrier) stop() {
	for range r.running {
		t := <-r.results
		t.close(r.x)
	}
	if r.best != nil {
		r.best.close(r.x)
	}
}

// failureError returns the error for a request without a response. It states "not run" only if no attempt obtained a
// connection.
func (r *retrier) failureError(last *attempt) *errkind.Error {
	failure := last.failure
	switch {
	case !r.connected && errors.Is(r.ctx.Err(), context.DeadlineExceeded):
		return errkind.New(errkind.DeadlineNotRun, failure)
	case !r.connected:
		return errkind.New(errkind.NoUpstream, failure)
	case failure.Kind == forward.TimedOut:
		return errkind.New(errkind.UpstreamTimeout, failure)
	default:
		return errkind.New(errkind.UpstreamFailed, failure)
	}
}

// onceFunc returns a function that calls release on the first call only. It is not safe for concurrent use.
func onceFunc(release func()) func() {
	released := false
	return func() {
		if !released {
			released = true
			release()
		}
	}
}
