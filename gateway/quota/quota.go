package quota

import (
	"math"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// SilentAfter is the time without a report after which a host counts as using an equal part of each rate.
	SilentAfter = 2500 * time.Millisecond
	// demandHalfLife is the time in which demand loses half of its weight.
	demandHalfLife = time.Second
	// guardTime is the time of a customer's demand that other hosts may have admitted unheard.
	guardTime = 300 * time.Millisecond
	// nearShare is the share of the rate from which a customer's use is reported often.
	nearShare = 0.6
	// deepest bounds the debt of a bucket, in seconds of the rate.
	deepest = 1.0
	// forgetAfter is the time without use after which a customer's state is dropped.
	forgetAfter = time.Minute
)

// Limit is a customer's rate in requests per second and its burst in requests.
type Limit struct {
	Rate, Burst float64
	// Tolerance is the number of requests by which the hosts together may exceed the limit because they know of each other
	// late. It is used in favour of the customer.
	Tolerance float64
}

// capacity is the size of the bucket.
func (l Limit) capacity() float64 { return l.Burst + l.Tolerance }

// Use is what a host reports of a customer, counted since the start of its process.
type Use struct {
	Customer settings.CustomerID
	Admitted uint64
	Asked    uint64
}

// Decision is the answer to one request.
type Decision struct {
	Allowed bool
	// RetryAfter is when a token is due at this host.
	RetryAfter time.Duration
	// Tokens is the state of the bucket that decided, and Hosts the number of hosts that were heard lately.
	Tokens float64
	Hosts  int
}

// demand is a decaying count of requests.
type demand struct {
	count float64
	at    time.Time
}

func (d *demand) add(now time.Time, n float64) {
	d.count = d.now(now) + n
	d.at = now
}

func (d *demand) now(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.count * math.Exp2(-float64(now.Sub(d.at))/float64(demandHalfLife))
}

// perSecond is the rate of requests that keeps the count at its value.
func (d *demand) perSecond(now time.Time) float64 {
	return d.now(now) * math.Ln2 / demandHalfLife.Seconds()
}

type remote struct {
	admitted, asked uint64
}

type bucket struct {
	limit    Limit
	tokens   float64 // over all hosts
	share    float64 // tokens of this host's own part
	filledAt time.Time
	usedAt   time.Time
	own      Use
	mine     demand
	all      demand
	remotes  map[string]remote
}

// Limiter holds the buckets of one host. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	buckets map[settings.CustomerID]*bucket
	heard   map[string]time.Time
	hosts   int
	swept   time.Time
}

// New returns a Limiter that knows of no other host.
func New() *Limiter {
	return &Limiter{buckets: make(map[settings.CustomerID]*bucket), heard: make(map[string]time.Time), hosts: 1}
}

// SetHosts states how many hosts there are, this one included, heard or not.
func (l *Limiter) SetHosts(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = max(1, n)
}

// Admit decides on one request of a customer. Limits without a rate admit everything.
func (l *Limiter) Admit(now time.Time, id settings.CustomerID, limit Limit) Decision {
	if limit.Rate <= 0 {
		return Decision{Allowed: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(now, id, limit)
	l.fill(now, b)
	b.usedAt = now
	b.own.Asked++
	b.mine.add(now, 1)
	b.all.add(now, 1)
	decision := Decision{Tokens: b.tokens, Hosts: l.live(now) + 1}
	guard := b.guard(now)
	if b.tokens < 1+guard && (b.share < 1 || b.tokens < -limit.Rate*deepest/2) {
		decision.RetryAfter = b.due(now)
		return decision
	}
	b.tokens--
	b.share = max(b.share-1, 0)
	b.own.Admitted++
	decision.Allowed = true
	return decision
}

func (l *Limiter) bucket(now time.Time, id settings.CustomerID, limit Limit) *bucket {
	b := l.buckets[id]
	if b == nil {
		l.sweep(now)
		b = &bucket{limit: limit, tokens: limit.capacity(), share: 1, filledAt: now, remotes: make(map[string]remote)}
		b.own.Customer = id
		l.buckets[id] = b
	}
	b.limit = limit
	return b
}

// sweep drops buckets that are not in use. It runs at most once in forgetAfter.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.swept) < forgetAfter {
		return
	}
	l.swept = now
	for id, b := range l.buckets {
		if now.Sub(b.usedAt) > forgetAfter && now.Sub(b.filledAt) > forgetAfter {
			delete(l.buckets, id)
		}
	}
}

