// Package gossip carries one-way messages between the hosts of a fleet and tells which hosts are alive.
//
// Messages are protobuf datagrams over UDP to every other host: a heartbeat each second, notices of circuit breakers at
// once, and counts of customers' use. They tolerate loss, because counts are cumulative and heartbeats follow, and they
// cannot hang on a connection that has gone silent. To another data centre a message goes to one host, or to two
// while one there is not heard, which pass it on to the others there.
//
// In a fleet of many hosts, messages go by way of hubs: two hosts of each data centre gather datagrams for some tens of
// milliseconds and send them in bundles. A host that does not see its own datagram in a bundle in time takes the hub to have
// failed, sends what waits directly and avoids it. The first byte of a packet says what is to be done with it (passage); what a
// packet holds is authenticated, that byte is not.
//
// A datagram speaks for its sender's state only if no newer one has come before and its receiver was not paused.
//
// Hosts find each other in the store: each writes one Record, with its address, its incarnation and a random key. A
// datagram carries an HMAC-SHA256 with the sender's key, cut to 16 bytes, and a sequence number against repetition. A
// host that starts sends its record to those that it knows, sealed with the key of each. Datagrams of a host that has not
// introduced itself in time make the receiver read the records again.
package gossip
