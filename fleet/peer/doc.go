// Package peer carries calls between the hosts of a fleet: protobuf messages over yamux, one stream per call, mutually
// authenticated by TLS, with a deadline on every call.
package peer
