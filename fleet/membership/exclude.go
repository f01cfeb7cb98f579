package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
	pb "github.com/bronzeyard/bronzeyard/fleet/membership/membershippb"
)

// DeclareEnded records an operator's statement that the processes of the given hosts have ended for good. It returns the hosts
// that it rejected: those that are not members, and members that have not timed out.
func (m *Machine) DeclareEnded(ids []fleet.HostID, at Moment) (rejected []fleet.HostID) {
	for _, id := range ids {
		i := slices.IndexFunc(m.epoch.Members, func(member fleet.Member) bool { return member.ID == id })
		if i < 0 || !m.timedOut(&m.epoch.Members[i], at) {
			rejected = append(rejected, id)
			continue
		}
		m.ended[m.epoch.Members[i].Identity()] = true
	}
	m.updateSettled(at)
	return rejected
}

// SetLiveAddresses sets the IP addresses that the platform's host list shows as live. A member whose address is not among them
// is suspected after half of SuspicionTimeout. With nil, all members have the full timeout again.
func (m *Machine) SetLiveAddresses(live map[netip.Addr]bool) {
	m.unlisted = make(map[string]bool)
	if live == nil {
		return
	}
	for i := range m.epoch.Members {
		address := m.epoch.Members[i].PeerAddress
		if parsed, err := netip.ParseAddrPort(address); err == nil && !live[parsed.Addr()] {
			m.unlisted[address] = true
		}
	}
}

// sinceLastMessage returns the time since the last message from a member arrived. It is 0 for the host itself.
func (m *Machine) sinceLastMessage(member *fleet.Member, at Moment) time.Duration {
	p := m.peers[member.Identity()]
	if p == nil {
		return 0
	}
	last := p.trackedSince
	if p.lastSeenAt.After(last) {
		last = p.lastSeenAt
	}
	return at.Now.Sub(last)
}

// timedOut reports whether the member is suspected because no message from it has arrived within SuspicionTimeout, or within
// half of it if the host list does not show the member as live.
func (m *Machine) timedOut(member *fleet.Member, at Moment) bool {
	limit := m.durations.SuspicionTimeout
	if m.unlisted[member.PeerAddress] {
		limit /= 2
	}
	return m.sinceLastMessage(member, at) > limit
}

// Suspected returns the members that have timed out or whose process has ended.
func (m *Machine) Suspected(at Moment) []fleet.HostID {
	var ids []fleet.HostID
	for i := range m.epoch.Members {
		member := &m.epoch.Members[i]
		if m.ended[member.Identity()] || m.timedOut(member, at) {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// Suspects returns the members that can be excluded only with the promises of a majority: those that have timed out and whose
// process is not known to have ended.
func (m *Machine) Suspects(at Moment) []fleet.Identity {
	var ids []fleet.Identity
	for i := range m.epoch.Members {
		member := &m.epoch.Members[i]
		if !m.ended[member.Identity()] && m.timedOut(member, at) {
			ids = append(ids, member.Identity())
		}
	}
	return ids
}

// PromiseRequest returns the message that requests promises to exclude the suspected members. It makes the host's own
// promises first.
func (m *Machine) PromiseRequest(at Moment) *pb.PromiseRequest {
	req := &pb.PromiseRequest{EpochNumber: m.epoch.Number}
	for _, id := range m.Suspects(at) {
		req.Exclude = append(req.Exclude, identityToProto(id))
	}
	m.HandlePromiseResponse(req, m.HandlePromiseRequest(req, at))
	return req
}

// HandlePromiseRequest promises to exclude those requested members that this host has not acknowledged for the duration of a
// lease.
func (m *Machine) HandlePromiseRequest(req *pb.PromiseRequest, at Moment) *pb.PromiseResponse {
	resp := &pb.PromiseResponse{From: identityToProto(m.Self())}
	if req.GetEpochNumber() != m.epoch.Number || m.departed || !m.isMember(m.Self()) {
		return resp
	}
	for _, exclude := range req.GetExclude() {
		if m.promise(identityFromProto(exclude), at) {
			resp.Promised = append(resp.Promised, exclude)
		}
	}
	return resp
}

func (m *Machine) promise(id fleet.Identity, at Moment) bool {
	p := m.peers[id]
	if p == nil || !m.isMember(id) {
		return false
	}
	last := p.trackedSince
	if p.ackedAt.After(last) {
		last = p.ackedAt
	}
	if at.Now.Sub(last) <= m.durations.Lease {
		return false
	}
	p.promisedUntil = at.Now.Add(m.durations.promiseDuration())
	return true
}

// HandlePromiseResponse counts the promises of one member.
func (m *Machine) HandlePromiseResponse(req *pb.PromiseRequest, resp *pb.PromiseResponse) {
	from := identityFromProto(resp.GetFrom())
	if req.GetEpochNumber() != m.epoch.Number || !m.isMember(from) {
		return
	}
	for _, promised := range resp.GetPromised() {
		id := identityFromProto(promised)
		if m.promises[id] == nil {
			m.promises[id] = make(map[fleet.Identity]bool)
		}
		m.promises[id][from] = true
	}
}

// excludable reports whether a member has ended, or has timed out and a majority has promised to exclude it. Ended members
// count as having promised.
func (m *Machine) excludable(member *fleet.Member, at Moment) bool {
	id := member.Identity()
	if m.ended[id] {
		return true
	}
	if !m.timedOut(member, at) {
		return false
	}
	count := 0
	for i := range m.epoch.Members {
		other := m.epoch.Members[i].Identity()
		if m.promises[id][other] || m.ended[other] {
			count++
		}
	}
	return count >= m.epoch.Majority()
}
