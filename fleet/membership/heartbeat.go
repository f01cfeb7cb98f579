package membership

import (
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
	pb "github.com/bronzeyard/bronzeyard/fleet/membership/membershippb"
)

// maxLearners limits the learners that a host keeps track of. A cell has at most 16 members.
const maxLearners = 64

// Target is a process that receives heartbeats.
type Target struct {
	// Identity is zero for a seed, whose identity is not known.
	Identity fleet.Identity
	Address  string
}

// SentHeartbeat is the state that the sender of a heartbeat keeps until the acknowledgement arrives.
type SentHeartbeat struct {
	At     Moment
	Sender fleet.Identity
	Target Target
}

// Targets returns the targets of heartbeats: the other members, and the seeds while all other members have timed out.
func (m *Machine) Targets(seeds []string, at Moment) []Target {
	targets := make([]Target, 0, len(m.epoch.Members))
	reachable := false
	for i := range m.epoch.Members {
		member := &m.epoch.Members[i]
		if m.skipsHeartbeat(member) {
			continue
		}
		targets = append(targets, Target{Identity: member.Identity(), Address: member.PeerAddress})
		reachable = reachable || !m.timedOut(member, at)
	}
	if reachable || len(targets) == 0 && m.isMember(m.Self()) {
		return targets
	}
	for _, seed := range seeds {
		if seed != m.self.PeerAddress {
			targets = append(targets, Target{Address: seed})
		}
	}
	return targets
}

// skipsHeartbeat reports whether no heartbeat is sent to the member because it is this process or another process of this
// host. A process that has not been a member yet does send heartbeats to an earlier process of this host. They go to this
// host's own address, and the response of this process proves that the earlier one has ended. A process that has been a member
// does not do so, because it may be the one that was replaced.
func (m *Machine) skipsHeartbeat(member *fleet.Member) bool {
	if member.Identity() == m.Self() {
		return true
	}
	return m.everJoined && member.PeerAddress == m.self.PeerAddress
}

// Heartbeat returns the heartbeat for a target, and the state that HandleAck needs.
func (m *Machine) Heartbeat(target Target, at Moment) (*pb.Heartbeat, SentHeartbeat) {
	hb := &pb.Heartbeat{
		From: identityToProto(m.Self()), EpochNumber: m.epoch.Number,
		Revision: at.Applied, WallUnixNano: at.Wall.UnixNano(),
	}
	p := m.peers[target.Identity]
	if target.Identity.ID != "" {
		hb.To = identityToProto(target.Identity)
	}
	if p != nil && !p.lastSeenAt.IsZero() {
		hb.HeardAgeMs = uint64(max(at.Now.Sub(p.lastSeenAt), 0).Milliseconds())
	}
	if m.epoch.Number > 0 && (p == nil || p.epochNumber < m.epoch.Number) {
		hb.Epoch = epochToProto(&m.epoch)
	}
	if !m.isMember(m.Self()) && !m.departed {
		hb.Guest = memberToProto(&m.self)
	}
	return hb, SentHeartbeat{At: at, Sender: m.Self(), Target: target}
}

// HandleHeartbeat processes a heartbeat and returns the response. Its field Granted states whether the heartbeat is
// acknowledged.
func (m *Machine) HandleHeartbeat(hb *pb.Heartbeat, at Moment) *pb.Ack {
	m.learn(epochFromProto(hb.GetEpoch()), at)
	m.observeRevision(hb.GetRevision())
	from := identityFromProto(hb.GetFrom())
	addressed := hb.GetTo() == nil || identityFromProto(hb.GetTo()) == m.Self()
	if p := m.peers[from]; p != nil {
		p.lastSeenAt = at.Now
		p.recordState(hb.GetEpochNumber(), hb.GetRevision())
		if addressed && hb.GetTo() != nil && hb.GetHeardAgeMs() > 0 {
			p.reportedSilence, p.reportedSilenceAt = time.Duration(hb.GetHeardAgeMs())*time.Millisecond, at.Now
		}
	}
	ack := &pb.Ack{
		From: identityToProto(m.Self()), EpochNumber: m.epoch.Number,
		Revision: at.Applied, WallUnixNano: at.Wall.UnixNano(),
	}
	if hb.GetEpochNumber() < m.epoch.Number {
		ack.Epoch = epochToProto(&m.epoch)
	}
	m.updateSettled(at)
	ack.Granted = addressed && m.grant(from, hb, at)
	ack.GuestGranted = m.learnerAckedRecently(at)
	m.renew(at)
	return ack
}

