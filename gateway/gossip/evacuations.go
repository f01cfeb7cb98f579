package gossip

import (
	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/gateway/evacuation"
	"github.com/bronzeyard/bronzeyard/gateway/gossip/gossippb"
)

// maxBodyBytes bounds a datagram with evacuated data centres, so that it is not cut off where it is received, also in a bundle.
const maxBodyBytes = maxPacketBytes - headerBytes - lengthPrefixBytes - 1

// encodeEvacuations adds the evacuated data centres to a datagram, unless it has no space for them. The datagrams of a heartbeat without
// other content have space for more names than there are data centres.
func encodeEvacuations(m *gossippb.Datagram, state *evacuation.State) {
	if state == nil {
		return
	}
	m.Evacuations = &gossippb.Evacuations{
		Era: state.Version.Era, Version: state.Version.Position, DataCentres: state.DataCentres,
	}
	if proto.Size(m) > maxBodyBytes {
		m.Evacuations = nil
	}
}

func decodeEvacuations(encoded *gossippb.Evacuations) *evacuation.State {
	if encoded == nil {
		return nil
	}
	return &evacuation.State{
		Version:     evacuation.Version{Era: encoded.GetEra(), Position: encoded.GetVersion()},
		DataCentres: encoded.GetDataCentres(),
	}
}
