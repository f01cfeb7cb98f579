// Package confsync passes the operator's configuration from host to host, so that a few hosts of a fleet wait for changes
// at the store and the others ask one of them.
//
// A configuration holds customers' keys, so an answer is encrypted with the key of the answering host's record, which only
// those can read who can read the store. The asking host draws a challenge that the answer is bound to: an answer that was
// recorded earlier does not open. Configurations that are large even when compressed are not passed on; the store has the
// faster link.
package confsync
