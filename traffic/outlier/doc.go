// Package outlier turns the attempts of one host at the upstreams of one service into cumulative counts per upstream.
//
// An attempt counts as slow if it takes longer than a multiple of the median latency of the service's upstreams, or as
// soon as it has been open for that long. The median is taken over the medians of the upstreams, so that one slow
// upstream does not raise the bound by which it is judged. Until enough latencies are known, the bound is its maximum.
//
// A Detector starts no goroutines, receives the time as an argument, and is not safe for concurrent use.
package outlier
