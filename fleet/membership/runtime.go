package membership

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
	"github.com/bronzeyard/bronzeyard/storage"
)

// Options configure a Runtime.
type Options struct {
	Table storage.Table
	// Cell names the epoch row. Required.
	Cell string
	// Self is the host's entry in the epoch. An incarnation of 0 is replaced by a random one.
	Self fleet.Member
	// Seeds are peer addresses that are asked for the epoch while no member is heard.
	Seeds []string
	// Caller makes the calls. If it has a method SetIdentity(fleet.Identity), that is called when the host joins anew as
	// another incarnation.
	Caller peer.Caller
	// Registrar takes the handlers of the membership messages.
	Registrar peer.Registrar
	// Clock is the lease clock and the wall clock. Default clock.System.
	Clock clock.Clock
	// AppliedRevision returns the settings revision that the host has applied. It must not block. Required.
	AppliedRevision func() uint64
	// OnRevisionHeard is told that a newer revision than the applied one exists, and the peer address of a host that
	// stated it, empty for the table. It is repeated at each heartbeat while the host is behind. Optional.
	OnNewerRevision func(revision uint64, from string)
	// OnView is told of each change of identity, epoch, guest, activity or FreeAt, in order and one at a time; a view that
	// differs in ActiveUntil alone is not reported. It must not wait for calls of this package. Optional.
	OnView func(before, after *fleet.View)
	// HostList speeds up suspicion. Optional.
	HostList storage.HostList
	Logger   zerolog.Logger
	// Durations are the time constants, the same on all hosts of a cell.
	Durations
	// TableInterval is the time between two reads of the table. Default 1 s.
	TableInterval time.Duration
	// TableTimeout bounds one call to the table or the host list. Default 2 s.
	TableTimeout time.Duration
}

// Runtime runs the membership of one host. It is safe for concurrent use.
type Runtime struct {
	options Options
	view    atomic.Pointer[fleet.View]
	tasks   sync.WaitGroup

	kickHeartbeat, kickRead, kickChange, kickEvents chan struct{}

	mu      sync.Mutex
	machine *Machine
	// shown is the state that was last reported to OnView.
	shown shownState
	// changed is closed and replaced whenever the shown state changes.
	changed chan struct{}
	events  []func()
	// hintedAt and hinted limit the reports to OnRevisionHeard.
	hintedAt time.Time
	hinted   uint64

	counters counters
}

// counters count events since the start of the process.
type counters struct {
	tableErrors, failedChanges, epochs, rejoins, heartbeats, lostHeartbeats atomic.Uint64
}

// Counters are counts of events since the start of the process.
type Counters struct {
	// TableErrors are periodic reads of the table that failed.
	TableErrors uint64
	// FailedChanges are attempts to change the epoch that did not succeed, for example because another host was first.
	FailedChanges uint64
	// Epochs are the epochs that the host has learned.
	Epochs uint64
	// Rejoins are the times that the host was excluded and joined as a new incarnation.
	Rejoins uint64
	// Heartbeats are the heartbeats sent, and LostHeartbeats those of them without an answer.
	Heartbeats, LostHeartbeats uint64
}

// Counters returns the counts.
func (r *Runtime) Counters() Counters {
	c := &r.counters
	return Counters{
		TableErrors: c.tableErrors.Load(), FailedChanges: c.failedChanges.Load(), Epochs: c.epochs.Load(),
		Rejoins: c.rejoins.Load(), Heartbeats: c.heartbeats.Load(), LostHeartbeats: c.lostHeartbeats.Load(),
	}
}

// shownState is what decides whether a view is a change worth reporting.
type shownState struct {
	view    *fleet.View
	active  bool
	settled bool
}

var _ fleet.ViewSource = (*Runtime)(nil)

// New registers the handlers and returns a Runtime that starts with Run.
func New(options Options) (*Runtime, error) {
	if err := options.complete(); err != nil {
		return nil, err
	}
	r := &Runtime{
		options:       options,
		kickHeartbeat: make(chan struct{}, 1), kickRead: make(chan struct{}, 1),
		kickChange: make(chan struct{}, 1), kickEvents: make(chan struct{}, 1),
		changed: make(chan struct{}),
	}
	at := r.moment()
	r.machine = NewMachine(options.Durations, options.Self, at)
	view := r.machine.View(at)
	r.view.Store(view)
	r.shown.view = view
	r.register()
	return r, nil
}

func (o *Options) complete() error {
	o.setDefaults()
	setDefault(&o.TableInterval, time.Second)
	setDefault(&o.TableTimeout, 2*time.Second)
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Self.Incarnation == 0 {
		o.Self.Incarnation = newIncarnation()
	}
	switch {
	case o.Table == nil || o.Caller == nil || o.Registrar == nil || o.AppliedRevision == nil:
		return errors.New("membership: Table, Caller, Registrar and AppliedRevision are required")
	case o.Cell == "" || o.Self.ID == "" || o.Self.PeerAddress == "":
		return errors.New("membership: Cell, Self.ID and Self.PeerAddress are required")
	case o.Self.Capacity <= 0:
		return errors.New("membership: Self.Capacity must be above 0")
	}
	return nil
}

