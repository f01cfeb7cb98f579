// Package idempotency makes a non-idempotent operation run at most once in a fleet.
//
// An operation is identified by its customer and an id chosen by the caller, a UUID version 7. A hash of both selects the
// slot of the operation, which is owned by one host of the epoch. The host that serves a request claims the operation at
// the owner, runs it and reports the result. Ledger is the state of an owner, without I/O. Operations is the runtime that
// decides on claims and makes them.
//
// Records are kept in memory. If an owner fails, its records are lost. Claims of ids that it may have granted are then
// rejected with "outcome unknown", and the operations are never run again.
//
// With settings.ClaimsInTable an operation also has a row in the platform's table, which is written before the claim is
// granted. A new owner can then read the state of an operation that it has no record of. If the table is unavailable, or
// the host has none, such an operation is rejected with kind claims_unavailable.
//
// With settings.ClaimsAuto claims are kept in memory only during an outage of the table. Each host has a lease in the
// table: a wall time before which it grants no memory-only claims. The host starts to grant them only after that time.
// When it can write to the table again, it stores the end of the gap, which is the last time at which it may have granted
// memory-only claims. A new owner reads the leases of all hosts of the cell. Each operation that was claimed after the last
// gap must have a row. For an older operation only a row with a result decides.
package idempotency
