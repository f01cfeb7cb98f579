// Package retry decides whether an attempt may be followed or accompanied by another one.
//
// Policy states the conditions of a single request: it is idempotent, time is left, and attempts are left. Budget limits
// retries and hedges of a service on one host to a share of its recent successes, so that a service that fails as a whole
// gets hardly more requests than its callers send. Times are passed in; Budget is safe for concurrent use.
package retry
