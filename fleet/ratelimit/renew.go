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
	// callTimeout bounds a call to an owner. It is less than capRefillAllowance.
	callTimeout = 200 * time.Millisecond
	// tickInterval is the time between two attempts to send complete reports, and between two checks whether an owner may start
	// to grant.
	tickInterval = 100 * time.Millisecond
	// failureBackoff is how long the host does not borrow for a customer after a call to the customer's owner has failed.
	failureBackoff = 100 * time.Millisecond
	// notOwnerBackoff is the same after the called host responded that it is not the owner. Hosts learn a new epoch within a
	// few milliseconds of each other.
	notOwnerBackoff = 20 * time.Millisecond
	// confirmDelay is the time between a borrow and the report that confirms it. In this time the requests that waited for the
	// borrow take their tokens.
	confirmDelay = time.Millisecond
	// borrowLookahead is the time whose expected demand a borrow covers in addition to the waiting requests.
	borrowLookahead = 20 * time.Millisecond
	// demandFallWeight is the weight of the old demand in the moving average when demand falls, and demandRiseWeight when it
	// rises.
	demandFallWeight = 0.75
	demandRiseWeight = 0.5
	// demandNoiseWeight is that weight if fewer than minSignificantRequests requests were both expected and counted. Such
	// counts are mostly noise.
	demandNoiseWeight      = 0.9
	minSignificantRequests = 4
	// minDropRequests is the number of expected requests from which a fall to less than maxDropFraction of them is no noise.
	// The callers then use other hosts, and the measured demand is applied without smoothing.
	minDropRequests = 8
	maxDropFraction = 0.25
	// minDemand is the demand, in requests per second, below which demand counts as 0.
	minDemand = 0.02
)

// entry is the report about one customer in a batch.
type entry struct {
	customer string
	c        *customerState
	seq      uint64
}

// Run renews slices until ctx ends. It then waits for outstanding calls.
func (l *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer l.calls.wait()
	renewAt := l.options.Clock.Now()
	for {
		l.updateView()
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
		case <-l.wake:
		}
	}
}

// updateView applies the current view if OnView was not called for its epoch or incarnation. It starts granting when that is
// allowed.
func (l *Limiter) updateView() {
	view := l.options.Views.View()
	if current := l.current.Load(); view != nil && (current == nil || current.Epoch.Number != view.Epoch.Number || current.Self != view.Self) {
		l.OnView(current, view)
	}
	l.viewMu.RLock()
	l.owned.startGrantingIfDue(l.options.Clock, view)
	l.viewMu.RUnlock()
}

