package membership

import (
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// Status is the state of the membership as one host sees it, for operators. The names of its fields and of those of MemberStatus
// are part of the host's status response, which is encoded as JSON.
type Status struct {
	Self fleet.Identity
	// Guest is true if the host is a learner.
	Guest  bool
	Active bool
	// LeaseLeft is the time until the activity lease ends, 0 if it has ended.
	LeaseLeft time.Duration
	// FreeIn is the time until the takeover time, 0 if it has passed.
	FreeIn      time.Duration
	Epoch       uint64
	Settled     bool
	ClockOffset time.Duration
	Members     []MemberStatus
	// Guests are the learners that have sent heartbeats to this host lately.
	Guests []fleet.HostID
}

// MemberStatus is one member as the host sees it.
type MemberStatus struct {
	Member    fleet.Member
	Self      bool
	Suspected bool
	Ended     bool
	// HeardAgo is the time since the last message from the member arrived; negative if none has.
	HeardAgo time.Duration
	// AcknowledgedAgo is the time since this host sent the newest heartbeat that the member acknowledged; negative if none
	// was acknowledged.
	AcknowledgedAgo time.Duration
	// HearsUs is false if the member reports that it has received no message from this host for SuspicionTimeout, or if it
	// no longer acknowledges heartbeats. Together with HeardAgo it shows a connection that works in one direction only.
	HearsUs bool
	// AppliedRevision is the settings revision that the member has reported as applied.
	AppliedRevision uint64
	// EpochNumber is the epoch that the member has reported.
	EpochNumber uint64
	ClockOffset time.Duration
}

// Status returns the state of the membership for operators.
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
	for _, l := range m.sortedLearners() {
		s.Guests = append(s.Guests, l.member.ID)
	}
	return s
}

func (m *Machine) memberStatus(member *fleet.Member, at Moment) MemberStatus {
	id := member.Identity()
	p := m.peers[id]
	if p == nil {
		return MemberStatus{
			Member: *member, Self: id == m.Self(), HearsUs: true, AppliedRevision: at.Applied, EpochNumber: m.epoch.Number,
		}
	}
	return MemberStatus{
		Member: *member, Suspected: m.timedOut(member, at), Ended: m.ended[id],
		HeardAgo: elapsedSince(p.lastSeenAt, at), AcknowledgedAgo: elapsedSince(p.countedSentAt, at),
		HearsUs: m.receivesFromUs(p, at), AppliedRevision: p.applied, EpochNumber: p.epochNumber, ClockOffset: p.offset,
	}
}

// receivesFromUs reports whether the member receives this host's messages, see MemberStatus.HearsUs.
func (m *Machine) receivesFromUs(p *peerState, at Moment) bool {
	if !p.reportedSilenceAt.IsZero() && at.Now.Sub(p.reportedSilenceAt) <= m.durations.SuspicionTimeout &&
		p.reportedSilence > m.durations.SuspicionTimeout {
		return false
	}
	last := p.trackedSince
	if p.countedSentAt.After(last) {
		last = p.countedSentAt
	}
	return at.Now.Sub(last) <= m.durations.SuspicionTimeout
}

// elapsedSince returns the time since t, -1 if t is zero.
func elapsedSince(t time.Time, at Moment) time.Duration {
	if t.IsZero() {
		return -1
	}
	return at.Now.Sub(t)
}

// maxOffsetAge is the time for which a measured clock offset is used, as a multiple of Lease.
const maxOffsetAge = 4

// ClockOffset returns by how much this host's wall clock is ahead of the median of the members' clocks, its own included.
func (m *Machine) ClockOffset(at Moment) time.Duration {
	offsets := []time.Duration{0}
	for i := range m.epoch.Members {
		p := m.peers[m.epoch.Members[i].Identity()]
		if p != nil && !p.offsetAt.IsZero() && at.Now.Sub(p.offsetAt) <= maxOffsetAge*m.durations.Lease {
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
