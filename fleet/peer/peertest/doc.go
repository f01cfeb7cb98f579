// Package peertest provides an in-memory network for tests of packages that make calls between hosts. Each Host implements
// peer.Caller and peer.Registrar. Faults are set per direction between two addresses and can be changed while calls are in
// flight. Messages are serialized as on a real connection, so sender and receiver share no memory.
//
// The network waits only on timers and channels, so it works under testing/synctest. Random delays depend only on the seed,
// the direction and the position of the message in that direction. Call Close before the end of the test: it ends every
// delivery that is still in flight.
package peertest
