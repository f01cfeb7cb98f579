package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
	pb "github.com/bronzeyard/bronzeyard/fleet/membership/membershippb"
)

// DeclareEnded accepts an operator's statement that the processes of the given hosts have ended for good. It returns
// those of them that are no silent members, which it leaves as they are.
func (m *Machine) DeclareEnded(ids []fleet.HostID, at Moment) (refused []fleet.HostID) {
	for _, id := range ids {
		i := slices.IndexFunc(m.epoch.Members, func(member fleet.Member) bool { return member.ID == id })
		if i < 0 || !m.silent(&m.epoch.Members[i], at) {
			refused = append(refused, id)
			continue
		}
		m.ended[m.epoch.Members[i].Identity()] = true
	}
	m.settle(at)
	return refused
}

// SetUnlisted takes the IP numbers that the platform's host list shows as live. A member without one is suspected after
// half the time. A nil list takes the hint back.
func (m *Machine) SetUnlisted(live map[netip.Addr]bool) {
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

// silentFor returns how long nothing has arrived from a member. It is 0 for the host itself.
func (m *Machine) silentFor(member *fleet.Member, at Moment) time.Duration {
	p := m.peers[member.Identity()]
	if p == nil {
		return 0
	}
	last := p.since
	if p.heardAt.After(last) {
		last = p.heardAt
	}
	return at.Now.Sub(last)
}

func (m *Machine) silent(member *fleet.Member, at Moment) bool {
	limit := m.durations.SuspicionTimeout
	if m.unlisted[member.PeerAddress] {
		limit /= 2
	}
	return m.silentFor(member, at) > limit
}

// Suspected returns the members from which nothing arrives or whose process has ended.
func (m *Machine) Suspected(at Moment) []fleet.HostID {
	var ids []fleet.HostID
	for i := range m.epoch.Members {
		member := &m.epoch.Members[i]
		if m.ended[member.Identity()] || m.silent(member, at) {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// Suspects returns the members for whose exclusion promises are needed.
func (m *Machine) Suspects(at Moment) []fleet.Identity {
	var ids []fleet.Identity
	for i := range m.epoch.Members {
		member := &m.epoch.Members[i]
		if !m.ended[member.Identity()] && m.silent(member, at) {
			ids = append(ids, member.Identity())
		}
	}
	return ids
}

// PromiseRequest returns the message that asks for promises to exclude the suspects, after making the host's own promises.
func (m *Machine) PromiseRequest(at Moment) *pb.PromiseRequest {
	req := &pb.PromiseRequest{EpochNumber: m.epoch.Number}
	for _, id := range m.Suspects(at) {
		req.Exclude = append(req.Exclude, identityToProto(id))
	}
	m.HandlePromise(req, m.HandlePromiseRequest(req, at))
	return req
}

// HandlePromiseRequest promises to exclude those members that this host has not acknowledged for the length of a lease.
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
	last := p.since
	if p.ackedAt.After(last) {
		last = p.ackedAt
	}
	if at.Now.Sub(last) <= m.durations.Lease {
		return false
	}
	p.promisedUntil = at.Now.Add(m.durations.promiseTime())
	return true
}

// HandlePromise counts the promises of one member.
func (m *Machine) HandlePromise(req *pb.PromiseRequest, resp *pb.PromiseResponse) {
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

// excludable reports whether a member has ended or a majority has promised to exclude it.
func (m *Machine) excludable(member *fleet.Member, at Moment) bool {
	id := member.Identity()
	if m.ended[id] {
		return true
	}
	if !m.silent(member, at) {
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
