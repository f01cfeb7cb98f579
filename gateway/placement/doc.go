// Package placement chooses the upstream of each attempt.
//
// It compares three random candidates and takes the one with the lowest expected load. The expected load consists of the
// requests that this host has in flight at the upstream, the load that the upstream last reported, which loses weight with
// age, and the slowness of the upstream relative to the mean of its service. Candidates in the local data centre are
// preferred while the best of them has spare capacity. After that, a remote candidate is taken only if its load is lower by
// more than the cost of distance. For non-retryable requests, the failure score of an upstream counts as load. A hedged
// attempt is made only at an upstream with spare capacity.
//
// Upstreams that are leaving or whose breaker is open are no candidates, and neither are those that have stated in a response that
// they leave or that they want no requests for some time. An upstream that is due for a half-open trial is chosen first, except for
// retries and hedged attempts. Upstreams that have just started count as more loaded until they are warm. While open breakers leave fewer upstreams in use than the floor, idempotent requests make trials even if they cannot be
// retried. If those in use are also full, upstreams that have not failed for some time get a trial before their turn.
//
// PickDue chooses among upstreams that must receive a request soon (package floor).
//
// One host receives few responses from each upstream, so reported loads are seconds old and a host's own requests in flight
// carry more information. This matters under steady load with short peaks over small upstreams.
//
// The package does no I/O and takes the time and the random numbers as arguments.
package placement
