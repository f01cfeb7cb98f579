// Package forward makes one attempt at one upstream over http.Transport.
//
// It removes the caller's key and hop-by-hop headers, carries the deadline and a request id, and returns either a whole
// answer or an AttemptError that says what is known about the execution. Answers up to a limit are read to their end before
// they are returned, so that the caller of this package can still try again. Longer answers are streamed; one that
// breaks is reported by Answer.WriteTo, and the caller's connection must then be broken visibly.
//
// Idempotent requests use pooled connections. Non-idempotent requests use a fresh connection each, because
// http.Transport resends a replayable request by itself when a pooled connection breaks, and an Idempotency-Key header
// makes a request replayable.
//
// Limits: an answer whose end is marked only by the close of the connection is refused as broken, because it cannot be
// told from one that was cut short. Upgrades are not supported. The Authorization header of callers never reaches an
// upstream.
package forward
