// Package warmup bounds the rate of requests to upstreams that are warming up, summed over all hosts. It does no I/O and takes the
// time as an argument.
//
// It is designed for fleets of up to 4,900 weak hosts in which an upstream tolerates some requests per second while it is cold, far
// fewer than there are hosts. The hosts exchange no messages for it: rendezvous hashing chooses a few hosts that may send an upstream
// requests at all while it is cold, and each of them has an equal share of the rate. Hosts that are cut off keep to their share. The
// shares are so small that the bound holds even if hosts differ in their view of the fleet and half as many hosts again send.
package warmup
