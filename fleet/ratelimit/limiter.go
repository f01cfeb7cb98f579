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

// Reason is why a request was admitted or rejected.
type Reason int

// The reasons of a decision.
const (
	// Allowed means that the host took a token of the customer.
	Allowed Reason = iota + 1
	// RateLimited means that the customer is over its limit.
	RateLimited
	// Unavailable means that the host has no slice and the owner cannot lend to it, that a new owner cannot determine yet
	// whether the customer is over its limit, or that the customer has no valid limits.
	Unavailable
	// Inactive means that the host holds no activity lease or is leaving the fleet.
	Inactive
)

// Decision is whether one request is admitted, and why.
type Decision struct {
	Allowed bool
	Reason  Reason
	// RetryAfter is the time until a token is expected; 0 if it is unknown.
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
	// Logger receives state changes. Default: no log.
	Logger zerolog.Logger
	// Record, if set, is called for each admission with the time at which its token was taken, for checks and experiments.
	// It is called with a lock held and must not call the limiter.
	Record func(at time.Time, customer string)
}

// shardCount is the number of shards of the customers, each with its own lock. It is far above the number of cores of a host.
const shardCount = 64

// customerState is the state of a customer that this host serves.
type customerState struct {
	holder Holder
	// owner caches the customer's owner in ownerView. To rank the members for each renewal would cost more than the rest of
	// the renewal.
	owner     *fleet.Member
	ownerView *fleet.View
	// deniedUntil is the time until which the owner has denied borrows.
	deniedUntil int64
	// backoffUntil is the time before which the host does not call the owner again to borrow, because the owner did not
	// respond or does not grant yet. It is separate from deniedUntil: a response ends the backoff but not an earlier denial,
	// and a failed call ends neither.
	backoffUntil int64
	measuredAt   int64
	// done is closed when the outstanding call has ended. It is nil if there is none.
	done chan struct{}
	// demand is the smoothed number of requests per second.
	demand float32
	// requests counts the requests since measuredAt.
	requests uint32
	// waiters counts the requests in waitForBorrow.
	waiters int32
	// handoverWaiters counts the requests in waitForOwner.
	handoverWaiters int32
	// overLimitUnknown is true from a new epoch until the owner can determine whether the customer is over its limit.
	overLimitUnknown bool
}

type shard struct {
	mu        sync.Mutex
	customers map[string]*customerState
	// decisions counts decisions by Reason.
	decisions [Inactive + 1]uint64
}

// Limiter enforces the rate limits on one host. It has a holder for every customer that the host serves and an owner for the
// customers that the epoch assigns to the host. It is safe for concurrent use.
type Limiter struct {
	options Options
	shards  [shardCount]shard
	seq     atomic.Uint64
	closing atomic.Bool
	wake    chan struct{}
	calls   callGroup
	// current is the view that the limiter uses. It is replaced with viewMu held.
	current atomic.Pointer[fleet.View]
	// viewMu is held for reading while a report is handled and for writing while the epoch changes. Admit does not use it.
	viewMu sync.RWMutex
	owned  ownedCustomers
	// reportedEpochs is the last epoch in which each owner has received this host's complete report. pendingRenewals are the
	// owners with an outstanding renewal. peersMu guards both.
	peersMu         sync.Mutex
	reportedEpochs  map[fleet.Identity]uint64
	pendingRenewals map[fleet.Identity]bool

	borrows, renewals atomic.Uint64
	// handoverWaiters counts the requests in waitForOwner.
	handoverWaiters atomic.Int64
}

// New returns a limiter and registers its handler of peer calls. The limiter renews no slices until Run is called.
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

// callGroup runs goroutines that make calls and waits for them.
type callGroup struct {
	mu      sync.Mutex
	stopped bool
	running sync.WaitGroup
}

// start runs call in a goroutine. wait does not wait for goroutines that are started later; they end by their own deadline.
func (g *callGroup) start(call func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		go call()
		return
	}
	g.running.Go(call)
}

// wait waits for the goroutines that have been started.
func (g *callGroup) wait() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.running.Wait()
}

// ownerOf returns the customer's owner, or nil if the epoch has no active member. The caller holds the lock of the shard.
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

// Admit decides whether to admit one request of a customer. It waits for up to BorrowTimeout if the host has no token left and
// the owner may lend some. It waits for up to HandoverTimeout more if the owner does not lend yet after a change of the epoch.
// The activity lease is checked when the token is taken.
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

func (l *Limiter) admit(ctx context.Context, s *shard, customer string, firstAttempt bool) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, now, decision := l.tryAdmit(s, customer, firstAttempt)
	if decision.Reason == 0 {
		decision = l.waitForBorrow(ctx, s, customer, c, now)
	}
	return decision
}

