package membership

import (
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// HandleRead takes a read of the epoch row and the settings head that was started at startedAt. epoch is nil if there is no
// row.
func (m *Machine) HandleRead(startedAt time.Time, epoch *epochState, head uint64, at Moment) {
	m.hear(head)
	m.learn(epoch, at)
	if startedAt.Before(m.read.startedAt) {
		return
	}
	m.read = tableRead{startedAt: startedAt, head: head, absent: epoch == nil}
	if epoch != nil {
		m.read.number = epoch.Number
	}
	m.renew(at)
}

// renew extends the activity lease by the newest table read and by the acknowledgements of a majority.
func (m *Machine) renew(at Moment) {
	if m.departed || m.Excluded() || m.epoch.Number == 0 || at.Applied < m.epoch.revision {
		return
	}
	member := m.isMember(m.Self())
	if member && m.read.number == m.epoch.Number && m.read.head <= at.Applied {
		m.extend(m.read.startedAt)
	}
	m.countPending(at)
	if start, ok := m.acknowledgedSince(member, at); ok {
		m.extend(start)
	}
}

func (m *Machine) extend(start time.Time) {
	if until := start.Add(m.durations.Lease); until.After(m.activeUntil) {
		m.activeUntil = until
	}
}

// countPending counts the acknowledgements whose settings revision the host has applied since they arrived.
func (m *Machine) countPending(at Moment) {
	for _, p := range m.peers {
		if p.pending.revision <= at.Applied && p.pending.sentAt.After(p.counted) {
			p.counted = p.pending.sentAt
		}
	}
}

// acknowledgedSince returns the latest time such that a majority has acknowledged a heartbeat sent at that time or later.
func (m *Machine) acknowledgedSince(member bool, at Moment) (time.Time, bool) {
	needed := m.epoch.Majority()
	if member {
		needed--
	}
	if needed == 0 {
		return at.Now, true
	}
	sent := make([]time.Time, 0, len(m.epoch.Members))
	for i := range m.epoch.Members {
		if p := m.peers[m.epoch.Members[i].Identity()]; p != nil && !p.counted.IsZero() {
			sent = append(sent, p.counted)
		}
	}
	if len(sent) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	return sent[needed-1], true
}

// InForceCheck is the progress of one wait for a settings revision to be in force.
type InForceCheck struct {
	// Revision is the revision that is waited for.
	Revision uint64
	// LeastEpoch is the number of the epoch that was read from the table after the revision was stored.
	LeastEpoch uint64

	number     uint64
	majorityAt time.Time
}

// CheckInForce reports whether no host can be active with an older revision, and which members have not applied it. The
// revision is in force when a majority of the members has applied it and everybody else has either applied it too or has
// had the time to lose its lease.
func (m *Machine) CheckInForce(check *InForceCheck, at Moment) (missing []fleet.HostID, done bool) {
	m.settle(at)
	clean := 0
	for i := range m.epoch.Members {
		id := m.epoch.Members[i].Identity()
		if !m.hasApplied(id, check.Revision, at) {
			missing = append(missing, id.ID)
		}
		if m.cleanSince(id, check.Revision, at) {
			clean++
		}
	}
	majority := m.epoch.Majority()
	applied := len(m.epoch.Members) - len(missing)
	if m.epoch.Number < max(check.LeastEpoch, 1) || !m.settled || applied < majority {
		return missing, false
	}
	if check.number != m.epoch.Number {
		check.number, check.majorityAt = m.epoch.Number, at.Now
	}
	if at.Now.Before(m.freeAt) {
		return missing, false
	}
	if len(missing) == 0 && clean >= majority {
		return nil, true
	}
	return missing, !at.Now.Before(check.majorityAt.Add(m.durations.outlast()))
}

func (m *Machine) hasApplied(id fleet.Identity, revision uint64, at Moment) bool {
	if id == m.Self() {
		return at.Applied >= revision
	}
	p := m.peers[id]
	return p != nil && p.applied >= revision
}

// cleanSince reports whether the member has stated the revision at a time when no guest held an acknowledgement of it from
// before. With a majority of such members no guest can be active with an older revision.
func (m *Machine) cleanSince(id fleet.Identity, revision uint64, at Moment) bool {
	if id == m.Self() {
		return at.Applied >= revision && !m.guestGranted(at)
	}
	p := m.peers[id]
	return p != nil && p.clean >= revision
}

func (m *Machine) guestGranted(at Moment) bool {
	return !m.guestAckedAt.IsZero() && at.Now.Sub(m.guestAckedAt) <= m.durations.outlast()
}
