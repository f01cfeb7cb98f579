package membership

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// readTable reads the epoch and the settings head.
func (r *Runtime) readTable(ctx context.Context) {
	if _, err := r.read(ctx); err != nil {
		r.counters.tableErrors.Add(1)
		r.options.Logger.Debug().Err(err).Msg("table read failed")
	}
}

// read passes a read of the table to the machine and returns the number of the epoch that was read.
func (r *Runtime) read(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.TableTimeout)
	defer cancel()
	startedAt := r.options.Clock.Now()
	epoch, head, err := readCell(ctx, r.options.Table, r.options.Cell)
	if err != nil {
		return 0, err
	}
	r.update("", func(m *Machine, at Moment) { m.HandleRead(startedAt, epoch, head, at) })
	if epoch == nil {
		return 0, nil
	}
	return epoch.Number, nil
}

// change replaces the epoch if that is wanted and it is this host's turn. After an attempt without success it waits for a
// heartbeat interval, so that a change that is not possible yet does not load the table.
func (r *Runtime) change(ctx context.Context) {
	if !r.wants() {
		return
	}
	if err := r.tryChange(ctx); err != nil {
		r.counters.failedChanges.Add(1)
		r.options.Logger.Debug().Err(err).Msg("epoch not changed")
		sleep(ctx, r.options.HeartbeatInterval)
	}
}

func (r *Runtime) wants() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Wants(r.moment())
}

func (r *Runtime) tryChange(ctx context.Context) error {
	if _, err := r.read(ctx); err != nil {
		return err
	}
	if !r.wants() {
		return nil
	}
	r.askPromises(ctx)
	var p *Proposal
	var ok bool
	r.update("", func(m *Machine, at Moment) { p, ok = m.Propose(uuid.NewString(), at) })
	if !ok {
		return fmt.Errorf("membership: epoch %d cannot be replaced yet", r.View().Epoch.Number)
	}
	timed, cancel := context.WithTimeout(ctx, r.options.TableTimeout)
	defer cancel()
	if err := storeEpoch(timed, r.options.Table, r.options.Cell, p); err != nil {
		return err
	}
	r.update("", func(m *Machine, at Moment) { m.Stored(p, at) })
	return nil
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Leave changes the host's state to leaving and returns when the epoch says so, or with the context's error. A guest has
// nothing to change. Run must be running.
func (r *Runtime) Leave(ctx context.Context) error {
	r.update("", func(m *Machine, _ Moment) { m.Leave() })
	return r.waitFor(ctx, func(view *fleet.View) bool {
		member, ok := view.Epoch.Member(view.Self)
		return !ok || member.State == fleet.Leaving
	})
}

// Remove ends the host's activity at once, takes it out of the epoch and tells the other members. It is the last step of
// leaving, after all work has ended. On an error the host is excluded later, as after a crash. Run must be running.
func (r *Runtime) Remove(ctx context.Context) error {
	r.update("", func(m *Machine, _ Moment) { m.Depart() })
	if err := r.waitFor(ctx, func(view *fleet.View) bool { return view.Learner }); err != nil {
		return err
	}
	r.toAll(ctx, func(ctx context.Context, member *fleet.Member) {
		r.heartbeat(ctx, Target{Identity: member.Identity(), Address: member.PeerAddress})
	})
	return nil
}

func (r *Runtime) waitFor(ctx context.Context, done func(*fleet.View) bool) error {
	for {
		r.mu.Lock()
		changed := r.changed
		r.mu.Unlock()
		if done(r.View()) {
			return nil
		}
		kick(r.kickChange)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// DeclareEnded accepts an operator's statement that the processes of the given hosts have ended for good, so that they
// are excluded without the promises of a majority. It is needed only if more than half of an epoch is lost and nothing
// answers at the lost addresses. A wrong statement can let two hosts own the same key. It returns the hosts that it did not accept:
// those that are no members, and those that are heard.
func (r *Runtime) DeclareEnded(ids []fleet.HostID) (refused []fleet.HostID) {
	r.options.Logger.Warn().Interface("hosts", ids).Msg("operator declares hosts as ended")
	r.update("", func(m *Machine, at Moment) { refused = m.DeclareEnded(ids, at) })
	kick(r.kickChange)
	return refused
}

// inForcePoll is the interval at which members are asked whether they have applied a revision that is waited for.
const inForcePoll = 50 * time.Millisecond

// WaitInForce waits until no host can be active with a settings revision below the given one, which must be stored in the
// table. It returns the members that have not applied it: with a nil error they have lost their lease, with the context's
// error they, and others that are not known, may still be active. The rule counts members and guests.
func (r *Runtime) WaitActivated(ctx context.Context, revision uint64) (missing []fleet.HostID, err error) {
	check := &InForceCheck{Revision: revision}
	for number, err := r.read(ctx); ; number, err = r.read(ctx) {
		if err == nil {
			check.LeastEpoch = number
			break
		}
		if sleep(ctx, r.options.HeartbeatInterval); ctx.Err() != nil {
			return r.missing(check), ctx.Err()
		}
	}
	for {
		done := false
		r.update("", func(m *Machine, at Moment) { missing, done = m.CheckInForce(check, at) })
		if done {
			return missing, nil
		}
		kick(r.kickHeartbeat)
		if sleep(ctx, inForcePoll); ctx.Err() != nil {
			return missing, ctx.Err()
		}
	}
}

func (r *Runtime) missing(check *InForceCheck) []fleet.HostID {
	r.mu.Lock()
	defer r.mu.Unlock()
	missing, _ := r.machine.CheckInForce(check, r.moment())
	return missing
}
