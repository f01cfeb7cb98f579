// Package relay implements the request path of a host on a platform. It admits a request, makes attempts at upstreams within
// the time limit of the request, and returns one response.
//
// Each attempt of a caller has an id of its own and reaches one host. This package alone therefore decides how often the
// request may run:
//
//   - A non-idempotent request is sent to a further upstream only if no upstream can have run it: either no byte was written
//     to a connection, or the upstream stated that it did not run the request.
//   - An idempotent request may also be retried after a failure, and hedged while an attempt hangs. The number of upstreams is
//     limited by the route, and retries and hedged attempts by the retry budget of the service.
//   - A response of the host itself with status 408, 421, 429 or 503 states that the request did not run. A non-idempotent
//     request gets one only if that is certain.
//
// Attempts in flight are cancelled when the time limit ends or the caller disconnects.
package relay
