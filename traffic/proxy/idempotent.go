package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/bronzeyard/bronzeyard/traffic/errkind"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

// defaultMaxAttempts bounds the attempts of a policy that states no number.
const defaultMaxAttempts = 3

// runIdempotent does a request that may be sent again. It ends when the caller goes away.
func (x *exchange) runIdempotent() {
	if refusal := x.readBody(x.h.options.ReplayableBody, false); refusal != nil {
		x.refuse(refusal)
		return
	}
	release, refusal := x.enqueue()
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	slot := onceFunc(release)
	defer slot()
	race := &race{x: x, ctx: x.ctx, results: make(chan *try, x.maxAttempts())}
	defer race.stop()
	best, refusal := race.run()
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	if x.callerGone() {
		x.abort()
	}
	if best.answer == nil {
		x.refuse(race.explain(best))
		return
	}
	if best.answer.Complete {
		slot() // a caller that reads slowly holds no slot
	}
	if judge(best.answer.Status, &x.policy) == OutcomeOK {
		x.h.options.Retries.OnSuccess(x.route.Service)
	}
	x.answerIdempotent(best)
}

func (x *exchange) answerIdempotent(best *try) {
	err := x.pass(best)
	switch {
	case err == nil:
		x.observe()
	case errors.Is(err, errUnboundedForHTTP10):
		x.refuse(errkind.New(errkind.UpstreamFailed, err))
	default:
		x.abort()
	}
}

func (x *exchange) maxAttempts() int { return defaultTo(x.policy.MaxAttempts, defaultMaxAttempts) }

// race makes the attempts of an idempotent request: one after the other, and a hedge beside a slow one.
type race struct {
	x         *exchange
	ctx       context.Context
	results   chan *try
	running   []*try
	best      *try // the newest failure, or the newest answer that is worth another attempt
	connected bool // whether any attempt had a connection
	answered  bool // whether best is final
}

// run returns the attempt whose answer or failure the caller gets, or a refusal if no attempt was made.
func (r *race) run() (*try, *errkind.Error) {
	picked, refusal := r.x.pick()
	if refusal != nil {
		return nil, refusal
	}
	r.launch(picked)
	backup := time.NewTimer(r.backupAfter())
	defer backup.Stop()
	for len(r.running) > 0 && !r.answered {
		select {
		case t := <-r.results:
			r.take(t)
		case <-backup.C:
			r.again()
			backup.Reset(r.backupAfter())
		}
	}
	for _, t := range r.running {
		t.cancel()
	}
	return r.best, nil
}

// backupAfter is the time to the next attempt beside those that run. Where the policy wants no hedges, half of the
// remaining time is left for an upstream that answers: the slow attempt goes on, because a slow answer is better than
// none.
func (r *race) backupAfter() time.Duration {
	if after := r.x.policy.HedgeAfter; after > 0 && len(r.x.tried) == 1 {
		return after
	}
	return max(time.Until(r.x.deadline)/2, time.Millisecond)
}

func (r *race) launch(picked Attempt) {
	ctx, cancel := context.WithCancel(r.ctx)
	t := r.x.newTry(picked, cancel)
	r.running = append(r.running, t)
	go func() {
		t.do(ctx, r.x, r.x.h.options.FirstByte)
		r.results <- t
	}()
}

// take judges a finished attempt.
func (r *race) take(t *try) {
	r.forget(t)
	good := t.answer != nil && judge(t.answer.Status, &r.x.policy) == OutcomeOK
	r.connected = r.connected || t.answer != nil || t.failure.Connected
	r.keep(t, good)
	if good {
		r.answered = true
		return
	}
	if len(r.running) == 0 {
		r.again()
	}
}

func (r *race) forget(t *try) {
	for i, other := range r.running {
		if other == t {
			r.running = append(r.running[:i], r.running[i+1:]...)
			return
		}
	}
}

// keep holds on to an attempt: a good answer, else an answer rather than none, else the newest failure.
func (r *race) keep(t *try, good bool) {
	if r.best != nil && !good && t.answer == nil && r.best.answer != nil {
		t.end(r.x)
		return
	}
	if r.best != nil {
		r.best.end(r.x)
	}
	r.best = t
}

// again starts a retry, or a hedge if another attempt runs, if the rules of both allow it.
func (r *race) again() {
	x := r.x
	if len(x.tried) >= x.maxAttempts() || r.ctx.Err() != nil || !r.repeatable() {
		return
	}
	picked, refusal := x.pick()
	if refusal != nil {
		return
	}
	if !x.h.options.Retries.TryRetry(x.route.Service) {
		picked.Done(Result{Outcome: OutcomeCancelled})
		return
	}
	if len(r.running) > 0 {
		x.event.Hedges++
	}
	r.launch(picked)
}

// repeatable reports whether the request can be sent again: a streamed body only if none of it was sent.
func (r *race) repeatable() bool {
	if r.x.body != nil && len(r.running) > 0 {
		return false
	}
	if r.best != nil && r.best.failure != nil && r.best.failure.Kind == forward.RequestBroken {
		return false
	}
	return r.x.body == nil || !r.connected
}

// stop waits for the attempts that lost, which are cancelled, and ends all.
func (r *race) stop() {
	for range r.running {
		t := <-r.results
		t.end(r.x)
	}
	if r.best != nil {
		r.best.end(r.x)
	}
}

// explain says why there is no answer. "Not run" holds only if no attempt had a connection.
func (r *race) explain(last *try) *errkind.Error {
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

// onceFunc makes a release callable more than once.
func onceFunc(release func()) func() {
	released := false
	return func() {
		if !released {
			released = true
			release()
		}
	}
}
