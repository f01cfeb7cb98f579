package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// Proposal is a change of the epoch that is to be stored by compare-and-set.
type Proposal struct {
	// base is the number of the epoch that is replaced, 0 for none.
	base  uint64
	epoch epochState
	// head is the settings head that must still be stored.
	head uint64
}

// Wants reports whether the epoch should change and whether it is this host's turn to change it.
func (m *Machine) Wants(at Moment) bool {
	if m.epoch.Number == 0 {
		return m.read.absent && !m.departed
	}
	since, ok := m.wantSince(at)
	return ok && !at.Now.Before(since.Add(m.turn(at)))
}

// wantSince returns when the oldest reason for a change came up.
func (m *Machine) wantSince(at Moment) (time.Time, bool) {
	var since time.Time
	note := func(t time.Time) {
		if since.IsZero() || t.Before(since) {
			since = t
		}
	}
	if m.selfChanges() {
		note(m.startedAt.Add(m.durations.batchDelay()))
	}
	for i := range m.epoch.Members {
		member := &m.epoch.Members[i]
		switch {
		case m.ended[member.Identity()]:
			note(m.learnedAt)
		case m.silent(member, at):
			note(at.Now.Add(m.durations.SuspicionTimeout - m.silentFor(member, at)))
		}
	}
	for _, g := range m.guests {
		if m.canJoin(&g.member, g.applied, at) {
			note(g.firstAt.Add(m.durations.batchDelay()))
		}
	}
	return since, !since.IsZero()
}

// selfChanges reports whether the host's own entry must be added, changed or removed.
func (m *Machine) selfChanges() bool {
	member, ok := m.epoch.Member(m.Self())
	if m.departed {
		return ok
	}
	return !ok || member.State != m.self.State
}

// turn is how long this host leaves a change to others: nothing for the first unsuspected active member and for a change
// that only this host can make, and a turn more for each further member.
func (m *Machine) turn(at Moment) time.Duration {
	if m.isMember(m.Self()) && m.selfChanges() {
		return 0
	}
	rank := 0
	for i := range m.epoch.Members {
		member := &m.epoch.Members[i]
		if member.Identity() == m.Self() {
			return time.Duration(rank) * m.durations.turnDelay()
		}
		if member.State == fleet.Active && !m.ended[member.Identity()] && !m.silent(member, at) {
			rank++
		}
	}
	// Guests come after the first two members, spread over four turns.
	const firstGuestTurn, guestTurns = 2, 4
	rank = firstGuestTurn + int(xxhash.Sum64String(string(m.self.ID))%guestTurns)
	return time.Duration(rank) * m.durations.turnDelay()
}

// canJoin reports whether a host may become a member: it has applied the settings head, and no other process of the same
// host is a member that stays.
func (m *Machine) canJoin(joining *fleet.Member, applied uint64, at Moment) bool {
	if applied < max(m.read.head, m.epoch.revision) {
		return false
	}
	return !slices.ContainsFunc(m.epoch.Members, func(member fleet.Member) bool {
		return member.ID == joining.ID && !m.excludable(&member, at)
	})
}

// Propose returns the change of the epoch that this host should store now. It returns false if there is none, or if the
// current epoch is not settled: replacing it would leave leases in older epochs that no majority ends.
func (m *Machine) Propose(writeID string, at Moment) (*Proposal, bool) {
	m.settle(at)
	if m.epoch.Number != m.read.number || (m.epoch.Number == 0 && !m.read.absent) {
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
	members := make([]fleet.Member, 0, len(m.epoch.Members)+len(m.guests)+1)
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
	for _, g := range m.sortedGuests() {
		if m.canJoin(&g.member, g.applied, at) {
			add(g.member)
		}
	}
	slices.SortFunc(members, func(a, b fleet.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return members
}

// sortedGuests returns the guests in the order of their arrival, so that equal states make equal proposals.
func (m *Machine) sortedGuests() []*guestState {
	guests := make([]*guestState, 0, len(m.guests))
	for _, g := range m.guests {
		guests = append(guests, g)
	}
	slices.SortFunc(guests, func(a, b *guestState) int {
		if c := a.firstAt.Compare(b.firstAt); c != 0 {
			return c
		}
		return strings.Compare(string(a.member.ID), string(b.member.ID))
	})
	return guests
}

func sameMembers(a, b []fleet.Member) bool { return slices.Equal(a, b) }

// Stored takes the success of a proposal.
func (m *Machine) Stored(p *Proposal, at Moment) { m.learn(&p.epoch, at) }
