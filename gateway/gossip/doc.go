// Package gossip carries one-way messages between the hosts of a fleet and tells which hosts are alive.
//
// Messages are protobuf datagrams over UDP to every other host: a heartbeat each second, notices of circuit breakers at
// once, and counts of customers' use. They tolerate loss, because counts are cumulative and heartbeats follow, and they
// cannot hang on a connection that has gone silent. To another data centre a message goes to two hosts, which pass it on to
// the others there; a packet says whether it was passed on.
//
// Hosts find each other in the store: each writes one Record, with its address, its incarnation and a random key. A
// datagram carries an HMAC-SHA256 with the sender's key, cut to 16 bytes, and a sequence number against repetition. A
// datagram that cannot be verified makes the receiver read the records again, at most once a second.
package gossip
