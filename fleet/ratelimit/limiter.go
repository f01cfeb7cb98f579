package ratelimit

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
)

// Reason says why a request was admitted or refused.
type Reason int

// The reasons of a decision.
const (
	// Allowed means that the customer's token was taken.
	Allowed Reason = iota + 1
	// RateLimited means that the customer is over its limit.
	RateLimited
	// Unavailable means that the host has no slice and the owner cannot lend it one, or that a new owner cannot know yet
	// whether the customer is over its limit.
	Unavailable
	// Inactive means that the host holds no activity lease or is leaving.
	Inactive
)

// Decision is the answer to one request.
type Decision struct {
	Allowed bool
	Reason  Reason
	// RetryAfter is the time until a token is due; 0 if it is unknown.
	RetryAfter time.Duration
}

// Options configure a Limiter. All fields but Record and Logger are required.
type Options struct {
	Views     fleet.ViewSource
	Caller    peer.Caller
	Registrar peer.Registrar
	Clock     clock.Clock
	// Limits returns a customer's rate in requests per second and its burst in requests. It must be cheap and safe for
	// concurrent use.
	Limits func(customer string) (rate, burst float64, ok bool)
	// Logger receives changes of state. Default: no log.
	Logger zerolog.Logger
	// Record, if set, is called with each admission and the time at which its token was taken, for checks and experiments.
	// It is called under a lock and must not call the limiter.
	Record func(at time.Time, customer string)
}

// shardCount is the number of locks over the customers; each host has few cores.
const shardCount = 64

// held is what this host keeps of a customer that it serves.
type customerState struct {
	holder Holder
	// owner is the customer's owner in the view ownerIn. Ranking the members for each renewal would cost more than the rest
	// of it.
	owner     *fleet.Member
	ownerView *fleet.View
	// refusedUntil is the time until which the owner has refused to lend.
	deniedUntil int64
	// backoffUntil is the time before which the owner is not asked again because it did not answer or does not grant yet. It is
	// kept apart from refusedUntil: an answer ends the backoff but not an earlier refusal, and a failed call ends neither.
	backoffUntil int64
	measuredAt   int64
	// done is closed when the outstanding call has ended; nil if there is none.
	done chan struct{}
	// demand is the smoothed number of requests per second.
	demand float32
	// requests counts since measuredAt.
	requests uint32
	waiters  int32
	// handoverWaiters counts the requests in waitForOwner.
	handoverWaiters int32
	// undecided is true from a new epoch until the owner can know whether the customer is over its limit.
	overLimitUnknown bool
}

type shard struct {
	mu        sync.Mutex
	customers map[string]*customerState
	// decisions counts by Reason.
	decisions [Inactive + 1]uint64
}

// Limiter is the runtime of rate limits on one host: the holder of every customer that the host serves and the owner of
// the customers that the epoch assigns to it. It is safe for concurrent use.
type Limiter struct {
	options Options
	shards  [shardCount]shard
	seq     atomic.Uint64
	closing atomic.Bool
	wake    chan struct{}
	calls   callGroup
	// current is the view that the limiter acts on; it is replaced under viewMu.
	current atomic.Pointer[fleet.View]
	// viewMu is held for reading while a report is handled and for writing while the epoch changes. Admit does not use it.
	viewMu sync.RWMutex
	owned  ownedCustomers
	// reported is the epoch in which each owner has this host's complete report; renewing marks outstanding renewals.
	peersMu         sync.Mutex
	reportedEpochs  map[fleet.Identity]uint64
	pendingRenewals map[fleet.Identity]bool

	borrows, renewals atomic.Uint64
	// handoverWaiters counts the requests in waitForOwner.
	handoverWaiters atomic.Int64
}

// New returns a limiter and registers its handler. It renews nothing until Run.
func New(options Options) *Limiter {
	l := &Limiter{
		options:         options,
		wake:            make(chan struct{}, 1),
		reportedEpochs:  make(map[fleet.Identity]uint64),
		pendingRenewals: make(map[fleet.Identity]bool),
	}
	for i := range l.shards {
		l.shards[i].customers = make(map[string]*customerState)
	}
	l.owned.init()
	l.register()
	return l
}

// callGroup counts the goroutines that make calls.
type callGroup struct {
	mu      sync.Mutex
	stopped bool
	running sync.WaitGroup
}

