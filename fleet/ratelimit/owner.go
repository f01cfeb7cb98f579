package ratelimit

import (
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// retryUnknown is the retry time of an answer if the reserve has no rate to tell when a token is due.
const unknownRetryAfter = 100 * time.Millisecond

// longestTurn bounds how much longer than for the next token a holder waits for its turn, because the holders before it may
// not come back.
const maxRetryStagger = 250 * time.Millisecond

// longestRetry bounds the retry time of an answer, because a holder does not ask again before.
const maxRetryAfter = time.Second

// loan is what the owner counts for one holder.
type loan struct {
	holder fleet.Identity
	// seq is the newest report seen.
	seq uint64
	// expiry and borrowExpiry are when the loan ends by the owner's count, margin included.
	expiry, borrowExpiry int64
	// rate and burst are the larger of what the holder reported and what it was granted, in shares.
	rate, burst uint32
	// borrowed is in billionths of the burst.
	borrowed uint32
	demand   float32
}

// Owner divides the limits of one customer. It is not safe for concurrent use.
type Owner struct {
	limits Limits
	// reserve is in bursts.
	reserve  Bucket
	loans    []loan
	granting bool
	// nextTurn is the time at which the next holder that is refused may ask again.
	nextRetryAt int64
	// refilledAt is the time until which the reserve may lack tokens only because it did not start full. A refusal before does
	// not show that the customer is over its limit.
	refilledAt int64
}

// NewOwner returns an owner that grants at once. tokens is the level of its reserve in bursts, between 0 and 1.
func NewOwner(now time.Time, limits Limits, tokens float64) *Owner {
	o := &Owner{limits: limits, granting: true, reserve: NewBucket(now, limits.refill(), 1, tokens)}
	o.setRefilledAt(now, 1-tokens)
	return o
}

// NewCarryingOwner returns an owner that follows another: it honours the slices that holders report and grants nothing
// new until Start.
func NewSuccessorOwner(now time.Time, limits Limits) *Owner {
	return &Owner{limits: limits, reserve: NewBucket(now, 0, 0, 0)}
}

// Start begins granting, with an empty reserve of what no holder has reported. The caller makes sure that no slice
// exists that was not reported.
func (o *Owner) StartGranting(now time.Time) {
	o.granting = true
	o.reserve = NewBucket(now, 0, 0, 0)
	o.setRefilledAt(now, 1)
	o.expireLoans(now)
}

// startRefill notes how long it takes until the missing part of the burst has refilled. Holders wait for a new owner only
// during the handover window, and a large burst may take hours.
func (o *Owner) setRefilledAt(now time.Time, missing float64) {
	seconds := min(max(0, missing)/o.limits.refill(), handoverWindow.Seconds())
	o.refilledAt = now.UnixNano() + int64(seconds*float64(time.Second))
}

// Granting reports whether the owner grants anything new.
func (o *Owner) Granting() bool { return o.granting }

// settle drops what has expired and sizes the reserve. Loans may move in memory.
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

// sizeReserve gives the reserve the rate and burst that no loan holds.
func (o *Owner) resizeReserve(now time.Time) {
	if !o.granting {
		return
	}
	rate, burst := o.unallocated()
	o.reserve.Resize(now, shareFraction(rate)*o.limits.refill(), tokensFraction(burst))
}

// unlent returns the rate that no loan holds, in shares, and the burst that no loan holds, in billionths.
func (o *Owner) unallocated() (rate, burst uint32) {
	rate, burst = WholeShare, WholeTokens
	for i := range o.loans {
		l := &o.loans[i]
		rate -= min(rate, l.rate)
		burst -= min(burst, shareToTokens(l.burst)+l.borrowed)
	}
	return rate, burst
}

// Handle answers a report. life is how long the granted slice lasts, at most SliceLife.
func (o *Owner) Handle(now time.Time, from fleet.Identity, report Report, life time.Duration) Grant {
	o.expireLoans(now)
	l := o.loanOf(from)
	if report.Seq <= l.seq {
		return Grant{Seq: report.Seq, Stale: true}
	}
	// No settle below: it would move the loan.
	o.applyReport(now, l, report)
	grant := Grant{Seq: report.Seq, TTL: life}
	if o.granting {
		grant.Refilling = now.UnixNano() < o.refilledAt
		o.grantSlice(now, l, report, &grant)
		o.grantBorrow(now, l, report, &grant)
	} else {
		grant.Rate, grant.Burst, grant.NotGranting = l.rate, l.burst, true
		grant.RetryAfter = unknownRetryAfter
	}
	l.expiry = now.Add(effectiveTTL(life) + ClockDriftMargin).UnixNano()
	switch {
	case report.empty() && grant.empty():
		// The loan of a holder that has nothing is kept only for its sequence number, until older reports have timed out.
		l.expiry = now.Add(ClockDriftMargin).UnixNano()
	case l.rate == 0 && l.burst == 0:
		// Without a slice only what was borrowed is lent, which has its own expiry.
		l.expiry = now.Add(min(life, emptyLoanTTL) + ClockDriftMargin).UnixNano()
	}
	return grant
}

// countedLife is how long a loan of the given life may be in use at the most.
func effectiveTTL(life time.Duration) time.Duration {
	if life >= SliceTTL {
		return SameEpochSliceTTL
	}
	return life
}

// loanOf returns the loan of a holder, which it adds if there is none. The pointer is valid until the next settle.
func (o *Owner) loanOf(holder fleet.Identity) *loan {
	i := slices.IndexFunc(o.loans, func(l loan) bool { return l.holder == holder })
	if i < 0 {
		i = len(o.loans)
		o.loans = append(o.loans, loan{holder: holder})
	}
	return &o.loans[i]
}

// accept replaces the count of a loan by what its holder reports. A granting owner knows every loan, so a report can
// only lower the count; a report that states more is older than the expiry of the loan.
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

// grantSlice resizes the slice towards the holder's share by demand and tops it up. A larger slice is limited to what the
// reserve has; a smaller one counts at its old size until the next report.
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
	if room := shareToTokens(grant.Burst); room > report.Cap {
		// A larger part would leave nothing to the holders that renew last.
		part := max(0, o.reserve.Tokens(now)) * shareFraction(grant.Rate)
		grant.Tokens = min(room-report.Cap, floorTokens(part))
		o.reserve.tokens -= tokensFraction(grant.Tokens)
	}
	l.rate = max(l.rate, grant.Rate)
	l.burst = max(l.burst, grant.Burst)
	o.resizeReserve(now)
}

