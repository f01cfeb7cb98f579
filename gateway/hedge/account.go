package hedge

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// Window is the sliding window in which the hedges of a host are limited by its requests.
	Window = 10 * time.Second

	buckets      = 10
	bucketLength = Window / buckets
	// maxFull is the share of upstreams without a free slot from which hedges yield. Above it, a hedge takes a slot that a first
	// attempt is likely to need within the duration of a response. Upstreams report their load with a response, while the slot of
	// this response is still in use, so that the share is overestimated.
	maxFull = 0.75
	// spareCredit is the credit that a host keeps beyond the limit times the requests of a Window. It lets a host that receives few
	// requests save for one hedge.
	spareCredit = 1
	// ReserveForRetries is the share of the burst of the retry budget that hedges leave. A retry serves a request that has failed,
	// and a hedge only shortens one.
	ReserveForRetries = 0.25
)

// Refusal is the reason for which a hedge may not start. It is empty if the hedge may start.
type Refusal string

// The reasons of refusals.
const (
	Allowed       Refusal = ""
	RefusedLimit  Refusal = "limit"
	RefusedBudget Refusal = "budget"
	RefusedLoad   Refusal = "load"
)

// Conditions describe the service when a hedge is due.
type Conditions struct {
	// Full is the share of the service's upstreams that have no free slot, and Waiting the number of requests that wait for one.
	Full    float64
	Waiting int
	// RetriesLeft is true if the retry budget has a token beyond ReserveForRetries.
	RetriesLeft bool
	// Replaces is true if the running attempt is a half-open trial, which is likely to fail. The hedge then replaces it and does not
	// yield to load.
	Replaces bool
}

type bucket struct {
	index    int64
	requests float64
	hedges   float64
}

// Account holds the counts of one host for one service. It is not safe for concurrent use.
type Account struct {
	random  *rand.Rand
	buckets [buckets]bucket
	credit  float64
	// rounding is added to the allowed number of hedges in a Window before it is rounded down. It was drawn at roundedAt, when
	// unrounded hedges were allowed.
	rounding, unrounded float64
	roundedAt           time.Time
}

// NewAccount returns an account without credit.
func NewAccount(random *rand.Rand) *Account { return &Account{random: random} }

// CountRequest counts a request of the service, whether it is idempotent or not.
func (a *Account) CountRequest(now time.Time, limit Limit) {
	a.current(now).requests++
	requests, _ := a.recent(now)
	a.credit = min(a.credit+limit.share, spareCredit+limit.share*requests)
}

// Take decides whether a hedge may start and counts it if so. Return must be called if it does not start.
func (a *Account) Take(now time.Time, limit Limit, conditions Conditions) Refusal {
	if !limit.set {
		return Allowed
	}
	switch {
	case limit.share <= 0:
		return RefusedLimit
	case !conditions.Replaces && (conditions.Full >= maxFull || conditions.Waiting > 0):
		return RefusedLoad
	case !conditions.RetriesLeft:
		return RefusedBudget
	case !a.withinLimit(now, limit):
		return RefusedLimit
	}
	a.credit--
	a.current(now).hedges++
	return Allowed
}

// creditError is added to the credit when it is compared, because sums of shares such as 0.02 are rounded.
const creditError = 1e-9

func (a *Account) withinLimit(now time.Time, limit Limit) bool {
	requests, hedges := a.recent(now)
	allowed := limit.share * requests
	a.drawRounding(now, allowed, hedges)
	// The allowance that is rounded does not rise after the draw: the highest of the values that it takes by chance would count.
	rounded := math.Floor(min(allowed, a.unrounded) + a.rounding)
	return a.credit+creditError >= 1 && hedges+1 <= max(math.Floor(allowed), rounded)
}

// Return takes back a hedge that Take has allowed at the given time and that was not started.
func (a *Account) Return(takenAt time.Time, limit Limit) {
	if !limit.set {
		return
	}
	a.credit++
	if b := a.current(takenAt); b.hedges > 0 {
		b.hedges--
	}
}

// drawRounding draws a new rounding once in a Window, but not while a hedge of the Window is due to rounding up. With two draws in one
// Window, a host would have two chances of rounding up in it.
func (a *Account) drawRounding(now time.Time, allowed, hedges float64) {
	if hedges <= math.Floor(allowed) && now.Sub(a.roundedAt) >= Window {
		a.rounding, a.unrounded, a.roundedAt = a.random.Float64(), allowed, now
	}
}

// recent returns the requests and hedges of the last Window.
func (a *Account) recent(now time.Time) (requests, hedges float64) {
	index := a.current(now).index
	for i := range a.buckets {
		if index-a.buckets[i].index < buckets {
			requests += a.buckets[i].requests
			hedges += a.buckets[i].hedges
		}
	}
	return requests, hedges
}

func (a *Account) current(now time.Time) *bucket {
	index := now.UnixNano() / int64(bucketLength)
	b := &a.buckets[uint64(index)%buckets]
	if b.index != index {
		*b = bucket{index: index}
	}
	return b
}
