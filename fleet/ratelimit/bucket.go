package ratelimit

import (
	"math"
	"time"
)

// Limits are a customer's limits.
type Limits struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests, at least 1.
	Burst float64
}

// valid reports whether the limits admit anything and can be divided.
func (l Limits) valid() bool { return l.Rate > 0 && l.Burst >= 1 && !math.IsInf(l.Rate+l.Burst, 0) }

// cost is one request as a fraction of the burst.
func (l Limits) cost() float64 { return 1 / l.Burst }

// refill is the refill of the whole customer in bursts per second.
func (l Limits) refill() float64 { return l.Rate / l.Burst }

// never is the wait for a token that does not come without a change of the slice.
const never = time.Duration(math.MaxInt64)

// takeTolerance is the part of the amount by which a bucket may be short because of float rounding. The shortage stays
// in the bucket as a negative level, so it does not add up.
const takeTolerance = 1e-9

// Bucket is a token bucket. The zero value holds nothing. The unit of its tokens is the caller's choice.
type Bucket struct {
	rate   float64
	burst  float64
	tokens float64
	at     int64
}

// NewBucket returns a bucket with rate in tokens per second and with burst and tokens in tokens.
func NewBucket(now time.Time, rate, burst, tokens float64) Bucket {
	return Bucket{rate: rate, burst: burst, tokens: min(tokens, burst), at: now.UnixNano()}
}

// Tokens returns the level of the bucket. A time before an earlier call's counts as the earlier time.
func (b *Bucket) Tokens(now time.Time) float64 {
	if elapsed := now.UnixNano() - b.at; elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*float64(elapsed)/float64(time.Second))
		b.at += elapsed
	}
	return b.tokens
}

// Take takes n tokens, or none and returns false if the bucket holds fewer.
func (b *Bucket) Take(now time.Time, n float64) bool {
	if b.Tokens(now) < n*(1-takeTolerance) {
		return false
	}
	b.tokens -= n
	return true
}

// Add adds n tokens and drops what exceeds the burst.
func (b *Bucket) Add(now time.Time, n float64) { b.tokens = min(b.burst, b.Tokens(now)+n) }

// Resize changes rate and burst from now on and drops the tokens that exceed the new burst.
func (b *Bucket) Resize(now time.Time, rate, burst float64) {
	tokens := b.Tokens(now)
	b.rate = rate
	b.burst = burst
	b.tokens = min(tokens, burst)
}

// TimeUntil returns the time until the bucket holds n tokens, and a value over 100 years if it never will.
func (b *Bucket) TimeUntil(now time.Time, n float64) time.Duration {
	short := n - b.Tokens(now)
	if short <= n*takeTolerance {
		return 0
	}
	if b.rate <= 0 || n > b.burst*(1+takeTolerance) {
		return never
	}
	seconds := short / b.rate
	if seconds > never.Seconds()/2 {
		return never
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
