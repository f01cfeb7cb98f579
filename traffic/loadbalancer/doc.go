// Package loadbalancer chooses the upstream of each attempt.
//
// A Balancer serves one service on one host. It chooses the less loaded of two random candidates. The load is the host's own
// in-flight count plus the load that the upstream reported, whose weight decays with age. Upstreams of the local data centre
// are preferred until they are about half loaded. Each upstream has an in-flight limit on this host that shrinks when the
// upstream sheds load. Upstreams that are new or return from ejection get a growing share of requests.
//
// Subset determines which hosts may connect to an upstream, so that all hosts together stay within its connection limit.
//
// The package starts no goroutines and does no I/O; times are passed in. Balancer and RoundRobin are safe for concurrent use.
package loadbalancer
