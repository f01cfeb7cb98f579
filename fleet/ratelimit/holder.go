package ratelimit

import (
	"math"
	"time"
)

// capRefillAllowance is the time of refill for which a holder leaves room when it caps its bucket while a report is
// outstanding. It is longer than the call timeout, so the cap loses no tokens.
const capRefillAllowance = 300 * time.Millisecond

// Holder holds the slice and the borrowed tokens of one customer on one host. It is not safe for concurrent use.
type Holder struct {
	limits Limits
	// bucket holds the tokens of the slice in bursts. Its burst is the cap while a report is outstanding.
	bucket         Bucket
	borrowed       float64
	pendingReturn  float64
	outstandingSeq uint64
	sentAt         int64
	// sliceExpiry is when the slice expires. While sameEpoch is true, it expires at sameEpochExpiry instead.
	sliceExpiry     int64
	sameEpochExpiry int64
	sameEpoch       bool
	borrowExpiry    int64
	rate, burst     uint32
}

// NewHolder returns a holder without a slice.
func NewHolder(now time.Time, limits Limits) Holder {
	return Holder{limits: limits, bucket: NewBucket(now, 0, 0, 0)}
}

func shareFraction(share uint32) float64   { return float64(share) / WholeShare }
func tokensFraction(tokens uint32) float64 { return float64(tokens) / WholeTokens }
func floorTokens(tokens float64) uint32    { return uint32(max(0, math.Floor(tokens*WholeTokens))) }
func ceilTokens(tokens float64) uint32     { return uint32(max(0, math.Ceil(tokens*WholeTokens))) }
func shareToTokens(share uint32) uint32    { return share * (WholeTokens / WholeShare) }

// expire drops the slice and the borrowed tokens that have expired.
func (h *Holder) expire(now time.Time) {
	at := now.UnixNano()
	end := h.sliceExpiry
	if h.sameEpoch {
		end = h.sameEpochExpiry
	}
	if at >= end && (h.rate != 0 || h.burst != 0 || h.pendingReturn != 0) {
		h.rate, h.burst, h.pendingReturn = 0, 0, 0
		h.bucket = NewBucket(now, 0, 0, 0)
	}
	if at >= h.borrowExpiry {
		h.borrowed = 0
	}
}

// Take takes the token for one request. It returns false if the host holds none. Borrowed tokens are used first because
// they expire sooner.
func (h *Holder) Take(now time.Time) bool {
	h.expire(now)
	cost := h.limits.cost()
	if h.borrowed >= cost {
		h.borrowed -= cost
		return true
	}
	if h.bucket.Tokens(now)+h.borrowed < cost*(1-takeTolerance) {
		return false
	}
	h.bucket.tokens -= cost - h.borrowed
	h.borrowed = 0
	return true
}

// TimeUntilToken returns the time until the slice has refilled to one token without borrowing, or more than 100 years if it
// never will.
func (h *Holder) TimeUntilToken(now time.Time) time.Duration {
	h.expire(now)
	return h.bucket.TimeUntil(now, h.limits.cost())
}

// HasSlice reports whether the holder has an unexpired slice.
func (h *Holder) HasSlice(now time.Time) bool {
	h.expire(now)
	return h.rate > 0
}

// Empty reports whether the holder holds nothing and has no report outstanding.
func (h *Holder) Empty(now time.Time) bool {
	h.expire(now)
	return h.rate == 0 && h.burst == 0 && h.borrowed == 0 && h.outstandingSeq == 0
}

// Report abandons the outstanding report, if any, and returns a new one. demand is in requests per second. want is the
// number of requests to borrow tokens for, 0 for a renewal.
func (h *Holder) Report(now time.Time, seq uint64, demand, want float64) Report {
	h.Abandon(now)
	h.expire(now)
	tokens := h.bucket.Tokens(now)
	level := min(shareFraction(h.burst), tokens+h.bucket.rate*capRefillAllowance.Seconds())
	// The cap is rounded up in the message, so the bucket never exceeds the reported cap.
	h.bucket.burst = max(level, 0)
	report := Report{
		Seq: seq, Rate: h.rate, Burst: h.burst,
		Cap:      min(ceilTokens(h.bucket.burst), shareToTokens(h.burst)),
		Borrowed: ceilTokens(h.borrowed),
		Returned: floorTokens(h.pendingReturn),
		Demand:   float32(demand),
	}
	if want > 0 {
		cost := h.limits.cost()
		held := max(0, tokens+h.borrowed)
		report.Need = ceilTokens(min(1, max(0, cost-held)))
		report.Want = max(report.Need, ceilTokens(min(1, max(0, want*cost-held))))
	}
	h.pendingReturn = 0
	h.outstandingSeq = seq
	h.sentAt = now.UnixNano()
	return report
}

// Release drops the slice and the borrowed tokens and returns the report that returns them to the owner.
func (h *Holder) Release(now time.Time, seq uint64) Report {
	h.Abandon(now)
	h.expire(now)
	returned := max(0, h.bucket.Tokens(now)+h.borrowed+h.pendingReturn)
	*h = NewHolder(now, h.limits)
	return Report{Seq: seq, Returned: floorTokens(returned)}
}

// Abandon abandons the outstanding report: its grant will not be applied.
func (h *Holder) Abandon(now time.Time) {
	if h.outstandingSeq == 0 {
		return
	}
	h.outstandingSeq = 0
	h.bucket.Resize(now, h.bucket.rate, shareFraction(h.burst))
}

// EndEpoch records that the epoch of the last grant has ended. The owner may have changed, so without a renewal in the new
// epoch the slice expires SliceTTL after the last renewal.
func (h *Holder) EndEpoch() { h.sameEpoch = false }

// OutstandingSeq returns the sequence number of the report whose grant has not arrived, or 0.
func (h *Holder) OutstandingSeq() uint64 { return h.outstandingSeq }

// Apply applies a grant. It returns false, without a change, if the grant does not belong to the outstanding report. It also
// returns false if the grant is stale; the report is then abandoned.
func (h *Holder) Apply(now time.Time, grant Grant) bool {
	if grant.Seq == 0 || grant.Seq != h.outstandingSeq {
		return false
	}
	if grant.Stale {
		h.Abandon(now)
		return false
	}
	h.expire(now)
	h.outstandingSeq = 0
	h.applySlice(now, grant)
	h.sliceExpiry = h.sentAt + int64(grant.TTL)
	h.sameEpochExpiry = h.sentAt + int64(effectiveTTL(grant.TTL))
	h.sameEpoch = true
	if grant.Borrowed > 0 {
		h.borrowed += tokensFraction(grant.Borrowed)
		h.borrowExpiry = h.sentAt + int64(BorrowTTL)
	}
	h.expire(now)
	return true
}

// applySlice resizes the slice and keeps the tokens that no longer fit, to return them with the next report. They stay
// within the bound, because the owner counts the old burst until that report arrives.
func (h *Holder) applySlice(now time.Time, grant Grant) {
	tokens := h.bucket.Tokens(now) + tokensFraction(grant.Tokens)
	h.rate = grant.Rate
	h.burst = grant.Burst
	burst := shareFraction(grant.Burst)
	h.pendingReturn = max(0, tokens-burst)
	h.bucket = NewBucket(now, shareFraction(grant.Rate)*h.limits.refill(), burst, tokens)
}

// SetLimits applies new limits. Rate, burst and tokens of the slice scale with them.
func (h *Holder) SetLimits(now time.Time, limits Limits) {
	h.expire(now)
	h.limits = limits
	h.bucket.Resize(now, shareFraction(h.rate)*limits.refill(), h.bucket.burst)
}
