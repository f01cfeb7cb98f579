// Package proxy implements the request path of a host as an http.Handler.
//
// A request passes these steps: request id, validation of the request, route, key, activity lease, rate and burst, body,
// claim of the operation if it must not be repeated, queue, choice of an upstream, attempts, response. If the request has an
// operation id, its rate and burst are checked after the claim. The lease and the key are checked again directly before each
// attempt, because the lease can expire and the key can be withdrawn while the request waits.
//
// Every response that the host itself generates is written by errkind.Write.
package proxy
