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
	// Cell is the name of the cell, which is part of the key of the epoch row. Required.
	Cell string
	// Self is the host's entry in the epoch. ID, PeerAddress and Capacity are required. An incarnation of 0 is replaced by a
	// random one.
	Self fleet.Member
	// Seeds are peer addresses that receive heartbeats too while all other members have timed out. The response of a seed
	// carries the epoch.
	Seeds []string
	// Caller makes the calls to other hosts. If it has a method SetIdentity(fleet.Identity), the Runtime calls that when the
	// host rejoins as a new incarnation.
	Caller peer.Caller
	// Registrar registers the handlers of the membership messages.
	Registrar peer.Registrar
	// Clock is the lease clock and the wall clock. Default clock.System.
	Clock clock.Clock
	// AppliedRevision returns the settings revision that the host has applied. It must not block. Required.
	AppliedRevision func() uint64
	// OnNewerRevision is called when a newer revision than the applied one exists. from is the peer address of a host that
	// stated it, empty for the table. The call is repeated at each heartbeat while the host is behind. Optional.
	OnNewerRevision func(revision uint64, from string)
	// OnView is called for each change of Self, Epoch or Learner, when the host becomes active or inactive, and when the epoch
	// becomes settled, which fixes TakeoverAt. Calls are made in order and one at a time. A view that differs in ActiveUntil
	// alone is not reported. OnView must not wait for calls of this package. Optional.
	OnView func(before, after *fleet.View)
	// HostList is the platform's list of hosts. A member that it does not show as live is suspected sooner. Optional.
	HostList storage.HostList
	Logger   zerolog.Logger
	// Durations are the time constants, the same on all hosts of a cell.
	Durations
	// TableInterval is the time between two reads of the table. Default 1 s.
	TableInterval time.Duration
	// TableTimeout limits the time of one call to the table or the host list. Default 2 s.
	TableTimeout time.Duration
}

// Runtime runs the membership of one host. It is safe for concurrent use.
type Runtime struct {
	options Options
	view    atomic.Pointer[fleet.View]
	tasks   sync.WaitGroup

	heartbeatSignal, readSignal, changeSignal, eventSignal chan struct{}

	mu      sync.Mutex
	machine *Machine
	// published is the state that was last reported to OnView.
	published publishedState
	// changed is closed and replaced whenever published changes.
	changed chan struct{}
	events  []func()
	// reportedRevisionAt and reportedRevision limit the calls of OnNewerRevision.
	reportedRevisionAt time.Time
	reportedRevision   uint64

	counters counters
}

// counters count events since the start of the process.
type counters struct {
	tableErrors, failedChanges, epochs, rejoins, heartbeats, lostHeartbeats atomic.Uint64
}

// Counters are counts of events since the start of the process.
type Counters struct {
	// TableErrors counts the periodic reads of the table that failed.
	TableErrors uint64
	// FailedChanges counts the attempts to change the epoch that did not succeed, for example because another host was first.
	FailedChanges uint64
	// Epochs counts the epochs that the host has learned.
	Epochs uint64
	// Rejoins counts the times that the host was excluded and rejoined as a new incarnation.
	Rejoins uint64
	// Heartbeats counts the heartbeats sent, LostHeartbeats those without a response.
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

// publishedState is the state that publish compares to decide whether a new view is reported to OnView.
type publishedState struct {
	view    *fleet.View
	active  bool
	settled bool
}

var _ fleet.ViewSource = (*Runtime)(nil)

// New registers the handlers of the membership messages and returns a Runtime, which starts with Run. It returns an error if a
// required option is missing.
func New(options Options) (*Runtime, error) {
	if err := options.complete(); err != nil {
		return nil, err
	}
	r := &Runtime{
		options:         options,
		heartbeatSignal: make(chan struct{}, 1), readSignal: make(chan struct{}, 1),
		changeSignal: make(chan struct{}, 1), eventSignal: make(chan struct{}, 1),
		changed: make(chan struct{}),
	}
	at := r.moment()
	r.machine = NewMachine(options.Durations, options.Self, at)
	view := r.machine.View(at)
	r.view.Store(view)
	r.published.view = view
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

// Run joins the cell, participates in it until the context ends, and then returns nil. It does not leave the cell: call Leave
// and Remove before the context ends.
func (r *Runtime) Run(ctx context.Context) error {
	loops, ctx := errgroup.WithContext(ctx)
	loops.Go(func() error { return r.loop(ctx, r.options.HeartbeatInterval, r.heartbeatSignal, r.heartbeats) })
	loops.Go(func() error { return r.loop(ctx, r.options.TableInterval, r.readSignal, r.readTable) })
	loops.Go(func() error { return r.loop(ctx, r.options.batchDelay(), r.changeSignal, r.change) })
	loops.Go(func() error { return r.loop(ctx, time.Hour, r.eventSignal, r.deliverEvents) })
	if r.options.HostList != nil {
		loops.Go(func() error { return r.loop(ctx, 2*r.options.TableInterval, nil, r.readHostList) })
	}
	err := loops.Wait()
	r.tasks.Wait()
	return err
}

// loop runs the step at once, at each interval and at each signal.
func (r *Runtime) loop(ctx context.Context, interval time.Duration, signal <-chan struct{}, step func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-signal:
		}
	}
}

