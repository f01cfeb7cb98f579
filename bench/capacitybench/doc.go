// Package capacitybench measures what control costs a host, at several sizes of the fleet, so that docs/CAPACITY.md can
// derive the cost at the design size from slopes. It runs the hosts' own code in one process on loopback, without traffic.
package capacitybench
