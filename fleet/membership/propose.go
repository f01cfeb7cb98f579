package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// Proposal is a new epoch that is to replace the current one by compare-and-set.
type Proposal struct {
	// base is the number of the epoch to be replaced, 0 for none.
	base  uint64
	epoch epochState
	// head is the settings head, which must be unchanged in the table when the proposal is stored.
	head uint64
}

// ShouldPropose reports whether the epoch should change and this host's proposal delay has passed.
func (m *Machine) ShouldPropose(at Moment) bool {
	if m.epoch.Number == 0 {
		return m.read.absent && !m.departed
	}
	since, ok := m.changeDueSince(at)
	return ok && !at.Now.Before(since.Add(m.proposalDelay(at)))
}

// changeDueSince returns the time since which the epoch should change: the earliest time over all reasons for a change. It
// returns false if there is no reason.
func (m *Machine) changeDueSince(at Moment) (time.Time, bool) {
	var since time.Time
	dueSince := func(t time.Time) {
		if since.IsZero() || t.Before(since) {
			since = t
		}
	}
	if m.selfChangePending() {
		dueSince(m.startedAt.Add(m.durations.batchDelay()))
	}
	for i := range m.epoch.Members {
		member := &m.epoch.Members[i]
		switch {
		case m.ended[member.Identity()]:
			dueSince(m.learnedAt)
		case m.timedOut(member, at):
			dueSince(at.Now.Add(m.durations.SuspicionTimeout - m.sinceLastMessage(member, at)))
		}
	}
	for _, l := range m.learners {
		if m.canJoin(&l.member, l.applied, at) {
			dueSince(l.firstSeenAt.Add(m.durations.batchDelay()))
		}
	}
	return since, !since.IsZero()
}

// selfChangePending reports whether the host's own entry must be added, changed or removed.
func (m *Machine) selfChangePending() bool {
	member, ok := m.epoch.Member(m.Self())
	if m.departed {
		return ok
	}
	return !ok || member.State != m.self.State
}

// proposalDelay returns how long this host leaves a change of the epoch to other hosts. The delay is staggered by rank: it is 0
// for the first active member that is not suspected, and proposalStagger longer for each further one. It is 0 also for a
// change that only this host can make.
func (m *Machine) proposalDelay(at Moment) time.Duration {
	if m.isMember(m.Self()) && m.selfChangePending() {
		return 0
	}
	rank := 0
	for i := range m.epoch.Members {
		member := &m.epoch.Members[i]
		if member.Identity() == m.Self() {
			return time.Duration(rank) * m.durations.proposalStagger()
		}
		if member.State == fleet.Active && !m.ended[member.Identity()] && !m.timedOut(member, at) {
			rank++
		}
	}
	// Learners come after the first two members and are spread over four ranks.
	const firstLearnerRank, learnerRanks = 2, 4
	rank = firstLearnerRank + int(xxhash.Sum64String(string(m.self.ID))%learnerRanks)
	return time.Duration(rank) * m.durations.proposalStagger()
}

// canJoin reports whether a host may become a member. It must have applied the settings head and the revision of the epoch, and
// no other process of the same host may be a member that cannot be excluded.
func (m *Machine) canJoin(joining *fleet.Member, applied uint64, at Moment) bool {
	if applied < max(m.read.head, m.epoch.revision) {
		return false
	}
	return !slices.ContainsFunc(m.epoch.Members, func(member fleet.Member) bool {
		return member.ID == joining.ID && !m.excludable(&member, at)
	})
}

// Propose returns the epoch that this host should store now. It returns false if no member changes, if the newest table read
// found another epoch, or if the current epoch is not settled. Replacing an unsettled epoch would leave leases in older epochs
// that can still be renewed.
func (m *Machine) Propose(writeID string, at Moment) (*Proposal, bool) {
	m.updateSettled(at)
	if m.epoch.Number != m.read.epochNumber || (m.epoch.Number == 0 && !m.read.absent) {
		return nil, false
	}
	if m.epoch.Number > 0 && !m.settled {
		return nil, false
	}
	next := epochState{revision: m.read.head}
	next.Number, next.WriteID = m.epoch.Number+1, writeID
	next.Members = m.nextMembers(at)
	if m.epoch.Number > 0 && sameMembers(next.Members, m.epoch.Members) || m.epoch.Number == 0 && len(next.Members) == 0 {
		return nil, false
	}
	for i := range m.epoch.Members {
		id := m.epoch.Members[i].Identity()
		if m.ended[id] || id == m.Self() && m.departed {
			next.previousEnded++
		} else {
			next.previous = append(next.previous, id)
		}
	}
	return &Proposal{base: m.epoch.Number, epoch: next, head: m.read.head}, true
}

func (m *Machine) nextMembers(at Moment) []fleet.Member {
	members := make([]fleet.Member, 0, len(m.epoch.Members)+len(m.learners)+1)
	for i := range m.epoch.Members {
		member := m.epoch.Members[i]
		switch {
		case member.Identity() == m.Self() && m.departed:
		case member.Identity() == m.Self():
			members = append(members, m.self)
		case !m.excludable(&member, at):
			members = append(members, member)
		}
	}
	add := func(joining fleet.Member) {
		taken := slices.ContainsFunc(members, func(member fleet.Member) bool { return member.ID == joining.ID })
		if !taken {
			members = append(members, joining)
		}
	}
	if !m.departed && m.self.State == fleet.Active && m.canJoin(&m.self, at.Applied, at) {
		add(m.self)
	}
	for _, l := range m.sortedLearners() {
		if m.canJoin(&l.member, l.applied, at) {
			add(l.member)
		}
	}
	slices.SortFunc(members, func(a, b fleet.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return members
}

// sortedLearners returns the learners in the order in which they were first seen. Equal states then lead to equal proposals.
func (m *Machine) sortedLearners() []*learnerState {
	learners := make([]*learnerState, 0, len(m.learners))
	for _, l := range m.learners {
		learners = append(learners, l)
	}
	slices.SortFunc(learners, func(a, b *learnerState) int {
		if c := a.firstSeenAt.Compare(b.firstSeenAt); c != 0 {
			return c
		}
		return strings.Compare(string(a.member.ID), string(b.member.ID))
	})
	return learners
}

func sameMembers(a, b []fleet.Member) bool { return slices.Equal(a, b) }

// HandleStored adopts the epoch of a proposal that was stored.
func (m *Machine) HandleStored(p *Proposal, at Moment) { m.learn(&p.epoch, at) }
