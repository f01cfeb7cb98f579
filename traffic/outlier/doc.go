// Package outlier counts the outcomes of one host's attempts at the upstreams of one service, cumulatively for each upstream.
//
// An attempt counts as slow if it takes longer than the slow threshold, also while it is still in flight. The threshold is a
// multiple of the median latency of the service's upstreams. The median is taken over the medians of the upstreams, so that a
// slow upstream does not raise the threshold to which it is held. Until enough latencies are known, the threshold has its
// maximum.
//
// A Detector starts no goroutines, receives the time as an argument, and is not safe for concurrent use.
package outlier
