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

// MethodRenew is the call by which a holder renews its slices and borrows.
const MethodRenew peer.Method = "ratelimit.renew"

// historyLength is the number of epochs over which the limiter remembers that it owned a customer. An owner that was
// dropped while idle starts anew with the tokens since the oldest of them.
const historyLength = 32

// tenure is one epoch in which this host may own customers.
type tenure struct {
	view *fleet.View
	// complete are the members whose complete report has arrived.
	complete map[fleet.Identity]bool
	// removalFreeAt is the earliest time for which a member vouches that removed hosts hold nothing; zero if none has.
	removalFreeAt time.Time
	// guestFreeAt is the latest time at which what a member has lent to guests expires.
	guestFreeAt time.Time
	// startedAt is the time from which new grants are allowed; the zero time before.
	startedAt time.Time
}

type ownerShard struct {
	mu     sync.Mutex
	owners map[string]*Owner
}

// ownedCustomers is the state of the customers that this host owns. Changes of the epoch are serialised by
// Limiter.viewMu.
type ownedCustomers struct {
	shards [shardCount]ownerShard
	// mu guards the fields below.
	mu sync.Mutex
	// history holds epochs with consecutive numbers, the newest last.
	history []*tenure
	// guestLoansEnd is the time at which the last loan to a guest has expired.
	guestLoansEnd time.Time
}

func (o *ownedCustomers) init() {
	for i := range o.shards {
		o.shards[i].owners = make(map[string]*Owner)
	}
}

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

// handle answers a message of reports.
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
		l.owned.markComplete(from, l.options.Clock.Now(), request)
		l.owned.startIfDue(l.options.Clock, l.options.Views.View())
	}
	return response, nil
}

// mayServe checks that this host may act as an owner in the given epoch now, and returns the end of its lease.
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
			return Grant{Seq: message.GetSeq(), Life: SliceLife}, nil
		}
		if !current.Owns(ownerKey(customer)) {
			return Grant{}, peer.ErrNotOwner
		}
		owner = l.owned.newOwner(now, customer, limits)
		s.owners[customer] = owner
	}
	life := SliceLife
	if _, isMember := current.Epoch.Member(from); !isMember {
		// What a guest holds must end with the lender's lease, so that a new owner need not know of it.
		life = min(life, leaseEnd.Sub(now))
		l.owned.lentToGuest(now.Add(life + Margin))
	}
	return owner.Handle(now, from, reportOf(message), life), nil
}

// newOwner returns the owner of a customer without state. It grants if this host has owned the customer without a gap
// since an epoch in which the start rule was met: the reserve then holds what has refilled since, so that state dropped
// while idle and made anew gives no more burst than state that was kept.
func (o *ownedCustomers) newOwner(now time.Time, customer string, limits Limits) *Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	var since time.Time
	for _, t := range slices.Backward(o.history) {
		if !t.view.Owns(ownerKey(customer)) {
			break
		}
		if !t.startedAt.IsZero() {
			since = t.startedAt
		}
	}
	if since.IsZero() {
		return NewCarryingOwner(now, limits)
	}
	return NewOwner(now, limits, min(1, limits.refill()*max(0, now.Sub(since).Seconds())))
}

func (o *ownedCustomers) markComplete(from fleet.Identity, now time.Time, request *ratelimitpb.RenewSharesRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.history[len(o.history)-1]
	t.complete[from] = true
	removalFreeAt := now.Add(time.Duration(request.GetRemovalFreeMs()) * time.Millisecond)
	if t.removalFreeAt.IsZero() || removalFreeAt.Before(t.removalFreeAt) {
		t.removalFreeAt = removalFreeAt
	}
	guestFreeAt := now.Add(time.Duration(request.GetGuestFreeMs()) * time.Millisecond)
	if guestFreeAt.After(t.guestFreeAt) {
		t.guestFreeAt = guestFreeAt
	}
}

// lentToGuest notes the time at which a loan to a guest expires.
func (o *ownedCustomers) lentToGuest(expiry time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if expiry.After(o.guestLoansEnd) {
		o.guestLoansEnd = expiry
	}
}

// freeTimes fills in what a complete report states beside the slices.
func (o *ownedCustomers) freeTimes(view *fleet.View, now time.Time, request *ratelimitpb.RenewSharesRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	removalFreeAt := view.RemovalFreeAt
	if removalFreeAt.IsZero() {
		removalFreeAt = view.FreeAt
	}
	request.RemovalFreeMs = remainingMs(removalFreeAt, now)
	request.GuestFreeMs = remainingMs(o.guestLoansEnd, now)
}

// remainingMs is the time until t in whole milliseconds, rounded up.
func remainingMs(t, now time.Time) uint32 {
	return uint32(max(0, t.Sub(now)+time.Millisecond-1) / time.Millisecond)
}

