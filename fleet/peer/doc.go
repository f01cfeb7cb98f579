// Package peer carries calls between the hosts of a fleet: protobuf messages over yamux, one call at a time per stream, mutually
// authenticated by TLS, with a deadline on every call.
//
// Transport keeps one outbound yamux session per peer address and dials it on demand. A call is one stream: a
// length-delimited RequestHeader with the method, the caller's identity and the remaining time, then the request; the
// answer is a ResponseHeader with a status, then the answer message. A failed call returns one of the package's errors:
// ErrNotSent only if the request's first byte was not written, ErrNoAnswer if it may have been handled.
//
// A call whose deadline passes while nothing at all arrived on its session closes the session, so that the next call dials
// a new connection; other calls on that session fail with ErrNoAnswer. Sessions also send keepalives.
//
// With TLS the common name or a DNS name of the peer's certificate must be the host id that the peer states, in both
// directions. The incarnation is stated by the peer and not vouched for.
//
// Limits: inbound sessions, concurrent calls per session, the length of a header and of a message, the total of all
// inbound messages being read or handled, and the time to read a request are bounded; see Options.
package peer
