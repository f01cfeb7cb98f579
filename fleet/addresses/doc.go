// Package addresses computes which addresses of the fleet the callers of a customer should use, and for how long.
//
// Each customer is assigned a shuffle shard: a few hosts, chosen by rendezvous hashing weighted by capacity. Hosts of the
// caller's data centre come first, and at least one host is of another data centre. Shuffle shards isolate customers from each
// other, and keep the slices of a customer's rate on few hosts.
//
// Leaving and suspected hosts are left out, unless every active host is suspected. Suspicion is only a hint, and an empty
// response would leave callers without any host. The package does no I/O and reads no clock.
package addresses
