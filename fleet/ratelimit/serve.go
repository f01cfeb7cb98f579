package ratelimit

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
	"github.com/bronzeyard/bronzeyard/fleet/ratelimit/ratelimitpb"
)

// MethodRenew is the peer call by which a holder renews its slices and borrows tokens.
const MethodRenew peer.Method = "ratelimit.renew"

// historyLength is the number of epochs for which the limiter remembers that it owned a customer. An owner that was dropped
// while idle is recreated with the tokens that have refilled since the oldest of them.
const historyLength = 32

// epochState is the state of one epoch in which this host may own customers.
type epochState struct {
	view *fleet.View
	// reportedBy contains the members whose complete report has arrived.
	reportedBy map[fleet.Identity]bool
	// removalTakeoverAt is the earliest time from which removed hosts hold nothing according to a member's report. It is zero
	// before the first report.
	removalTakeoverAt time.Time
	// learnerLoansExpireAt is the latest time at which loans of a member to learners expire.
	learnerLoansExpireAt time.Time
	// grantingSince is the time from which new grants are allowed. It is zero while they are not.
	grantingSince time.Time
}

type ownerShard struct {
	mu     sync.Mutex
	owners map[string]*Owner
}

// ownedCustomers is the state of the customers that this host owns. Limiter.viewMu serialises changes of the epoch.
type ownedCustomers struct {
	shards [shardCount]ownerShard
	// mu guards the fields below.
	mu sync.Mutex
	// history holds epochs with consecutive numbers, the newest last.
	history []*epochState
	// learnerLoansExpireAt is the time at which the last loan to a learner expires.
	learnerLoansExpireAt time.Time
}

func (o *ownedCustomers) init() {
	for i := range o.shards {
		o.shards[i].owners = make(map[string]*Owner)
	}
}

// register registers the handler of MethodRenew.
func (l *Limiter) register() {
	newRequest := func() proto.Message { return &ratelimitpb.RenewSharesRequest{} }
	l.options.Registrar.Handle(MethodRenew, newRequest, func(_ context.Context, from fleet.Identity, req proto.Message) (proto.Message, error) {
		request, ok := req.(*ratelimitpb.RenewSharesRequest)
		if !ok {
			return nil, peer.ErrRejected
		}
		return l.handle(from, request)
	})
}

// handle handles a message of reports and returns the grants in the order of the reports.
func (l *Limiter) handle(from fleet.Identity, request *ratelimitpb.RenewSharesRequest) (*ratelimitpb.RenewSharesResponse, error) {
	l.viewMu.RLock()
	defer l.viewMu.RUnlock()
	current := l.current.Load()
	response := &ratelimitpb.RenewSharesResponse{Grants: make([]*ratelimitpb.Grant, 0, len(request.GetReports()))}
	for _, message := range request.GetReports() {
		grant, err := l.handleReport(current, from, request.GetEpoch(), message)
		if err != nil {
			return nil, err
		}
		response.Grants = append(response.Grants, grantMessage(&grant))
	}
	if _, err := l.mayServe(current, request.GetEpoch()); err != nil {
		return nil, err
	}
	if request.GetComplete() {
		l.owned.recordCompleteReport(from, l.options.Clock.Now(), request)
		l.owned.startGrantingIfDue(l.options.Clock, l.options.Views.View())
	}
	return response, nil
}

// mayServe checks that this host may act as an owner in the given epoch now, and returns the end of its activity lease. The
// error is peer.ErrInactive or peer.ErrNotOwner.
func (l *Limiter) mayServe(current *fleet.View, epoch uint64) (time.Time, error) {
	latest := l.options.Views.View()
	if current == nil || latest == nil || latest.Self != current.Self {
		return time.Time{}, peer.ErrInactive
	}
	if latest.Epoch.Number != epoch || current.Epoch.Number != epoch {
		return time.Time{}, peer.ErrNotOwner
	}
	if !latest.ActiveAt(l.options.Clock.Now()) {
		return time.Time{}, peer.ErrInactive
	}
	return latest.ActiveUntil, nil
}

func (l *Limiter) handleReport(current *fleet.View, from fleet.Identity, epoch uint64, message *ratelimitpb.Report) (Grant, error) {
	customer := message.GetCustomer()
	s := &l.owned.shards[shardIndex(customer)]
	s.mu.Lock()
	defer s.mu.Unlock()
	leaseEnd, err := l.mayServe(current, epoch)
	if err != nil {
		return Grant{}, err
	}
	owner := s.owners[customer]
	now := l.options.Clock.Now()
	if owner == nil {
		limits, ok := l.limitsOf(customer)
		if !ok {
			return Grant{Seq: message.GetSeq(), TTL: SliceTTL}, nil
		}
		if !current.Owns(ownerKey(customer)) {
			return Grant{}, peer.ErrNotOwner
		}
		owner = l.owned.newOwner(now, customer, limits)
		s.owners[customer] = owner
	}
	ttl := SliceTTL
	if _, isMember := current.Epoch.Member(from); !isMember {
		// What a learner holds must expire with the lease of this host, because a new owner does not learn of it.
		ttl = min(ttl, leaseEnd.Sub(now))
		l.owned.recordLearnerLoan(now.Add(ttl + ClockDriftMargin))
	}
	return owner.Handle(now, from, reportFromMessage(message), ttl), nil
}

