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
const evidenceShare = 0.25

// try is one attempt.
type try struct {
	picked  Attempt
	cancel  context.CancelFunc
	start   time.Time
	granted time.Duration // time that the attempt was given
	answer  *forward.Response
	failure *forward.AttemptError
}

// pick chooses an upstream that the request has not tried. It fails if the lease or the key has ended meanwhile.
func (x *exchange) pick() (Attempt, *errkind.Error) {
	service, refusal := x.stillAllowed()
	if refusal != nil {
		return Attempt{}, refusal
	}
	picked, err := x.h.options.Selector.Pick(service, &x.policy, x.tried)
	if err != nil {
		return Attempt{}, asKind(err, errkind.NoUpstream)
	}
	return picked, nil
}

// newTry prepares an attempt at a picked upstream. cancel ends the attempt's context.
func (x *exchange) newTry(picked Attempt, cancel context.CancelFunc) *try {
	x.tried = append(x.tried, picked.Upstream.ID)
	x.event.Attempts++
	return &try{picked: picked, cancel: cancel, start: time.Now(), granted: time.Until(x.deadline)}
}

// do sends the request. firstByte bounds the time to the header of the answer, 0 leaves it to the deadline.
func (t *try) do(ctx context.Context, x *exchange, firstByte time.Duration) {
	if firstByte > 0 {
		t.granted = firstByte
	}
	target := forward.Target{Address: t.picked.Upstream.Address, FirstByteTimeout: firstByte}
	answer, err := x.h.options.Forwarder.Do(ctx, x.request, target)
	if err != nil {
		t.fail(err)
		return
	}
	t.answer = answer
	if answer.Complete {
		t.report(x)
	}
}

func (t *try) fail(err error) {
	if !errors.As(err, &t.failure) {
		t.failure = &forward.AttemptError{Kind: forward.Cancelled, Connected: true, Cause: err}
	}
}

// end closes the attempt and reports it if that is still due.
func (t *try) end(x *exchange) {
	t.report(x)
	if t.answer != nil {
		t.answer.Close()
	}
	t.cancel()
}

// report tells the Selector once what became of the attempt. Answers that are streamed are reported at their end.
func (t *try) report(x *exchange) {
	if t.picked.Done == nil {
		return
	}
	done := t.picked.Done
	t.picked.Done = nil
	result := Result{Total: time.Since(t.start), Connected: true}
	if t.answer != nil {
		result.Status, result.FirstByte, result.Reused = t.answer.Status, t.answer.TimeToFirstByte, t.answer.Reused
		result.Load, result.LoadKnown = reportedLoad(t.answer.Header.Get(x.policy.LoadHeader))
		result.Draining = isDrainSign(t.answer.Header.Get(x.policy.DrainHeader))
		result.Outcome = judge(t.answer.Status, &x.policy)
	}
	if t.failure != nil {
		result.Connected, result.Reused = t.failure.Connected, t.failure.Reused
		result.Outcome = t.blame(x)
	}
	done(result)
}

// blame decides whether a failure is evidence against the upstream.
func (t *try) blame(x *exchange) Outcome {
	switch t.failure.Kind {
	case forward.Cancelled, forward.RequestBroken:
		return OutcomeCancelled
	case forward.TimedOut:
		timeout := defaultTo(x.policy.Timeout, defaultTimeout)
		if float64(t.granted) < evidenceShare*float64(timeout) {
			return OutcomeCancelled
		}
		return OutcomeFailed
	default:
		return OutcomeFailed
	}
}

// judge classifies a status. Declared refusals are no sign of sickness.
func judge(status int, policy *settings.Policy) Outcome {
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
