// Package tableclaims keeps the claims and results of operations in the platform's table, so that they survive the loss
// of the owner of their slot.
//
// A claim is a row that is written under a condition before the operation runs: of several owners that believe to own a
// slot, one wins. Writes of many operations share a transaction; they are collected while another write is under way.
// Every write carries a new random version, so that a write that takes effect late can never match a condition that was
// meant for a later state of the row.
//
// Store does not know which claims may be granted. Its caller must check its lease again after Claim, and must give back
// a claim that it does not grant.
package tableclaims
