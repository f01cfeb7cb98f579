// Package proxy is the request path of a host as an http.Handler.
//
// A request passes these steps: request id, checks of the request's form, route, key, activity lease, rate and burst,
// body, claim of the operation if it must not be repeated, queue, choice of an upstream, attempts, answer. The lease and
// the key are checked again directly before each attempt, because they can end while the request waits.
//
// Every answer of the host itself is written by errkind.Write.
package proxy
