package membership

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/fleet"
	pb "github.com/bronzeyard/bronzeyard/fleet/membership/membershippb"
)

func identityToProto(id fleet.Identity) *pb.Identity {
	return &pb.Identity{HostId: string(id.ID), Incarnation: uint64(id.Incarnation)}
}

func identityFromProto(id *pb.Identity) fleet.Identity {
	return fleet.Identity{ID: fleet.HostID(id.GetHostId()), Incarnation: fleet.Incarnation(id.GetIncarnation())}
}

func memberToProto(member *fleet.Member) *pb.Member {
	return &pb.Member{
		Identity: identityToProto(member.Identity()), PeerAddress: member.PeerAddress,
		CallerAddress: member.CallerAddress, DataCentre: member.DataCentre, Capacity: member.Capacity,
		State: pb.State(member.State),
	}
}

func memberFromProto(member *pb.Member) fleet.Member {
	id := identityFromProto(member.GetIdentity())
	return fleet.Member{
		ID: id.ID, Incarnation: id.Incarnation, PeerAddress: member.GetPeerAddress(),
		CallerAddress: member.GetCallerAddress(), DataCentre: member.GetDataCentre(), Capacity: member.GetCapacity(),
		State: fleet.MemberState(member.GetState()),
	}
}

func epochToProto(e *epochState) *pb.Epoch {
	message := &pb.Epoch{
		Number: e.Number, WriteId: e.WriteID, Revision: e.revision, PreviousEnded: uint32(e.previousEnded),
	}
	for i := range e.Members {
		message.Members = append(message.Members, memberToProto(&e.Members[i]))
	}
	for _, id := range e.previous {
		message.Previous = append(message.Previous, identityToProto(id))
	}
	return message
}

// epochFromProto returns nil for nil.
func epochFromProto(message *pb.Epoch) *epochState {
	if message == nil {
		return nil
	}
	e := &epochState{revision: message.GetRevision(), previousEnded: int(message.GetPreviousEnded())}
	e.Number, e.WriteID = message.GetNumber(), message.GetWriteId()
	for _, member := range message.GetMembers() {
		e.Members = append(e.Members, memberFromProto(member))
	}
	for _, id := range message.GetPrevious() {
		e.previous = append(e.previous, identityFromProto(id))
	}
	return e
}

// decodeEpoch decodes the value of the epoch row. The row's version must equal the number of the epoch.
func decodeEpoch(value []byte, version uint64) (*epochState, error) {
	message := &pb.Epoch{}
	if err := proto.Unmarshal(value, message); err != nil {
		return nil, fmt.Errorf("membership: epoch row of version %d: %w", version, err)
	}
	if message.GetNumber() != version {
		return nil, fmt.Errorf("membership: epoch row of version %d holds epoch %d", version, message.GetNumber())
	}
	return epochFromProto(message), nil
}
