// Package tableclaims stores the claims and results of operations in the platform's table, where they survive a failure of
// the owner of their slot.
//
// A claim is a row that is written conditionally before the operation runs. If several hosts consider themselves owners of
// a slot, one of them wins. Writes of many operations share a transaction: they are batched while another transaction is in
// progress.
// Every write carries a new random version, so a write that takes effect late never matches a condition on a later state of
// the row.
//
// Store does not know which claims may be granted. Its caller must check its lease again after Claim, and must release a
// claim that it does not grant.
package tableclaims
