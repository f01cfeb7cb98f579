package peer

import (
	"context"
	"errors"
	"fmt"
)

// Status is the outcome of a handled call as it is sent to the caller.
type Status uint32

// The statuses of a handled call.
const (
	StatusOK Status = iota
	StatusRejected
	StatusNotOwner
	StatusInactive
	// StatusUnfinished means that the handler stopped because its context ended. It is unknown what it has done.
	StatusUnfinished
)

// statusOf returns the status of a call whose handler returned err.
func statusOf(err error) Status {
	switch {
	case err == nil:
		return StatusOK
	case errors.Is(err, ErrNotOwner):
		return StatusNotOwner
	case errors.Is(err, ErrInactive):
		return StatusInactive
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return StatusUnfinished
	default:
		return StatusRejected
	}
}

// errorOf returns the error that the caller gets for a status. An unknown status gives ErrRejected.
func errorOf(status Status, text string) error {
	switch status {
	case StatusOK:
		return nil
	case StatusNotOwner:
		return fmt.Errorf("%w: %s", ErrNotOwner, text)
	case StatusInactive:
		return fmt.Errorf("%w: %s", ErrInactive, text)
	case StatusUnfinished:
		return fmt.Errorf("%w: %s", ErrNoResponse, text)
	default:
		return fmt.Errorf("%w: %s", ErrRejected, text)
	}
}

// RemoteError returns the error that a caller gets when a handler returns err: ErrNotOwner, ErrInactive, ErrNoResponse if err
// is the error of an ended context, and else ErrRejected. It has the text of err.
func RemoteError(err error) error {
	if err == nil {
		return nil
	}
	return errorOf(statusOf(err), err.Error())
}
