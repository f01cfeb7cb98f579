package peer

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// Method is the name of a remote method, for example "membership.heartbeat".
type Method string

// Errors of a call.
var (
	// ErrNotSent means that no byte of the request can have reached the peer.
	ErrNotSent = errors.New("peer: call was not sent")
	// ErrNoResponse means that no valid response arrived, or that the handler stopped because its context ended. The call may
	// or may not have been handled.
	ErrNoResponse = errors.New("peer: no response")
	// ErrRejected means that the peer received the call and rejected it.
	ErrRejected = errors.New("peer: call rejected")
	// ErrNotOwner means that the called host does not own the resource of the call in its newest epoch.
	ErrNotOwner = errors.New("peer: called host is not the owner")
	// ErrInactive means that the called host holds no activity lease.
	ErrInactive = errors.New("peer: called host holds no activity lease")
)

// Caller makes calls to other hosts. It is safe for concurrent use.
type Caller interface {
	// Call sends req to the peer at the given address and reads the response into resp. The context must have a deadline.
	Call(ctx context.Context, address string, method Method, req, resp proto.Message) error
}

// HandlerFunc handles a call and returns the response. from is the identity that the caller stated. The TLS certificate
// authenticates its host id, but not its incarnation.
type HandlerFunc func(ctx context.Context, from fleet.Identity, req proto.Message) (proto.Message, error)

// Registrar registers handlers of methods.
type Registrar interface {
	// Handle registers the handler of a method. newRequest returns an empty request message. It panics if the method
	// already has a handler.
	Handle(method Method, newRequest func() proto.Message, handler HandlerFunc)
}