// start runs the function in a goroutine. After wait was called nobody waits for it: it ends by its own deadline.
func (g *callGroup) start(call func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		go call()
		return
	}
	g.running.Go(call)
}

func (g *callGroup) wait() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.running.Wait()
}

// ownerOf returns the customer's owner, or nil if the epoch has no active member. The customer's shard is locked.
func (c *customerState) ownerOf(view *fleet.View, customer string) *fleet.Member {
	if c.ownerView != view {
		c.ownerView, c.owner = view, nil
		if owner, ok := view.Epoch.Owner(ownerKey(customer)); ok {
			i := slices.IndexFunc(view.Epoch.Members, func(m fleet.Member) bool { return m.Identity() == owner.Identity() })
			c.owner = &view.Epoch.Members[i]
		}
	}
	return c.owner
}

func shardIndex(customer string) uint64 { return xxhash.Sum64String(customer) % shardCount }

// Admit decides on one request of a customer. It waits at most BorrowWait, only if the host's tokens are used up and the
// owner may lend some, and at most HandoverWait if the host holds nothing and the customer's ownership is changing hands.
// The activity lease is checked at the moment at which the token is taken.
func (l *Limiter) Admit(ctx context.Context, customer string) Decision {
	s := &l.shards[shardIndex(customer)]
	decision := l.admit(ctx, s, customer, true)
	if decision.Reason == Unavailable && l.handoverInProgress() {
		decision = l.waitForOwner(ctx, s, customer, decision)
	}
	s.mu.Lock()
	s.decisions[decision.Reason]++
	s.mu.Unlock()
	return decision
}

func (l *Limiter) admit(ctx context.Context, s *shard, customer string, first bool) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, now, decision := l.tryAdmit(s, customer, first)
	if decision.Reason == 0 {
		decision = l.waitForBorrow(ctx, s, customer, c, now)
	}
	return decision
}

// changingHands reports whether a new epoch may have moved customers to owners that do not lend yet.
func (l *Limiter) handoverInProgress() bool {
	view := l.options.Views.View()
	return view != nil && l.options.Clock.Now().Sub(view.LearnedAt) < handoverWindow
}

// waitForOwner tries again until the customer's owner lends, for at most HandoverWait.
func (l *Limiter) waitForOwner(ctx context.Context, s *shard, customer string, refusal Decision) Decision {
	leave, ok := l.acquireHandoverWait(s, customer)
	if !ok {
		return refusal
	}
	defer leave()
	deadline := l.options.Clock.Now().Add(HandoverTimeout)
	ctx, cancel := context.WithTimeout(ctx, HandoverTimeout)
	defer cancel()
	retry := time.NewTicker(handoverRetryInterval)
	defer retry.Stop()
	for refusal.Reason == Unavailable && !s.deniedBeyond(customer, deadline) {
		select {
		case <-ctx.Done():
			return refusal
		case <-retry.C:
			refusal = l.admit(ctx, s, customer, false)
		}
	}
	return refusal
}

// refusedBeyond reports whether the owner has refused to lend until after the deadline.
func (s *shard) deniedBeyond(customer string, deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.customers[customer]
	return c != nil && c.deniedUntil > deadline.UnixNano()
}

// enterHandover takes a place to wait for the customer's owner and returns the function that gives it back, and false if the
// request may not wait. Half of the places are for customers of which few requests wait, and more requests of one customer
// than its limits admit in the time could not all be served: the rate, and the burst unless the owner has just refused.
func (l *Limiter) acquireHandoverWait(s *shard, customer string) (leave func(), ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.customers[customer]
	if c == nil {
		return nil, false
	}
	limits := c.holder.limits
	admitted := limits.Rate * HandoverTimeout.Seconds()
	if l.options.Clock.Now().UnixNano() >= c.deniedUntil {
		admitted += limits.Burst
	}
	places := int64(maxHandoverWaiters)
	if c.handoverWaiters >= customerWaitersSoftLimit {
		places /= 2
	}
	if float64(c.handoverWaiters) >= max(1, admitted) {
		return nil, false
	}
	if l.handoverWaiters.Add(1) > places {
		l.handoverWaiters.Add(-1)
		return nil, false
	}
	c.handoverWaiters++
	return func() {
		l.handoverWaiters.Add(-1)
		s.mu.Lock()
		defer s.mu.Unlock()
		c.handoverWaiters--
	}, true
}

