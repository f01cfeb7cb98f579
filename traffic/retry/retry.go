package retry

import (
	"sync"
	"time"
)

const (
	// DefaultRatio is the default number of retries per recent success.
	DefaultRatio = 0.1
	// DefaultMinimum is the default number of retries per Window that are allowed even if no request succeeds.
	DefaultMinimum = 1
	// Window is the sliding window over which successes and retries are counted.
	Window = 10 * time.Second

	buckets      = 10
	bucketLength = Window / buckets
)

// BudgetOptions configures a Budget.
type BudgetOptions struct {
	// Ratio is the number of retries per success. Default DefaultRatio.
	Ratio float64
	// Minimum is the number of retries per Window that are allowed without successes. Default DefaultMinimum.
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

// NewBudget returns a budget with no successes counted.
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

// TakeToken takes a token for one retry or hedge. It returns false if the budget is exhausted.
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

// Request is the state of a request when another attempt is considered.
type Request struct {
	// Idempotent is true if the request may be sent more than once.
	Idempotent bool
	// Attempts is the number of attempts started so far.
	Attempts int
	// MaxAttempts limits the attempts of the request, including the first.
	MaxAttempts int
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// ExpectedDuration is the typical duration of an attempt; 0 if unknown.
	ExpectedDuration time.Duration
	// OtherUpstream is true if an upstream is available that this request has not tried yet.
	OtherUpstream bool
}

// Policy decides whether a request gets further attempts. The zero value is ready for use.
type Policy struct {
	// HedgeDelay is how long an attempt is in flight before a second one starts; 0 disables hedging. Default 0.
	HedgeDelay time.Duration
}

// Allows reports whether the request may get another attempt, regardless of the budget.
func (Policy) Allows(r Request) bool {
	return r.Idempotent && r.OtherUpstream && r.Attempts < r.MaxAttempts && r.Remaining > r.ExpectedDuration
}

// Retry reports whether a failed request is retried, and if so takes a token from the budget.
func (p Policy) Retry(now time.Time, r Request, budget *Budget) bool {
	return p.Allows(r) && budget.TakeToken(now)
}

// Hedge reports whether a second attempt starts while the first has been in flight for the given time, and if so takes a token
// from the budget. A request is hedged at most once.
func (p Policy) Hedge(now time.Time, r Request, inFlight time.Duration, budget *Budget) bool {
	if p.HedgeDelay <= 0 || inFlight < p.HedgeDelay || r.Attempts != 1 {
		return false
	}
	return p.Allows(r) && budget.TakeToken(now)
}
