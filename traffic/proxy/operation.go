package proxy

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet/idempotency"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

// Headers of operations.
const (
	// OperationIDHeader names the operation of a non-idempotent request.
	OperationIDHeader = "Idempotency-Key"
	// ReplayedHeader marks the answer of an earlier run.
	ReplayedHeader = "Idempotency-Replayed"
)

var errSeveralIDs = errors.New("the request has several " + OperationIDHeader + " headers")

// runOperation does a request that must not be repeated.
func (x *exchange) runOperation() {
	ids := x.r.Header[OperationIDHeader]
	switch {
	case len(ids) > 1:
		x.refuse(errkind.New(errkind.OperationIDInvalid, errSeveralIDs))
	case len(ids) == 1 && ids[0] != "":
		x.runWithID(ids[0])
	case x.policy.OperationID != settings.OperationIDOptional:
		x.refuse(errkind.New(errkind.OperationIDMissing, nil))
	default:
		x.runWithoutID()
	}
}

// runWithoutID sends the request at most once. Nothing is recorded.
func (x *exchange) runWithoutID() {
	if refusal := x.readBody(x.h.options.ReplayableBody, false); refusal != nil {
		x.refuse(refusal)
		return
	}
	x.runClaimed(func(idempotency.Result) {})
}

// runWithID claims the operation and runs it, or replays its result.
func (x *exchange) runWithID(id string) {
	// The whole body is needed for the fingerprint, and to go on when the caller is gone.
	if refusal := x.readBody(defaultTo(x.policy.MaxRequestBytes, defaultMaxRequest), true); refusal != nil {
		x.refuse(refusal)
		return
	}
	operation := idempotency.Operation{
		ID: id, Fingerprint: x.fingerprint(), Deadline: x.deadline, Claims: x.policy.Claims,
		TableSince: x.policy.ClaimsSince.AsTime(),
	}
	if x.customer != nil {
		operation.Customer = x.customer.ID
	}
	claim, err := x.h.options.Operations.Begin(x.ctx, operation)
	x.decided = true
	switch {
	case err != nil:
		x.refuse(asKind(err, errkind.OutcomeUnknown))
	case claim.Replay != nil:
		x.replay(claim.Replay)
	default:
		x.runClaimed(claim.Complete)
	}
}

// fingerprint covers what must be equal in repeats of a request. Each part is preceded by its length.
func (x *exchange) fingerprint() idempotency.Fingerprint {
	digest := sha256.New()
	for _, part := range []string{x.r.Method, x.request.Path, x.request.RawQuery} {
		_ = binary.Write(digest, binary.BigEndian, uint64(len(part)))
		_, _ = digest.Write([]byte(part))
	}
	_, _ = digest.Write(x.request.Buffered)
	return idempotency.Fingerprint(digest.Sum(nil))
}

func (x *exchange) replay(result *idempotency.Result) {
	if result.BodyLost {
		x.refuse(errkind.New(errkind.ResultBodyLost, nil))
		return
	}
	header := x.w.Header()
	for name, values := range result.Header {
		header[name] = values
	}
	for name, values := range result.Trailer {
		header[http.TrailerPrefix+name] = values
	}
	header.Set(errkind.RequestIDHeader, x.id)
	header.Set(ReplayedHeader, "true")
	markOutcome(header, result.Status)
	x.w.WriteHeader(result.Status)
	// The connection is the caller's; there is nothing to do if it is gone.
	_, _ = x.w.Write(result.Body)
	x.event.Status, x.event.Replayed = result.Status, true
	x.observe()
}

// runClaimed runs the operation once and completes its claim exactly once, whatever happens.
func (x *exchange) runClaimed(complete func(idempotency.Result)) {
	result := idempotency.Result{State: idempotency.Unknown}
	completed := false
	finish := func() {
		if !completed {
			completed = true
			complete(result)
		}
	}
	defer finish()
	t, slot, refusal := x.runOnce()
	if refusal != nil {
		if refusal.StatedOutcome() == errkind.NotRun {
			result.State = idempotency.NotRun
		}
		finish()
		x.refuse(refusal)
		return
	}
	defer slot()
	defer t.end(x)
	if t.answer.Complete {
		slot()
		result = x.record(t.answer)
		finish() // before the answer, so that a repeat that follows the answer finds the result
	}
	x.answerOnce(t, &result)
}

