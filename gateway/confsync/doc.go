// Package confsync transfers the operator's configuration between hosts. Only a few hosts of a fleet long-poll the store for
// changes, and the others fetch the configuration from one of them.
//
// A configuration holds customers' keys, so a response is encrypted with the key of the responding host's record. Only those
// who can read the store can read that key. The requesting host sends a random challenge that is authenticated with the
// response, so a recorded response to an earlier request cannot be decrypted. Configurations that are large even when
// compressed are not served to other hosts, because the link to the store is faster.
//
// Hosts also pass on their state to hosts that start, and parts of it to those that have missed a change: see StateHandler.
package confsync
