package proxy

import (
	"context"
	"errors"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

// evidenceShare is the share of the route's timeout that an attempt must have had before running out of time counts
// against its upstream. Callers may set very short deadlines, and a last retry may have little time left.
const minTimeoutFraction = 0.25

// try is one attempt.
type attempt struct {
	selection Selection
	cancel    context.CancelFunc
	start     time.Time
	timeLimit time.Duration // time that the attempt was given
	response  *forward.Answer
	failure   *forward.AttemptError
}

// pick chooses an upstream that the request has not tried. It fails if the lease or the key has ended meanwhile.
func (x *exchange) pick() (Selection, *errkind.Error) {
	service, rejection := x.recheck()
	if rejection != nil {
		return Selection{}, rejection
	}
	selection, err := x.h.options.Selector.Pick(service, &x.policy, x.tried)
	if err != nil {
		return Selection{}, asKind(err, errkind.NoUpstream)
	}
	return selection, nil
}

// newTry prepares an attempt at a picked upstream. cancel ends the attempt's context.
func (x *exchange) newAttempt(selection Selection, cancel context.CancelFunc) *attempt {
	x.tried = append(x.tried, selection.Upstream.ID)
	x.event.Attempts++
	return &attempt{selection: selection, cancel: cancel, start: time.Now(), timeLimit: time.Until(x.deadline)}
}

// do sends the request. firstByte bounds the time to the header of the answer, 0 leaves it to the deadline.
func (t *attempt) send(ctx context.Context, x *exchange, firstByteTimeout time.Duration) {
	if firstByteTimeout > 0 {
		t.timeLimit = firstByteTimeout
	}
	target := forward.Target{Address: t.selection.Upstream.Address, FirstByte: firstByteTimeout}
	response, err := x.h.options.Forwarder.Do(ctx, x.request, target)
	if err != nil {
		t.setFailure(err)
		return
	}
	t.response = response
	if response.Whole {
		t.report(x)
	}
}

func (t *attempt) setFailure(err error) {
	if !errors.As(err, &t.failure) {
		t.failure = &forward.AttemptError{Kind: forward.Cancelled, Connected: true, Cause: err}
	}
}

// end closes the attempt and reports it if that is still due.
func (t *attempt) close(x *exchange) {
	t.report(x)
	if t.response != nil {
		t.response.Close()
	}
	t.cancel()
}

// report tells the Selector once what became of the attempt. Answers that are streamed are reported at their end.
func (t *attempt) report(x *exchange) {
	if t.selection.Done == nil {
		return
	}
	done := t.selection.Done
	t.selection.Done = nil
	result := Result{Duration: time.Since(t.start), Connected: true}
	if t.response != nil {
		result.Status, result.TimeToFirstByte, result.Reused = t.response.Status, t.response.FirstByte, t.response.Reused
		result.Load, result.LoadKnown = reportedLoad(t.response.Header.Get(x.policy.LoadHeader))
		result.Draining = isDrainSign(t.response.Header.Get(x.policy.DrainHeader))
		result.Outcome = statusOutcome(t.response.Status, &x.policy)
	}
	if t.failure != nil {
		result.Connected, result.Reused = t.failure.Connected, t.failure.Reused
		result.Outcome = t.failureOutcome(x)
	}
	done(result)
}

// blame decides whether a failure is evidence against the upstream.
func (t *attempt) failureOutcome(x *exchange) Outcome {
	switch t.failure.Kind {
	case forward.Cancelled, forward.RequestBroken:
		return OutcomeCancelled
	case forward.TimedOut:
		timeout := defaultTo(x.policy.Timeout, defaultTimeout)
		if float64(t.timeLimit) < minTimeoutFraction*float64(timeout) {
			return OutcomeCancelled
		}
		return OutcomeFailed
	default:
		return OutcomeFailed
	}
}

// judge classifies a status. Declared refusals are no sign of sickness.
func statusOutcome(status int, policy *settings.Policy) Outcome {
	if slices.Contains(policy.ShedStatuses, status) || slices.Contains(policy.NotRunStatuses, status) {
		return OutcomeShed
	}
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return OutcomeFailed
	default:
		return OutcomeOK
	}
}

// reportedLoad reads the load header. Values over 1 count as full load; anything else that is not a load is ignored.
func reportedLoad(text string) (float64, bool) {
	load, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(load) || load < 0 {
		return 0, false
	}
	return min(load, 1), true
}

func isDrainSign(text string) bool { return text != "" && text != "0" && text != "false" }

func defaultTo[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
