// Package admin implements the operators' API of a host: JSON over HTTP on a separate listener, with one bearer token for
// each operator.
//
// The response to a change has status 200 if the change is active on every host that holds an activity lease and all members
// of the epoch have applied it. If this is not confirmed within Options.ActivationTimeout, or if members without an activity
// lease have not applied the change, the status is 202 and the response names the hosts that are not known to have applied it.
// Every change has a change id, which the client generates; a request that is repeated with the same id never makes the change
// twice. A change of settings states the base revision that the operator has seen, so that no change is overwritten unnoticed.
//
// Error responses are JSON with the member "next", which advises the operator what to do. Keys, tokens and their hashes
// are never written to logs, errors or the audit log. A key is only in the response to its grant, and not even there if
// the client sends the hash of a key that it generated itself, as bronzeyardctl does.
package admin
