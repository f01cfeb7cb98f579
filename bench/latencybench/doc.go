// Package latencybench measures the latency that a host adds to a lookup. Within one run on loopback, under open-loop load,
// every second request goes directly to an emulated upstream and the others go through a host.
package latencybench
