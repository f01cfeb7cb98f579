package ratelimit

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
	"github.com/bronzeyard/bronzeyard/fleet/ratelimit/ratelimitpb"
)

const (
	// callTimeout bounds a call to an owner. It is less than capAllowance.
	callTimeout = 200 * time.Millisecond
	// tick is the interval at which complete reports are repeated and the start rule is checked.
	tick = 100 * time.Millisecond
	// failureBackoff is the time for which an owner that did not answer is not asked again about a customer.
	failureBackoff = 100 * time.Millisecond
	// notOwnerBackoff applies while the epoch spreads, which takes a few milliseconds.
	notOwnerBackoff = 20 * time.Millisecond
	// confirmDelay is the time for which the requests that waited for a borrow take their tokens.
	confirmDelay = time.Millisecond
	// borrowAhead is the time for which a borrow covers the expected demand beyond the waiting requests.
	borrowAhead = 20 * time.Millisecond
	// demandFall is the part of the old demand that a renewal keeps when demand falls, and demandRise when it rises.
	demandFall = 0.75
	demandRise = 0.5
	// demandSmooth is that part where a renewal expects and counts fewer than fewExpected requests, which is mostly noise.
	demandSmooth = 0.9
	fewExpected  = 4
	// clearExpected is the number of expected requests from which a fall to less than clearFall of them is no noise: the
	// callers have moved, and the measured demand is taken as it is.
	clearExpected = 8
	clearFall     = 0.25
	// leastDemand is the demand in requests per second that counts as none.
	leastDemand = 0.02
)

// entry is one customer of a message.
type entry struct {
	customer string
	c        *held
	seq      uint64
}

// Run renews slices until the context ends, then waits for outstanding calls.
func (l *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	defer l.calls.wait()
	renewAt := l.options.Clock.Now()
	for {
		l.followView()
		now := l.options.Clock.Now()
		renew := !now.Before(renewAt)
		if renew {
			renewAt = now.Add(RenewInterval)
		}
		l.renewAll(renew)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.kick:
		}
	}
}

// followView picks up a view whose epoch OnView was not told about, and starts granting when it is due.
func (l *Limiter) followView() {
	view := l.options.Views.View()
	if current := l.current.Load(); view != nil && (current == nil || current.Epoch.Number != view.Epoch.Number || current.Self != view.Self) {
		l.OnView(current, view)
	}
	l.viewMu.RLock()
	l.owned.startIfDue(l.options.Clock, view)
	l.viewMu.RUnlock()
}

// renewAll sends one message to each owner that is due: to all at a renewal, otherwise to those that do not have this
// host's complete report in the current epoch.
func (l *Limiter) renewAll(renew bool) {
	view := l.current.Load()
	if view == nil {
		return
	}
	due := make(map[fleet.Identity]*batch)
	for i := range view.Epoch.Members {
		member := &view.Epoch.Members[i]
		complete := l.needsComplete(view, member.Identity())
		if (complete || renew) && l.beginRenewal(member.Identity()) {
			due[member.Identity()] = &batch{view: view, owner: member, complete: complete}
		}
	}
	if len(due) == 0 {
		return
	}
	l.collect(view, due, renew)
	if renew {
		l.owned.dropIdle(l.options.Clock)
	}
	for identity, b := range due {
		if len(b.entries) == 0 && !b.complete {
			l.endRenewal(identity)
			continue
		}
		l.renewals.Add(1)
		l.calls.start(func() {
			l.exchange(b)
			l.endRenewal(identity)
		})
	}
}

// needsComplete reports whether the owner has yet to get this host's complete report. Guests hold no slices that outlast
// the free time, so they report nothing.
func (l *Limiter) needsComplete(view *fleet.View, owner fleet.Identity) bool {
	if view.Guest {
		return false
	}
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	return l.reported[owner] != view.Epoch.Number
}

func (l *Limiter) beginRenewal(owner fleet.Identity) bool {
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	if l.renewing[owner] {
		return false
	}
	l.renewing[owner] = true
	return true
}

func (l *Limiter) endRenewal(owner fleet.Identity) {
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	delete(l.renewing, owner)
}

// batch is one message to an owner and what it is about.
type batch struct {
	view     *fleet.View
	owner    *fleet.Member
	complete bool
	done     chan struct{}
	entries  []entry
	reports  []*ratelimitpb.Report
}

