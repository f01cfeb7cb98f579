package quota

import "time"

const (
	// surplusTime is the time in which the hosts spend the surplus of a bucket that is low. It is shorter than the time until
	// admissions are reported everywhere, so the surplus may be spent twice. This is bounded by the surplus itself.
	surplusTime = 250 * time.Millisecond
	// reservedShare is the share of a bucket's capacity that is no surplus.
	reservedShare = 0.02
	// maxMissingShare is the share of the other hosts that may be missing while the surplus is spent, and steadyTime the time for
	// which no more may have been missing. Estimates of hosts that were isolated from each other differ for some seconds, and
	// spending the surplus then exceeds the allowed sum.
	maxMissingShare = 0.1
	steadyTime      = 5 * time.Second
)

// updateLow records since when the bucket has been low, as of this refill: this host admits only its share, because the others may
// have taken the tokens without having reported it yet.
func (b *bucket) updateLow(now time.Time, isolated bool) {
	switch {
	case isolated || b.tokens >= 1+b.unreported(now):
		b.lowSince = time.Time{}
	case b.lowSince.IsZero():
		b.lowSince = now
	}
}

// surplus returns the tokens beyond the reserve. In a low bucket, the shares of all hosts add up to the rate, so without spending them
// these tokens stay in the bucket for as long as the customer exceeds its rate.
func (b *bucket) surplus() float64 {
	return max(0, b.tokens-reservedShare*b.limit.capacity())
}

// spendsSurplus reports whether this host earns its share of the surplus in addition to its share of the rate. The bucket must have been
// low for unreportedWindow: until then, the others may have admitted requests that this host does not know of. One host alone has no
// surplus to divide.
func (l *Limiter) spendsSurplus(now time.Time, b *bucket) bool {
	return l.hosts > 1 && !b.lowSince.IsZero() && now.Sub(b.lowSince) >= unreportedWindow &&
		l.synced(now) && now.Sub(l.hostsMissingAt) >= steadyTime
}

// missesHosts reports whether more than maxMissingShare of the other hosts are not live.
func (l *Limiter) missesHosts() bool {
	others := float64(l.hosts - 1)
	return float64(l.liveHosts()) < (1-maxMissingShare)*others
}
