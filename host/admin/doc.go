// Package admin is the operators' API of a host: JSON over HTTP on a listener of its own, with one bearer token for each
// operator.
//
// A change is answered with status 200 once it is in force on every host that holds an activity lease, and with 202 and
// the names of the hosts that have not applied it if that is not known within Options.InForceTimeout. Every change has a
// change id that the client draws; repeating a request with the same id never makes the change twice. Changes of
// settings state the base revision that the operator has seen, so that nothing is overwritten unseen.
//
// Errors are JSON with the member "next", which says what to do. Neither keys nor tokens nor their hashes are in logs,
// errors or the audit log. A key is in the answer to its grant only, and not even there if the client sends the hash of
// a key that it drew itself, as bronzeyardctl does.
package admin
