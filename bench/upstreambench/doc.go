// Package upstreambench measures the detection and avoidance of grey upstreams in simulated time.
//
// It drives the decision code of the hosts (outlier.Detector, ejection.Reporter and Arbiter, loadbalancer.Balancer,
// retry.Budget) with a trace of requests. The upstreams are simulated in memory: they have slots, log-normal latencies,
// noise and faults. There is no network: messages between hosts take a fixed time, and clients reach all hosts equally.
// The baselines use the same trace. The results of a run depend only on its options.
package upstreambench
