// Package ejection detects sick upstreams over all hosts of a fleet and takes them out of use within a floor.
//
// Each host reports the outcomes of its attempts to the arbiter of the service, the host that owns the service's name
// in the epoch. The arbiter tests each upstream by a cumulative log-likelihood ratio and answers each report with the complete set of
// ejections for that host, as leases. A host replaces its set as a whole and drops it when the leases end.
//
// The floor holds for every host and for the union over all hosts, including hosts that are cut off: an upstream counts
// against the budget from its first grant until the last lease that any host may hold for it has ended. This is stricter than a
// bound per host and limits ejections that apply to one host only. While it returns, an upstream still counts.
//
// When upstreams leave, each host applies the smaller budget at once; the union follows when the leases granted before have ended.
//
// A new arbiter renews ejections that hosts report to it if the earlier arbiter must still be counting them, and grants
// no others until the leases of earlier arbiters have ended.
//
// Arbiter and Reporter do no I/O, receive the time as an argument and are not safe for concurrent use. Service runs them.
package ejection
