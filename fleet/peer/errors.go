package peer

import (
	"errors"
	"fmt"
)

// Status is the outcome of a handled call as it is sent to the caller.
type Status uint32

// The statuses of a handled call.
const (
	StatusOK Status = iota
	StatusRefused
	StatusNotOwner
	StatusInactive
)

// statusOf returns the status that stands for a handler's error.
func statusOf(err error) Status {
	switch {
	case err == nil:
		return StatusOK
	case errors.Is(err, ErrNotOwner):
		return StatusNotOwner
	case errors.Is(err, ErrInactive):
		return StatusInactive
	default:
		return StatusRefused
	}
}

// errorOf returns the error that the caller sees for a status. An unknown status is a refusal.
func errorOf(status Status, text string) error {
	switch status {
	case StatusOK:
		return nil
	case StatusNotOwner:
		return fmt.Errorf("%w: %s", ErrNotOwner, text)
	case StatusInactive:
		return fmt.Errorf("%w: %s", ErrInactive, text)
	default:
		return fmt.Errorf("%w: %s", ErrRefused, text)
	}
}

// RemoteError returns the error that a caller sees when a handler returns err: one of ErrNotOwner, ErrInactive and
// ErrRefused with the text of err.
func RemoteError(err error) error {
	if err == nil {
		return nil
	}
	return errorOf(statusOf(err), err.Error())
}
