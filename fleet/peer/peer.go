package peer

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// Method names a kind of call, for example "membership.heartbeat".
type Method string

// Errors of a call.
var (
	// ErrNotSent means that no byte of the call can have reached the peer.
	ErrNotSent = errors.New("peer: call was not sent")
	// ErrNoAnswer means that the call may or may not have been handled.
	ErrNoResponse = errors.New("peer: no answer")
	// ErrRefused means that the peer handled the call and refused it.
	ErrRejected = errors.New("peer: call refused")
	// ErrNotOwner means that the called host does not own what the call is about in its newest epoch.
	ErrNotOwner = errors.New("peer: called host is not the owner")
	// ErrInactive means that the called host holds no activity lease.
	ErrInactive = errors.New("peer: called host holds no activity lease")
)

// Caller makes calls to other hosts. It is safe for concurrent use.
type Caller interface {
	// Call sends req to the peer at the given address and reads the answer into resp. The context must have a deadline.
	Call(ctx context.Context, address string, method Method, req, resp proto.Message) error
}

// HandlerFunc answers a call. from is the identity that the caller stated; the TLS certificate vouches for its host id.
type HandlerFunc func(ctx context.Context, from fleet.Identity, req proto.Message) (proto.Message, error)

// Registrar takes the handlers of the modules of a host.
type Registrar interface {
	// Handle registers the handler of a method. newRequest returns an empty request message. It panics if the method
	// already has a handler.
	Handle(method Method, newRequest func() proto.Message, handler HandlerFunc)
}
