// Package host assembles one host of the fleet from its configuration file: listeners, connections to other hosts,
// membership, settings, rate limits, operations, health of upstreams and the request path. It contains no policy of its
// own.
package host
