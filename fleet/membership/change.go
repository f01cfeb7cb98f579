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

// read reads the table, passes the result to the machine and returns the number of the epoch that was read, 0 for none.
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

// change replaces the epoch if a change is due at this host. After a failed attempt it waits for a heartbeat interval, so that a
// change that is not possible yet does not load the table.
func (r *Runtime) change(ctx context.Context) {
	if !r.shouldPropose() {
		return
	}
	if err := r.tryChange(ctx); err != nil {
		r.counters.failedChanges.Add(1)
		r.options.Logger.Debug().Err(err).Msg("epoch not changed")
		sleep(ctx, r.options.HeartbeatInterval)
	}
}

func (r *Runtime) shouldPropose() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.ShouldPropose(r.moment())
}

func (r *Runtime) tryChange(ctx context.Context) error {
	if _, err := r.read(ctx); err != nil {
		return err
	}
	if !r.shouldPropose() {
		return nil
	}
	r.requestPromises(ctx)
	var p *Proposal
	var ok bool
	r.update("", func(m *Machine, at Moment) { p, ok = m.Propose(uuid.NewString(), at) })
	if !ok {
		return fmt.Errorf("membership: epoch %d cannot be replaced yet: not settled, not the stored one, or no member changes",
			r.View().Epoch.Number)
	}
	timed, cancel := context.WithTimeout(ctx, r.options.TableTimeout)
	defer cancel()
	if err := storeEpoch(timed, r.options.Table, r.options.Cell, p); err != nil {
		return err
	}
	r.update("", func(m *Machine, at Moment) { m.HandleStored(p, at) })
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

// Leave changes the host's state to Leaving. It returns when the epoch has the new state, or with the context's error. For a
// learner it returns at once. Run must be running.
func (r *Runtime) Leave(ctx context.Context) error {
	r.update("", func(m *Machine, _ Moment) { m.Leave() })
	return r.waitFor(ctx, func(view *fleet.View) bool {
		member, ok := view.Epoch.Member(view.Self)
		return !ok || member.State == fleet.Leaving
	})
}

// Remove ends the host's activity at once, removes the host from the epoch and notifies the other members. It is the last step of
// leaving, after all work has ended. If it returns an error, the other members exclude the host later, as after a crash. Run
// must be running.
func (r *Runtime) Remove(ctx context.Context) error {
	r.update("", func(m *Machine, _ Moment) { m.Depart() })
	if err := r.waitFor(ctx, func(view *fleet.View) bool { return view.Learner }); err != nil {
		return err
	}
	r.callMembers(ctx, func(ctx context.Context, member *fleet.Member) {
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
		notify(r.changeSignal)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// DeclareEnded records an operator's statement that the processes of the given hosts have ended for good. Such hosts are
// excluded without the promises of a majority. It is needed only if more than half of an epoch is lost and no process
// responds at the lost addresses. A wrong statement can let two hosts own the same key. It returns the hosts that it
// rejected: those that are not members, and those from which messages still arrive.
func (r *Runtime) DeclareEnded(ids []fleet.HostID) (rejected []fleet.HostID) {
	r.options.Logger.Warn().Interface("hosts", ids).Msg("operator declares the processes of hosts ended")
	r.update("", func(m *Machine, at Moment) { rejected = m.DeclareEnded(ids, at) })
	notify(r.changeSignal)
	return rejected
}

// activationPollInterval is the interval at which WaitActivated sends heartbeats to learn which members have applied the
// revision.
const activationPollInterval = 50 * time.Millisecond

// WaitActivated waits until a settings revision is activated: no host, whether member or learner, can be active with an older
// revision. The revision must be stored in the table. WaitActivated returns the members that have not applied it. With a nil
// error these members have lost their lease. With the context's error they may still be active, and so may hosts that
// this host has not learned of.
func (r *Runtime) WaitActivated(ctx context.Context, revision uint64) (missing []fleet.HostID, err error) {
	check := &ActivationCheck{Revision: revision}
	for number, err := r.read(ctx); ; number, err = r.read(ctx) {
		if err == nil {
			check.MinEpoch = number
			break
		}
		if sleep(ctx, r.options.HeartbeatInterval); ctx.Err() != nil {
			return r.missing(check), ctx.Err()
		}
	}
	for {
		done := false
		r.update("", func(m *Machine, at Moment) { missing, done = m.CheckActivated(check, at) })
		if done {
			return missing, nil
		}
		notify(r.heartbeatSignal)
		if sleep(ctx, activationPollInterval); ctx.Err() != nil {
			return missing, ctx.Err()
		}
	}
}

func (r *Runtime) missing(check *ActivationCheck) []fleet.HostID {
	r.mu.Lock()
	defer r.mu.Unlock()
	missing, _ := r.machine.CheckActivated(check, r.moment())
	return missing
}