// guard is what other hosts may have admitted since their last reports.
func (b *bucket) guard(now time.Time) float64 {
	others := max(0, b.all.perSecond(now)-b.mine.perSecond(now))
	return min(others*guardTime.Seconds(), b.limit.capacity()/2)
}

// part is this host's part of the rate, by demand.
func (b *bucket) part(now time.Time) float64 {
	all := b.all.now(now)
	if all <= 0 {
		return 1
	}
	return min(1, b.mine.now(now)/all)
}

// due is the time until this host's part of the rate gives a token.
func (b *bucket) due(now time.Time) time.Duration {
	rate := max(b.limit.Rate*b.part(now), b.limit.Rate/100)
	missing := max(1-b.share, 0) + max(0, -b.tokens)*b.part(now)
	return time.Duration(missing / rate * float64(time.Second))
}

// fill adds the tokens of the time since the last call and takes those of silent hosts.
func (l *Limiter) fill(now time.Time, b *bucket) {
	passed := now.Sub(b.filledAt).Seconds()
	if passed <= 0 {
		return
	}
	b.filledAt = now
	silent := max(0, l.hosts-1-l.live(now))
	rate := b.limit.Rate * (1 - float64(silent)/float64(l.hosts))
	b.tokens = clamp(b.tokens+rate*passed, -b.limit.Rate*deepest, b.limit.capacity())
	b.share = min(b.share+rate*b.part(now)*passed, max(1, b.limit.capacity()*b.part(now)))
}

// live counts the other hosts that were heard lately.
func (l *Limiter) live(now time.Time) int {
	n := 0
	for _, at := range l.heard {
		if now.Sub(at) <= SilentAfter {
			n++
		}
	}
	return min(n, l.hosts-1)
}

// Heard takes the reports of another host. incarnation tells its processes apart; limitOf returns a customer's limit.
func (l *Limiter) Heard(
	now time.Time, host string, uses []Use, limitOf func(settings.CustomerID) (Limit, bool),
) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard[host] = now
	for _, use := range uses {
		limit, ok := limitOf(use.Customer)
		if !ok || limit.Rate <= 0 {
			continue
		}
		b := l.bucket(now, use.Customer, limit)
		l.fill(now, b)
		b.take(now, host, use)
	}
}

// take subtracts what a host admitted since its last report. A count that falls comes from a new process, or arrived late.
func (b *bucket) take(now time.Time, host string, use Use) {
	before := b.remotes[host]
	if use.Admitted < before.admitted || use.Asked < before.asked {
		return
	}
	b.tokens = max(b.tokens-float64(use.Admitted-before.admitted), -b.limit.Rate*deepest)
	b.all.add(now, float64(use.Asked-before.asked))
	b.remotes[host] = remote{admitted: use.Admitted, asked: use.Asked}
}

// Forget drops what is known of a host's process, before reports of its next process.
func (l *Limiter) Forget(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.heard, host)
	for _, b := range l.buckets {
		delete(b.remotes, host)
	}
}

// Uses returns this host's counts of the customers that are in use: of all of them, or only of those near their limit.
func (l *Limiter) Uses(now time.Time, onlyNear bool) []Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	var uses []Use
	for _, b := range l.buckets {
		if now.Sub(b.usedAt) > forgetAfter/2 || (onlyNear && !b.near(now)) {
			continue
		}
		uses = append(uses, b.own)
	}
	return uses
}

func (b *bucket) near(now time.Time) bool {
	return b.mine.now(now) > 0.5 && (b.all.perSecond(now) > nearShare*b.limit.Rate || b.tokens < b.limit.capacity()/2)
}

func clamp(x, low, high float64) float64 { return min(max(x, low), high) }