// handoverInProgress reports whether a recent change of the epoch may have assigned customers to owners that do not lend yet.
func (l *Limiter) handoverInProgress() bool {
	view := l.options.Views.View()
	return view != nil && l.options.Clock.Now().Sub(view.LearnedAt) < handoverWindow
}

// waitForOwner retries a rejected request until the customer's owner lends, for at most HandoverTimeout.
func (l *Limiter) waitForOwner(ctx context.Context, s *shard, customer string, rejection Decision) Decision {
	release, ok := l.acquireHandoverWait(s, customer)
	if !ok {
		return rejection
	}
	defer release()
	deadline := l.options.Clock.Now().Add(HandoverTimeout)
	ctx, cancel := context.WithTimeout(ctx, HandoverTimeout)
	defer cancel()
	ticker := time.NewTicker(handoverRetryInterval)
	defer ticker.Stop()
	for rejection.Reason == Unavailable && !s.deniedBeyond(customer, deadline) {
		select {
		case <-ctx.Done():
			return rejection
		case <-ticker.C:
			rejection = l.admit(ctx, s, customer, false)
		}
	}
	return rejection
}

// deniedBeyond reports whether the owner has denied borrows until after the deadline.
func (s *shard) deniedBeyond(customer string, deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.customers[customer]
	return c != nil && c.deniedUntil > deadline.UnixNano()
}

// acquireHandoverWait takes a slot for a request that waits for its customer's owner. It returns the function that releases
// the slot, or false if the request may not wait. Half of the slots are reserved for customers with few waiting requests. A
// customer may have no more requests waiting than its limits can admit meanwhile: those of the rate, and those of the burst
// unless the owner has just denied a borrow.
func (l *Limiter) acquireHandoverWait(s *shard, customer string) (release func(), ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.customers[customer]
	if c == nil {
		return nil, false
	}
	limits := c.holder.limits
	maxWaiters := limits.Rate * HandoverTimeout.Seconds()
	if l.options.Clock.Now().UnixNano() >= c.deniedUntil {
		maxWaiters += limits.Burst
	}
	slots := int64(maxHandoverWaiters)
	if c.handoverWaiters >= customerWaitersSoftLimit {
		slots /= 2
	}
	if float64(c.handoverWaiters) >= max(1, maxWaiters) {
		return nil, false
	}
	if l.handoverWaiters.Add(1) > slots {
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

// tryAdmit decides about a request without a call to the owner. A decision without a reason means that the host may try to
// borrow. The caller holds the lock of the shard.
func (l *Limiter) tryAdmit(s *shard, customer string, firstAttempt bool) (*customerState, time.Time, Decision) {
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
	if firstAttempt {
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

// activeAt reports whether the host may admit requests. After a change of the incarnation it may not until OnView has dropped
// the slices of the former incarnation.
func (l *Limiter) activeAt(now time.Time) bool {
	view := l.options.Views.View()
	current := l.current.Load()
	return view != nil && current != nil && view.Self == current.Self && view.ActiveAt(now) && !l.closing.Load()
}

// addCustomer adds the state of a customer, or returns nil if the customer has no valid limits.
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

// nextBorrowAt returns the time from which the host may try to borrow again.
func (c *customerState) nextBorrowAt() int64 { return max(c.deniedUntil, c.backoffUntil) }

// reject returns a rejection. Its RetryAfter is the time until the slice has a token or the host may borrow, whichever is sooner.
func (c *customerState) reject(now time.Time) Decision {
	retryAfter := c.holder.TimeUntilToken(now)
	if untilBorrow := time.Duration(c.nextBorrowAt() - now.UnixNano()); untilBorrow > 0 {
		retryAfter = min(retryAfter, untilBorrow)
	}
	if retryAfter == never {
		retryAfter = unknownRetryAfter
	}
	if !c.overLimitUnknown && (now.UnixNano() < c.deniedUntil || c.holder.HasSlice(now)) {
		return Decision{Reason: RateLimited, RetryAfter: retryAfter}
	}
	return Decision{Reason: Unavailable, RetryAfter: retryAfter}
}

// waitForBorrow waits for the outstanding call about the customer and tries again to admit the request. It starts a call if
// there is none. The shard is locked on entry and on return.
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
		timedOut := false
		select {
		case <-done:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			timedOut = true
		}
		s.mu.Lock()
		c.waiters--
		current, at, decision := l.tryAdmit(s, customer, false)
		if decision.Reason != 0 {
			return decision
		}
		if c, now = current, at; timedOut {
			// The owner has not responded in time.
			return c.reject(now)
		}
	}
}

// OnLimitsChanged applies the limits of a new settings revision to slices and reserves. It drops the slices of customers
// that have no limits any more.
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