// notify signals the loop that reads the channel, and does not block if a signal is pending already.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (r *Runtime) moment() Moment {
	return Moment{Now: r.options.Clock.Now(), Wall: r.options.Clock.Wall(), Applied: r.options.AppliedRevision()}
}

// update applies an event to the machine and publishes the view. from is the peer address of the event's sender, if any.
func (r *Runtime) update(from string, event func(m *Machine, at Moment)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.moment()
	event(r.machine, at)
	if r.machine.Excluded() {
		r.rejoin(at)
	}
	r.publish(at)
	r.reportRevision(from, at)
}

// rejoin makes an excluded host a learner under a new incarnation.
func (r *Runtime) rejoin(at Moment) {
	r.options.Logger.Warn().Uint64("epoch", r.machine.Epoch().Number).Msg("excluded from the epoch, rejoining as a new incarnation")
	r.counters.rejoins.Add(1)
	r.machine.StartIncarnation(newIncarnation(), at)
	if caller, ok := r.options.Caller.(interface{ SetIdentity(fleet.Identity) }); ok {
		caller.SetIdentity(r.machine.Self())
	}
	notify(r.heartbeatSignal)
}

// publish stores the view, and queues a call of OnView if it differs in more than the end of the lease. The caller holds mu.
func (r *Runtime) publish(at Moment) {
	view := r.machine.View(at)
	r.view.Store(view)
	next := publishedState{view: view, active: view.ActiveAt(at.Now), settled: r.machine.settled}
	last := r.published
	newEpoch := last.view.Epoch.Number != view.Epoch.Number || last.view.Self != view.Self
	if !newEpoch && last.active == next.active && last.settled == next.settled && last.view.Learner == view.Learner {
		return
	}
	r.published = next
	if last.view.Epoch.Number != view.Epoch.Number {
		r.counters.epochs.Add(1)
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.options.Logger.Info().Uint64("epoch", view.Epoch.Number).Int("members", len(view.Epoch.Members)).
		Bool("guest", view.Learner).Bool("active", next.active).Bool("settled", next.settled).Msg("membership changed")
	if newEpoch {
		notify(r.heartbeatSignal)
	}
	notify(r.changeSignal)
	if r.options.OnView != nil {
		r.events = append(r.events, func() { r.options.OnView(last.view, view) })
		notify(r.eventSignal)
	}
}

// reportRevision queues a call of OnNewerRevision if there is a newer settings revision, and repeats that at each heartbeat
// while the host is behind. from is the peer address of the event's sender. The caller holds mu.
func (r *Runtime) reportRevision(from string, at Moment) {
	revision := r.machine.KnownRevision()
	// Limits the queue while a callback does not return.
	const maxQueued = 64
	if r.options.OnNewerRevision == nil || revision <= at.Applied || len(r.events) > maxQueued {
		return
	}
	if revision <= r.reportedRevision {
		if at.Now.Sub(r.reportedRevisionAt) < r.options.HeartbeatInterval {
			return
		}
		from = r.machine.PeerWithRevision(revision)
	}
	r.reportedRevision, r.reportedRevisionAt = revision, at.Now
	r.events = append(r.events, func() { r.options.OnNewerRevision(revision, from) })
	notify(r.eventSignal)
}

// deliverEvents makes the queued calls of OnView and OnNewerRevision in order, without holding the lock.
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

// Status returns the state of the membership for operators.
func (r *Runtime) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Status(r.moment())
}

// Suspected returns the members from which no message has arrived in time or whose process has ended.
func (r *Runtime) Suspected() []fleet.HostID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Suspected(r.moment())
}

// ClockOffset returns by how much the host's wall clock is ahead of the median of the members' clocks.
func (r *Runtime) ClockOffset() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.ClockOffset(r.moment())
}
