package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// BenchmarkExchange measures the state machines of both ends of one heartbeat in an epoch of 16 members, and the computation of
// their views.
func BenchmarkExchange(b *testing.B) {
	at := Moment{Now: time.Unix(1000, 0), Wall: time.Unix(1000, 0)}
	epoch := &epochState{}
	epoch.Number = 1
	for i := range 16 {
		id := fleet.HostID(fmt.Sprintf("h%02d", i))
		epoch.Members = append(epoch.Members, fleet.Member{
			ID: id, Incarnation: 1, PeerAddress: string(id), Capacity: 1, State: fleet.Active,
		})
	}
	sender, receiver := NewMachine(Durations{}, epoch.Members[0], at), NewMachine(Durations{}, epoch.Members[1], at)
	sender.learn(epoch, at)
	receiver.learn(epoch, at)
	target := Target{Identity: epoch.Members[1].Identity(), Address: "h01"}
	b.ReportAllocs()
	for b.Loop() {
		hb, sent := sender.Heartbeat(target, at)
		ack := receiver.HandleHeartbeat(hb, at)
		sender.HandleAck(sent, ack, at)
		_, _ = sender.View(at), receiver.View(at)
	}
}
