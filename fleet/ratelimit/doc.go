// Package ratelimit enforces each customer's rate and burst over all hosts of the fleet together.
//
// The owner of a customer, determined by the epoch, divides the customer's rate and burst into slices and lends them to
// the hosts that serve the customer (holders). What is not lent is the owner's reserve. A slice refills by itself, so
// that traffic continues while the owner is away. A holder whose bucket is empty borrows tokens from the reserve.
//
// Holder, Owner, Bucket and Checker are pure: they do no I/O and receive the time as an argument. Limiter is the
// runtime around them.
//
// Units. Rates and bursts of slices are shares of the customer's whole rate and burst in parts per million (WholeShare),
// so that sums are exact and a changed limit scales every slice by itself. Tokens are moved in billionths of the
// customer's burst (WholeTokens). An admission costs one burst-th of the whole.
//
// Bound. Shares counted by the owner never sum to more than the whole, and a holder's tokens plus the tokens in flight to
// it never exceed the burst that the owner counts for it: while a request is outstanding, the holder caps its bucket at
// the level stated in the request. Hence admissions over any interval t are at most rate*t + burst.
//
// Policy. Slices follow measured demand with max-min fairness and some headroom; what demand does not need stays in the
// reserve, from which an empty holder borrows within one round trip. Holders of customers with a small burst or a small
// demand have no slice and borrow each token, so such customers are refused while their owner is lost.
//
// Ownership. The key of a customer's owner in the epoch is not that of its home set, so that the loss of one host seldom
// takes both the owner and a part of the slices.
//
// Limits. A lost answer loses the tokens that it carried. A new owner grants nothing until every member has reported its
// slices, or until the last slice of the former owner has expired.
package ratelimit
