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
//
// With settings.ClaimsAuto claims are kept in memory only during an outage of the table. A host states in the table until
// when it does not do so, and starts only after that time. When it returns to the table it states the end of the gap. A
// new owner reads the statements of all hosts of the cell: what was claimed after the last gap must have a row; for an
// older operation only a row with a result is an answer.
package idempotency