// try decides on a request from what the host knows. A decision without a reason means that the owner may be asked. The
// shard is locked.
func (l *Limiter) tryAdmit(s *shard, customer string, first bool) (*customerState, time.Time, Decision) {
	now := l.options.Clock.Now()
	if !l.activeAt(now) {
		return nil, now, Decision{Reason: Inactive}
	}
	c := s.customers[customer]
	if c == nil {
		if c = l.addCustomer(s, customer, now); c == nil {
			return nil, now, Decision{Reason: Unavailable}
		}
	}
	if first {
		c.requests++
	}
	if c.holder.Take(now) {
		if l.options.Record != nil {
			l.options.Record(now, customer)
		}
		return c, now, Decision{Allowed: true, Reason: Allowed}
	}
	if now.UnixNano() < c.nextBorrowAt() {
		return c, now, c.reject(now)
	}
	return c, now, Decision{}
}

// activeAt reports whether the host may admit requests. A view of another incarnation is not acted on before OnView has
// dropped the slices of the former one.
func (l *Limiter) activeAt(now time.Time) bool {
	view := l.options.Views.View()
	current := l.current.Load()
	return view != nil && current != nil && view.Self == current.Self && view.ActiveAt(now) && !l.closing.Load()
}

func (l *Limiter) addCustomer(s *shard, customer string, now time.Time) *customerState {
	limits, ok := l.limitsOf(customer)
	if !ok {
		return nil
	}
	c := &customerState{holder: NewHolder(now, limits), measuredAt: now.UnixNano()}
	s.customers[customer] = c
	return c
}

func (l *Limiter) limitsOf(customer string) (Limits, bool) {
	rate, burst, ok := l.options.Limits(customer)
	limits := Limits{Rate: rate, Burst: burst}
	return limits, ok && limits.valid()
}

// askableAt returns the time from which the owner may be asked again.
func (c *customerState) nextBorrowAt() int64 { return max(c.deniedUntil, c.backoffUntil) }

// refuse returns the refusal with the time until the own slice has a token or the owner may be asked.
func (c *customerState) reject(now time.Time) Decision {
	wait := c.holder.TimeUntilToken(now)
	if blocked := time.Duration(c.nextBorrowAt() - now.UnixNano()); blocked > 0 {
		wait = min(wait, blocked)
	}
	if wait == never {
		wait = unknownRetryAfter
	}
	if !c.overLimitUnknown && (now.UnixNano() < c.deniedUntil || c.holder.HasSlice(now)) {
		return Decision{Reason: RateLimited, RetryAfter: wait}
	}
	return Decision{Reason: Unavailable, RetryAfter: wait}
}

// wait waits for the outstanding call about the customer, which it starts if there is none, and tries again. The shard is
// locked on entry and on return.
func (l *Limiter) waitForBorrow(ctx context.Context, s *shard, customer string, c *customerState, now time.Time) Decision {
	timer := time.NewTimer(BorrowTimeout)
	defer timer.Stop()
	for {
		c.waiters++
		done := c.done
		if done == nil {
			done = l.borrow(s, customer, c, now)
		}
		s.mu.Unlock()
		ended := false
		select {
		case <-done:
		case <-timer.C:
			ended = true
		case <-ctx.Done():
			ended = true
		}
		s.mu.Lock()
		c.waiters--
		latest, at, decision := l.tryAdmit(s, customer, false)
		if decision.Reason != 0 {
			return decision
		}
		if c, now = latest, at; ended {
			// The owner has not answered in time.
			return c.reject(now)
		}
	}
}

// OnLimitsChanged applies the limits of a new settings revision to slices and reserves. Slices of customers without
// limits are dropped.
func (l *Limiter) OnLimitsChanged() {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		now := l.options.Clock.Now()
		for customer, c := range s.customers {
			if limits, ok := l.limitsOf(customer); ok {
				c.holder.SetLimits(now, limits)
			} else {
				delete(s.customers, customer)
			}
		}
		s.mu.Unlock()
	}
	l.owned.setLimits(l.options.Clock, l.limitsOf)
}
