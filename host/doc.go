// Package host assembles one host of the fleet from its static settings: listeners, links to other hosts, membership,
// settings, limits, operations, health of upstreams and the request path. It holds no decisions of its own.
package host
