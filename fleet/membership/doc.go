// Package membership decides which hosts form the fleet and until when a host may act on what it knows.
//
// The epoch is the list of members, a row of the platform's table that changes by compare-and-set only. A host is active,
// by its activity lease, for the time Lease after it sent a table read that found its own epoch unchanged, or after it sent
// heartbeats that a majority of the epoch's members acknowledged. Both count only if the host has applied every settings
// revision that the read or the acknowledgements state, and the one that the epoch states.
//
// Machine is the state machine; it does no I/O and takes the time as an argument. Runtime runs it.
//
// # Why two hosts never claim the same key
//
// An epoch is settled once so many members of the epoch before have learned it or have ended that the others are no majority;
// of two members, one is enough. An acknowledgement states its sender's epoch, and a host that hears of a newer epoch adopts
// it at once, since the message carries it. So once an epoch is settled, no majority's acknowledgements renew a lease in the
// epoch before, and a table read does not either. What changed hands is free the time Lease + Margin after a host saw that its epoch is settled; until then FreeAt
// moves ahead. An epoch is replaced only by a host that knows that it is settled, so that all older epochs are closed too.
// This holds for joins as well as for exclusions: a join can dilute the majority of an older epoch.
//
// A host that holds a key in epoch n and owns it in epoch n+1 holds it without a gap. A host that learns epoch n+2 without
// n+1 does not: another host may have owned the key in between. It must wait for FreeAt as a new owner does.
//
// Promises keep a host from being excluded while a majority can hear it. They do not carry the safety above and end after
// 30 heartbeats; one without end would shut a host out for the length of a store outage that began before the exclusion.
//
// # Ended processes
//
// A member has ended if another process of the same host answers at the member's peer address. Addresses are taken to lead
// to one process at a time. An ended member counts as having learned every epoch and as having promised every exclusion, and
// is excluded without suspicion, so that a fleet whose processes were all restarted forms an epoch again. Hosts that are lost for good count
// as members until a majority of the others has excluded them; if more than half of an epoch is lost for good and no process
// answers at their addresses, the epoch cannot change until an operator calls DeclareEnded.
//
// # Limits
//
// A cell has at most about 16 members; each member sends a heartbeat to each other one. Every member reads the table; the
// rotating reader for large fleets is not implemented. Clocks may drift apart by Margin/Lease in rate.
package membership
