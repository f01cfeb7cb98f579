package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/bronzeyard/bronzeyard/traffic/errkind"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

// run serves an admitted request.
func (x *exchange) run() {
	defer x.releaseBuffer()
	defer x.stopStream()
	if x.policy.Idempotent {
		x.runIdempotent()
		return
	}
	x.runOperation()
}

// enqueue waits for a slot of the service in the queue.
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

// writeResponse writes an upstream's response to the caller. If it returns an error after part of the response was sent,
// the caller of this method must abort the connection, so that the caller cannot take the part for a complete response.
func (x *exchange) writeResponse(t *attempt) error {
	if !t.response.Complete && t.response.ContentLength < 0 && !x.r.ProtoAtLeast(1, 1) {
		// The end of such a response would be marked only by the close of the connection, so the caller could not detect
		// an incomplete response.
		return errCloseDelimitedHTTP10
	}
	x.closeIfUnread()
	// This fails only for response writers that are not from net/http. The deadline is reset because it would also apply to
	// later requests on the connection.
	control := http.NewResponseController(x.w)
	_ = control.SetWriteDeadline(x.deadline.Add(writeGrace))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	x.w.Header().Set(errkind.RequestIDHeader, x.id)
	x.event.Status, x.event.UpstreamLatency = t.response.Status, t.response.TimeToFirstByte
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

// writeGrace is the time after the request's deadline in which the caller must have received the response.
const writeGrace = 10 * time.Second

var errCloseDelimitedHTTP10 = errors.New("a response of unknown length cannot be streamed to an HTTP/1.0 caller")

// abort closes the caller's connection without a proper end of the response. net/http does so for http.ErrAbortHandler.
func (x *exchange) abort() {
	x.reportEvent()
	panic(http.ErrAbortHandler)
}

// callerDisconnected reports whether the caller has disconnected.
func (x *exchange) callerDisconnected() bool { return errors.Is(x.r.Context().Err(), context.Canceled) }
