package membership

import (
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// Status is the state of the membership as one host sees it, for operators.
type Status struct {
	Self   fleet.Identity
	Guest  bool
	Active bool
	// LeaseLeft is the time until the activity lease ends, 0 if it has ended.
	LeaseLeft time.Duration
	// FreeIn is the time until what former members held is free, 0 if it is.
	FreeIn      time.Duration
	Epoch       uint64
	Settled     bool
	ClockOffset time.Duration
	Members     []MemberStatus
	Guests      []fleet.HostID
}

// MemberStatus is one member as the host sees it.
type MemberStatus struct {
	Member    fleet.Member
	Self      bool
	Suspected bool
	Ended     bool
	// HeardAgo is the time since the last message from the member; negative if there was none.
	HeardAgo time.Duration
	// AcknowledgedAgo is the time since the newest heartbeat was sent that the member acknowledged; negative if none was.
	AcknowledgedAgo time.Duration
	// HearsUs is false if the member has stated that it has not heard from this host for the time of suspicion, or if it
	// acknowledges nothing any more. Together with HeardAgo it shows a connection that works in one direction only.
	HearsUs bool
	// AppliedRevision is the settings revision that the member has stated.
	AppliedRevision uint64
	// EpochNumber is the epoch that the member has stated.
	EpochNumber uint64
	ClockOffset time.Duration
}

// Status returns the state for operators.
func (m *Machine) Status(at Moment) Status {
	view := m.View(at)
	s := Status{
		Self: view.Self, Guest: view.Learner, Active: view.ActiveAt(at.Now),
		LeaseLeft: max(view.ActiveUntil.Sub(at.Now), 0), FreeIn: max(view.TakeoverAt.Sub(at.Now), 0),
		Epoch: m.epoch.Number, Settled: m.settled, ClockOffset: m.ClockOffset(at),
	}
	for i := range m.epoch.Members {
		s.Members = append(s.Members, m.memberStatus(&m.epoch.Members[i], at))
	}
	for _, g := range m.sortedGuests() {
		s.Guests = append(s.Guests, g.member.ID)
	}
	return s
}

func (m *Machine) memberStatus(member *fleet.Member, at Moment) MemberStatus {
	id := member.Identity()
	p := m.peers[id]
	if p == nil {
		return MemberStatus{Member: *member, Self: id == m.Self(), HearsUs: true, AppliedRevision: at.Applied, EpochNumber: m.epoch.Number}
	}
	return MemberStatus{
		Member: *member, Suspected: m.silent(member, at), Ended: m.ended[id],
		HeardAgo: ago(p.heardAt, at), AcknowledgedAgo: ago(p.counted, at), HearsUs: m.hearsUs(p, at),
		AppliedRevision: p.applied, EpochNumber: p.epochNumber, ClockOffset: p.offset,
	}
}

func (m *Machine) hearsUs(p *peerState, at Moment) bool {
	if !p.hearsAt.IsZero() && at.Now.Sub(p.hearsAt) <= m.durations.SuspicionTimeout && p.hearsAge > m.durations.SuspicionTimeout {
		return false
	}
	last := p.since
	if p.counted.After(last) {
		last = p.counted
	}
	return at.Now.Sub(last) <= m.durations.SuspicionTimeout
}

func ago(t time.Time, at Moment) time.Duration {
	if t.IsZero() {
		return -1
	}
	return at.Now.Sub(t)
}

// offsetAge is how long a measured clock offset is used, in leases.
const offsetAge = 4

// ClockOffset returns by how much this host's wall clock is ahead of the median of the members' clocks, its own included.
func (m *Machine) ClockOffset(at Moment) time.Duration {
	offsets := []time.Duration{0}
	for i := range m.epoch.Members {
		p := m.peers[m.epoch.Members[i].Identity()]
		if p != nil && !p.offsetAt.IsZero() && at.Now.Sub(p.offsetAt) <= offsetAge*m.durations.Lease {
			offsets = append(offsets, p.offset)
		}
	}
	slices.Sort(offsets)
	middle := len(offsets) / 2
	median := offsets[middle]
	if len(offsets)%2 == 0 {
		median = (offsets[middle-1] + offsets[middle]) / 2
	}
	return -median
}
