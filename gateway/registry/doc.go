// Package registry determines which upstreams may be used, from the entries that upstreams maintain in the store and from the
// age of the last read.
//
// Entries expire while the store is unavailable although their upstreams are alive, and reappear within about two seconds of
// its recovery. After a gap in the reads, missing entries are therefore kept for gracePeriod. After that, a missing entry
// means that its upstream has been removed. While the store cannot be read, the upstreams of the last read stay in use.
//
// The store recovers between the start of the newest failed read and the first read after the gap. The grace period runs from the
// latter and is limited by the former, unless a report of another host states its end more precisely. It ends at once if another
// host has read the store without a gap.
//
// The bound: a host sends no request to an upstream later than Bounds.MaxLeavingDelay after the store has acknowledged that it leaves or
// is removed, nor, if that is later, later than Bounds.StablePeriod after the store, this host, and the path between them have last
// returned from a disturbance. It holds whatever other hosts report, provided that their reports arrive within 0.8 s. The search for late
// departures in package gateway checks it.
//
// The package does no I/O and takes the time as an argument.
package registry
