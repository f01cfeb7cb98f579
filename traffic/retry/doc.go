// Package retry decides whether a request may be retried or hedged.
//
// Policy checks the conditions of a single request: it is idempotent, another upstream is available, and both time and
// attempts are left. Budget limits the retries and hedges of a service on one host to a fraction of its recent successes, or
// to a small minimum if that is more. A service that fails as a whole therefore receives hardly more requests than its
// callers send. Times are passed in. Budget is safe for concurrent use.
package retry
