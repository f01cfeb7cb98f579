// Package upstream is a stand-in for an upstream: an HTTP server with slots, a connection limit, load reports, draining,
// cold start, load shedding and injectable grey faults. It records every request that it receives, so that a checker can
// compare what ran with what callers were told.
package upstream
