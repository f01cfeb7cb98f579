// Package gateway assembles one host of a fleet on a platform that keeps the configuration, the list of upstreams and the
// list of hosts in a store of its own.
//
// A Gateway follows the store, exchanges evidence and counts with the other hosts, and serves callers. It keeps nothing:
// a host that starts reads the store and serves. While the store is away it goes on with what it has read; while the other
// hosts are away it admits an equal part of each customer's rate.
//
// What the platform calls things, and how it is spoken to, is the matter of an adapter, which implements the interfaces
// ConfigurationSource, UpstreamSource and HostStore.
package gateway