func (p *peerState) recordState(epochNumber, applied uint64) {
	p.epochNumber = max(p.epochNumber, epochNumber)
	p.applied = max(p.applied, applied)
}

// grant reports whether a heartbeat is acknowledged, and records the acknowledgement.
func (m *Machine) grant(from fleet.Identity, hb *pb.Heartbeat, at Moment) bool {
	switch {
	case m.departed || m.ended[from] || hb.GetEpochNumber() > m.epoch.Number:
		return false
	case m.isMember(from):
		return m.grantMember(from, at)
	case hb.GetGuest() != nil && m.isMember(m.Self()):
		return m.grantLearner(from, hb, at)
	default:
		return false
	}
}

func (m *Machine) grantMember(from fleet.Identity, at Moment) bool {
	p := m.peers[from]
	if p == nil || at.Now.Before(p.promisedUntil) {
		return false
	}
	p.ackedAt = at.Now
	return true
}

// grantLearner acknowledges the heartbeat of a learner and keeps the learner as a candidate for joining. It does not
// acknowledge a member of the previous epoch, because a learner is a process that has never been a member.
func (m *Machine) grantLearner(from fleet.Identity, hb *pb.Heartbeat, at Moment) bool {
	member := memberFromProto(hb.GetGuest())
	if member.Identity() != from || m.peers[from] != nil {
		return false
	}
	l := m.learners[from]
	if l == nil {
		if len(m.learners) >= maxLearners {
			return false
		}
		l = &learnerState{firstSeenAt: at.Now}
		m.learners[from] = l
	}
	member.State = fleet.Active
	l.member, l.lastSeenAt, l.applied = member, at.Now, hb.GetRevision()
	m.learnerAckedAt = at.Now
	return true
}

// HandleAck processes the response to a heartbeat.
func (m *Machine) HandleAck(sent SentHeartbeat, ack *pb.Ack, at Moment) {
	if sent.Sender != m.Self() {
		return
	}
	m.learn(epochFromProto(ack.GetEpoch()), at)
	m.observeRevision(ack.GetRevision())
	from := identityFromProto(ack.GetFrom())
	// Another process of the same host responds at the member's address. It was listening there when the heartbeat was
	// sent, and an address leads to one process at a time, so the member acknowledges no heartbeats any more.
	if sent.Target.Identity.ID == from.ID && sent.Target.Identity != from && m.peers[sent.Target.Identity] != nil {
		m.ended[sent.Target.Identity] = true
	}
	if p := m.peers[from]; p != nil {
		p.lastSeenAt = at.Now
		p.recordState(ack.GetEpochNumber(), ack.GetRevision())
		if !ack.GetGuestGranted() {
			p.appliedWithoutLearners = max(p.appliedWithoutLearners, ack.GetRevision())
		}
		p.measureOffset(sent.At.Wall, at, ack.GetWallUnixNano())
		if ack.GetGranted() && ack.GetEpochNumber() <= m.epoch.Number {
			p.countAck(sent.At.Now, ack.GetRevision(), at)
		}
	}
	m.updateSettled(at)
	m.renew(at)
}

// countAck counts an acknowledgement for the lease, or keeps it until this host has applied the revision that it states.
func (p *peerState) countAck(sentAt time.Time, revision uint64, at Moment) {
	switch {
	case revision > at.Applied:
		if sentAt.After(p.pending.sentAt) {
			p.pending = pendingAck{sentAt: sentAt, revision: revision}
		}
	case sentAt.After(p.countedSentAt):
		p.countedSentAt = sentAt
	}
}

// measureOffset sets the peer's clock offset. It takes the peer's clock reading as made at the midpoint between the heartbeat
// and its response.
func (p *peerState) measureOffset(sentWall time.Time, at Moment, peerWall int64) {
	midpoint := sentWall.Add(at.Wall.Sub(sentWall) / 2)
	p.offset, p.offsetAt = time.Unix(0, peerWall).Sub(midpoint), at.Now
}
