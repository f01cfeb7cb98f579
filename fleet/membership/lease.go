package membership

import (
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// HandleRead processes a read of the epoch row and the settings head. startedAt is the time at which the read was started.
// epoch is nil if there is no row.
func (m *Machine) HandleRead(startedAt time.Time, epoch *epochState, head uint64, at Moment) {
	m.observeRevision(head)
	m.learn(epoch, at)
	if startedAt.Before(m.read.startedAt) {
		return
	}
	m.read = tableRead{startedAt: startedAt, head: head, absent: epoch == nil}
	if epoch != nil {
		m.read.epochNumber = epoch.Number
	}
	m.renew(at)
}

// renew extends the activity lease by the newest table read and by the acknowledgements of a majority.
func (m *Machine) renew(at Moment) {
	if m.departed || m.Excluded() || m.epoch.Number == 0 || at.Applied < m.epoch.revision {
		return
	}
	member := m.isMember(m.Self())
	if member && m.read.epochNumber == m.epoch.Number && m.read.head <= at.Applied {
		m.extendLease(m.read.startedAt)
	}
	m.countPending(at)
	if start, ok := m.majorityAckedSince(member, at); ok {
		m.extendLease(start)
	}
}

func (m *Machine) extendLease(start time.Time) {
	if until := start.Add(m.durations.Lease); until.After(m.activeUntil) {
		m.activeUntil = until
	}
}

// countPending counts pending acknowledgements whose settings revision the host has applied meanwhile.
func (m *Machine) countPending(at Moment) {
	for _, p := range m.peers {
		if p.pending.revision <= at.Applied && p.pending.sentAt.After(p.countedSentAt) {
			p.countedSentAt = p.pending.sentAt
		}
	}
}

// majorityAckedSince returns the latest time such that a majority has acknowledged heartbeats sent at that time or later.
// A member counts itself towards the majority. It returns false if no majority has acknowledged a heartbeat.
func (m *Machine) majorityAckedSince(member bool, at Moment) (time.Time, bool) {
	needed := m.epoch.Majority()
	if member {
		needed--
	}
	if needed == 0 {
		return at.Now, true
	}
	sent := make([]time.Time, 0, len(m.epoch.Members))
	for i := range m.epoch.Members {
		if p := m.peers[m.epoch.Members[i].Identity()]; p != nil && !p.countedSentAt.IsZero() {
			sent = append(sent, p.countedSentAt)
		}
	}
	if len(sent) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	return sent[needed-1], true
}

// ActivationCheck is the progress of one wait until a settings revision is activated.
type ActivationCheck struct {
	// Revision is the revision to wait for.
	Revision uint64
	// MinEpoch is the number of the epoch that was read from the table after the revision was stored.
	MinEpoch uint64

	epochNumber uint64
	majorityAt  time.Time
}

// CheckActivated reports whether no host can be active with a revision older than that of the check, and which members have
// not applied it. The revision is activated when a majority of the members has applied it, and every other host has either
// applied it too or must have lost its lease since then.
func (m *Machine) CheckActivated(check *ActivationCheck, at Moment) (missing []fleet.HostID, done bool) {
	m.updateSettled(at)
	withoutLearners := 0
	for i := range m.epoch.Members {
		id := m.epoch.Members[i].Identity()
		if !m.hasApplied(id, check.Revision, at) {
			missing = append(missing, id.ID)
		}
		if m.hasAppliedWithoutLearners(id, check.Revision, at) {
			withoutLearners++
		}
	}
	majority := m.epoch.Majority()
	applied := len(m.epoch.Members) - len(missing)
	if m.epoch.Number < max(check.MinEpoch, 1) || !m.settled || applied < majority {
		return missing, false
	}
	if check.epochNumber != m.epoch.Number {
		check.epochNumber, check.majorityAt = m.epoch.Number, at.Now
	}
	if at.Now.Before(m.takeoverAt) {
		return missing, false
	}
	if len(missing) == 0 && withoutLearners >= majority {
		return nil, true
	}
	return missing, !at.Now.Before(check.majorityAt.Add(m.durations.leaseWait()))
}

func (m *Machine) hasApplied(id fleet.Identity, revision uint64, at Moment) bool {
	if id == m.Self() {
		return at.Applied >= revision
	}
	p := m.peers[id]
	return p != nil && p.applied >= revision
}

// hasAppliedWithoutLearners reports whether the member has reported the revision at a time when no learner held an earlier
// acknowledgement of that member. With a majority of such members no learner can be active with an older revision.
func (m *Machine) hasAppliedWithoutLearners(id fleet.Identity, revision uint64, at Moment) bool {
	if id == m.Self() {
		return at.Applied >= revision && !m.learnerAckedRecently(at)
	}
	p := m.peers[id]
	return p != nil && p.appliedWithoutLearners >= revision
}

// learnerAckedRecently reports whether a learner may still hold a lease by an acknowledgement of this host.
func (m *Machine) learnerAckedRecently(at Moment) bool {
	return !m.learnerAckedAt.IsZero() && at.Now.Sub(m.learnerAckedAt) <= m.durations.leaseWait()
}
