// Package forward makes one attempt at one upstream over http.Transport.
//
// It removes the caller's key and hop-by-hop headers, sends the remaining time and a request id, and returns either a
// Response or an AttemptError that states whether the upstream may have run the request. Responses up to a size limit are read
// to their end before they are returned, so the caller of this package can still retry. Longer responses are streamed.
// Response.WriteTo returns an error if a stream breaks, and the connection to the caller must then be closed without a
// proper end of the response.
//
// Idempotent requests use pooled connections. Non-idempotent requests use a new connection each, because http.Transport
// resends a replayable request by itself when a pooled connection breaks, and an Idempotency-Key header makes a request
// replayable.
//
// A response is matched to its request by the id. Verbatim requests keep the id of the caller, so a connection carries each id at most
// once: a late copy of an earlier response with the same id could not be told from the response.
//
// Limitations: a close-delimited response, whose end is marked only by the close of the connection, is rejected as broken
// because it cannot be distinguished from a truncated one, unless Options.AllowCloseDelimited is set. Then only a proper close of
// the connection ends the response, and a reset breaks it, also one that the write of the request has found. Upgrades are not
// supported. The Authorization header of callers never reaches an upstream.
package forward
