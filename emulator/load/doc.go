// Package load is an open-loop load generator that behaves like the callers of the fleet. It looks up host addresses,
// caches the response and connects to these addresses. It sends an operation id with each non-idempotent request and
// repeats some of these requests. Its checker compares the responses with the records of the emulated upstreams.
package load
