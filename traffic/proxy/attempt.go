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

// minTimeoutFraction is the fraction of the route's timeout that an attempt must have been given for its timeout to count
// as a failure of the upstream. Callers may set very short deadlines, and a last retry may have little time left.
const minTimeoutFraction = 0.25

// attempt is one attempt to send a request to an upstream.
type attempt struct {
	selection Selection
	cancel    context.CancelFunc
	start     time.Time
	timeLimit time.Duration // time given to the attempt
	response  *forward.Response
	failure   *forward.AttemptError
}

// pick chooses an upstream that the request has not tried. It fails if the lease has expired or the key was withdrawn
// since the request was admitted.
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

// newAttempt prepares an attempt at the selected upstream. cancel ends the attempt's context.
func (x *exchange) newAttempt(selection Selection, cancel context.CancelFunc) *attempt {
	x.tried = append(x.tried, selection.Upstream.ID)
	x.event.Attempts++
	return &attempt{selection: selection, cancel: cancel, start: time.Now(), timeLimit: time.Until(x.deadline)}
}

// send sends the request. firstByteTimeout bounds the time to the response header; 0 means that only the deadline applies.
func (t *attempt) send(ctx context.Context, x *exchange, firstByteTimeout time.Duration) {
	if firstByteTimeout > 0 {
		t.timeLimit = firstByteTimeout
	}
	target := forward.Target{Address: t.selection.Upstream.Address, FirstByteTimeout: firstByteTimeout}
	response, err := x.h.options.Forwarder.Do(ctx, x.request, target)
	if err != nil {
		t.setFailure(err)
		return
	}
	t.response = response
	if response.Complete {
		t.report(x)
	}
}

func (t *attempt) setFailure(err error) {
	if !errors.As(err, &t.failure) {
		t.failure = &forward.AttemptError{Kind: forward.Cancelled, Connected: true, Cause: err}
	}
}

// close ends the attempt and reports its result if that has not been done.
func (t *attempt) close(x *exchange) {
	t.report(x)
	if t.response != nil {
		t.response.Close()
	}
	t.cancel()
}

// report passes the result of the attempt to the Selector, once. An attempt with a streamed response is reported at the
// end of the response.
func (t *attempt) report(x *exchange) {
	if t.selection.Done == nil {
		return
	}
	done := t.selection.Done
	t.selection.Done = nil
	result := Result{Duration: time.Since(t.start), Connected: true}
	if t.response != nil {
		result.Status, result.TimeToFirstByte, result.Reused = t.response.Status, t.response.TimeToFirstByte, t.response.Reused
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

// failureOutcome decides whether the attempt's failure counts against the upstream.
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

// statusOutcome classifies a response status. The policy's shed and not-run statuses do not indicate an unhealthy
// upstream.
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

// reportedLoad parses the load header. Values above 1 count as full load; invalid and negative values are ignored.
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
