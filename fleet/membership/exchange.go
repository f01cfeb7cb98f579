package membership

import (
	"context"
	"errors"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/fleet"
	pb "github.com/bronzeyard/bronzeyard/fleet/membership/membershippb"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
	"github.com/bronzeyard/bronzeyard/storage"
)

// The methods of the membership protocol.
const (
	MethodHeartbeat peer.Method = "membership.heartbeat"
	MethodPromise   peer.Method = "membership.promise"
	MethodRevision  peer.Method = "membership.revision"
)

var errSenderMismatch = errors.New("membership: host ID in the heartbeat differs from that of its sender")

func (r *Runtime) register() {
	r.options.Registrar.Handle(MethodHeartbeat, func() proto.Message { return &pb.Heartbeat{} }, r.handleHeartbeat)
	r.options.Registrar.Handle(MethodPromise, func() proto.Message { return &pb.PromiseRequest{} }, r.handlePromise)
	r.options.Registrar.Handle(MethodRevision, func() proto.Message { return &pb.RevisionNotice{} }, r.handleRevision)
}

func (r *Runtime) handleHeartbeat(_ context.Context, from fleet.Identity, req proto.Message) (proto.Message, error) {
	hb := req.(*pb.Heartbeat)
	if hb.GetFrom().GetHostId() != string(from.ID) {
		return nil, errSenderMismatch
	}
	var ack *pb.Ack
	r.update(r.memberAddress(from.ID), func(m *Machine, at Moment) { ack = m.HandleHeartbeat(hb, at) })
	return ack, nil
}

func (r *Runtime) handlePromise(_ context.Context, _ fleet.Identity, req proto.Message) (proto.Message, error) {
	var resp *pb.PromiseResponse
	r.update("", func(m *Machine, at Moment) { resp = m.HandlePromiseRequest(req.(*pb.PromiseRequest), at) })
	return resp, nil
}

func (r *Runtime) handleRevision(_ context.Context, from fleet.Identity, req proto.Message) (proto.Message, error) {
	notice := req.(*pb.RevisionNotice)
	r.update(r.memberAddress(from.ID), func(m *Machine, _ Moment) { m.observeRevision(notice.GetRevision()) })
	return &pb.RevisionNoticeResponse{}, nil
}

// memberAddress returns the peer address of a member, or "" if the host is not a member.
func (r *Runtime) memberAddress(id fleet.HostID) string {
	view := r.View()
	for i := range view.Epoch.Members {
		if view.Epoch.Members[i].ID == id {
			return view.Epoch.Members[i].PeerAddress
		}
	}
	return ""
}

// heartbeats sends one heartbeat to each target and does not wait for the acknowledgements.
func (r *Runtime) heartbeats(ctx context.Context) {
	var targets []Target
	r.update("", func(m *Machine, at Moment) {
		m.Tick(at)
		targets = m.Targets(r.options.Seeds, at)
	})
	for _, target := range targets {
		r.tasks.Go(func() { r.heartbeat(ctx, target) })
	}
}

func (r *Runtime) heartbeat(ctx context.Context, target Target) {
	// The transport replaces an unresponsive connection when a call on it times out. This must happen well within a lease.
	const intervals = 3
	ctx, cancel := context.WithTimeout(ctx, intervals*r.options.HeartbeatInterval)
	defer cancel()
	r.mu.Lock()
	hb, sent := r.machine.Heartbeat(target, r.moment())
	r.mu.Unlock()
	ack := &pb.Ack{}
	r.counters.heartbeats.Add(1)
	if err := r.options.Caller.Call(ctx, target.Address, MethodHeartbeat, hb, ack); err != nil {
		r.counters.lostHeartbeats.Add(1)
		return
	}
	r.update(target.Address, func(m *Machine, at Moment) { m.HandleAck(sent, ack, at) })
}

// requestPromises requests promises to exclude the suspected members from all other members, and waits for the responses.
func (r *Runtime) requestPromises(ctx context.Context) {
	var req *pb.PromiseRequest
	r.update("", func(m *Machine, at Moment) { req = m.PromiseRequest(at) })
	if len(req.GetExclude()) == 0 {
		return
	}
	suspects := make(map[fleet.Identity]bool)
	for _, id := range req.GetExclude() {
		suspects[identityFromProto(id)] = true
	}
	r.callMembers(ctx, func(ctx context.Context, member *fleet.Member) {
		if suspects[member.Identity()] {
			return
		}
		resp := &pb.PromiseResponse{}
		if err := r.options.Caller.Call(ctx, member.PeerAddress, MethodPromise, req, resp); err == nil {
			r.update("", func(m *Machine, _ Moment) { m.HandlePromiseResponse(req, resp) })
		}
	})
}

// NotifyRevision notifies all other members at once that a settings revision exists. It returns when all have responded, or
// after 4/3 of HeartbeatInterval.
func (r *Runtime) NotifyRevision(ctx context.Context, revision uint64) {
	r.update("", func(m *Machine, _ Moment) { m.observeRevision(revision) })
	r.callMembers(ctx, func(ctx context.Context, member *fleet.Member) {
		notice := &pb.RevisionNotice{Revision: revision}
		// A member that misses the notice learns of the revision from the next heartbeat.
		_ = r.options.Caller.Call(ctx, member.PeerAddress, MethodRevision, notice, &pb.RevisionNoticeResponse{})
	})
}

// callMembers makes a call to each other member and waits until all have ended, for at most proposalStagger.
func (r *Runtime) callMembers(ctx context.Context, call func(context.Context, *fleet.Member)) {
	ctx, cancel := context.WithTimeout(ctx, r.options.proposalStagger())
	defer cancel()
	view := r.View()
	done := make(chan struct{}, len(view.Epoch.Members))
	calls := 0
	for i := range view.Epoch.Members {
		member := &view.Epoch.Members[i]
		if member.Identity() == view.Self {
			continue
		}
		calls++
		go func() {
			call(ctx, member)
			done <- struct{}{}
		}()
	}
	for range calls {
		<-done
	}
}

func (r *Runtime) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.options.TableTimeout)
	defer cancel()
	hosts, err := r.options.HostList.Hosts(ctx)
	var live map[netip.Addr]bool
	if err == nil && len(hosts) > 0 {
		live = liveAddresses(hosts)
	}
	r.update("", func(m *Machine, _ Moment) { m.SetLiveAddresses(live) })
}

func liveAddresses(hosts []storage.ListedHost) map[netip.Addr]bool {
	live := make(map[netip.Addr]bool, len(hosts))
	for _, host := range hosts {
		if host.State != storage.HostLive {
			continue
		}
		if withPort, err := netip.ParseAddrPort(host.Address); err == nil {
			live[withPort.Addr()] = true
		} else if address, err := netip.ParseAddr(host.Address); err == nil {
			live[address] = true
		}
	}
	return live
}