// runOnce makes the attempt. Only attempts without a connection are followed by another, at another upstream. The
// request runs to its deadline if its caller goes away after it was sent.
func (x *exchange) runOnce() (*try, func(), *errkind.Error) {
	if x.decided {
		if refusal := x.takeToken(); refusal != nil {
			return nil, nil, refusal
		}
	}
	release, refusal := x.enqueue()
	if refusal != nil {
		return nil, nil, refusal
	}
	slot := onceFunc(release)
	if x.callerGone() {
		slot()
		return nil, nil, errkind.New(errkind.Overloaded, context.Canceled)
	}
	t, refusal := x.sendOnce()
	if refusal != nil {
		slot()
		return nil, nil, refusal
	}
	return t, slot, nil
}

func (x *exchange) sendOnce() (*try, *errkind.Error) {
	ctx := context.WithoutCancel(x.r.Context())
	for {
		picked, refusal := x.pick()
		if refusal != nil {
			return nil, refusal
		}
		if len(x.tried) > 0 && !x.h.options.Retries.TryRetry(x.route.Service) {
			picked.Done(Result{Outcome: OutcomeCancelled})
			return nil, errkind.New(errkind.NoUpstream, errBudgetOfRetries)
		}
		t := x.attemptOnce(ctx, picked)
		refusal = x.refusalOf(t)
		if refusal == nil {
			return t, nil
		}
		t.end(x)
		if t.answer != nil || t.failure.Connected || len(x.tried) >= x.maxAttempts() || !time.Now().Before(x.deadline) {
			return nil, refusal
		}
	}
}

var errBudgetOfRetries = errors.New("the retry budget of the service is used up")

func (x *exchange) attemptOnce(ctx context.Context, picked Attempt) *try {
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	t := x.newTry(picked, cancel)
	t.do(ctx, x, 0)
	if t.answer != nil && judge(t.answer.Status, &x.policy) == OutcomeOK {
		x.h.options.Retries.OnSuccess(x.route.Service)
	}
	return t
}

// refusalOf returns nil if the attempt's answer is the answer of the operation. "Not run" is said only if no connection
// was obtained or the upstream declared it.
func (x *exchange) refusalOf(t *try) *errkind.Error {
	switch {
	case t.answer != nil && slices.Contains(x.policy.NotRunStatuses, t.answer.Status):
		return errkind.New(errkind.UpstreamRefused, nil)
	case t.answer != nil:
		return nil
	case t.failure.Connected:
		return errkind.New(errkind.OutcomeUnknown, t.failure)
	case t.failure.Kind == forward.TimedOut:
		return errkind.New(errkind.DeadlineNotRun, t.failure)
	default:
		return errkind.New(errkind.NoUpstream, t.failure)
	}
}

// record makes the result of a whole answer.
func (x *exchange) record(answer *forward.Response) idempotency.Result {
	result := idempotency.Result{
		State: idempotency.Done, Status: answer.Status, Header: answer.Header, Trailer: answer.Trailer(),
	}
	if !answer.Complete || len(answer.Body) > idempotency.MaxStoredBody {
		result.BodyLost = true
		return result
	}
	result.Body = bytes.Clone(answer.Body) // the answer's buffer may be much larger than the body
	return result
}

// answerOnce passes the answer on. A streamed answer is read to its end even if the caller is gone, because only its end
// shows that the operation's result is whole.
func (x *exchange) answerOnce(t *try, result *idempotency.Result) {
	markOutcome(x.w.Header(), t.answer.Status)
	err := x.pass(t)
	if t.answer.Complete {
		if err != nil {
			x.abort()
		}
		x.observe()
		return
	}
	if err != nil && t.failure == nil {
		if drainErr := t.answer.Drain(); drainErr != nil {
			t.fail(drainErr)
		}
	}
	if t.failure == nil {
		*result = x.record(t.answer)
	}
	switch {
	case err == nil:
		x.observe()
	case errors.Is(err, errUnboundedForHTTP10):
		x.refuse(errkind.New(errkind.OutcomeUnknown, err))
	default:
		x.abort()
	}
}

// markOutcome tells the caller that an upstream's failure status does not say whether the operation ran.
func markOutcome(header http.Header, status int) {
	if status >= http.StatusInternalServerError {
		header.Set(errkind.OutcomeHeader, string(errkind.Unknown))
	}
}