func newIncarnation() fleet.Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return fleet.Incarnation(binary.LittleEndian.Uint64(b[:]) | 1)
}

// Run joins the cell and takes part in it until the context ends, and returns nil then. It does not leave: call Leave and
// Remove before.
func (r *Runtime) Run(ctx context.Context) error {
	loops, ctx := errgroup.WithContext(ctx)
	loops.Go(func() error { return r.loop(ctx, r.options.HeartbeatInterval, r.kickHeartbeat, r.heartbeats) })
	loops.Go(func() error { return r.loop(ctx, r.options.TableInterval, r.kickRead, r.readTable) })
	loops.Go(func() error { return r.loop(ctx, r.options.batchDelay(), r.kickChange, r.change) })
	loops.Go(func() error { return r.loop(ctx, time.Hour, r.kickEvents, r.deliverEvents) })
	if r.options.HostList != nil {
		loops.Go(func() error { return r.loop(ctx, 2*r.options.TableInterval, nil, r.readHostList) })
	}
	err := loops.Wait()
	r.tasks.Wait()
	return err
}

// loop runs the step at once, at each interval and at each kick.
func (r *Runtime) loop(ctx context.Context, interval time.Duration, kick <-chan struct{}, step func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-kick:
		}
	}
}

func kick(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (r *Runtime) moment() Moment {
	return Moment{Now: r.options.Clock.Now(), Wall: r.options.Clock.Wall(), Applied: r.options.AppliedRevision()}
}

// update changes the machine and publishes the view. from is the peer address that the event came from, if any.
func (r *Runtime) update(from string, event func(m *Machine, at Moment)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.moment()
	event(r.machine, at)
	if r.machine.Excluded() {
		r.rejoin(at)
	}
	r.publish(at)
	r.hint(from, at)
}

// rejoin lets an excluded host join as a new incarnation.
func (r *Runtime) rejoin(at Moment) {
	r.options.Logger.Warn().Uint64("epoch", r.machine.Epoch().Number).Msg("excluded from the epoch, joining as a new incarnation")
	r.counters.rejoins.Add(1)
	r.machine.Reincarnate(newIncarnation(), at)
	if caller, ok := r.options.Caller.(interface{ SetIdentity(fleet.Identity) }); ok {
		caller.SetIdentity(r.machine.Self())
	}
	kick(r.kickHeartbeat)
}

// publish stores the view and reports it if it differs in more than the end of the lease. The caller holds mu.
func (r *Runtime) publish(at Moment) {
	view := r.machine.View(at)
	r.view.Store(view)
	next := shownState{view: view, active: view.ActiveAt(at.Now), settled: r.machine.settled}
	last := r.shown
	newEpoch := last.view.Epoch.Number != view.Epoch.Number || last.view.Self != view.Self
	if !newEpoch && last.active == next.active && last.settled == next.settled && last.view.Learner == view.Learner {
		return
	}
	r.shown = next
	if last.view.Epoch.Number != view.Epoch.Number {
		r.counters.epochs.Add(1)
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.options.Logger.Info().Uint64("epoch", view.Epoch.Number).Int("members", len(view.Epoch.Members)).
		Bool("guest", view.Learner).Bool("active", next.active).Bool("settled", next.settled).Msg("membership changed")
	if newEpoch {
		kick(r.kickHeartbeat)
	}
	kick(r.kickChange)
	if r.options.OnView != nil {
		r.events = append(r.events, func() { r.options.OnView(last.view, view) })
		kick(r.kickEvents)
	}
}

// hint reports a newer settings revision, and repeats that at each heartbeat while the host is behind. from is the sender of
// the event that brought the revision. The caller holds mu.
func (r *Runtime) hint(from string, at Moment) {
	revision := r.machine.Heard()
	// A receiver that does not return would let the reports pile up.
	const maxWaiting = 64
	if r.options.OnNewerRevision == nil || revision <= at.Applied || len(r.events) > maxWaiting {
		return
	}
	if revision <= r.hinted {
		if at.Now.Sub(r.hintedAt) < r.options.HeartbeatInterval {
			return
		}
		from = r.machine.Holder(revision)
	}
	r.hinted, r.hintedAt = revision, at.Now
	r.events = append(r.events, func() { r.options.OnNewerRevision(revision, from) })
	kick(r.kickEvents)
}

// deliverEvents calls OnView and OnRevisionHeard outside of the lock and in order.
func (r *Runtime) deliverEvents(context.Context) {
	for {
		r.mu.Lock()
		events := r.events
		r.events = nil
		r.mu.Unlock()
		if len(events) == 0 {
			return
		}
		for _, event := range events {
			event()
		}
	}
}

// View implements fleet.ViewSource.
func (r *Runtime) View() *fleet.View { return r.view.Load() }

// Status returns the state for operators.
func (r *Runtime) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Status(r.moment())
}

// Suspected returns the members from which nothing arrives or whose process has ended.
func (r *Runtime) Suspected() []fleet.HostID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Suspected(r.moment())
}

// ClockOffset returns by how much the host's wall clock is ahead of the median of the members'.
func (r *Runtime) ClockOffset() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.ClockOffset(r.moment())
}
