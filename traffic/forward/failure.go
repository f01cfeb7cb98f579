package forward

import (
	"errors"
	"fmt"
	"slices"

	"github.com/bronzeyard/bronzeyard/traffic/httphead"
)

// FailureKind is the reason why an attempt produced no response.
type FailureKind int

// The kinds of failure.
const (
	// NotConnected means that no connection was obtained.
	NotConnected FailureKind = iota + 1
	// TimedOut means that the upstream did not begin or did not continue its response in time.
	TimedOut
	// Broken means that the connection broke or that the response was truncated.
	Broken
	// WrongResponse means that the response does not belong to this request, or that its head is faulty.
	WrongResponse
	// Cancelled means that the context of the attempt was cancelled.
	Cancelled
	// RequestBroken means that the caller's body could not be read to its end.
	RequestBroken
	// NoMemory means that the host had no memory for the response. It is no evidence against the upstream.
	NoMemory
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
	case NoMemory:
		return "without memory"
	default:
		return "invalid"
	}
}

// AttemptError is the error of an attempt.
type AttemptError struct {
	Kind FailureKind
	// Connected is false only if no connection was obtained. No byte can have reached the upstream then.
	Connected bool
	// Sent is false only if no byte of the request was written to the connection.
	Sent bool
	// Reused is true if the connection had carried earlier requests.
	Reused bool
	// Connection is the connection that carried the attempt.
	Connection Connection
	// Cause is the underlying error.
	Cause error
}

// Error implements error.
func (f *AttemptError) Error() string { return "attempt " + f.Kind.String() + ": " + f.Cause.Error() }

// Unwrap returns the cause.
func (f *AttemptError) Unwrap() error { return f.Cause }

// Causes that this package itself sets.
var (
	errFirstByteTimeout    = errors.New("no response header within the first byte timeout")
	errIdleTimeout         = errors.New("no data of the response body within the idle timeout")
	errAttemptEnded        = errors.New("attempt ended")
	errRequestIDMismatch   = errors.New("response carries the request id of another request")
	errRequestIDMissing    = errors.New("response does not carry the request id")
	errCloseDelimited      = errors.New("close-delimited response: its end is marked only by the close of the connection")
	errFraming             = errors.New("the chunks of the response have too few bytes")
	errHeaderFields        = fmt.Errorf("the header of the response has more than %d fields", maxHeaderFields)
	errNoMemory            = errors.New("the memory budget has no room for the response")
	errUnknownLength       = errors.New("the response has no length, and the memory budget has no room for more of it")
	errNotSentOnConnection = errors.New("response on a connection on which the request was not sent")
	errRunTogether         = errors.New("response begins with a part of another one")
	errSwitchingProtocols  = errors.New("upstream switched protocols although no upgrade was requested")
)

// wrongResponses are the causes of kind WrongResponse.
var wrongResponses = []error{
	errRequestIDMismatch, errRequestIDMissing, errSwitchingProtocols, errRunTogether, errFoldedLine, errEndOfHead,
	httphead.ErrStatus, httphead.ErrFieldName,
}

func isWrongResponse(err error) bool {
	return slices.ContainsFunc(wrongResponses, func(wrong error) bool { return errors.Is(err, wrong) })
}
