// Package dispatch assigns the slots of the upstreams of one service in one data centre to the requests of all hosts.
//
// It is designed for this load: many hosts, each of which sends an upstream one request in ten seconds, in front of many upstreams with two
// to four slots, at up to 1.7 times the mean rate, while three upstreams in ten break most of their connections for some seconds at a
// time. No host can know which upstream is unhealthy or full, but the requests of all hosts together show it.
//
// A host asks for a slot for each attempt and releases it when the attempt has ended. A request for which no slot is free waits.
// Waiting requests are served by priority, within a priority by the weights of the customers, and every tenth grant goes to the one
// that has waited longest. A request that cannot be served before its deadline is rejected as soon as this is known.
//
// Among the upstreams with a free slot, the least loaded is chosen. Between equal loads, idempotent requests go to the upstream whose
// last good response is the oldest, and others to the one whose last good response is the most recent. Idempotent requests thus find
// out which upstreams are unhealthy and which have recovered. They also make the half-open trials. Retries count as non-idempotent in
// this respect, because a retry that fails is often the last attempt.
//
// A request may state to which upstreams its host has an idle connection, and which it cannot reach. Between equal loads, it gets one of the
// first, unless it is needed to find out about others. It gets one of the second only if no other is free.
//
// State is soft. A new Dispatcher knows no grants of its predecessor and learns of them from the loads that upstreams report.
//
// The package does no I/O and starts no goroutines. It takes the time and the random numbers as arguments.
package dispatch
