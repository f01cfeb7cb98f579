// Package local runs a complete deployment in one process on loopback: the platform's services in memory, emulated
// upstreams, and hosts that run the production code. The commands dev and bench and the end-to-end tests use it.
package local
