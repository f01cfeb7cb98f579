// Package ratelimit enforces each customer's rate and burst over all hosts of the fleet together.
//
// The owner of a customer, determined by the epoch, divides the customer's rate and burst into slices and lends them to
// the hosts that serve the customer (holders). What is not lent is the owner's reserve. A slice refills without calls to
// the owner, so traffic continues while the owner is unavailable. A holder whose bucket is empty borrows tokens from the
// reserve.
//
// Holder, Owner, Bucket and Checker are pure: they do no I/O and receive the time as an argument. Limiter runs them on a
// host and makes the calls between hosts.
//
// Units. Rates and bursts of slices are shares of the customer's whole rate and burst in parts per million (WholeShare).
// Sums are therefore exact, and a changed limit scales every slice without a message. Tokens are transferred in billionths
// of the customer's burst (WholeTokens). An admission costs 1/burst of the whole.
//
// Bound. Admissions over any interval t are at most rate*t + burst, for two reasons. The shares that the owner counts never
// sum to more than the whole. A holder's tokens plus the tokens in flight to it never exceed the burst that the owner counts
// for it, because the holder caps its bucket while a report is outstanding, at the level stated in the report.
//
// Policy. Slices are sized by measured demand with max-min fairness and some headroom. Rate and burst beyond that stay in
// the reserve, from which an empty holder borrows within one round trip. Holders of customers with a small burst or a small
// demand have no slice and borrow each token, so requests of such customers are rejected while their owner is lost.
//
// Ownership. The epoch assigns a customer's owner by a different key than the customer's shuffle shard. The loss of one host
// therefore seldom takes both the owner and a part of the slices.
//
// Limits. A lost response loses the tokens that it carried. A new owner grants nothing until every member has reported its
// slices, or until the last slice of the former owner has expired.
package ratelimit
