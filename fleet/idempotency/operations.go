package idempotency

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/fleet/idempotency/tableclaims"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/storage"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

// Options configures Operations.
type Options struct {
	Views     fleet.ViewSource
	Caller    peer.Caller
	Registrar peer.Registrar
	// Clock is the host's clock. Default clock.System.
	Clock clock.Clock
	// ClockOffset is the distance of the host's wall clock from the median of the fleet. Default 0.
	ClockOffset func() time.Duration
	// Logger gets changes of state. Default none.
	Logger zerolog.Logger
	// Table keeps claims of mode settings.ClaimsInTable. Default none: such operations are refused with kind
	// claims_unavailable.
	Table storage.Table
	// Cell names the cell of the epoch; the hosts of a cell share the leases of mode settings.ClaimsAuto. Default "".
	Cell string
	// MemoryBytes bounds the records. Default 16 MiB.
	MaxRecordBytes int64
	// CallTimeout bounds one call to a peer. Default 300 ms.
	CallTimeout time.Duration
	// Retry is the pause before a call is made again. Default 50 ms.
	RetryDelay time.Duration
}

const (
	defaultMaxRecordBytes = 16 << 20
	defaultCallTimeout    = 300 * time.Millisecond
	defaultRetryDelay     = 50 * time.Millisecond
	// holdCall is for how long an owner holds a claim while another attempt runs. The claim is then asked for again, so
	// that a lost answer is noticed.
	maxClaimWait = 500 * time.Millisecond
	// tickInterval is the time between two looks at transfers and deadlines.
	tickInterval = 50 * time.Millisecond
	// completeFor is for how long after the deadline of an attempt its result is offered to the owner.
	deliveryTimeout = 30 * time.Second
	// runShare is the share of the time to the deadline that is kept for the run: a claim that is not granted before
	// that is given up.
	runTimeDivisor = 4
)

var (
	errNoOwner    = errors.New("the epoch has no owner for the operation's slot")
	errNotServing = errors.New("the owner does not serve the operation's slot")
	errNoDecision = errors.New("no owner has decided on the claim in time")
)

// Operations makes operations run at most once in the fleet. It answers the claims of other hosts for the slots that this
// host owns, and makes claims for the requests that this host serves. It is safe for concurrent use.
type Operations struct {
	options     Options
	baseContext context.Context // of background deliveries, ends with Run
	stop        context.CancelFunc
	notify      chan struct{}
	rows        *tableclaims.Store

	autoUsed atomic.Bool // a claim of mode settings.ClaimsAuto has been made here

	mu           sync.Mutex
	ledger       *Ledger
	lease        claimLease
	completeness [Slots]rowCompleteness
	view         *fleet.View           // of the ledger's epoch
	owners       [Slots]fleet.Identity // of the slots in that epoch; zero without active members
	waiters      map[Key]chan struct{}
	claiming     map[Key]chan struct{}     // claims that are being written to the table; closed when that is decided
	acknowledged map[fleet.Identity]uint64 // newest epoch whose transfers a member has acknowledged
	sending      map[fleet.Identity]bool

	pending  atomic.Int64 // results that no owner has acknowledged
	granted  atomic.Int64
	replayed atomic.Int64
	rejected atomic.Int64
}

// New returns Operations and registers its handlers.
func New(options Options) *Operations {
	if options.Clock == nil {
		options.Clock = clock.System{}
	}
	if options.ClockOffset == nil {
		options.ClockOffset = func() time.Duration { return 0 }
	}
	options.MaxRecordBytes = defaultTo(options.MaxRecordBytes, defaultMaxRecordBytes)
	options.CallTimeout = defaultTo(options.CallTimeout, defaultCallTimeout)
	options.RetryDelay = defaultTo(options.RetryDelay, defaultRetryDelay)
	base, stop := context.WithCancel(context.Background())
	o := &Operations{
		options: options, baseContext: base, stop: stop, notify: make(chan struct{}, 1), ledger: NewLedger(options.MaxRecordBytes),
		waiters: make(map[Key]chan struct{}), acknowledged: make(map[fleet.Identity]uint64),
		sending: make(map[fleet.Identity]bool), view: &fleet.View{}, claiming: make(map[Key]chan struct{}),
		rows: tableclaims.New(base, tableclaims.Options{Table: options.Table}),
	}
	o.register()
	return o
}

