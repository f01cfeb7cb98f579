// Package placement chooses the upstream of each attempt.
//
// It takes the best of three random candidates by expected load: the requests that this host has in flight there, the load
// that the upstream reported last, which loses weight with its age, and how slow the upstream has been against the mean
// of its service. The own data centre goes first while its best candidate has room, and then until it is more loaded than a
// distant one by the cost of distance. For requests that cannot be sent again, strikes against an upstream count as load. A second
// attempt beside another one is made only where there is clear room. Upstreams that leave or whose breaker is open are no
// candidates; one that is due for a trial goes first. Upstreams that have just started count as more loaded until they are
// warm. Where open breakers leave fewer in use than the floor, and these are full, upstreams that have not failed for some time
// are tried before their turn, and idempotent requests make trials although they cannot be sent again.
//
// Answers to the load pattern "steady load with short peaks over small upstreams": one host sees few answers of each
// upstream, so its own requests in flight say more than reports that are seconds old.
//
// The package does no I/O and takes the time and the random numbers as arguments.
package placement
