package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/pipeline"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

// Shutdown limits which requests are sent to upstreams while the host shuts down.
type Shutdown struct {
	// PassOnUntil is the time from which no request is sent to an upstream for the first time.
	PassOnUntil time.Time
	// FinishBy is the time by which a request that is sent to an upstream must be able to finish.
	FinishBy time.Time
}

// ShutdownRetryAfter is the stated delay of a request that a host rejects because it shuts down. Other hosts serve it at once.
const ShutdownRetryAfter = 100 * time.Millisecond

// finishMargin is the number of typical durations of a response that must be left for a request whose time limit ends after
// Shutdown.FinishBy.
const finishMargin = 4

var (
	errNotPassedOn   = errors.New("the host shuts down and sends no further requests to upstreams")
	errCannotFinish  = errors.New("the host shuts down before the request would surely finish")
	errCancelledHere = errors.New("the host has shut down before an upstream responded")
)

// rejectInShutdown returns an error if the host shuts down, no upstream can have run the request, and it must not be sent to one any
// more.
func (x *exchange) rejectInShutdown() *errkind.Error {
	shutdown, ok := x.options.Shutdown()
	if !ok || x.mayHaveRun || time.Now().Before(shutdown.PassOnUntil) {
		return nil
	}
	return shuttingDown(errNotPassedOn)
}

// rejectUnfinishable is like rejectInShutdown, and also returns an error if a request that is sent to the selected upstream might not
// finish before the host has shut down.
func (x *exchange) rejectUnfinishable(selection *Selection) *errkind.Error {
	if rejection := x.rejectInShutdown(); rejection != nil {
		return rejection
	}
	shutdown, ok := x.options.Shutdown()
	if !ok || x.mayHaveRun || !x.deadline.After(shutdown.FinishBy) {
		return nil
	}
	if typical := selection.TypicalDuration; typical > 0 && finishMargin*typical <= time.Until(shutdown.FinishBy) {
		return nil
	}
	return shuttingDown(errCannotFinish)
}

func shuttingDown(cause error) *errkind.Error {
	return &errkind.Error{Kind: errkind.ShuttingDown, RetryAfter: ShutdownRetryAfter, Cause: cause}
}

// cancelledByShutdown reports whether the host has cancelled a request because it shuts down.
func cancelledByShutdown(ctx context.Context) bool {
	return ctx != nil && errors.Is(context.Cause(ctx), pipeline.ErrShutdown)
}

// causeOf returns the cause of an error response with the reason why the host has cancelled the request, if it has.
func (x *exchange) causeOf(e *errkind.Error) error {
	if e.Cause == nil || !cancelledByShutdown(x.ctx) {
		return e.Cause
	}
	return fmt.Errorf("%w: %w", errCancelledHere, e.Cause)
}