// newOwner returns a new owner of a customer. The owner grants at once if this host has owned the customer without a gap since
// an epoch in which it was allowed to grant. The reserve then holds the tokens that have refilled since that time. State that
// was dropped while idle and recreated thus gives no more burst than state that was kept.
func (o *ownedCustomers) newOwner(now time.Time, customer string, limits Limits) *Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	var since time.Time
	for _, t := range slices.Backward(o.history) {
		if !t.view.Owns(ownerKey(customer)) {
			break
		}
		if !t.grantingSince.IsZero() {
			since = t.grantingSince
		}
	}
	if since.IsZero() {
		return NewSuccessorOwner(now, limits)
	}
	return NewOwner(now, limits, min(1, limits.refill()*max(0, now.Sub(since).Seconds())))
}

// recordCompleteReport records that the complete report of a member has arrived, and the times that it states.
func (o *ownedCustomers) recordCompleteReport(from fleet.Identity, now time.Time, request *ratelimitpb.RenewSharesRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.history[len(o.history)-1]
	t.reportedBy[from] = true
	removalTakeoverAt := now.Add(time.Duration(request.GetRemovalFreeMs()) * time.Millisecond)
	if t.removalTakeoverAt.IsZero() || removalTakeoverAt.Before(t.removalTakeoverAt) {
		t.removalTakeoverAt = removalTakeoverAt
	}
	learnerLoansExpireAt := now.Add(time.Duration(request.GetGuestFreeMs()) * time.Millisecond)
	if learnerLoansExpireAt.After(t.learnerLoansExpireAt) {
		t.learnerLoansExpireAt = learnerLoansExpireAt
	}
}

// recordLearnerLoan records the time at which a loan to a learner expires.
func (o *ownedCustomers) recordLearnerLoan(expiry time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if expiry.After(o.learnerLoansExpireAt) {
		o.learnerLoansExpireAt = expiry
	}
}

// setTakeoverTimes sets the removal takeover time and the expiry of loans to learners in a complete report.
func (o *ownedCustomers) setTakeoverTimes(view *fleet.View, now time.Time, request *ratelimitpb.RenewSharesRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	removalTakeoverAt := view.RemovalTakeoverAt
	if removalTakeoverAt.IsZero() {
		removalTakeoverAt = view.TakeoverAt
	}
	request.RemovalFreeMs = remainingMs(removalTakeoverAt, now)
	request.GuestFreeMs = remainingMs(o.learnerLoansExpireAt, now)
}

// remainingMs returns the time until t in whole milliseconds, rounded up; 0 if t has passed.
func remainingMs(t, now time.Time) uint32 {
	return uint32(max(0, t.Sub(now)+time.Millisecond-1) / time.Millisecond)
}

// startDue reports whether the owners must start to grant now. They can start once they have counted all that is lent. This
// is so when all members have reported their slices in this epoch, and therefore use no older epoch, and when what removed
// hosts and learners held has expired. Otherwise they wait for the takeover time, and for either the reports of all members or
// the expiry of the last slice of a former owner.
func (t *epochState) startDue(now time.Time) bool {
	if !t.grantingSince.IsZero() {
		return false
	}
	if len(t.missing()) == 0 {
		return !now.Before(t.removalTakeoverAt) && !now.Before(t.learnerLoansExpireAt) || !now.Before(t.view.TakeoverAt)
	}
	return !now.Before(t.view.TakeoverAt) && !now.Before(t.lastSliceExpiry())
}

// startGrantingIfDue starts granting in the current epoch if startDue reports true.
func (o *ownedCustomers) startGrantingIfDue(c clock.Clock, latest *fleet.View) {
	o.mu.Lock()
	if len(o.history) == 0 {
		o.mu.Unlock()
		return
	}
	t := o.history[len(o.history)-1]
	if latest != nil && latest.Epoch.Number == t.view.Epoch.Number && latest.TakeoverAt.After(t.view.TakeoverAt) {
		t.view = latest
	}
	now := c.Now()
	due := t.startDue(now)
	if due {
		t.grantingSince = now
	}
	o.mu.Unlock()
	if due {
		o.each(func(_ string, owner *Owner) bool {
			if !owner.Granting() {
				owner.StartGranting(c.Now())
			}
			return true
		})
	}
}

// missing returns the members whose complete report has not arrived.
func (t *epochState) missing() []fleet.HostID {
	var missing []fleet.HostID
	for i := range t.view.Epoch.Members {
		if m := &t.view.Epoch.Members[i]; !t.reportedBy[m.Identity()] {
			missing = append(missing, m.ID)
		}
	}
	return missing
}