// collect adds a report for each customer to the batch of its owner. A customer about which a call is outstanding is left
// out, unless the report has to be complete. Idle customers are dropped.
func (l *Limiter) collect(view *fleet.View, due map[fleet.Identity]*batch, renew bool) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		now := l.options.Clock.Now()
		for customer, c := range s.customers {
			if renew {
				c.measure(now)
			}
			if c.idle(now) {
				delete(s.customers, customer)
				continue
			}
			owner := c.ownerOf(view, customer)
			if owner == nil {
				continue
			}
			if b := due[owner.Identity()]; b != nil && (c.done == nil || b.complete) {
				b.add(l.seq.Add(1), now, customer, c, 0)
			}
		}
		s.mu.Unlock()
	}
}

// add reports on a customer. The customer's shard is locked.
func (b *batch) add(seq uint64, now time.Time, customer string, c *held, want float64) {
	if b.done == nil {
		b.done = make(chan struct{})
	}
	if c.done == nil {
		c.done = b.done
	}
	var report Report
	if c.demand == 0 && want == 0 {
		// What nobody asks for goes back at once. Without this it would take two renewals.
		report = c.holder.Release(now, seq)
	} else {
		report = c.holder.Report(now, seq, float64(c.demand), want)
	}
	b.entries = append(b.entries, entry{customer: customer, c: c, seq: report.Seq})
	b.reports = append(b.reports, reportMessage(customer, &report))
}

// measure updates the demand from the requests since the last time, unless that was so recent that the count says little.
func (c *held) measure(now time.Time) {
	elapsed := time.Duration(now.UnixNano() - c.measuredAt)
	if elapsed < RenewInterval/2 {
		return
	}
	rate := float32(float64(c.requests) / elapsed.Seconds())
	keep := float32(demandFall)
	switch expected := c.demand * float32(elapsed.Seconds()); {
	case max(expected, float32(c.requests)) < fewExpected:
		keep = demandSmooth
	case rate > c.demand:
		keep = demandRise
	case expected >= clearExpected && float32(c.requests) < expected*clearFall:
		keep = 0
	}
	c.demand = keep*c.demand + (1-keep)*rate
	if c.demand < leastDemand {
		c.demand = 0
	}
	c.requests = 0
	c.measuredAt = now.UnixNano()
}

// idle reports whether the customer's state can be dropped: it holds nothing, and nobody asks.
func (c *held) idle(now time.Time) bool {
	waiting := c.waiters != 0 || c.handoverWaiters != 0
	return c.demand == 0 && c.requests == 0 && !waiting && c.done == nil && c.holder.Empty(now)
}

// single returns a batch with one customer. The shard is locked.
func (l *Limiter) single(customer string, c *held, now time.Time, want float64) *batch {
	view := l.current.Load()
	b := &batch{view: view, owner: c.ownerOf(view, customer)}
	b.add(l.seq.Add(1), now, customer, c, want)
	return b
}

// borrow starts a call for the tokens of one customer and returns the channel that its end closes. The shard is locked;
// it is unlocked for the time of the call if the owner is this host.
func (l *Limiter) borrow(s *shard, customer string, c *held, now time.Time) chan struct{} {
	c.measure(now)
	ahead := float64(c.demand) * borrowAhead.Seconds()
	b := l.single(customer, c, now, float64(c.waiters)+ahead)
	done := b.done
	l.borrows.Add(1)
	s.mu.Unlock()
	defer s.mu.Lock()
	if b.owner != nil && b.owner.Identity() != b.view.Self {
		l.calls.start(func() { l.exchange(b) })
		return done
	}
	l.exchange(b)
	return done
}

// exchange makes the call of a batch and applies its answer.
func (l *Limiter) exchange(b *batch) {
	request := &ratelimitpb.RenewSharesRequest{Epoch: b.view.Epoch.Number, Complete: b.complete, Reports: b.reports}
	if b.complete {
		l.owned.freeTimes(l.options.Views.View(), l.options.Clock.Now(), request)
	}
	response, err := l.call(b, request)
	if err == nil && len(response.GetGrants()) != len(b.entries) {
		err = peer.ErrRejected
	}
	if err != nil {
		l.abandon(b, err)
		return
	}
	if b.complete {
		l.peersMu.Lock()
		l.reported[b.owner.Identity()] = b.view.Epoch.Number
		l.peersMu.Unlock()
	}
	for i, grant := range response.GetGrants() {
		l.apply(b, &b.entries[i], grantOf(grant))
	}
	b.close()
}

