// Package relay is the request path of a host on a platform: it admits a request, makes attempts at upstreams within the
// request's time limit, and returns one answer.
//
// Each caller's attempt has an id of its own and reaches one host, so this package alone decides how often it may run:
//
//   - A request of a non-idempotent route is sent to a further upstream only if no upstream can have run it: no byte was
//     written to a connection, or the upstream stated that it did not run it.
//   - A request of an idempotent route may also be sent again after a failure, and beside an attempt that hangs, to at most
//     the route's number of upstreams and within the retry budget of the service.
//   - An answer of 408, 421, 429 or 503 of the host itself states that the request did not run; it is given only if that is
//     certain for a non-idempotent request.
//
// When the time limit ends or the caller goes away, attempts in flight are cancelled.
package relay