// lastSliceExpiry returns the time at which the last slice that a former owner can have granted has expired. Former owners
// grant until the takeover time at the latest.
func (t *epochState) lastSliceExpiry() time.Time {
	from := t.view.TakeoverAt
	if t.view.LearnedAt.After(from) {
		from = t.view.LearnedAt
	}
	return from.Add(SliceTTL + ClockDriftMargin)
}

// each calls keep for every owner with its lock held, and drops the owners for which keep returns false.
func (o *ownedCustomers) each(keep func(customer string, owner *Owner) bool) {
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		maps.DeleteFunc(s.owners, func(customer string, owner *Owner) bool { return !keep(customer, owner) })
		s.mu.Unlock()
	}
}

func (o *ownedCustomers) dropIdle(c clock.Clock) {
	o.each(func(_ string, owner *Owner) bool { return !owner.Idle(c.Now()) })
}

func (o *ownedCustomers) setLimits(c clock.Clock, limitsOf func(string) (Limits, bool)) {
	o.each(func(customer string, owner *Owner) bool {
		// The state of a removed customer is kept until it is idle. If the customer is added again, it must not get its burst
		// twice.
		if limits, ok := limitsOf(customer); ok {
			owner.SetLimits(c.Now(), limits)
		}
		return true
	})
}

// OnView applies a change of the epoch or of this host's incarnation. Other changes of the view need no call. The former view
// is ignored: the limiter compares the new view with the one that it uses.
func (l *Limiter) OnView(_, view *fleet.View) {
	l.viewMu.Lock()
	former := l.current.Load()
	switch {
	case former == nil || former.Self != view.Self:
		l.dropAll()
		l.owned.reset(view)
	case former.Epoch.Number < view.Epoch.Number:
		l.owned.enterEpoch(view)
	default:
		// The same epoch, or an older one: startGrantingIfDue reads the takeover time from the newest view.
		l.viewMu.Unlock()
		return
	}
	l.current.Store(view)
	l.abandonAll()
	l.peersMu.Lock()
	clear(l.reportedEpochs)
	l.peersMu.Unlock()
	l.viewMu.Unlock()
	l.options.Logger.Info().Uint64("epoch", view.Epoch.Number).Msg("rate limiter switched to a new epoch")
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// dropAll drops the slices of a former incarnation.
func (l *Limiter) dropAll() {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		clear(s.customers)
		s.mu.Unlock()
	}
}

// abandonAll abandons the outstanding reports. From now on only grants of owners in the new epoch are applied.
func (l *Limiter) abandonAll() {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		now := l.options.Clock.Now()
		for _, c := range s.customers {
			c.holder.Abandon(now)
			c.holder.EndEpoch()
			c.deniedUntil, c.backoffUntil, c.overLimitUnknown = 0, 0, true
			c.done = nil
		}
		s.mu.Unlock()
	}
}

// distantPastSeconds is an age in seconds, far longer than the time in which any customer's burst refills.
const distantPastSeconds = 1 << 33

func newEpochState(view *fleet.View) *epochState {
	t := &epochState{view: view, reportedBy: make(map[fleet.Identity]bool)}
	if view.Epoch.Number == 1 {
		// Nothing can have been lent before the first epoch, so its owners start with a full reserve.
		t.grantingSince = time.Unix(-distantPastSeconds, 0)
	}
	return t
}

// reset drops all owners and the history, and starts with the epoch of view.
func (o *ownedCustomers) reset(view *fleet.View) {
	o.each(func(string, *Owner) bool { return false })
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = []*epochState{newEpochState(view)}
}

// enterEpoch adds the epoch of view to the history. It keeps the owners that were granting in the epoch just before, if this
// host still owns the customer. It drops the others, because after a gap another host may have lent slices.
func (o *ownedCustomers) enterEpoch(view *fleet.View) {
	o.mu.Lock()
	last := o.history[len(o.history)-1].view.Epoch.Number
	consecutive := last+1 == view.Epoch.Number
	if !consecutive {
		o.history = nil
	}
	o.history = append(o.history, newEpochState(view))
	if len(o.history) > historyLength {
		o.history = slices.Delete(o.history, 0, 1)
	}
	o.mu.Unlock()
	isMember := func(id fleet.Identity) bool {
		_, ok := view.Epoch.Member(id)
		return ok
	}
	o.each(func(customer string, owner *Owner) bool {
		if !consecutive || !owner.Granting() || !view.Owns(ownerKey(customer)) {
			return false
		}
		owner.Exclude(view.TakeoverAt, isMember)
		return true
	})
}

// ownerKey returns the key by which the epoch assigns a customer's owner. It differs from the key of the customer's shuffle
// shard, so the loss of one host seldom takes both the owner and a part of the slices.
func ownerKey(customer string) string { return "rate/" + customer }