// renewAll sends one message to each owner that needs one. At a renewal these are all owners, otherwise those that have not
// received this host's complete report in the current epoch.
func (l *Limiter) renewAll(renew bool) {
	view := l.current.Load()
	if view == nil {
		return
	}
	due := make(map[fleet.Identity]*batch)
	for i := range view.Epoch.Members {
		member := &view.Epoch.Members[i]
		complete := l.needsCompleteReport(view, member.Identity())
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

// needsCompleteReport reports whether the owner has not received this host's complete report in the current epoch. Learners
// hold no slices after the takeover time, so they send no complete reports.
func (l *Limiter) needsCompleteReport(view *fleet.View, owner fleet.Identity) bool {
	if view.Learner {
		return false
	}
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	return l.reportedEpochs[owner] != view.Epoch.Number
}

func (l *Limiter) beginRenewal(owner fleet.Identity) bool {
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	if l.pendingRenewals[owner] {
		return false
	}
	l.pendingRenewals[owner] = true
	return true
}

func (l *Limiter) endRenewal(owner fleet.Identity) {
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	delete(l.pendingRenewals, owner)
}

// batch is one message of reports to an owner, and the customers of the reports.
type batch struct {
	view     *fleet.View
	owner    *fleet.Member
	complete bool
	done     chan struct{}
	entries  []entry
	reports  []*ratelimitpb.Report
}

// collect adds a report about each customer to the batch of the customer's owner. It omits customers with an outstanding call
// unless the batch is a complete report. It drops idle customers.
func (l *Limiter) collect(view *fleet.View, due map[fleet.Identity]*batch, renew bool) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		now := l.options.Clock.Now()
		for customer, c := range s.customers {
			if renew {
				c.updateDemand(now)
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

// add adds a report about a customer. The caller holds the lock of the shard.
func (b *batch) add(seq uint64, now time.Time, customer string, c *customerState, want float64) {
	if b.done == nil {
		b.done = make(chan struct{})
	}
	if c.done == nil {
		c.done = b.done
	}
	var report Report
	if c.demand == 0 && want == 0 {
		// Without demand the slice is returned at once. To shrink it by grants would take two renewals.
		report = c.holder.Release(now, seq)
	} else {
		report = c.holder.Report(now, seq, float64(c.demand), want)
	}
	b.entries = append(b.entries, entry{customer: customer, c: c, seq: report.Seq})
	b.reports = append(b.reports, reportMessage(customer, &report))
}

// updateDemand updates the demand from the requests since the last update, unless that was too recent for a useful count.
func (c *customerState) updateDemand(now time.Time) {
	elapsed := time.Duration(now.UnixNano() - c.measuredAt)
	if elapsed < RenewInterval/2 {
		return
	}
	rate := float32(float64(c.requests) / elapsed.Seconds())
	oldWeight := float32(demandFallWeight)
	switch expected := c.demand * float32(elapsed.Seconds()); {
	case max(expected, float32(c.requests)) < minSignificantRequests:
		oldWeight = demandNoiseWeight
	case rate > c.demand:
		oldWeight = demandRiseWeight
	case expected >= minDropRequests && float32(c.requests) < expected*maxDropFraction:
		oldWeight = 0
	}
	c.demand = oldWeight*c.demand + (1-oldWeight)*rate
	if c.demand < minDemand {
		c.demand = 0
	}
	c.requests = 0
	c.measuredAt = now.UnixNano()
}

// idle reports whether the customer's state can be dropped: there is no demand, no waiting request and no outstanding call, and
// the holder is empty.
func (c *customerState) idle(now time.Time) bool {
	waiting := c.waiters != 0 || c.handoverWaiters != 0
	return c.demand == 0 && c.requests == 0 && !waiting && c.done == nil && c.holder.Empty(now)
}

// singleBatch returns a batch with one customer. The caller holds the lock of the shard.
func (l *Limiter) singleBatch(customer string, c *customerState, now time.Time, want float64) *batch {
	view := l.current.Load()
	b := &batch{view: view, owner: c.ownerOf(view, customer)}
	b.add(l.seq.Add(1), now, customer, c, want)
	return b
}

// borrow starts a call that borrows tokens of one customer. It returns a channel that is closed when the call has ended. The
// shard is locked on entry and on return. If the owner is this host, the call ends before borrow returns.
func (l *Limiter) borrow(s *shard, customer string, c *customerState, now time.Time) chan struct{} {
	c.updateDemand(now)
	expected := float64(c.demand) * borrowLookahead.Seconds()
	b := l.singleBatch(customer, c, now, float64(c.waiters)+expected)
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

// exchange sends a batch to its owner and applies the grants of the response.
func (l *Limiter) exchange(b *batch) {
	request := &ratelimitpb.RenewSharesRequest{Epoch: b.view.Epoch.Number, Complete: b.complete, Reports: b.reports}
	if b.complete {
		l.owned.setTakeoverTimes(l.options.Views.View(), l.options.Clock.Now(), request)
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
		l.reportedEpochs[b.owner.Identity()] = b.view.Epoch.Number
		l.peersMu.Unlock()
	}
	for i, grant := range response.GetGrants() {
		l.apply(b, &b.entries[i], grantFromMessage(grant))
	}
	b.close()
}

// reportAfterBorrow reports about a customer after confirmDelay, when the waiting requests have taken their tokens.
func (l *Limiter) reportAfterBorrow(customer string, c *customerState) {
	l.calls.start(func() {
		time.Sleep(confirmDelay)
		s := &l.shards[shardIndex(customer)]
		s.mu.Lock()
		if c.done != nil || s.customers[customer] != c || l.closing.Load() {
			s.mu.Unlock()
			return
		}
		b := l.singleBatch(customer, c, l.options.Clock.Now(), 0)
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

// apply applies the grant for one customer.
func (l *Limiter) apply(b *batch, e *entry, grant Grant) {
	s := &l.shards[shardIndex(e.customer)]
	s.mu.Lock()
	defer s.mu.Unlock()
	e.endWait(b)
	now := l.options.Clock.Now()
	if !e.c.holder.Apply(now, grant) {
		return
	}
	// A renewal does not borrow, so its grant does not affect an earlier denial. It shows that the owner responds.
	e.c.backoffUntil = 0
	switch until := now.Add(grant.RetryAfter).UnixNano(); {
	case grant.NotGranting:
		e.c.backoffUntil = until
	case grant.RetryAfter > 0:
		e.c.deniedUntil = until
	}
	e.c.overLimitUnknown = grant.NotGranting || grant.Refilling
	if grant.Confirm {
		l.reportAfterBorrow(e.customer, e.c)
	}
}

// endWait marks the customer's call as ended. The caller holds the lock of the shard.
func (e *entry) endWait(b *batch) {
	if e.c.done == b.done {
		e.c.done = nil
	}
}

// close wakes the requests that wait for the batch.
func (b *batch) close() {
	if b.done != nil {
		close(b.done)
	}
}

// abandon abandons the reports of a batch whose call failed with err, and starts the backoff of their customers.
func (l *Limiter) abandon(b *batch, err error) {
	backoff := failureBackoff
	if errors.Is(err, peer.ErrNotOwner) {
		backoff = notOwnerBackoff
	}
	for i := range b.entries {
		e := &b.entries[i]
		s := &l.shards[shardIndex(e.customer)]
		s.mu.Lock()
		e.endWait(b)
		now := l.options.Clock.Now()
		if e.c.holder.OutstandingSeq() == e.seq {
			e.c.holder.Abandon(now)
			e.c.backoffUntil = now.Add(backoff).UnixNano()
		}
		s.mu.Unlock()
	}
	b.close()
}

// ReleaseSlices stops admissions and returns all slices to their owners. It is for a host that leaves gracefully and has
// served its last request. Run still reports to the owners of new epochs that the host holds nothing, so they need not wait
// for its slices to expire. ReleaseSlices returns the error of ctx if that ends before the owners have responded. The slices
// then expire.
func (l *Limiter) ReleaseSlices(ctx context.Context) error {
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

// releaseAll drops all customers and returns the batches that return their slices, by owner.
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
