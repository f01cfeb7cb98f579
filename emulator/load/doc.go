// Package load is an open-loop load generator that behaves like the callers of the fleet: it asks hosts which addresses
// to use, keeps that answer, connects there itself, sends an operation id with non-idempotent requests and repeats some
// of them. Its checker compares what callers were told with what the upstream stand-ins recorded.
package load
