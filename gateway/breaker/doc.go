// Package breaker keeps one circuit breaker for each upstream, fed by the attempts of all hosts.
//
// One host sends an upstream far less than one request a second. Hosts therefore share every failed sample, and all of
// them reach the same state within the time of one message. A failed sample adds to the failure score of the upstream, which
// decays over time. A breaker opens at a score of 1. A broken response adds 1, because healthy upstreams give none. An
// error status adds less, because healthy upstreams give some. A failed connection adds less on the other hosts, because the
// cause may be the network path.
//
// An attempt without a response adds to the score as it becomes older than most successful responses (OverdueUpdate). The
// addition is withdrawn when the response arrives. Each step is sent to the hosts of the local data centre, which send the
// upstream most of its requests. Other hosts are notified only when overdue attempts open a breaker. Responses close a
// breaker that overdue attempts alone have opened.
//
// An open breaker lets no request through during its cooldown, which is shorter for retryable requests. After it, one host at
// a time makes a half-open trial. Hosts are ranked by a hash of upstream and host, each rank waits a little longer than the
// one before it, and a host that starts a trial notifies the others. A caller may start a trial earlier if the other upstreams
// are full (EarlyTrialAllowed, MayHaveRecovered) or too few in use (TrialAllowed). Two successful trials in a row close the
// breaker on all hosts; one is not enough, because an unhealthy upstream responds to some requests. A failed trial starts a longer
// cooldown.
//
// When connections to several upstreams break at once, the fault is on this host. LocalLossDetector recognises this case.
//
// The package does no I/O and takes the time as an argument. A Set returns what other hosts must receive as Notices.
package breaker
