// Package floor chooses upstreams that must receive a request soon, so that enough healthy upstreams of a service stay in use while many
// of its requests fail.
//
// It is designed for services whose slots no dispatcher assigns, in fleets in which one host sends an upstream a request in several
// seconds: 48 hosts in front of 148 upstreams with 250 requests per second, and up to 4,900 hosts and 43,000 upstreams. Hosts that choose
// independently leave some upstreams without a request for seconds, and no host can see that. Each upstream therefore has one home host,
// chosen by rendezvous hashing over the live hosts of its data centre, so that hosts need no messages for it. While the home host sees
// that a share of its attempts fails (Tracker.InDanger), it sends its next first attempt to an own upstream that it has sent nothing for 1.2 s.
//
// The package does no I/O and takes the time, the live hosts and the upstreams as arguments.
package floor
