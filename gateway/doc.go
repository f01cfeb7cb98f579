// Package gateway assembles one host of a fleet on a platform that keeps the configuration, the list of upstreams and the
// list of hosts in its own store.
//
// A Gateway keeps its state in sync with the store, exchanges circuit breaker samples and request counts with the other hosts,
// and serves callers. It has no persistent state: a host that starts reads the store and serves. While the store is
// unavailable, the host continues with the state it read last. While the other hosts are unreachable, it admits an equal share
// of each customer's rate.
//
// If routes of one service have different priorities, one host of each data centre assigns the slots of the service's upstreams there
// (packages dispatch and dispatchclient), and the other hosts ask it for each attempt. They choose an upstream themselves if it does
// not reply.
//
// The names and protocols of the platform are implemented by an adapter, which provides ConfigurationSource, UpstreamSource and
// HostStore.
package gateway
