// Package idempotency makes a non-idempotent operation run at most once in a fleet.
//
// An operation is named by its customer and an id that the caller chose, a UUID version 7. Its slot, a hash of both, is
// owned by one host of the epoch. The host that serves a request claims the operation at the owner, runs it and reports
// the result. Ledger is the pure state of an owner; Operations is the runtime that answers claims and makes them.
//
// Records live in memory. An owner that is lost takes its records with it; ids that it may have granted are then
// answered with "outcome unknown", never run again.
//
// With settings.ClaimsInTable an operation also has a row in the platform's table, which is written before the claim is
// granted. A new owner then finds out what became of an operation that it has no record of. Without the table such an
// operation is refused with kind claims_unavailable.
package idempotency
