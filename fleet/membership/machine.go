package membership

import (
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// Moment is what a host knows of time and of its settings when an event occurs.
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
	// Heartbeat is the interval of heartbeats. Default 300 ms.
	HeartbeatInterval time.Duration
	// Lease is the length F of the activity lease. Default 1500 ms.
	Lease time.Duration
	// Margin is added to Lease wherever another host's lease is waited out. Default 500 ms.
	Margin time.Duration
	// Suspicion is the time without a message after which a member is suspected. Default 1500 ms.
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

// outlast is the time after which a lease that another host has at this moment has ended.
func (d *Durations) outlast() time.Duration { return d.Lease + d.Margin }

// promiseTime is how long a promise binds if no epoch follows. A promise is not needed for safety, see the package
// comment; one that never ended would keep a host inactive through a store outage that began after the promise.
func (d *Durations) promiseTime() time.Duration { return 30 * d.HeartbeatInterval }

// turnDelay separates the attempts of two hosts to make the same change of the epoch.
func (d *Durations) turnDelay() time.Duration { return d.HeartbeatInterval + d.HeartbeatInterval/3 }

// batchDelay is how long a join waits for others to share its write.
func (d *Durations) batchDelay() time.Duration { return d.HeartbeatInterval / 3 }

// epochState is an epoch with what only this package needs of it.
type epochState struct {
	fleet.Epoch
	// revision is the least settings revision of a host that is active in this epoch.
	revision uint64
	// previous are the members of the epoch before that had not ended when this epoch was written.
	previous []fleet.Identity
	// previousEnded is the number of the other members of the epoch before.
	previousEnded int
}

// peerState is what the host knows of one other member.
type peerState struct {
	// since is when the host began to expect messages from the member.
	since time.Time
	// heardAt is when the last message arrived. Zero if none has.
	heardAt time.Time
	// ackedAt is when the host last acknowledged a heartbeat of the member.
	ackedAt time.Time
	// promisedUntil is when a promise not to acknowledge the member ends.
	promisedUntil time.Time
	// counted is when the newest heartbeat was sent whose acknowledgement counts for the lease.
	counted time.Time
	// pending is an acknowledgement that counts once the host has applied its revision.
	pending pendingAck
	// epochNumber, applied and clean are the highest values that the member has stated. clean is the highest revision
	// stated while the member had acknowledged no guest recently.
	epochNumber, applied, clean uint64
	// hearsAge is the member's statement at hearsAt on how long ago it heard from this host.
	hearsAge time.Duration
	hearsAt  time.Time
	// offset is the member's wall clock minus this host's, measured at offsetAt.
	offset   time.Duration
	offsetAt time.Time
}

type pendingAck struct {
	sentAt   time.Time
	revision uint64
}

// guestState is a host that heartbeats without being a member.
type guestState struct {
	member  fleet.Member
	firstAt time.Time
	heardAt time.Time
	applied uint64
}

// tableRead is the newest successful read of the epoch row and the settings head.
type tableRead struct {
	startedAt time.Time
	number    uint64
	head      uint64
	absent    bool
}

// Machine is the state of one host in the membership protocol. It does no I/O and is not safe for concurrent use.
type Machine struct {
	durations Durations
	self      fleet.Member
	epoch     epochState
	startedAt time.Time
	lastTick  time.Time

	activeUntil, learnedAt, freeAt time.Time
	// removalFreeAt is the part of freeAt that is due to removed hosts. It follows freeAt while removal is true.
	removalFreeAt time.Time
	removal       bool
	settled       bool
	// joined is true once this incarnation has been a member of a known epoch, everJoined once this process has.
	joined, everJoined bool
	// departed is true once the host has ended its part: it is not active and acknowledges nobody.
	departed bool

	peers  map[fleet.Identity]*peerState
	guests map[fleet.Identity]*guestState
	// ended are members whose process is known to have ended.
	ended map[fleet.Identity]bool
	// unlisted are the peer addresses of members that the platform's host list does not show as live.
	unlisted map[string]bool
	// promises are the members that have promised to exclude a member of the current epoch.
	promises map[fleet.Identity]map[fleet.Identity]bool
	read     tableRead
	// guestAckedAt is when the host last acknowledged a guest.
	guestAckedAt time.Time
	// heard is the highest settings revision known to exist.
	heard uint64
}

// NewMachine returns the state of a host that knows no epoch.
func NewMachine(durations Durations, self fleet.Member, at Moment) *Machine {
	durations.setDefaults()
	m := &Machine{durations: durations, startedAt: at.Now, lastTick: at.Now, self: self}
	m.self.State = fleet.Active
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.peers = make(map[fleet.Identity]*peerState)
	m.guests = make(map[fleet.Identity]*guestState)
	m.ended = make(map[fleet.Identity]bool)
	m.promises = make(map[fleet.Identity]map[fleet.Identity]bool)
}

// Self returns the identity of the host.
func (m *Machine) Self() fleet.Identity { return m.self.Identity() }

// Epoch returns the newest known epoch.
func (m *Machine) Epoch() fleet.Epoch { return m.epoch.Epoch }

// Heard returns the highest settings revision that any message or table read has stated.
func (m *Machine) Heard() uint64 { return m.heard }

// Excluded reports whether this incarnation was a member and no longer is, without having asked to leave.
func (m *Machine) Excluded() bool { return m.joined && !m.departed && !m.isMember(m.Self()) }

// Holder returns the peer address of the member that was heard last of those that have applied the settings revision, or ""
// if there is none.
func (m *Machine) Holder(revision uint64) string {
	address := ""
	var heardAt time.Time
	for i := range m.epoch.Members {
		p := m.peers[m.epoch.Members[i].Identity()]
		if p != nil && p.applied >= revision && p.heardAt.After(heardAt) {
			address, heardAt = m.epoch.Members[i].PeerAddress, p.heardAt
		}
	}
	return address
}

// Reincarnate makes the host a new member-to-be. Acknowledgements for the former incarnation no longer count.
func (m *Machine) Reincarnate(incarnation fleet.Incarnation, at Moment) {
	// The former incarnation has no other process.
	m.ended[m.Self()] = true
	m.self.Incarnation = incarnation
	m.joined, m.departed = false, false
	m.activeUntil = time.Time{}
	m.startedAt = at.Now
	for _, p := range m.peers {
		p.counted, p.pending = time.Time{}, pendingAck{}
	}
}

// Leave makes the host ask for the state leaving.
func (m *Machine) Leave() { m.self.State = fleet.Leaving }

// Depart ends the host's part in the fleet: from now on it is not active and acknowledges nobody.
func (m *Machine) Depart() {
	m.departed = true
	m.activeUntil = time.Time{}
}

func (m *Machine) isMember(id fleet.Identity) bool {
	_, ok := m.epoch.Member(id)
	return ok
}

// learn adopts an epoch if it is newer than the known one.
func (m *Machine) learn(e *epochState, at Moment) {
	if e == nil || e.Number <= m.epoch.Number {
		return
	}
	m.noteRemoval(e, at)
	m.epoch = *e
	m.learnedAt = at.Now
	m.settled = false
	clear(m.promises)
	m.joined = m.joined || m.isMember(m.Self())
	m.everJoined = m.everJoined || m.joined
	if m.Excluded() {
		m.activeUntil = time.Time{}
	}
	m.hear(e.revision)
	m.track(at)
	// At the first epoch of a cell nothing can be held by anybody else.
	if e.Number == 1 {
		m.raiseFreeAt(at.Now)
	} else {
		m.raiseFreeAt(at.Now.Add(m.durations.outlast()))
	}
	m.settle(at)
}

// noteRemoval decides whether the change to the epoch e may have removed a host. A host that skips an epoch cannot tell,
// because a member may have come and gone in between.
func (m *Machine) noteRemoval(e *epochState, at Moment) {
	if m.removal && !m.settled {
		// The proposer of e knew that the current epoch was settled, but this host did not yet.
		m.removalFreeAt = laterOf(m.removalFreeAt, at.Now.Add(m.durations.outlast()))
	}
	m.removal = e.Number != m.epoch.Number+1
	for i := range m.epoch.Members {
		if _, stays := e.Member(m.epoch.Members[i].Identity()); !stays {
			m.removal = true
		}
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// track keeps a state for each other member of the epoch and of the one before.
func (m *Machine) track(at Moment) {
	peers := make(map[fleet.Identity]*peerState, len(m.epoch.Members))
	ended := make(map[fleet.Identity]bool)
	keep := func(id fleet.Identity) {
		if id == m.Self() {
			return
		}
		peers[id] = m.peers[id]
		if peers[id] == nil {
			peers[id] = &peerState{since: at.Now}
		}
		if m.ended[id] {
			ended[id] = true
		}
	}
	for i := range m.epoch.Members {
		id := m.epoch.Members[i].Identity()
		keep(id)
		delete(m.guests, id)
	}
	for _, id := range m.epoch.previous {
		keep(id)
	}
	m.peers, m.ended = peers, ended
}

// settle notes when the members of the epoch before that may not know the current epoch are no majority of it. From then on
// nobody can renew a lease in an older epoch: acknowledgements of a majority are needed, and one of them would state the
// newer epoch. Half of the members is enough for this: one of two that has learned an epoch can settle it although the
// other is lost.
func (m *Machine) settle(at Moment) {
	if m.settled || m.epoch.Number == 0 {
		return
	}
	total, unaware := len(m.epoch.previous)+m.epoch.previousEnded, 0
	for _, id := range m.epoch.previous {
		if !m.knowsEpoch(id) {
			unaware++
		}
	}
	if unaware >= total/2+1 {
		return
	}
	m.settled = true
	if m.epoch.Number > 1 {
		m.raiseFreeAt(at.Now.Add(m.durations.outlast()))
	}
}

// knowsEpoch reports whether the process has the current epoch or has ended.
func (m *Machine) knowsEpoch(id fleet.Identity) bool {
	if id == m.Self() || m.ended[id] {
		return true
	}
	p := m.peers[id]
	return p != nil && p.epochNumber >= m.epoch.Number
}

func (m *Machine) raiseFreeAt(t time.Time) {
	if t.After(m.freeAt) {
		m.freeAt = t
	}
	if m.removal {
		m.removalFreeAt = laterOf(m.removalFreeAt, t)
	}
}

func (m *Machine) hear(revision uint64) { m.heard = max(m.heard, revision) }

// Tick lets time pass. It must be called at least at each heartbeat.
func (m *Machine) Tick(at Moment) {
	if at.Now.Sub(m.lastTick) > m.durations.SuspicionTimeout/2 {
		// This host was paused: the silence of the others says nothing about them.
		for _, p := range m.peers {
			p.since = at.Now
		}
	}
	m.lastTick = at.Now
	for id, g := range m.guests {
		if at.Now.Sub(g.heardAt) > m.durations.SuspicionTimeout {
			delete(m.guests, id)
		}
	}
	m.settle(at)
	m.renew(at)
}

// View returns what the host may act on.
func (m *Machine) View(at Moment) *fleet.View {
	m.settle(at)
	if !m.settled {
		// The end of the lease in this view is before this time too, so that a view that is not replaced is not acted on.
		m.raiseFreeAt(at.Now.Add(m.durations.outlast()))
	}
	return &fleet.View{
		Self: m.Self(), Epoch: m.epoch.Epoch, Learner: !m.isMember(m.Self()),
		ActiveUntil: m.activeUntil, TakeoverAt: m.freeAt, RemovalTakeoverAt: m.reportedRemovalFreeAt(at), LearnedAt: m.learnedAt,
	}
}

// reportedRemovalFreeAt is never the zero time, which would stand for FreeAt.
func (m *Machine) reportedRemovalFreeAt(at Moment) time.Time {
	if m.removalFreeAt.IsZero() {
		return at.Now.Add(-time.Nanosecond)
	}
	return m.removalFreeAt
}
