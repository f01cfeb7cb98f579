// Package upstream emulates an upstream: an HTTP server with slots, a connection limit, load reports, draining, a cold
// start, load shedding and injectable grey faults. It records every request that it receives. A checker compares these
// records with the responses that callers received.
package upstream
