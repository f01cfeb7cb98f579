package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/bronzeyard/bronzeyard/traffic/errkind"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

// run does the work of an admitted request and answers it.
func (x *exchange) run() {
	defer x.releaseBuffer()
	defer x.stopStream()
	if x.policy.Idempotent {
		x.runIdempotent()
		return
	}
	x.runOperation()
}

// enqueue waits for a slot of the service.
func (x *exchange) enqueue() (release func(), rejection *errkind.Error) {
	service, rejection := x.recheck()
	if rejection != nil {
		return nil, rejection
	}
	release, err := x.h.options.Queue.Acquire(x.ctx, service, x.customer)
	if err == nil {
		return release, nil
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		return nil, asKind(err, errkind.DeadlineNotRun)
	}
	return nil, asKind(err, errkind.Overloaded)
}

// pass writes an upstream's answer to the caller. A part of an answer is never left looking whole: if the answer breaks,
// the caller's connection is broken by a panic with http.ErrAbortHandler.
func (x *exchange) writeResponse(t *attempt) error {
	if !t.response.Whole && t.response.Length < 0 && !x.r.ProtoAtLeast(1, 1) {
		// The end of such an answer would be the close of the connection, so a break could not be seen.
		return errCloseDelimitedHTTP10
	}
	x.closeIfUnread()
	// Fails only for writers that are not net/http's. The deadline is taken back because it would outlive the request.
	control := http.NewResponseController(x.w)
	_ = control.SetWriteDeadline(x.deadline.Add(writeGrace))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	x.w.Header().Set(errkind.RequestIDHeader, x.id)
	x.event.Status, x.event.UpstreamLatency = t.response.Status, t.response.FirstByte
	err := t.response.WriteTo(x.w)
	if err == nil {
		return nil
	}
	x.event.Status, x.event.Cause = 0, err
	var broken *forward.AttemptError
	if errors.As(err, &broken) {
		t.failure = broken
	}
	return err
}

// writeGrace is for how long after the deadline a caller may take to accept its answer.
const writeGrace = 10 * time.Second

var errCloseDelimitedHTTP10 = errors.New("an answer of unknown length cannot be passed to an HTTP/1.0 caller as it comes")

// abort breaks the caller's connection.
func (x *exchange) abort() {
	x.reportEvent()
	panic(http.ErrAbortHandler)
}

// callerGone reports whether the caller's connection is closed.
func (x *exchange) callerGone() bool { return errors.Is(x.r.Context().Err(), context.Canceled) }
