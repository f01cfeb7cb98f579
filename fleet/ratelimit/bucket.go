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

// valid reports whether the limits admit any request and are finite.
func (l Limits) valid() bool { return l.Rate > 0 && l.Burst >= 1 && !math.IsInf(l.Rate+l.Burst, 0) }

// cost returns the cost of one request as a fraction of the burst.
func (l Limits) cost() float64 { return 1 / l.Burst }

// refill returns the rate of the customer in bursts per second.
func (l Limits) refill() float64 { return l.Rate / l.Burst }

// never is the time until a token if none becomes available without a change of the slice.
const never = time.Duration(math.MaxInt64)

// takeTolerance is the fraction of the requested amount that a bucket may lack because of float rounding. The deficit stays
// in the bucket as a negative level, so deficits do not accumulate.
const takeTolerance = 1e-9

// Bucket is a token bucket. The zero value is empty and does not refill. The unit of its tokens is the caller's choice.
type Bucket struct {
	rate   float64
	burst  float64
	tokens float64
	at     int64
}

// NewBucket returns a bucket that holds the given tokens, at most burst. The rate is in tokens per second.
func NewBucket(now time.Time, rate, burst, tokens float64) Bucket {
	return Bucket{rate: rate, burst: burst, tokens: min(tokens, burst), at: now.UnixNano()}
}

// Tokens refills the bucket up to now and returns its level, which is negative after a Take within the rounding tolerance.
// A time before that of an earlier call does not change the level.
func (b *Bucket) Tokens(now time.Time) float64 {
	if elapsed := now.UnixNano() - b.at; elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*float64(elapsed)/float64(time.Second))
		b.at += elapsed
	}
	return b.tokens
}

// Take removes n tokens. If the bucket holds fewer, it removes none and returns false.
func (b *Bucket) Take(now time.Time, n float64) bool {
	if b.Tokens(now) < n*(1-takeTolerance) {
		return false
	}
	b.tokens -= n
	return true
}

// Add adds n tokens and drops those that exceed the burst.
func (b *Bucket) Add(now time.Time, n float64) { b.tokens = min(b.burst, b.Tokens(now)+n) }

// Resize changes the rate and the burst as of now and drops the tokens that exceed the new burst.
func (b *Bucket) Resize(now time.Time, rate, burst float64) {
	tokens := b.Tokens(now)
	b.rate = rate
	b.burst = burst
	b.tokens = min(tokens, burst)
}

// TimeUntil returns the time until the bucket holds n tokens, or more than 100 years if it never will.
func (b *Bucket) TimeUntil(now time.Time, n float64) time.Duration {
	missing := n - b.Tokens(now)
	if missing <= n*takeTolerance {
		return 0
	}
	if b.rate <= 0 || n > b.burst*(1+takeTolerance) {
		return never
	}
	seconds := missing / b.rate
	if seconds > never.Seconds()/2 {
		return never
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
