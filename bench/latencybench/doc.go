// Package latencybench measures the time that a host adds to a lookup: requests go in turn straight to the upstream
// stand-ins and through a host, in the same run on loopback, open loop.
package latencybench
