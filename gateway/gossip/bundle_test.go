package gossip

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/settings"
)

// hubFleetOf starts peers that use hubs, in two data centres.
func hubFleetOf(t *testing.T, perDataCentre int) []*peer {
	var peers []*peer
	for i := range perDataCentre {
		for _, dataCentre := range []string{"north", "south"} {
			peers = append(peers, newPeerInFleet(t, fmt.Sprint(dataCentre, i), dataCentre, 1))
		}
	}
	introduce(peers...)
	return peers
}

// tell makes a peer tell of an upstream and waits until all others have heard of it.
func tell(t *testing.T, peers []*peer, from *peer, id settings.UpstreamID) {
	t.Helper()
	from.node.Tell([]breaker.Notice{{Kind: breaker.NoticeTrialStarted, Upstream: id}})
	for _, p := range peers {
		if p == from {
			continue
		}
		eventually(t, fmt.Sprintf("%s has heard of %s from %s", p.node.options.Self.ID, id, from.node.options.Self.ID), func() bool {
			return p.toldOf(from, id)
		})
	}
}

func (p *peer) toldOf(from *peer, id settings.UpstreamID) bool {
	return slices.ContainsFunc(p.from(from.node.options.Self.ID), func(m *Message) bool {
		return slices.ContainsFunc(m.Notices, func(n breaker.Notice) bool { return n.Upstream == id })
	})
}

// Guards the load pattern "hundreds of hosts": a host's datagrams go to one host, which bundles them, and each host hears
// all others all the same.
func TestHubsReachAllHosts(t *testing.T) {
	peers := hubFleetOf(t, 8)
	for i, p := range peers {
		tell(t, peers, p, settings.UpstreamID(fmt.Sprint("u", i)))
	}
	rejected := make(map[*peer]int64) // from hosts that were introduced a moment earlier
	for _, p := range peers {
		_, rejected[p], _ = p.node.Counters()
	}
	time.Sleep(4 * HeartbeatInterval) // most datagrams are heartbeats, as in a fleet of hundreds
	sent, datagrams := int64(0), uint64(0)
	for _, p := range peers {
		one, now, _ := p.node.Counters()
		if now > rejected[p] {
			t.Errorf("%s has rejected %d datagrams of hosts that it knows", p.node.options.Self.ID, now-rejected[p])
		}
		sent, datagrams = sent+one, datagrams+p.node.sequence.Load()
	}
	if direct := int64(datagrams) * int64(len(peers)-1); sent > direct/2 {
		t.Errorf("%d datagrams were sent for %d messages; without hubs it would be %d", sent, datagrams, direct)
	}
}

// Guards against messages that are lost with their hub, and hosts that are not heard until others find that it is away:
// what the hub has not passed on is sent directly, in the order of its making, and another hub takes over.
func TestHubThatFailsIsReplaced(t *testing.T) {
	peers := hubFleetOf(t, 5)
	from := peers[0]
	for _, p := range peers {
		tell(t, peers, p, "before")
	}
	hub, _, ok := from.node.hub(time.Now())
	if ok && hub == from.node.options.Self.ID {
		from = peers[2] // of the same data centre; at most two hosts are hubs there
		hub, _, ok = from.node.hub(time.Now())
	}
	if !ok {
		t.Fatal("no hub")
	}
	alive := slices.DeleteFunc(slices.Clone(peers), func(p *peer) bool { return p.node.options.Self.ID == hub })
	for _, p := range peers {
		if p.node.options.Self.ID == hub {
			if err := p.conn.Close(); err != nil {
				t.Fatal(err)
			}
		}
	}
	begin := time.Now()
	tell(t, alive, from, "after")
	if took := time.Since(begin); took > 2*echoWithin {
		t.Errorf("a message has reached all hosts %v after its hub failed", took)
	}
	from.node.uplink.mu.Lock()
	_, avoided := from.node.uplink.avoided[hub]
	from.node.uplink.mu.Unlock()
	if !avoided {
		t.Error("the hub that failed is not avoided")
	}
	tell(t, alive, from, "later")
}

// Guards against packets that nobody sent: a bundle of garbage is dropped and not passed on.
func TestBrokenBundlesAreDropped(t *testing.T) {
	p := newPeerInFleet(t, "a", "north", 1)
	other, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = other.Close() }()
	for _, packet := range [][]byte{
		{byte(bundleFar)},
		{byte(bundleFar), 0},
		{byte(bundleFar), 0, 9, 1},
		{byte(bundle), 0xff, 0xff, 1, 2, 3},
		{byte(collect)},
		append([]byte{byte(bundleFar), 0, 20}, make([]byte, 20)...),
		{},
	} {
		p.node.deliver(packet)
	}
	if sent, rejected, _ := p.node.Counters(); sent != 0 || rejected == 0 {
		t.Errorf("%d datagrams were sent for broken bundles, %d rejected", sent, rejected)
	}
}
