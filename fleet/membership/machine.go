package membership

import (
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// Moment holds a host's clock readings and its settings revision at the time of an event.
type Moment struct {
	// Now is the lease clock.
	Now time.Time
	// Wall is the wall clock.
	Wall time.Time
	// Applied is the settings revision that the host has applied.
	Applied uint64
}

// Durations are the time constants of the protocol. They must be the same on all hosts of a cell.
type Durations struct {
	// HeartbeatInterval is the time between two periodic heartbeats. Default 300 ms.
	HeartbeatInterval time.Duration
	// Lease is the duration of the activity lease. Default 1500 ms.
	Lease time.Duration
	// Margin is added to Lease wherever a host waits for the end of another host's lease. It allows for clocks that differ in
	// rate. Default 500 ms.
	Margin time.Duration
	// SuspicionTimeout is the time without a message from a member after which it is suspected. Default 1500 ms.
	SuspicionTimeout time.Duration
}

func (d *Durations) setDefaults() {
	setDefault(&d.HeartbeatInterval, 300*time.Millisecond)
	setDefault(&d.Lease, 1500*time.Millisecond)
	setDefault(&d.Margin, 500*time.Millisecond)
	setDefault(&d.SuspicionTimeout, 1500*time.Millisecond)
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// leaseWait returns the time after which a lease that another host holds now has surely expired.
func (d *Durations) leaseWait() time.Duration { return d.Lease + d.Margin }

// promiseDuration returns how long a promise holds if no newer epoch follows. Safety does not depend on promises, see the
// package comment. A promise without expiry would keep a host inactive for the whole of a store outage that began after it.
func (d *Durations) promiseDuration() time.Duration { return 30 * d.HeartbeatInterval }

// proposalStagger returns the delay between the attempts of hosts of successive ranks to make the same change of the epoch.
func (d *Durations) proposalStagger() time.Duration {
	return d.HeartbeatInterval + d.HeartbeatInterval/3
}

// batchDelay returns how long a join waits for others, which are then stored by the same write.
func (d *Durations) batchDelay() time.Duration { return d.HeartbeatInterval / 3 }

// epochState is an epoch with the fields that only this package uses.
type epochState struct {
	fleet.Epoch
	// revision is the minimum settings revision of a host that is active in this epoch.
	revision uint64
	// previous are the members of the previous epoch that had not ended when this epoch was written.
	previous []fleet.Identity
	// previousEnded is the number of the other members of the previous epoch.
	previousEnded int
}

// peerState is the state that the host keeps about one other member.
type peerState struct {
	// trackedSince is the time from which the host has expected messages from the member.
	trackedSince time.Time
	// lastSeenAt is the time of arrival of the last message from the member. Zero if none has arrived.
	lastSeenAt time.Time
	// ackedAt is the time at which the host last acknowledged a heartbeat of the member.
	ackedAt time.Time
	// promisedUntil is the expiry of this host's promise not to acknowledge the member.
	promisedUntil time.Time
	// countedSentAt is the time at which this host sent the newest heartbeat whose acknowledgement counts for the lease.
	countedSentAt time.Time
	// pending is an acknowledgement that counts once the host has applied its revision.
	pending pendingAck
	// epochNumber and applied are the highest values that the member has reported. appliedWithoutLearners is the highest
	// revision that it reported while it had acknowledged no learner recently.
	epochNumber, applied, appliedWithoutLearners uint64
	// reportedSilence is the time since the member last received a message of this host, as the member reported at
	// reportedSilenceAt.
	reportedSilence   time.Duration
	reportedSilenceAt time.Time
	// offset is the member's wall clock minus this host's, measured at offsetAt.
	offset   time.Duration
	offsetAt time.Time
}

type pendingAck struct {
	sentAt   time.Time
	revision uint64
}

// learnerState is the state of a host that sends heartbeats without being a member.
type learnerState struct {
	member      fleet.Member
	firstSeenAt time.Time
	lastSeenAt  time.Time
	applied     uint64
}

// tableRead is the result of the newest successful read of the epoch row and the settings head.
type tableRead struct {
	startedAt   time.Time
	epochNumber uint64
	head        uint64
	absent      bool
}

// Machine is the state of one host in the membership protocol. It does no I/O and is not safe for concurrent use.
type Machine struct {
	durations Durations
	self      fleet.Member
	epoch     epochState
	startedAt time.Time
	lastTick  time.Time

	activeUntil, learnedAt, takeoverAt time.Time
	// removalTakeoverAt is the takeover time as far as removed hosts require it. It follows takeoverAt while
	// removalPossible is true, which is so if a host may have been removed by the change to the current epoch.
	removalTakeoverAt time.Time
	removalPossible   bool
	settled           bool
	// joined is true once this incarnation has been a member of a known epoch, everJoined once any incarnation of this
	// process has.
	joined, everJoined bool
	// departed is true after Depart: the host is not active and acknowledges no heartbeats.
	departed bool

	peers    map[fleet.Identity]*peerState
	learners map[fleet.Identity]*learnerState
	// ended are members whose process is known to have ended.
	ended map[fleet.Identity]bool
	// unlisted are the peer addresses of members whose hosts the platform's host list does not show as live.
	unlisted map[string]bool
	// promises are, for each suspected member of the current epoch, the members that have promised to exclude it.
	promises map[fleet.Identity]map[fleet.Identity]bool
	read     tableRead
	// learnerAckedAt is the time at which the host last acknowledged a heartbeat of a learner.
	learnerAckedAt time.Time
	// knownRevision is the highest settings revision known to exist.
	knownRevision uint64
}

// NewMachine returns the state of a host that has not learned an epoch yet.
func NewMachine(durations Durations, self fleet.Member, at Moment) *Machine {
	durations.setDefaults()
	m := &Machine{durations: durations, startedAt: at.Now, lastTick: at.Now, self: self}
	m.self.State = fleet.Active
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.peers = make(map[fleet.Identity]*peerState)
	m.learners = make(map[fleet.Identity]*learnerState)
	m.ended = make(map[fleet.Identity]bool)
	m.promises = make(map[fleet.Identity]map[fleet.Identity]bool)
}

// Self returns the identity of the host.
func (m *Machine) Self() fleet.Identity { return m.self.Identity() }

// Epoch returns the newest epoch that the host has learned.
func (m *Machine) Epoch() fleet.Epoch { return m.epoch.Epoch }

// KnownRevision returns the highest settings revision that any message or table read has stated.
func (m *Machine) KnownRevision() uint64 { return m.knownRevision }

// Excluded reports whether this incarnation was a member and was removed from the epoch without a call of Depart.
func (m *Machine) Excluded() bool { return m.joined && !m.departed && !m.isMember(m.Self()) }

// PeerWithRevision returns the peer address of a member that has applied the settings revision: the one from which a message
// arrived last. It returns "" if there is none.
func (m *Machine) PeerWithRevision(revision uint64) string {
	address := ""
	var lastSeenAt time.Time
	for i := range m.epoch.Members {
		p := m.peers[m.epoch.Members[i].Identity()]
		if p != nil && p.applied >= revision && p.lastSeenAt.After(lastSeenAt) {
			address, lastSeenAt = m.epoch.Members[i].PeerAddress, p.lastSeenAt
		}
	}
	return address
}

// StartIncarnation makes the host a learner under a new incarnation. Acknowledgements for the former incarnation no longer
// count.
func (m *Machine) StartIncarnation(incarnation fleet.Incarnation, at Moment) {
	// This process ran the former incarnation, so that one has ended.
	m.ended[m.Self()] = true
	m.self.Incarnation = incarnation
	m.joined, m.departed = false, false
	m.activeUntil = time.Time{}
	m.startedAt = at.Now
	for _, p := range m.peers {
		p.countedSentAt, p.pending = time.Time{}, pendingAck{}
	}
}

// Leave makes the host propose the state Leaving for itself.
func (m *Machine) Leave() { m.self.State = fleet.Leaving }

// Depart ends the host's participation: from now on it is not active and acknowledges no heartbeats.
func (m *Machine) Depart() {
	m.departed = true
	m.activeUntil = time.Time{}
}

func (m *Machine) isMember(id fleet.Identity) bool {
	_, ok := m.epoch.Member(id)
	return ok
}

// learn adopts an epoch if it is newer than the current one.
func (m *Machine) learn(e *epochState, at Moment) {
	if e == nil || e.Number <= m.epoch.Number {
		return
	}
	m.updateRemoval(e, at)
	m.epoch = *e
	m.learnedAt = at.Now
	m.settled = false
	clear(m.promises)
	m.joined = m.joined || m.isMember(m.Self())
	m.everJoined = m.everJoined || m.joined
	if m.Excluded() {
		m.activeUntil = time.Time{}
	}
	m.observeRevision(e.revision)
	m.trackMembers(at)
	// In the first epoch of a cell no other host can hold anything from before.
	if e.Number == 1 {
		m.raiseTakeoverAt(at.Now)
	} else {
		m.raiseTakeoverAt(at.Now.Add(m.durations.leaseWait()))
	}
	m.updateSettled(at)
}

// updateRemoval determines whether the change to epoch e may have removed a host. If this host skips an epoch, it must assume
// a removal, because a member may have joined and been removed in between.
func (m *Machine) updateRemoval(e *epochState, at Moment) {
	if m.removalPossible && !m.settled {
		// The proposer of e had found the current epoch settled, but this host had not yet.
		m.removalTakeoverAt = laterOf(m.removalTakeoverAt, at.Now.Add(m.durations.leaseWait()))
	}
	m.removalPossible = e.Number != m.epoch.Number+1
	for i := range m.epoch.Members {
		if _, stays := e.Member(m.epoch.Members[i].Identity()); !stays {
			m.removalPossible = true
		}
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// trackMembers keeps a state for each other member of the current and of the previous epoch, and drops all others.
func (m *Machine) trackMembers(at Moment) {
	peers := make(map[fleet.Identity]*peerState, len(m.epoch.Members))
	ended := make(map[fleet.Identity]bool)
	keep := func(id fleet.Identity) {
		if id == m.Self() {
			return
		}
		peers[id] = m.peers[id]
		if peers[id] == nil {
			peers[id] = &peerState{trackedSince: at.Now}
		}
		if m.ended[id] {
			ended[id] = true
		}
	}
	for i := range m.epoch.Members {
		id := m.epoch.Members[i].Identity()
		keep(id)
		delete(m.learners, id)
	}
	for _, id := range m.epoch.previous {
		keep(id)
	}
	m.peers, m.ended = peers, ended
}

// updateSettled marks the current epoch as settled when the members of the previous epoch that may not have learned the
// current one are no majority of the previous epoch. From then on no host can renew a lease in an older epoch, because this
// takes acknowledgements of a majority, and one of them would state the newer epoch. Half of the previous members is enough
// to settle an epoch: of two members, one that has learned it settles it even if the other is lost.
func (m *Machine) updateSettled(at Moment) {
	if m.settled || m.epoch.Number == 0 {
		return
	}
	total, unaware := len(m.epoch.previous)+m.epoch.previousEnded, 0
	for _, id := range m.epoch.previous {
		if !m.hasLearnedEpoch(id) {
			unaware++
		}
	}
	if unaware >= total/2+1 {
		return
	}
	m.settled = true
	if m.epoch.Number > 1 {
		m.raiseTakeoverAt(at.Now.Add(m.durations.leaseWait()))
	}
}

// hasLearnedEpoch reports whether the process has learned the current epoch or has ended.
func (m *Machine) hasLearnedEpoch(id fleet.Identity) bool {
	if id == m.Self() || m.ended[id] {
		return true
	}
	p := m.peers[id]
	return p != nil && p.epochNumber >= m.epoch.Number
}

func (m *Machine) raiseTakeoverAt(t time.Time) {
	if t.After(m.takeoverAt) {
		m.takeoverAt = t
	}
	if m.removalPossible {
		m.removalTakeoverAt = laterOf(m.removalTakeoverAt, t)
	}
}

func (m *Machine) observeRevision(revision uint64) { m.knownRevision = max(m.knownRevision, revision) }

// Tick updates all state that depends on time. It must be called at least once per heartbeat interval.
func (m *Machine) Tick(at Moment) {
	if at.Now.Sub(m.lastTick) > m.durations.SuspicionTimeout/2 {
		// This host was paused, so missing messages are no evidence against the other members.
		for _, p := range m.peers {
			p.trackedSince = at.Now
		}
	}
	m.lastTick = at.Now
	for id, l := range m.learners {
		if at.Now.Sub(l.lastSeenAt) > m.durations.SuspicionTimeout {
			delete(m.learners, id)
		}
	}
	m.updateSettled(at)
	m.renew(at)
}

// View returns the view that the host may act on at the given moment.
func (m *Machine) View(at Moment) *fleet.View {
	m.updateSettled(at)
	if !m.settled {
		// The lease in this view expires before this takeover time, so a view that is not replaced allows no takeover.
		m.raiseTakeoverAt(at.Now.Add(m.durations.leaseWait()))
	}
	return &fleet.View{
		Self: m.Self(), Epoch: m.epoch.Epoch, Learner: !m.isMember(m.Self()),
		ActiveUntil: m.activeUntil, TakeoverAt: m.takeoverAt, RemovalTakeoverAt: m.nonZeroRemovalTakeoverAt(at),
		LearnedAt: m.learnedAt,
	}
}

// nonZeroRemovalTakeoverAt returns a time in the past instead of the zero time, because a zero RemovalTakeoverAt in a view
// stands for TakeoverAt.
func (m *Machine) nonZeroRemovalTakeoverAt(at Moment) time.Time {
	if m.removalTakeoverAt.IsZero() {
		return at.Now.Add(-time.Nanosecond)
	}
	return m.removalTakeoverAt
}
