package membership

import (
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
	pb "github.com/bronzeyard/bronzeyard/fleet/membership/membershippb"
)

// maxGuests bounds the guests that a host keeps; a cell has at most 16 members.
const maxGuests = 64

// Target is a process that heartbeats go to.
type Target struct {
	// Identity is zero for a seed.
	Identity fleet.Identity
	Address  string
}

// Sent is what the sender of a heartbeat remembers until the acknowledgement arrives.
type Sent struct {
	At     Moment
	As     fleet.Identity
	Target Target
}

// Targets returns whom to send heartbeats to: the other members, and the seeds while no member is heard.
func (m *Machine) Targets(seeds []string, at Moment) []Target {
	targets := make([]Target, 0, len(m.epoch.Members))
	heard := false
	for i := range m.epoch.Members {
		member := &m.epoch.Members[i]
		if m.skips(member) {
			continue
		}
		targets = append(targets, Target{Identity: member.Identity(), Address: member.PeerAddress})
		heard = heard || !m.silent(member, at)
	}
	if heard || len(targets) == 0 && m.isMember(m.Self()) {
		return targets
	}
	for _, seed := range seeds {
		if seed != m.self.PeerAddress {
			targets = append(targets, Target{Address: seed})
		}
	}
	return targets
}

// skips reports whether the member is this host. An earlier process of this host is called at its address, which is this
// host's own, so that the answer proves that the process has ended. A process that has been a member does not do so: it may
// be the one that was replaced.
func (m *Machine) skips(member *fleet.Member) bool {
	if member.Identity() == m.Self() {
		return true
	}
	return m.everJoined && member.PeerAddress == m.self.PeerAddress
}

// Heartbeat returns the message for a target and what to remember of it.
func (m *Machine) Heartbeat(target Target, at Moment) (*pb.Heartbeat, Sent) {
	hb := &pb.Heartbeat{
		From: identityToProto(m.Self()), EpochNumber: m.epoch.Number,
		Revision: at.Applied, WallUnixNano: at.Wall.UnixNano(),
	}
	p := m.peers[target.Identity]
	if target.Identity.ID != "" {
		hb.To = identityToProto(target.Identity)
	}
	if p != nil && !p.heardAt.IsZero() {
		hb.HeardAgeMs = uint64(max(at.Now.Sub(p.heardAt), 0).Milliseconds())
	}
	if m.epoch.Number > 0 && (p == nil || p.epochNumber < m.epoch.Number) {
		hb.Epoch = epochToProto(&m.epoch)
	}
	if !m.isMember(m.Self()) && !m.departed {
		hb.Guest = memberToProto(&m.self)
	}
	return hb, Sent{At: at, As: m.Self(), Target: target}
}

// HandleHeartbeat returns the answer to a heartbeat.
func (m *Machine) HandleHeartbeat(hb *pb.Heartbeat, at Moment) *pb.Ack {
	m.learn(epochFromProto(hb.GetEpoch()), at)
	m.hear(hb.GetRevision())
	from := identityFromProto(hb.GetFrom())
	meant := hb.GetTo() == nil || identityFromProto(hb.GetTo()) == m.Self()
	if p := m.peers[from]; p != nil {
		p.heardAt = at.Now
		p.state(hb.GetEpochNumber(), hb.GetRevision())
		if meant && hb.GetTo() != nil && hb.GetHeardAgeMs() > 0 {
			p.hearsAge, p.hearsAt = time.Duration(hb.GetHeardAgeMs())*time.Millisecond, at.Now
		}
	}
	ack := &pb.Ack{
		From: identityToProto(m.Self()), EpochNumber: m.epoch.Number,
		Revision: at.Applied, WallUnixNano: at.Wall.UnixNano(),
	}
	if hb.GetEpochNumber() < m.epoch.Number {
		ack.Epoch = epochToProto(&m.epoch)
	}
	m.settle(at)
	ack.Granted = meant && m.grant(from, hb, at)
	ack.GuestGranted = m.guestGranted(at)
	m.renew(at)
	return ack
}

func (p *peerState) state(epochNumber, applied uint64) {
	p.epochNumber = max(p.epochNumber, epochNumber)
	p.applied = max(p.applied, applied)
}

// grant decides whether a heartbeat is acknowledged.
func (m *Machine) grant(from fleet.Identity, hb *pb.Heartbeat, at Moment) bool {
	switch {
	case m.departed || m.ended[from] || hb.GetEpochNumber() > m.epoch.Number:
		return false
	case m.isMember(from):
		return m.grantMember(from, at)
	case hb.GetGuest() != nil && m.isMember(m.Self()):
		return m.grantGuest(from, hb, at)
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

// grantGuest keeps the guest as a candidate for joining. A guest is told that its lease is acknowledged unless it was a
// member of the epoch before, as a guest is a process that never was one.
func (m *Machine) grantGuest(from fleet.Identity, hb *pb.Heartbeat, at Moment) bool {
	member := memberFromProto(hb.GetGuest())
	if member.Identity() != from || m.peers[from] != nil {
		return false
	}
	g := m.guests[from]
	if g == nil {
		if len(m.guests) >= maxGuests {
			return false
		}
		g = &guestState{firstAt: at.Now}
		m.guests[from] = g
	}
	member.State = fleet.Active
	g.member, g.heardAt, g.applied = member, at.Now, hb.GetRevision()
	m.guestAckedAt = at.Now
	return true
}

// HandleAck takes the answer to a heartbeat.
func (m *Machine) HandleAck(sent Sent, ack *pb.Ack, at Moment) {
	if sent.As != m.Self() {
		return
	}
	m.learn(epochFromProto(ack.GetEpoch()), at)
	m.hear(ack.GetRevision())
	from := identityFromProto(ack.GetFrom())
	// Another process of the same host answers at the member's address. It was listening there when the heartbeat was
	// sent, and an address leads to one process at a time, so the member acknowledges nobody any more.
	if sent.Target.Identity.ID == from.ID && sent.Target.Identity != from && m.peers[sent.Target.Identity] != nil {
		m.ended[sent.Target.Identity] = true
	}
	if p := m.peers[from]; p != nil {
		p.heardAt = at.Now
		p.state(ack.GetEpochNumber(), ack.GetRevision())
		if !ack.GetGuestGranted() {
			p.clean = max(p.clean, ack.GetRevision())
		}
		p.measureOffset(sent.At.Wall, at, ack.GetWallUnixNano())
		if ack.GetGranted() && ack.GetEpochNumber() <= m.epoch.Number {
			p.count(sent.At.Now, ack.GetRevision(), at)
		}
	}
	m.settle(at)
	m.renew(at)
}

// count counts an acknowledgement for the lease, or keeps it until its revision has been applied.
func (p *peerState) count(sentAt time.Time, revision uint64, at Moment) {
	switch {
	case revision > at.Applied:
		if sentAt.After(p.pending.sentAt) {
			p.pending = pendingAck{sentAt: sentAt, revision: revision}
		}
	case sentAt.After(p.counted):
		p.counted = sentAt
	}
}

func (p *peerState) measureOffset(sentWall time.Time, at Moment, peerWall int64) {
	middle := sentWall.Add(at.Wall.Sub(sentWall) / 2)
	p.offset, p.offsetAt = time.Unix(0, peerWall).Sub(middle), at.Now
}
