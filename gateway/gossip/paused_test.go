package gossip

import (
	"net"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/quota"
)

// Guards against a process that acts on stale data after a pause (reported by users): a datagram that waited in the socket of a
// paused relay must not make its sender's read of the upstreams look recent to the hosts that the relay sends to.
func TestPausedRelayDoesNotRelayStaleStateAsFresh(t *testing.T) {
	const pause, age = 1500 * time.Millisecond, 40 * time.Millisecond
	sender, last := newPeer(t, "sender", "north"), newPeer(t, "last", "south")
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	none := func(time.Time, bool) []quota.Usage { return nil }
	relay := New(Options{
		Self: Record{
			ID: "relay", Incarnation: 7, Address: conn.LocalAddr().String(), CallerAddress: "127.0.0.1:1", DataCentre: "south",
			Key: NewKey(),
		},
		Conn: conn, Configuration: func() (uint64, time.Duration) { return 12, 3 * time.Second }, RetryUsage: none, Usage: none,
		Registry: func(time.Time) RegistryState { return RegistryState{} },
		Receive:  func(time.Time, *Message) {}, HostFound: func(string) {}, UnknownHost: func(string) {}, HostReturned: func(string) {},
	})
	records := []Record{sender.node.options.Self, relay.options.Self, last.node.options.Self}
	relay.Update(time.Now(), records)
	last.node.Update(time.Now(), records)
	sender.node.Update(time.Now(), records[1:2]) // the sender knows only the relay
	sender.node.Announce()
	time.Sleep(100 * time.Millisecond)
	sender.node.Update(time.Now(), nil)
	if err := sender.conn.Close(); err != nil { // no newer datagram may follow the one that waits in the socket
		t.Fatal(err)
	}
	time.Sleep(pause)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		relay.receive(t.Context())
	}()
	time.Sleep(200 * time.Millisecond)
	for _, m := range last.messagesFrom("sender") {
		if !m.Stale && m.Registry.Digest != 0 && m.Registry.Age < pause-age {
			t.Errorf("a read from more than %v ago was reported with an age of %v", pause, m.Registry.Age)
		}
	}
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
	<-ended
}