// target returns the slice that the holder should have, in shares.
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
	// A customer whose burst is small lends the same part of it at any load.
	small := min(burstPerRate*demands[index]/total, fullSliceBurst*demandHeadroom/o.limits.Burst)
	least := minSliceBurst / o.limits.Burst
	burstShare := min(1, max(share*burstPerRate, small, least))
	share *= min(1, max(minSliceHeadroom, burstShare*o.limits.Burst/fullSliceBurst)/demandHeadroom)
	return uint32(share * WholeShare), uint32(burstShare * WholeShare)
}

// grantBorrow lends tokens of the reserve, or tells when one is due.
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

// retryAfter returns the time after which a holder that was refused may ask again. Each refusal is given the time of its
// own token: given the same time, all holders would ask again at once for one token.
func (o *Owner) retryAfter(now time.Time, need float64) time.Duration {
	wait := o.reserve.TimeUntil(now, need)
	if wait == never || o.reserve.rate <= 0 {
		return unknownRetryAfter
	}
	turn := max(wait, time.Duration(o.nextRetryAt-now.UnixNano()))
	turn = min(max(turn, time.Millisecond), max(wait, maxRetryStagger), maxRetryAfter)
	perToken := time.Duration(min(o.limits.cost()/o.reserve.rate, maxRetryStagger.Seconds()) * float64(time.Second))
	o.nextRetryAt = now.Add(turn + perToken).UnixNano()
	return turn
}

// borrowed is the part of the burst that counts as borrowed.
func (o *Owner) borrowed() float64 {
	var sum float64
	for i := range o.loans {
		sum += tokensFraction(o.loans[i].borrowed)
	}
	return sum
}

// Exclude ends the loans of holders that are not members at freeAt at the latest.
func (o *Owner) Exclude(freeAt time.Time, isMember func(fleet.Identity) bool) {
	end := freeAt.UnixNano()
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

// SetLimits applies new limits. Slices and reserve are shares, so they scale by themselves.
func (o *Owner) SetLimits(now time.Time, limits Limits) {
	o.expireLoans(now)
	o.limits = limits
	o.resizeReserve(now)
}

// Idle reports whether the owner can be dropped: it counts no loans and its reserve is full.
func (o *Owner) Idle(now time.Time) bool {
	o.expireLoans(now)
	return o.granting && len(o.loans) == 0 && o.reserve.Tokens(now) >= 1
}
