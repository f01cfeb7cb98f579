package retry

import (
	"sync"
	"time"
)

const (
	// DefaultRatio is the share of recent successes that may be sent again.
	DefaultRatio = 0.1
	// DefaultMinimum is how many retries per window are allowed however few requests succeed.
	DefaultMinimum = 1
	// Window is the time over which successes and retries are counted.
	Window = 10 * time.Second

	buckets      = 10
	bucketLength = Window / buckets
)

// BudgetOptions configure a Budget.
type BudgetOptions struct {
	// Ratio is the number of retries per success. Default DefaultRatio.
	Ratio float64
	// Minimum is the number of retries per Window that need no success. Default DefaultMinimum.
	Minimum float64
}

type bucket struct {
	index     int64
	successes float64
	retries   float64
}

// Budget limits the retries and hedges of one service on one host.
type Budget struct {
	options BudgetOptions

	mu      sync.Mutex
	buckets [buckets]bucket
}

// NewBudget returns a budget without successes.
func NewBudget(options BudgetOptions) *Budget {
	if options.Ratio == 0 {
		options.Ratio = DefaultRatio
	}
	if options.Minimum == 0 {
		options.Minimum = DefaultMinimum
	}
	return &Budget{options: options}
}

// OnSuccess counts an attempt that succeeded.
func (b *Budget) OnSuccess(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current(now).successes++
}

// TryRetry takes a token for one more attempt and reports whether there was one.
func (b *Budget) TakeToken(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.current(now)
	var successes, retries float64
	for i := range b.buckets {
		if current.index-b.buckets[i].index < buckets {
			successes += b.buckets[i].successes
			retries += b.buckets[i].retries
		}
	}
	if retries+1 > max(b.options.Minimum, successes*b.options.Ratio) {
		return false
	}
	current.retries++
	return true
}

func (b *Budget) current(now time.Time) *bucket {
	index := now.UnixNano() / int64(bucketLength)
	current := &b.buckets[uint64(index)%buckets]
	if current.index != index {
		*current = bucket{index: index}
	}
	return current
}

// Request is the state of one request when another attempt is considered.
type Request struct {
	// Idempotent is true if the request may be sent more than once.
	Idempotent bool
	// Attempts is the number of attempts that were started.
	Attempts int
	// MaxAttempts bounds the attempts of a request.
	MaxAttempts int
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Expected is how long an attempt usually takes; 0 if unknown.
	ExpectedDuration time.Duration
	// OtherUpstream is true if an upstream that was not yet tried is available.
	OtherUpstream bool
}

// Policy decides about further attempts. The zero value is ready for use.
type Policy struct {
	// HedgeAfter is how long an attempt may be open before a second one starts; 0 turns hedging off. Default 0.
	HedgeDelay time.Duration
}

// Allows reports whether the request may be attempted once more, apart from the budget.
func (Policy) Allows(r Request) bool {
	return r.Idempotent && r.OtherUpstream && r.Attempts < r.MaxAttempts && r.Remaining > r.ExpectedDuration
}

// Retry reports whether a failed request is attempted again, and takes a token from the budget if so.
func (p Policy) Retry(now time.Time, r Request, budget *Budget) bool {
	return p.Allows(r) && budget.TakeToken(now)
}

// Hedge reports whether a second attempt starts beside one that has been open for the given time, and takes a token
// from the budget if so. A request is hedged at most once.
func (p Policy) Hedge(now time.Time, r Request, open time.Duration, budget *Budget) bool {
	if p.HedgeDelay <= 0 || open < p.HedgeDelay || r.Attempts != 1 {
		return false
	}
	return p.Allows(r) && budget.TakeToken(now)
}
