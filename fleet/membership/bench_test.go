package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// BenchmarkExchange measures the state machine of both ends of one heartbeat in an epoch of 16 members, with the views.
func BenchmarkExchange(b *testing.B) {
	at := Moment{Now: time.Unix(1000, 0), Wall: time.Unix(1000, 0)}
	epoch := &epochState{}
	epoch.Number = 1
	for i := range 16 {
		id := fleet.HostID(fmt.Sprintf("h%02d", i))
		epoch.Members = append(epoch.Members, fleet.Member{ID: id, Incarnation: 1, PeerAddress: string(id), Capacity: 1, State: fleet.Active})
	}
	one, other := NewMachine(Durations{}, epoch.Members[0], at), NewMachine(Durations{}, epoch.Members[1], at)
	one.learn(epoch, at)
	other.learn(epoch, at)
	target := Target{Identity: epoch.Members[1].Identity(), Address: "h01"}
	b.ReportAllocs()
	for b.Loop() {
		hb, sent := one.Heartbeat(target, at)
		ack := other.HandleHeartbeat(hb, at)
		one.HandleAck(sent, ack, at)
		_, _ = one.View(at), other.View(at)
	}
}
