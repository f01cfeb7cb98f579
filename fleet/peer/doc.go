// Package peer carries calls between the hosts of a fleet as protobuf messages over yamux. Hosts authenticate each other by
// TLS, and every call has a deadline.
//
// Transport keeps one outbound yamux session per peer address and dials it on demand. A stream carries one call at a time.
// The request is a length-delimited RequestHeader with the method, the caller's identity and the remaining time, followed by
// the request message. The response is a ResponseHeader with a status, followed by the response message. A failed call
// returns one of the package's errors: ErrNotSent only if no byte of the request was written, ErrNoResponse if the request
// may have been handled.
//
// If the deadline of a call passes and nothing has arrived on its session since the call began, and for at least
// Options.StaleSessionTimeout, the session is stale and the call closes it. The next call then dials a new connection; other
// calls on the closed session fail with ErrNoResponse. Sessions also send keepalives.
//
// With TLS, the host id that a peer states must be the common name or a DNS name of its certificate, in both directions. The
// certificate does not authenticate the incarnation.
//
// The following are limited: inbound sessions, concurrent calls per session, the length of a header and of a message, the
// total length of the inbound messages that are being read or handled, and the time to read a request. See Options.
package peer
