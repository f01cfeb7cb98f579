// Package ejection detects unhealthy upstreams from the samples of all hosts of a fleet and ejects them, that is, takes
// them out of use. A floor limits how many upstreams of a service may be ejected.
//
// Each host reports the outcomes of its attempts to the arbiter of the service, which runs on the host that owns the
// service's name in the epoch. The arbiter tests each upstream with a cumulative log-likelihood ratio (CUSUM). Its
// response to each report is the complete set of ejections for that host, granted as leases. A host replaces its set as
// a whole and drops it when the leases end.
//
// The floor holds for each host and for the union of the ejections of all hosts, including isolated hosts. An upstream
// counts against the budget from its first grant until the last lease that any host may hold for it has ended. This is
// stricter than a limit per host, and it also limits ejections that apply to one host only. An upstream that returns
// still counts until its slow start ends.
//
// When upstreams leave, each host applies the smaller budget at once. The union meets it when the leases that were
// granted before have ended.
//
// A new arbiter renews an ejection that a host reports only if the previous arbiter must still count it. It grants no
// other ejections until the leases of previous arbiters have ended.
//
// Arbiter and Reporter do no I/O, receive the time as an argument and are not safe for concurrent use. Service runs both.
package ejection
