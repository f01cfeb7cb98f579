package forward

import "errors"

// FailureKind is the reason why an attempt gave no answer.
type FailureKind int

// The reasons of a failure.
const (
	// NotConnected means that no connection was obtained.
	NotConnected FailureKind = iota + 1
	// TimedOut means that the upstream did not answer or did not go on in time.
	TimedOut
	// Broken means that the connection broke or that the answer ended before its end.
	Broken
	// WrongAnswer means that the answer is not the answer of this request.
	WrongResponse
	// Cancelled means that the context of the attempt was cancelled.
	Cancelled
	// RequestBroken means that the caller's body could not be read to its end.
	RequestBroken
)

// String implements fmt.Stringer.
func (k FailureKind) String() string {
	switch k {
	case NotConnected:
		return "not connected"
	case TimedOut:
		return "timed out"
	case Broken:
		return "broken"
	case WrongResponse:
		return "wrong answer"
	case Cancelled:
		return "cancelled"
	case RequestBroken:
		return "request broken"
	default:
		return "invalid"
	}
}

// AttemptError is the error of an attempt.
type AttemptError struct {
	Kind FailureKind
	// Connected is false only if no connection was obtained, so that no byte can have reached the upstream.
	Connected bool
	// Sent is false only if no byte of the request was written to the connection.
	Sent bool
	// Reused is true if the connection had carried earlier requests.
	Reused bool
	Cause  error
}

// Error implements error.
func (f *AttemptError) Error() string { return "attempt " + f.Kind.String() + ": " + f.Cause.Error() }

// Unwrap returns the cause.
func (f *AttemptError) Unwrap() error { return f.Cause }

// The causes that this package itself gives.
var (
	errFirstByte = errors.New("no answer within the time to the first byte")
	errIdle      = errors.New("the answer stopped for longer than the idle time")
	errEnded     = errors.New("attempt ended")
	errEcho      = errors.New("the answer carries the request id of another request")
	errUnbounded = errors.New("the end of the answer is marked only by the close of the connection")
	errSwitching = errors.New("the upstream switched protocols without being asked")
)