// due reports whether new grants are allowed. All members have reported their slices in this epoch, so none acts in an
// older one, and what removed hosts and guests held has ended: then the owner knows all that is lent. Otherwise it waits for
// the free time, and for every member's report or the expiry of the last slice of a former owner.
func (t *tenure) due(now time.Time) bool {
	if !t.startedAt.IsZero() {
		return false
	}
	if len(t.missing()) == 0 {
		return !now.Before(t.removalFreeAt) && !now.Before(t.guestFreeAt) || !now.Before(t.view.FreeAt)
	}
	return !now.Before(t.view.FreeAt) && !now.Before(t.lastExpiry())
}

// startIfDue begins to grant in the current epoch when that is due.
func (o *ownedCustomers) startIfDue(c clock.Clock, latest *fleet.View) {
	o.mu.Lock()
	if len(o.history) == 0 {
		o.mu.Unlock()
		return
	}
	t := o.history[len(o.history)-1]
	if latest != nil && latest.Epoch.Number == t.view.Epoch.Number && latest.FreeAt.After(t.view.FreeAt) {
		t.view = latest
	}
	now := c.Now()
	due := t.due(now)
	if due {
		t.startedAt = now
	}
	o.mu.Unlock()
	if due {
		o.each(func(_ string, owner *Owner) bool {
			if !owner.Granting() {
				owner.Start(c.Now())
			}
			return true
		})
	}
}

// missing returns the members that have not reported.
func (t *tenure) missing() []fleet.HostID {
	var missing []fleet.HostID
	for i := range t.view.Epoch.Members {
		if m := &t.view.Epoch.Members[i]; !t.complete[m.Identity()] {
			missing = append(missing, m.ID)
		}
	}
	return missing
}

// lastExpiry is when the last slice that a former owner can have granted has expired. Former owners grant until the free
// time at the latest.
func (t *tenure) lastExpiry() time.Time {
	from := t.view.FreeAt
	if t.view.LearnedAt.After(from) {
		from = t.view.LearnedAt
	}
	return from.Add(SliceLife + Margin)
}

// each calls keep for every owner under its lock and drops those for which it returns false.
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
		// The state of a customer that was removed is kept until it is idle: added again, it must not get its burst twice.
		if limits, ok := limitsOf(customer); ok {
			owner.SetLimits(c.Now(), limits)
		}
		return true
	})
}

// OnView follows a change of the epoch or of this host's incarnation; other changes of the view need no call. The former view is not needed: the limiter compares with the view that it acted on.
func (l *Limiter) OnView(_, view *fleet.View) {
	l.viewMu.Lock()
	former := l.current.Load()
	switch {
	case former == nil || former.Self != view.Self:
		l.dropAll()
		l.owned.reset(view)
	case former.Epoch.Number < view.Epoch.Number:
		l.owned.follow(view)
	default:
		// The same epoch, or an older one: startIfDue reads the free time from the newest view.
		l.viewMu.Unlock()
		return
	}
	l.current.Store(view)
	l.abandonAll()
	l.peersMu.Lock()
	clear(l.reported)
	l.peersMu.Unlock()
	l.viewMu.Unlock()
	l.options.Logger.Info().Uint64("epoch", view.Epoch.Number).Msg("rate limits follow a new epoch")
	select {
	case l.kick <- struct{}{}:
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

// abandonAll gives up the outstanding reports: from now on only the owners of the new epoch are listened to.
func (l *Limiter) abandonAll() {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		now := l.options.Clock.Now()
		for _, c := range s.customers {
			c.holder.Abandon(now)
			c.holder.EndEpoch()
			c.refusedUntil, c.backoffUntil, c.undecided = 0, 0, true
			c.done = nil
		}
		s.mu.Unlock()
	}
}

// longAgo is in seconds, far beyond the time in which any customer's burst refills.
const longAgo = 1 << 33

func newTenure(view *fleet.View) *tenure {
	t := &tenure{view: view, complete: make(map[fleet.Identity]bool)}
	if view.Epoch.Number == 1 {
		// Nothing can have been lent before the first epoch, so its owners start with a full reserve.
		t.startedAt = time.Unix(-longAgo, 0)
	}
	return t
}

func (o *ownedCustomers) reset(view *fleet.View) {
	o.each(func(string, *Owner) bool { return false })
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = []*tenure{newTenure(view)}
}

// follow keeps the owners of customers that this host owned, granting, in the epoch just before, and drops the others:
// after a gap another host may have lent slices.
func (o *ownedCustomers) follow(view *fleet.View) {
	o.mu.Lock()
	last := o.history[len(o.history)-1].view.Epoch.Number
	consecutive := last+1 == view.Epoch.Number
	if !consecutive {
		o.history = nil
	}
	o.history = append(o.history, newTenure(view))
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
		owner.Exclude(view.FreeAt, isMember)
		return true
	})
}

// ownerKey is the key by which the epoch assigns a customer's owner. It differs from the key of the customer's home set, so
// that the loss of one host seldom takes the owner together with a part of the slices.
func ownerKey(customer string) string { return "rate/" + customer }
