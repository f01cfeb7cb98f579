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
	// ClockOffset returns the distance of the host's wall clock from the median of the fleet. Default 0.
	ClockOffset func() time.Duration
	// Logger receives changes of the epoch. Default none.
	Logger zerolog.Logger
	// Table stores claims of the modes settings.ClaimsInTable and settings.ClaimsAuto. Default none: such operations are
	// rejected with kind claims_unavailable.
	Table storage.Table
	// Cell is the name of the epoch's cell. The hosts of a cell share the leases of mode settings.ClaimsAuto. Default "".
	Cell string
	// MaxRecordBytes is the maximum memory of the records. Default 16 MiB.
	MaxRecordBytes int64
	// CallTimeout is the timeout of one call to a peer. Default 300 ms.
	CallTimeout time.Duration
	// RetryDelay is the delay before a call is repeated. Default 50 ms.
	RetryDelay time.Duration
}

const (
	defaultMaxRecordBytes = 16 << 20
	defaultCallTimeout    = 300 * time.Millisecond
	defaultRetryDelay     = 50 * time.Millisecond
	// maxClaimWait is the maximum time for which an owner holds a claim while another attempt runs. The claim is repeated
	// after that time, so a lost response is noticed.
	maxClaimWait = 500 * time.Millisecond
	// tickInterval is the time between two checks of transfers and deadlines.
	tickInterval = 50 * time.Millisecond
	// deliveryTimeout is the time after the deadline of an attempt until which its result is sent to the owner.
	deliveryTimeout = 30 * time.Second
	// runTimeDivisor reserves 1/runTimeDivisor of the time to the deadline for the run. A claim without a decision by then
	// is abandoned.
	runTimeDivisor = 4
)

var (
	errNoOwner    = errors.New("the epoch has no owner for the operation's slot")
	errNotServing = errors.New("the owner does not serve the operation's slot")
	errNoDecision = errors.New("no owner decided on the claim in time")
)

// Operations makes operations run at most once in the fleet. It decides on the claims of other hosts for the slots that
// this host owns, and makes claims for the requests that this host serves. It is safe for concurrent use.
type Operations struct {
	options     Options
	baseContext context.Context // parent of background calls; ends with Run
	stop        context.CancelFunc
	notify      chan struct{}
	rows        *tableclaims.Store

	autoUsed atomic.Bool // a claim of mode settings.ClaimsAuto was made at this host

	mu           sync.Mutex
	ledger       *Ledger
	lease        claimLease
	completeness [Slots]rowCompleteness
	view         *fleet.View               // of the ledger's epoch
	owners       [Slots]fleet.Identity     // of the slots in that epoch; zero without active members
	waiters      map[Key]chan struct{}     // closed by wake
	claiming     map[Key]chan struct{}     // claims that are being written to the table; closed after the decision
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

// readClocks reads the clocks once for a check of the lease and the grant that follows. If the process is paused between
// the two, it therefore grants no id that is newer than its lease allows.
func (o *Operations) readClocks() ClockReading {
	t := ClockReading{ClockOK: o.options.ClockOffset().Abs() <= MaxClockOffset, Wall: o.options.Clock.Wall()}
	t.Now = o.options.Clock.Now()
	t.WallAfter = o.options.Clock.Wall()
	return t
}

// Begin claims an operation for this host. While another attempt runs the operation it waits, until the deadline. The
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

// claim repeats the claim until the owner has decided. If there is no decision although the claim may have been granted,
// the claim is released.
func (o *Operations) claim(ctx context.Context, request ClaimRequest, deadline time.Time) (Claim, error) {
	claimDeadline := deadline.Add(-time.Until(deadline) / runTimeDivisor)
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
		if ctx.Err() == nil && (waiting || time.Now().Before(claimDeadline)) {
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

// claimAtOwner makes one claim at the owner. sent is true if there is no response although the claim may have been granted.
func (o *Operations) claimAtOwner(ctx context.Context, request ClaimRequest) (decision Decision, sent bool, err error) {
	view := o.options.Views.View()
	owner, ok := view.Epoch.Owner(SlotKey(request.Key.Slot()))
	if !ok {
		return Decision{}, false, errNoOwner
	}
	maxWait := min(maxClaimWait, request.Remaining)
	if owner.Identity() == view.Self {
		return o.claimLocal(ctx, request, maxWait), false, nil
	}
	return o.claimRemote(ctx, owner.PeerAddress, request, maxWait)
}

// claimFromDecision returns the result of Begin for the owner's decision.
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

// claimLocal decides on a claim for a slot of this host. While another attempt runs the operation it waits for at most
// maxWait and then returns Wait.
func (o *Operations) claimLocal(ctx context.Context, request ClaimRequest, maxWait time.Duration) Decision {
	end := time.Now().Add(maxWait)
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

// tryClaim makes a claim in the ledger. If the decision is Wait, changed is closed when it may have become another one.
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

// waiter returns the channel that is closed by wake. The caller must hold mu.
func (o *Operations) waiter(key Key) <-chan struct{} {
	waiter, ok := o.waiters[key]
	if !ok {
		waiter = make(chan struct{})
		o.waiters[key] = waiter
	}
	return waiter
}

// enterCurrentEpoch updates the ledger to the current epoch and reports whether this host may act as an owner. The caller
// must hold mu.
func (o *Operations) enterCurrentEpoch() (ClockReading, bool) {
	t := o.readClocks()
	view := o.options.Views.View()
	if view.Epoch.Number > o.ledger.epoch {
		o.enterEpoch(t, view)
	}
	return t, view.ActiveAt(t.Now) && view.Epoch.Number == o.ledger.epoch
}

// wake makes the claims that wait for an operation try again. The caller must hold mu.
func (o *Operations) wake(key Key) {
	if waiter, ok := o.waiters[key]; ok {
		close(waiter)
		delete(o.waiters, key)
	}
}

// completeLocal records a result in a slot of this host. It returns false if this host does not serve the slot.
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

// deliverResult sends a result to the owner, in the background if the owner is another host. It retries until an owner
// accepts the result or deliveryTimeout has passed since the deadline.
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

// completeAtOwner sends a result to the owner once. It reports whether the owner accepted it.
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