func defaultTo[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// moment reads the clocks once. The lease is checked against the same reading, so that a host that is paused between the
// check and the grant grants no id that is newer than its lease allows.
func (o *Operations) readClocks() ClockReading {
	t := ClockReading{ClockOK: o.options.ClockOffset().Abs() <= MaxClockOffset, Wall: o.options.Clock.Wall()}
	t.Now = o.options.Clock.Now()
	t.WallAfter = o.options.Clock.Wall()
	return t
}

// Begin claims an operation for this host. It waits while another attempt runs the operation, until the deadline. The
// error is an *errkind.Error.
func (o *Operations) Begin(ctx context.Context, op Operation) (Claim, error) {
	id, err := ParseID(op.ID)
	if err != nil {
		return Claim{}, err
	}
	ctx, cancel := context.WithDeadline(ctx, op.Deadline)
	defer cancel()
	request := ClaimRequest{
		Key: Key{Customer: op.Customer, ID: id}, Fingerprint: op.Fingerprint, Attempt: uuid.New(),
		InTable:    op.Claims == settings.ClaimsInTable || op.Claims == settings.ClaimsAuto,
		TableSince: op.TableSince, Auto: op.Claims == settings.ClaimsAuto,
	}
	return o.claim(ctx, request, op.Deadline)
}

// claim asks the owner until it has decided. If it ends without an answer to a claim that may have been granted, the
// claim is given back.
func (o *Operations) claim(ctx context.Context, request ClaimRequest, deadline time.Time) (Claim, error) {
	lastAsk := deadline.Add(-time.Until(deadline) / runTimeDivisor)
	maybeGranted := false
	for {
		request.Remaining = time.Until(deadline)
		decision, sent, err := o.claimAtOwner(ctx, request)
		maybeGranted = maybeGranted || sent
		waiting := err == nil && decision.Verdict == Wait
		if err == nil && !waiting && decision.Verdict != NotOwner {
			if request.InTable && maybeGranted && decision.Verdict == Rejected {
				o.deliverResult(request, deadline, Result{State: NotRun})
			}
			return o.claimFromDecision(request, deadline, decision)
		}
		if ctx.Err() == nil && (waiting || time.Now().Before(lastAsk)) {
			if !waiting {
				sleep(ctx, o.options.RetryDelay)
			}
			continue
		}
		if maybeGranted {
			o.deliverResult(request, deadline, Result{State: NotRun})
		}
		if waiting {
			return Claim{}, errkind.New(errkind.OperationRunning, ctx.Err())
		}
		return Claim{}, errkind.New(errkind.OperationNotOwned, errors.Join(errNoDecision, err, ctx.Err()))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// ask makes one claim at the owner. sent is true if the claim may have been granted without this host knowing.
func (o *Operations) claimAtOwner(ctx context.Context, request ClaimRequest) (decision Decision, sent bool, err error) {
	view := o.options.Views.View()
	owner, ok := view.Epoch.Owner(SlotKey(request.Key.Slot()))
	if !ok {
		return Decision{}, false, errNoOwner
	}
	hold := min(maxClaimWait, request.Remaining)
	if owner.Identity() == view.Self {
		return o.claimLocal(ctx, request, hold), false, nil
	}
	return o.claimRemote(ctx, owner.PeerAddress, request, hold)
}

func (o *Operations) claimFromDecision(request ClaimRequest, deadline time.Time, decision Decision) (Claim, error) {
	switch decision.Verdict {
	case Granted:
		o.granted.Add(1)
		var once sync.Once
		return Claim{Complete: func(result Result) {
			once.Do(func() { o.deliverResult(request, deadline, result) })
		}}, nil
	case Replayed:
		o.replayed.Add(1)
		return Claim{Replay: decision.Result}, nil
	default:
		o.rejected.Add(1)
		return Claim{}, &errkind.Error{Kind: decision.Kind, Outcome: decision.Outcome}
	}
}

// claimHere decides on a claim for a slot of this host. While another attempt runs the operation it waits for at most
// hold, and then answers Wait.
func (o *Operations) claimLocal(ctx context.Context, request ClaimRequest, hold time.Duration) Decision {
	end := time.Now().Add(hold)
	try := o.tryClaim
	if request.InTable {
		try = o.tryTableClaim
	}
	for {
		decision, changed, now := try(request)
		if decision.Verdict != Wait {
			return decision
		}
		left := time.Until(end)
		if left <= 0 || ctx.Err() != nil {
			return decision
		}
		wait := time.NewTimer(min(left, max(decision.Until.Sub(now), time.Millisecond)))
		select {
		case <-changed:
		case <-wait.C:
		case <-ctx.Done():
		}
		wait.Stop()
	}
}

// tryClaim asks the ledger. changed is closed when the decision Wait may have become another one.
func (o *Operations) tryClaim(request ClaimRequest) (decision Decision, changed <-chan struct{}, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t, ok := o.enterCurrentEpoch()
	if !ok {
		return Decision{Verdict: NotOwner}, nil, t.Now
	}
	decision = o.ledger.Claim(t, request)
	if decision.Verdict != Wait {
		return decision, nil, t.Now
	}
	return decision, o.waiter(request.Key), t.Now
}

// waiter returns the channel that is closed by wake. The caller holds mu.
func (o *Operations) waiter(key Key) <-chan struct{} {
	waiter, ok := o.waiters[key]
	if !ok {
		waiter = make(chan struct{})
		o.waiters[key] = waiter
	}
	return waiter
}

// enter brings the ledger to the current epoch and reports whether this host may act as an owner. The caller holds mu.
func (o *Operations) enterCurrentEpoch() (ClockReading, bool) {
	t := o.readClocks()
	view := o.options.Views.View()
	if view.Epoch.Number > o.ledger.epoch {
		o.enterEpoch(t, view)
	}
	return t, view.ActiveAt(t.Now) && view.Epoch.Number == o.ledger.epoch
}

// wake lets the claims that wait for an operation ask again. The caller holds mu.
func (o *Operations) wake(key Key) {
	if waiter, ok := o.waiters[key]; ok {
		close(waiter)
		delete(o.waiters, key)
	}
}

// completeHere takes a result for a slot of this host.
func (o *Operations) completeLocal(request ClaimRequest, result Result) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	t, ok := o.enterCurrentEpoch()
	if !ok || !o.ledger.Complete(t, request, result) {
		return false
	}
	if request.InTable {
		o.storeOutcome(t, request, result)
	}
	o.wake(request.Key)
	return true
}

// deliver brings a result to the owner, in the background if the owner is another host, until an owner has taken it or
// completeFor after the deadline.
func (o *Operations) deliverResult(request ClaimRequest, deadline time.Time, result Result) {
	if len(result.Body) > MaxStoredBody {
		result.Body, result.BodyLost = nil, true
	}
	view := o.options.Views.View()
	if view.Owns(SlotKey(request.Key.Slot())) && o.completeLocal(request, result) {
		return
	}
	o.pending.Add(1)
	go func() {
		defer o.pending.Add(-1)
		ctx, cancel := context.WithDeadline(o.baseContext, deadline.Add(deliveryTimeout))
		defer cancel()
		for ctx.Err() == nil && !o.completeAtOwner(ctx, request, result) {
			sleep(ctx, o.options.RetryDelay)
		}
	}()
}

// completeOnce offers a result to the owner once.
func (o *Operations) completeAtOwner(ctx context.Context, request ClaimRequest, result Result) bool {
	view := o.options.Views.View()
	owner, ok := view.Epoch.Owner(SlotKey(request.Key.Slot()))
	if !ok {
		return false
	}
	if owner.Identity() == view.Self {
		return o.completeLocal(request, result)
	}
	return o.completeRemote(ctx, owner.PeerAddress, request, result)
}
