// Package capacitybench measures what control costs a host, so that docs/CAPACITY.md can derive the cost at the design size
// from slopes. It runs the hosts' own code in one process on loopback:
//
//   - whole hosts without traffic at several sizes of the fleet;
//   - single layers (membership, rate limits, ejection, operations) over real links, at several sizes of their load, so
//     that the cost of a layer is not mixed with that of serving requests;
//   - decisions of the request path, and the memory of settings, at several sizes.
//
// Limits. Links are plain TCP on loopback: bytes are without TLS and the headers of TCP and IP. The processor time of a
// layer contains that of making the load, and all figures contain what the machine does besides.
package capacitybench
