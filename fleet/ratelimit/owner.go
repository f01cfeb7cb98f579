package ratelimit

import (
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// unknownRetryAfter is the RetryAfter if the time of the next token is unknown, for example because the reserve does not refill.
const unknownRetryAfter = 100 * time.Millisecond

// maxRetryStagger bounds the RetryAfter of holders whose retries are staggered, unless the next token is due later. The
// holders whose retries are due earlier may never retry, and their tokens would stay unused meanwhile.
const maxRetryStagger = 250 * time.Millisecond

// maxRetryAfter bounds the RetryAfter of a grant, because a holder does not try to borrow earlier.
const maxRetryAfter = time.Second

// loan is what the owner counts as lent to one holder.
type loan struct {
	holder fleet.Identity
	// seq is the sequence number of the newest report that was handled.
	seq uint64
	// expiry and borrowExpiry are when the owner stops counting the slice and the borrowed tokens, ClockDriftMargin included.
	expiry, borrowExpiry int64
	// rate and burst are the larger of what the holder has reported and what it was granted, in shares.
	rate, burst uint32
	// borrowed is in billionths of the burst.
	borrowed uint32
	demand   float32
}

// Owner divides the limits of one customer. It is not safe for concurrent use.
type Owner struct {
	limits Limits
	// reserve holds the tokens that are not lent, in bursts.
	reserve  Bucket
	loans    []loan
	granting bool
	// nextRetryAt is the earliest time at which the next holder whose borrow is denied should retry.
	nextRetryAt int64
	// refilledAt is the time until which the reserve may lack tokens only because it did not start full. Before it, a denied
	// borrow does not show that the customer is over its limit.
	refilledAt int64
}

// NewOwner returns an owner that grants at once. tokens is the initial level of its reserve in bursts, between 0 and 1.
func NewOwner(now time.Time, limits Limits, tokens float64) *Owner {
	o := &Owner{limits: limits, granting: true, reserve: NewBucket(now, limits.refill(), 1, tokens)}
	o.setRefilledAt(now, 1-tokens)
	return o
}

// NewSuccessorOwner returns an owner that succeeds another: until StartGranting, it confirms the slices that holders report
// and grants nothing new.
func NewSuccessorOwner(now time.Time, limits Limits) *Owner {
	return &Owner{limits: limits, reserve: NewBucket(now, 0, 0, 0)}
}

// StartGranting makes a successor grant. Its reserve has the rate and burst that no holder has reported, and starts without
// tokens. The caller must make sure that no slice exists that was not reported.
func (o *Owner) StartGranting(now time.Time) {
	o.granting = true
	o.reserve = NewBucket(now, 0, 0, 0)
	o.setRefilledAt(now, 1)
	o.expireLoans(now)
}

// setRefilledAt computes when the missing fraction of the burst has refilled. It limits the time to handoverWindow, because
// holders do not wait for a new owner for longer and a large burst may take hours to refill.
func (o *Owner) setRefilledAt(now time.Time, missing float64) {
	seconds := min(max(0, missing)/o.limits.refill(), handoverWindow.Seconds())
	o.refilledAt = now.UnixNano() + int64(seconds*float64(time.Second))
}

// Granting reports whether the owner grants anything new.
func (o *Owner) Granting() bool { return o.granting }

// expireLoans drops loans that have expired and resizes the reserve. It invalidates pointers to loans.
func (o *Owner) expireLoans(now time.Time) {
	at := now.UnixNano()
	kept := o.loans[:0]
	for i := range o.loans {
		l := o.loans[i]
		if at >= l.borrowExpiry {
			l.borrowed = 0
		}
		if at >= l.expiry {
			l.rate, l.burst = 0, 0
		}
		if at < l.expiry || l.borrowed != 0 {
			kept = append(kept, l)
		}
	}
	o.loans = kept
	o.resizeReserve(now)
}

// resizeReserve sets the rate and burst of the reserve to what is not lent.
func (o *Owner) resizeReserve(now time.Time) {
	if !o.granting {
		return
	}
	rate, burst := o.unallocated()
	o.reserve.Resize(now, shareFraction(rate)*o.limits.refill(), tokensFraction(burst))
}

// unallocated returns the rate that is not lent, in shares, and the burst that is not lent, in billionths.
func (o *Owner) unallocated() (rate, burst uint32) {
	rate, burst = WholeShare, WholeTokens
	for i := range o.loans {
		l := &o.loans[i]
		rate -= min(rate, l.rate)
		burst -= min(burst, shareToTokens(l.burst)+l.borrowed)
	}
	return rate, burst
}

// Handle applies a report and returns the grant. ttl is the TTL of the granted slice, at most SliceTTL.
func (o *Owner) Handle(now time.Time, from fleet.Identity, report Report, ttl time.Duration) Grant {
	o.expireLoans(now)
	l := o.loanOf(from)
	if report.Seq <= l.seq {
		return Grant{Seq: report.Seq, Stale: true}
	}
	// Do not call expireLoans below: it would move the loan in memory.
	o.applyReport(now, l, report)
	grant := Grant{Seq: report.Seq, TTL: ttl}
	if o.granting {
		grant.Refilling = now.UnixNano() < o.refilledAt
		o.grantSlice(now, l, report, &grant)
		o.grantBorrow(now, l, report, &grant)
	} else {
		grant.Rate, grant.Burst, grant.NotGranting = l.rate, l.burst, true
		grant.RetryAfter = unknownRetryAfter
	}
	l.expiry = now.Add(effectiveTTL(ttl) + ClockDriftMargin).UnixNano()
	switch {
	case report.empty() && grant.empty():
		// The loan of a holder that has nothing is kept only for its sequence number, until older reports have timed out.
		l.expiry = now.Add(ClockDriftMargin).UnixNano()
	case l.rate == 0 && l.burst == 0:
		// Without a slice only tokens are lent, and borrowExpiry covers those.
		l.expiry = now.Add(min(ttl, emptyLoanTTL) + ClockDriftMargin).UnixNano()
	}
	return grant
}

// effectiveTTL returns the longest time for which a holder may use a slice of the given TTL.
func effectiveTTL(ttl time.Duration) time.Duration {
	if ttl >= SliceTTL {
		return SameEpochSliceTTL
	}
	return ttl
}

// loanOf returns the loan of a holder and adds one if there is none. The pointer is valid until the next expireLoans.
func (o *Owner) loanOf(holder fleet.Identity) *loan {
	i := slices.IndexFunc(o.loans, func(l loan) bool { return l.holder == holder })
	if i < 0 {
		i = len(o.loans)
		o.loans = append(o.loans, loan{holder: holder})
	}
	return &o.loans[i]
}

// applyReport replaces the count of a loan by what its holder reports. A granting owner has counted every loan, so a report
// can only lower the count. A report that states more was sent before the loan expired.
func (o *Owner) applyReport(now time.Time, l *loan, report Report) {
	l.seq = report.Seq
	l.demand = report.Demand
	if !o.granting {
		l.rate, l.burst, l.borrowed = report.Rate, report.Burst, report.Borrowed
		l.borrowExpiry = now.Add(BorrowTTL + ClockDriftMargin).UnixNano()
		return
	}
	freed := shareToTokens(l.burst-min(l.burst, report.Burst)) + l.borrowed - min(l.borrowed, report.Borrowed)
	l.rate = min(l.rate, report.Rate)
	l.burst = min(l.burst, report.Burst)
	l.borrowed = min(l.borrowed, report.Borrowed)
	o.resizeReserve(now)
	o.reserve.Add(now, tokensFraction(min(report.Returned, freed)))
}

// grantSlice resizes the slice towards the target for the holder's demand and adds tokens to it. A slice grows by at most
// what is not lent. A slice that shrinks counts at its old size until the next report.
func (o *Owner) grantSlice(now time.Time, l *loan, report Report, grant *Grant) {
	rate, burst := o.target(l)
	spareRate, unlentBurst := o.unallocated()
	spareBurst := unlentBurst / (WholeTokens / WholeShare)
	spareBurst -= min(spareBurst, uint32(min(1, max(minReserveBurst, minReserveRequests/o.limits.Burst))*WholeShare))
	grant.Rate = min(rate, l.rate+spareRate)
	grant.Burst = min(burst, l.burst+spareBurst)
	if shareFraction(grant.Burst)*o.limits.Burst < 1 {
		grant.Rate, grant.Burst = 0, 0
	}
	if capacity := shareToTokens(grant.Burst); capacity > report.Cap {
		// A larger amount would leave nothing to the holders that renew last.
		amount := max(0, o.reserve.Tokens(now)) * shareFraction(grant.Rate)
		grant.Tokens = min(capacity-report.Cap, floorTokens(amount))
		o.reserve.tokens -= tokensFraction(grant.Tokens)
	}
	l.rate = max(l.rate, grant.Rate)
	l.burst = max(l.burst, grant.Burst)
	o.resizeReserve(now)
}

// target returns the slice that the holder should have, in shares. It is 0 if the holder should borrow each token.
func (o *Owner) target(l *loan) (rate, burst uint32) {
	const inline = 16
	var buffer [inline]float64
	demands := buffer[:0]
	index := 0
	var total float64
	for i := range o.loans {
		if &o.loans[i] == l {
			index = i
		}
		demand := float64(o.loans[i].demand) * demandHeadroom / o.limits.Rate
		demands = append(demands, demand)
		total += demand
	}
	share := targetRate(demands, index)
	if share <= 0 || l.demand < minKeptSliceDemand || (l.rate == 0 && l.demand < minSliceDemand) {
		return 0, 0
	}
	if burstPerRate*o.limits.Burst < minEvenBurst*float64(len(o.loans)) {
		return 0, 0
	}
	// A customer with a small burst lends the same share of it at any load.
	smallBurstShare := min(burstPerRate*demands[index]/total, fullSliceBurst*demandHeadroom/o.limits.Burst)
	minBurstShare := minSliceBurst / o.limits.Burst
	burstShare := min(1, max(share*burstPerRate, smallBurstShare, minBurstShare))
	share *= min(1, max(minSliceHeadroom, burstShare*o.limits.Burst/fullSliceBurst)/demandHeadroom)
	return uint32(share * WholeShare), uint32(burstShare * WholeShare)
}

// grantBorrow lends tokens of the reserve, or sets RetryAfter if the reserve has too few.
func (o *Owner) grantBorrow(now time.Time, l *loan, report Report, grant *Grant) {
	if report.Want == 0 || grant.Tokens >= report.Need {
		return
	}
	need := report.Need - grant.Tokens
	level := floorTokens(o.reserve.Tokens(now))
	if level < need {
		grant.RetryAfter = o.retryAfter(now, tokensFraction(need))
		return
	}
	grant.Borrowed = max(need, min(report.Want, level/2))
	o.reserve.tokens -= tokensFraction(grant.Borrowed)
	l.borrowed += grant.Borrowed
	l.borrowExpiry = now.Add(BorrowTTL + ClockDriftMargin).UnixNano()
	o.resizeReserve(now)
	grant.Confirm = o.borrowed() > confirmBorrowThreshold
	if o.reserve.tokens >= o.limits.cost() {
		o.nextRetryAt = 0
	}
}

// retryAfter returns the time after which a holder whose borrow was denied may retry. Successive denials get the times of
// successive tokens. With the same time, all holders would retry at once for one token.
func (o *Owner) retryAfter(now time.Time, need float64) time.Duration {
	untilToken := o.reserve.TimeUntil(now, need)
	if untilToken == never || o.reserve.rate <= 0 {
		return unknownRetryAfter
	}
	retryAfter := max(untilToken, time.Duration(o.nextRetryAt-now.UnixNano()))
	retryAfter = min(max(retryAfter, time.Millisecond), max(untilToken, maxRetryStagger), maxRetryAfter)
	perToken := time.Duration(min(o.limits.cost()/o.reserve.rate, maxRetryStagger.Seconds()) * float64(time.Second))
	o.nextRetryAt = now.Add(retryAfter + perToken).UnixNano()
	return retryAfter
}

// borrowed returns the fraction of the burst that counts as borrowed.
func (o *Owner) borrowed() float64 {
	var sum float64
	for i := range o.loans {
		sum += tokensFraction(o.loans[i].borrowed)
	}
	return sum
}

// Exclude makes the loans of holders that are not members expire at takeoverAt, unless they expire earlier.
func (o *Owner) Exclude(takeoverAt time.Time, isMember func(fleet.Identity) bool) {
	end := takeoverAt.UnixNano()
	for i := range o.loans {
		l := &o.loans[i]
		if isMember(l.holder) {
			continue
		}
		l.expiry = min(l.expiry, end)
		l.borrowExpiry = min(l.borrowExpiry, end)
		l.demand = 0
	}
}

// SetLimits applies new limits. Slices and reserve are shares of the limits, so they scale without further changes.
func (o *Owner) SetLimits(now time.Time, limits Limits) {
	o.expireLoans(now)
	o.limits = limits
	o.resizeReserve(now)
}

// Idle reports whether the state of the owner can be dropped: it has no loans and its reserve is full.
func (o *Owner) Idle(now time.Time) bool {
	o.expireLoans(now)
	return o.granting && len(o.loans) == 0 && o.reserve.Tokens(now) >= 1
}
