// Package gossip sends one-way messages between the hosts of a fleet and tracks which hosts are alive.
//
// Messages are protobuf datagrams over UDP to every other host: a heartbeat each second, notices of circuit breakers
// without delay, and counts of customers' usage. They tolerate loss, because counts are cumulative and heartbeats follow, and
// they cannot block on a stalled connection. A message to a remote data centre goes to one host there, or to two while a host
// there is silent. These hosts relay it to the others in their data centre.
//
// In a large fleet, messages go through hubs: two hosts of each data centre collect datagrams for some tens of milliseconds
// and send them in bundles. If a host does not see its own datagram in a bundle in time, it considers the hub failed, sends the
// unconfirmed datagrams directly and avoids the hub for a time. The first byte of a packet is its kind, which determines how
// the packet is processed. The rest of the packet is authenticated; the first byte is not.
//
// Dispatch messages go to one host each, without hubs. They have a sequence of their own, because datagrams that go through hubs
// arrive much later than those that are sent directly.
//
// A host counts as a member of the fleet for membershipTimeout after its last datagram, and only members are sent to. Hosts that were
// cut off from each other for longer would stay so, as both sides have stopped to send. With each heartbeat, a host therefore probes one of
// the lost hosts of its data centre, and one of each remote data centre in which it hears nobody: it sends its record and a datagram, which
// the receiver relays to its data centre if it has lost the sender too. A host that hears another one for the first time after such a
// silence sends it its record, because it may have been started while they did not hear each other. Most hosts that are silent for long are
// gone, so the rate of probes decreases with the silence.
//
// A datagram updates the state of its sender only if no newer one was received before it and the receiver was not paused.
//
// Hosts discover each other through the store: each writes one Record with its address, its incarnation and a random key. A
// datagram carries an HMAC-SHA256 with the sender's key, truncated to 16 bytes, and a sequence number against replay. A host
// that starts sends its record to all hosts that it knows, authenticated with the key of each receiver. If datagrams arrive
// from a host that has not introduced itself in time, the receiver reads the records again.
package gossip
