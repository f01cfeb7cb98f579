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
	// OperationIDHeader identifies the operation of a non-idempotent request.
	OperationIDHeader = "Idempotency-Key"
	// ReplayedHeader marks a response that was recorded when the operation ran earlier.
	ReplayedHeader = "Idempotency-Replayed"
)

var errMultipleIDs = errors.New("the request has more than one " + OperationIDHeader + " header")

// runOperation serves a non-idempotent request.
func (x *exchange) runOperation() {
	ids := x.r.Header[OperationIDHeader]
	switch {
	case len(ids) > 1:
		x.reject(errkind.New(errkind.OperationIDInvalid, errMultipleIDs))
	case len(ids) == 1 && ids[0] != "":
		x.runWithID(ids[0])
	case x.policy.OperationID != settings.OperationIDOptional:
		x.reject(errkind.New(errkind.OperationIDMissing, nil))
	default:
		x.runWithoutID()
	}
}

// runWithoutID sends the request at most once. Its result is not recorded.
func (x *exchange) runWithoutID() {
	if rejection := x.readBody(x.h.options.MaxReplayBody, false); rejection != nil {
		x.reject(rejection)
		return
	}
	x.runClaimed(func(idempotency.Result) {})
}

// runWithID claims the operation and runs it, or replays its result.
func (x *exchange) runWithID(id string) {
	// The complete body is needed for the fingerprint, and to finish the operation if the caller disconnects.
	if rejection := x.readBody(defaultTo(x.policy.MaxRequestBytes, defaultMaxRequestBytes), true); rejection != nil {
		x.reject(rejection)
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
	x.claimDecided = true
	switch {
	case err != nil:
		x.reject(asKind(err, errkind.OutcomeUnknown))
	case claim.Replay != nil:
		x.replay(claim.Replay)
	default:
		x.runClaimed(claim.Complete)
	}
}

// fingerprint hashes the parts of a request that must be equal when it is repeated: method, path, query and body. Each
// part but the body is preceded by its length.
func (x *exchange) fingerprint() idempotency.Fingerprint {
	digest := sha256.New()
	for _, part := range []string{x.r.Method, x.request.Path, x.request.RawQuery} {
		_ = binary.Write(digest, binary.BigEndian, uint64(len(part)))
		_, _ = digest.Write([]byte(part))
	}
	_, _ = digest.Write(x.request.Buffered)
	return idempotency.Fingerprint(digest.Sum(nil))
}

// replay responds with the recorded result of an earlier run.
func (x *exchange) replay(result *idempotency.Result) {
	if result.BodyLost {
		x.reject(errkind.New(errkind.ResultBodyLost, nil))
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
	setOutcomeHeader(header, result.Status)
	x.w.WriteHeader(result.Status)
	// The caller has disconnected if the write fails, so there is no one to report the error to.
	_, _ = x.w.Write(result.Body)
	x.event.Status, x.event.Replayed = result.Status, true
	x.reportEvent()
}

// runClaimed runs the operation once and completes its claim exactly once, also if the request panics.
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
	t, releaseSlot, rejection := x.runOnce()
	if rejection != nil {
		if rejection.StatedOutcome() == errkind.NotRun {
			result.State = idempotency.NotRun
		}
		finish()
		x.reject(rejection)
		return
	}
	defer releaseSlot()
	defer t.close(x)
	if t.response.Complete {
		releaseSlot()
		result = x.resultOf(t.response)
		finish() // before the response: a repeat sent after the response must find the result
	}
	x.respondOperation(t, &result)
}

// runOnce takes a rate token and a slot and sends the request. An attempt that obtained no connection is followed by one
// at another upstream. If the caller disconnects after the request was sent, the request continues until its deadline.
func (x *exchange) runOnce() (*attempt, func(), *errkind.Error) {
	if x.claimDecided {
		if rejection := x.takeRateToken(); rejection != nil {
			return nil, nil, rejection
		}
	}
	release, rejection := x.enqueue()
	if rejection != nil {
		return nil, nil, rejection
	}
	releaseSlot := onceFunc(release)
	if x.callerDisconnected() {
		releaseSlot()
		return nil, nil, errkind.New(errkind.Overloaded, context.Canceled)
	}
	t, rejection := x.sendOnce()
	if rejection != nil {
		releaseSlot()
		return nil, nil, rejection
	}
	return t, releaseSlot, nil
}

// sendOnce makes attempts until one obtains a connection or no further attempt is allowed.
func (x *exchange) sendOnce() (*attempt, *errkind.Error) {
	ctx := context.WithoutCancel(x.r.Context())
	for {
		selection, rejection := x.pick()
		if rejection != nil {
			return nil, rejection
		}
		if len(x.tried) > 0 && !x.h.options.RetryBudget.TakeRetryToken(x.route.Service) {
			selection.Done(Result{Outcome: OutcomeCancelled})
			return nil, errkind.New(errkind.NoUpstream, errRetryBudgetEmpty)
		}
		t := x.attemptOperation(ctx, selection)
		rejection = x.rejectionFor(t)
		if rejection == nil {
			return t, nil
		}
		t.close(x)
		if t.response != nil || t.failure.Connected || len(x.tried) >= x.maxAttempts() || !time.Now().Before(x.deadline) {
			return nil, rejection
		}
	}
}

var errRetryBudgetEmpty = errors.New("the retry budget of the service is exhausted")

func (x *exchange) attemptOperation(ctx context.Context, selection Selection) *attempt {
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	t := x.newAttempt(selection, cancel)
	t.send(ctx, x, 0)
	if t.response != nil && statusOutcome(t.response.Status, &x.policy) == OutcomeOK {
		x.h.options.RetryBudget.OnSuccess(x.route.Service)
	}
	return t
}

// rejectionFor returns nil if the attempt's response is the response of the operation. The rejection states "not run" only
// if no connection was obtained or the upstream declared that it did not run the request.
func (x *exchange) rejectionFor(t *attempt) *errkind.Error {
	switch {
	case t.response != nil && slices.Contains(x.policy.NotRunStatuses, t.response.Status):
		return errkind.New(errkind.UpstreamRefused, nil)
	case t.response != nil:
		return nil
	case t.failure.Connected:
		return errkind.New(errkind.OutcomeUnknown, t.failure)
	case t.failure.Kind == forward.TimedOut:
		return errkind.New(errkind.DeadlineNotRun, t.failure)
	default:
		return errkind.New(errkind.NoUpstream, t.failure)
	}
}

// resultOf returns the result to record for a complete response.
func (x *exchange) resultOf(response *forward.Response) idempotency.Result {
	result := idempotency.Result{
		State: idempotency.Done, Status: response.Status, Header: response.Header, Trailer: response.Trailer(),
	}
	if !response.Complete || len(response.Body) > idempotency.MaxStoredBody {
		result.BodyLost = true
		return result
	}
	result.Body = bytes.Clone(response.Body) // the response's buffer may be much larger than the body
	return result
}

// respondOperation forwards the response. A streamed response is read to its end even if the caller has disconnected,
// because only its end shows that the operation's result is complete.
func (x *exchange) respondOperation(t *attempt, result *idempotency.Result) {
	setOutcomeHeader(x.w.Header(), t.response.Status)
	err := x.writeResponse(t)
	if t.response.Complete {
		if err != nil {
			x.abort()
		}
		x.reportEvent()
		return
	}
	if err != nil && t.failure == nil {
		if drainErr := t.response.Drain(); drainErr != nil {
			t.setFailure(drainErr)
		}
	}
	if t.failure == nil {
		*result = x.resultOf(t.response)
	}
	switch {
	case err == nil:
		x.reportEvent()
	case errors.Is(err, errCloseDelimitedHTTP10):
		x.reject(errkind.New(errkind.OutcomeUnknown, err))
	default:
		x.abort()
	}
}

// setOutcomeHeader marks the outcome as unknown for 5xx statuses of an upstream, which do not show whether the operation
// ran.
func setOutcomeHeader(header http.Header, status int) {
	if status >= http.StatusInternalServerError {
		header.Set(errkind.OutcomeHeader, string(errkind.Unknown))
	}
}
