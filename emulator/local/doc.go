// Package local runs a whole deployment in one process on loopback: the platform's services in memory, upstream stand-ins
// and hosts of the real code. The commands dev and bench and the end-to-end tests use it.
package local
