// Package membership decides which hosts form the fleet, and until when each of them may do exclusive work.
//
// An epoch is one version of the list of members. The current epoch is a row of the platform's table, which changes by
// compare-and-set only. A host is active while it holds an activity lease. A lease lasts for the time Lease after the host did
// one of the following:
//
//   - It sent a table read that found the host's epoch unchanged.
//   - It sent heartbeats that a majority of the epoch's members acknowledged.
//
// Both count only if the host has applied the settings revision that the epoch states, and every revision that the read or the
// acknowledgements state.
//
// Machine is the state machine; it does no I/O and receives the time as an argument. Runtime runs it.
//
// # Why two hosts never claim the same key
//
// An epoch is settled when the members of the previous epoch that have neither learned it nor ended are no majority of the
// previous epoch. If the previous epoch has two members, one that has learned the new epoch is enough.
//
// An acknowledgement states the epoch of its sender. A host that receives a newer epoch adopts it at once, because the message
// carries it. So once an epoch is settled, neither the acknowledgements of a majority nor a table read can renew a lease in the
// previous epoch. A host may take over keys that changed owner from its takeover time on (View.TakeoverAt), which is
// Lease + Margin after it found that its epoch is settled. Until it finds that, TakeoverAt moves ahead.
//
// An epoch is replaced only by a host that has found it settled, so no lease can be renewed in any older epoch. This
// holds for joins as well as for exclusions: joins can dilute the majority of an older epoch.
//
// A host that holds a key in epoch n and owns it in epoch n+1 keeps holding it. This does not apply to a host that learns
// epoch n+2 without n+1, because another host may have owned the key in between. Such a host must wait for TakeoverAt, like a
// new owner.
//
// A learner is a host that is not a member of the epoch. It has no vote and owns nothing. Only acknowledgements renew its lease,
// table reads do not. It becomes a member once it has applied the current settings and a host has stored an epoch with it.
//
// A promise is a member's statement that it no longer acknowledges a suspected member. An exclusion requires the promises of a
// majority, so no host is excluded while a majority receives its heartbeats. The safety argument above does not depend on
// promises. They expire after 30 heartbeat intervals. A promise without expiry would keep a host inactive for the whole of a
// store outage that began before the exclusion was stored.
//
// # Ended processes
//
// A member has ended if another process of the same host responds at the member's peer address. The protocol assumes that an
// address leads to one process at a time. An ended member counts as having learned every epoch and as having promised every
// exclusion, and is excluded without suspicion. So a fleet whose processes were all restarted can form an epoch again.
//
// Hosts that are lost for good count as members until a majority of the members has promised to exclude them. If
// more than half of an epoch is lost for good and no process responds at the lost addresses, the epoch cannot change until an
// operator calls DeclareEnded.
//
// # Limits
//
// A cell, which is the set of hosts that share an epoch row, has at most about 16 members, because each member sends a heartbeat
// to each other one. Every member reads the table; a rotating reader for large fleets is not implemented. Clocks may
// differ in rate by up to Margin/Lease.
package membership
