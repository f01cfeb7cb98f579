// Package capacitybench measures what the control plane costs a host. docs/CAPACITY.md extrapolates the cost at the design
// size from the slopes of the results. The code of the hosts runs in one process on loopback. The package measures:
//
//   - whole hosts without traffic at several sizes of the fleet;
//   - single layers (membership, rate limits, ejection, operations) over real links, at several sizes of their load. The
//     cost of a layer is thus not mixed with that of serving requests;
//   - decisions on the request path, and the memory of settings, at several sizes.
//
// Limits: links are plain TCP on loopback, and byte counts exclude TLS and the headers of TCP and IP. The processor time of
// a layer includes the generation of its load. All figures are affected by other work on the machine.
package capacitybench
