package ratelimit

import (
	"math"
	"time"
)

// capAllowance is how much refill a holder allows for when it caps its bucket for the duration of a request. It covers
// the call timeout, so that the cap loses no token.
const capAllowance = 300 * time.Millisecond

// Holder is what one host holds of one customer. It is not safe for concurrent use.
type Holder struct {
	limits Limits
	// bucket holds the tokens of the slice in bursts. Its burst is the cap while a report is outstanding.
	bucket      Bucket
	borrowed    float64
	returning   float64
	outstanding uint64
	sentAt      int64
	// expiry is the end of the slice, and keptUntil its end while kept is true.
	expiry       int64
	keptUntil    int64
	kept         bool
	borrowExpiry int64
	rate, burst  uint32
}

// NewHolder returns a holder without a slice.
func NewHolder(now time.Time, limits Limits) Holder {
	return Holder{limits: limits, bucket: NewBucket(now, 0, 0, 0)}
}

func shareOf(share uint32) float64      { return float64(share) / WholeShare }
func tokensOf(tokens uint32) float64    { return float64(tokens) / WholeTokens }
func tokensDown(tokens float64) uint32  { return uint32(max(0, math.Floor(tokens*WholeTokens))) }
func tokensUp(tokens float64) uint32    { return uint32(max(0, math.Ceil(tokens*WholeTokens))) }
func shareInTokens(share uint32) uint32 { return share * (WholeTokens / WholeShare) }

// expire drops what has expired.
func (h *Holder) expire(now time.Time) {
	at := now.UnixNano()
	end := h.expiry
	if h.kept {
		end = h.keptUntil
	}
	if at >= end && (h.rate != 0 || h.burst != 0 || h.returning != 0) {
		h.rate, h.burst, h.returning = 0, 0, 0
		h.bucket = NewBucket(now, 0, 0, 0)
	}
	if at >= h.borrowExpiry {
		h.borrowed = 0
	}
}

// Take takes the token for one request and returns false if the host holds none. Borrowed tokens go first because they
// expire sooner.
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

// NextToken returns the time until the slice by itself holds a token, and over 100 years if it never will.
func (h *Holder) NextToken(now time.Time) time.Duration {
	h.expire(now)
	return h.bucket.TimeUntil(now, h.limits.cost())
}

// HasSlice reports whether the holder has an unexpired slice of the rate.
func (h *Holder) HasSlice(now time.Time) bool {
	h.expire(now)
	return h.rate > 0
}

// Empty reports whether the holder holds nothing and waits for no answer.
func (h *Holder) Empty(now time.Time) bool {
	h.expire(now)
	return h.rate == 0 && h.burst == 0 && h.borrowed == 0 && h.outstanding == 0
}

// Report gives up the outstanding report, if any, and returns a new one. demand is in requests per second; want is the
// number of requests that wait for tokens, 0 for a renewal.
func (h *Holder) Report(now time.Time, seq uint64, demand, want float64) Report {
	h.Abandon(now)
	h.expire(now)
	tokens := h.bucket.Tokens(now)
	level := min(shareOf(h.burst), tokens+h.bucket.rate*capAllowance.Seconds())
	// The cap is rounded up in the message, so the bucket never exceeds what the owner was told.
	h.bucket.burst = max(level, 0)
	report := Report{
		Seq: seq, Rate: h.rate, Burst: h.burst,
		Cap:      min(tokensUp(h.bucket.burst), shareInTokens(h.burst)),
		Borrowed: tokensUp(h.borrowed),
		Returned: tokensDown(h.returning),
		Demand:   float32(demand),
	}
	if want > 0 {
		cost := h.limits.cost()
		held := max(0, tokens+h.borrowed)
		report.Need = tokensUp(min(1, max(0, cost-held)))
		report.Want = max(report.Need, tokensUp(min(1, max(0, want*cost-held))))
	}
	h.returning = 0
	h.outstanding = seq
	h.sentAt = now.UnixNano()
	return report
}

// Release gives everything back and returns the report that says so.
func (h *Holder) Release(now time.Time, seq uint64) Report {
	h.Abandon(now)
	h.expire(now)
	returned := max(0, h.bucket.Tokens(now)+h.borrowed+h.returning)
	*h = NewHolder(now, h.limits)
	return Report{Seq: seq, Returned: tokensDown(returned)}
}

// Abandon gives up the outstanding report: its answer will not be taken.
func (h *Holder) Abandon(now time.Time) {
	if h.outstanding == 0 {
		return
	}
	h.outstanding = 0
	h.bucket.Resize(now, h.bucket.rate, shareOf(h.burst))
}

// EndEpoch notes that the epoch of the last grant has ended. Without a renewal in the new epoch the slice lasts no longer than
// SliceLife after the last one, because its owner may have changed.
func (h *Holder) EndEpoch() { h.kept = false }

// Outstanding returns the sequence number of the report that waits for its answer, or 0.
func (h *Holder) Outstanding() uint64 { return h.outstanding }

// Apply takes a grant and returns false if it does not answer the outstanding report.
func (h *Holder) Apply(now time.Time, grant Grant) bool {
	if grant.Seq == 0 || grant.Seq != h.outstanding {
		return false
	}
	if grant.Stale {
		h.Abandon(now)
		return false
	}
	h.expire(now)
	h.outstanding = 0
	h.applySlice(now, grant)
	h.expiry = h.sentAt + int64(grant.Life)
	h.keptUntil = h.sentAt + int64(countedLife(grant.Life))
	h.kept = true
	if grant.Borrowed > 0 {
		h.borrowed += tokensOf(grant.Borrowed)
		h.borrowExpiry = h.sentAt + int64(BorrowLife)
	}
	h.expire(now)
	return true
}

// applySlice resizes the slice and keeps the tokens that no longer fit, to return them with the next report. They are
// still covered: the owner counts the old burst until that report arrives.
func (h *Holder) applySlice(now time.Time, grant Grant) {
	tokens := h.bucket.Tokens(now) + tokensOf(grant.Tokens)
	h.rate = grant.Rate
	h.burst = grant.Burst
	burst := shareOf(grant.Burst)
	h.returning = max(0, tokens-burst)
	h.bucket = NewBucket(now, shareOf(grant.Rate)*h.limits.refill(), burst, tokens)
}

// SetLimits applies new limits: rate, burst and tokens of the slice scale with them.
func (h *Holder) SetLimits(now time.Time, limits Limits) {
	h.expire(now)
	h.limits = limits
	h.bucket.Resize(now, shareOf(h.rate)*limits.refill(), h.bucket.burst)
}