// confirm reports on a customer shortly after a borrow, when the waiting requests have taken their tokens.
func (l *Limiter) confirm(customer string, c *held) {
	l.calls.start(func() {
		time.Sleep(confirmDelay)
		s := &l.shards[shardIndex(customer)]
		s.mu.Lock()
		if c.done != nil || s.customers[customer] != c || l.closing.Load() {
			s.mu.Unlock()
			return
		}
		b := l.single(customer, c, l.options.Clock.Now(), 0)
		s.mu.Unlock()
		l.exchange(b)
	})
}

func (l *Limiter) call(b *batch, request *ratelimitpb.RenewSharesRequest) (*ratelimitpb.RenewSharesResponse, error) {
	if b.owner == nil {
		return nil, peer.ErrNotOwner
	}
	if b.owner.Identity() == b.view.Self {
		return l.handle(b.view.Self, request)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	response := &ratelimitpb.RenewSharesResponse{}
	err := l.options.Caller.Call(ctx, b.owner.PeerAddress, MethodRenew, request, response)
	return response, err
}

// apply takes the grant of one customer.
func (l *Limiter) apply(b *batch, e *entry, grant Grant) {
	s := &l.shards[shardIndex(e.customer)]
	s.mu.Lock()
	defer s.mu.Unlock()
	e.release(b)
	now := l.options.Clock.Now()
	if !e.c.holder.Apply(now, grant) {
		return
	}
	// A renewal asks for nothing, so its answer says nothing about an earlier refusal. It shows that the owner can be asked.
	e.c.backoffUntil = 0
	switch until := now.Add(grant.RetryAfter).UnixNano(); {
	case grant.NotGranting:
		e.c.backoffUntil = until
	case grant.RetryAfter > 0:
		e.c.refusedUntil = until
	}
	e.c.undecided = grant.NotGranting || grant.Refilling
	if grant.Confirm {
		l.confirm(e.customer, e.c)
	}
}

// release ends the customer's wait for the batch. The shard is locked.
func (e *entry) release(b *batch) {
	if e.c.done == b.done {
		e.c.done = nil
	}
}

func (b *batch) close() {
	if b.done != nil {
		close(b.done)
	}
}

// abandon gives up the reports of a batch whose call failed.
func (l *Limiter) abandon(b *batch, err error) {
	backoff := failureBackoff
	if errors.Is(err, peer.ErrNotOwner) {
		backoff = notOwnerBackoff
	}
	for i := range b.entries {
		e := &b.entries[i]
		s := &l.shards[shardIndex(e.customer)]
		s.mu.Lock()
		e.release(b)
		now := l.options.Clock.Now()
		if e.c.holder.Outstanding() == e.seq {
			e.c.holder.Abandon(now)
			e.c.backoffUntil = now.Add(backoff).UnixNano()
		}
		s.mu.Unlock()
	}
	b.close()
}

// HandBack returns all slices to their owners and stops admitting, for a graceful leave after the last request. Run goes on
// to report to the owners of new epochs that the host holds nothing, so that they need not wait for it. It returns the context's error
// if that ends before the owners have answered; the slices then expire.
func (l *Limiter) HandBack(ctx context.Context) error {
	l.closing.Store(true)
	view := l.current.Load()
	if view == nil {
		return nil
	}
	var exchanges sync.WaitGroup
	for _, b := range l.releaseAll(view) {
		exchanges.Add(1)
		l.calls.start(func() {
			defer exchanges.Done()
			l.exchange(b)
		})
	}
	finished := make(chan struct{})
	l.calls.start(func() {
		exchanges.Wait()
		close(finished)
	})
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Limiter) releaseAll(view *fleet.View) map[fleet.Identity]*batch {
	batches := make(map[fleet.Identity]*batch)
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		now := l.options.Clock.Now()
		for customer, c := range s.customers {
			delete(s.customers, customer)
			owner := c.ownerOf(view, customer)
			if owner == nil {
				continue
			}
			b := batches[owner.Identity()]
			if b == nil {
				b = &batch{view: view, owner: owner, done: make(chan struct{})}
				batches[owner.Identity()] = b
			}
			report := c.holder.Release(now, l.seq.Add(1))
			b.entries = append(b.entries, entry{customer: customer, c: c, seq: report.Seq})
			b.reports = append(b.reports, reportMessage(customer, &report))
		}
		s.mu.Unlock()
	}
	return batches
}
