// Package addresses computes which addresses of the fleet a customer's callers should use and for how long.
//
// Each customer has a home set of a few hosts, chosen by rendezvous hashing weighted by capacity, with hosts of the
// caller's data centre first and at least one host of another. Home sets isolate customers from each other and keep the slices of a customer's rate on few
// hosts. Leaving and suspected hosts are left out, unless every active host is suspected: suspicion is only a hint, and an
// empty answer would turn callers away. The package is pure: it does no I/O and knows no time.
package addresses
