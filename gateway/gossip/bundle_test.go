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

// newPeersWithHubs starts peers that use hubs, in two data centres.
func newPeersWithHubs(t *testing.T, perDataCentre int) []*peer {
	var peers []*peer
	for i := range perDataCentre {
		for _, dataCentre := range []string{"north", "south"} {
			peers = append(peers, newPeerWithHubs(t, fmt.Sprint(dataCentre, i), dataCentre, 1))
		}
	}
	introduce(peers...)
	return peers
}

// notifyAll sends a notice about an upstream from one peer and waits until all others have received it.
func notifyAll(t *testing.T, peers []*peer, from *peer, id settings.UpstreamID) {
	t.Helper()
	from.node.QueueNotices([]breaker.Notice{{Kind: breaker.NoticeTrialStarted, Upstream: id}})
	for _, p := range peers {
		if p == from {
			continue
		}
		eventually(t, fmt.Sprintf("%s has a notice about %s from %s", p.node.options.Self.ID, id, from.node.options.Self.ID), func() bool {
			return p.receivedNotice(from, id)
		})
	}
}

func (p *peer) receivedNotice(from *peer, id settings.UpstreamID) bool {
	return slices.ContainsFunc(p.messagesFrom(from.node.options.Self.ID), func(m *Message) bool {
		return slices.ContainsFunc(m.Notices, func(n breaker.Notice) bool { return n.Upstream == id })
	})
}

// Guards against lost datagrams in a fleet of hundreds of hosts, where each host sends its datagrams to one hub, which bundles
// them: each host must still receive the datagrams of all others.
func TestHubsReachAllHosts(t *testing.T) {
	peers := newPeersWithHubs(t, 8)
	for i, p := range peers {
		notifyAll(t, peers, p, settings.UpstreamID(fmt.Sprint("u", i)))
	}
	rejected := make(map[*peer]int64) // includes datagrams that arrived before the sender's record was added
	for _, p := range peers {
		_, rejected[p], _ = p.node.Counters()
	}
	time.Sleep(4 * HeartbeatInterval) // most datagrams are heartbeats, as in a fleet of hundreds of hosts
	sent, datagrams := int64(0), uint64(0)
	for _, p := range peers {
		sentByPeer, rejectedNow, _ := p.node.Counters()
		if rejectedNow > rejected[p] {
			t.Errorf("%s rejected %d datagrams of known hosts, want 0", p.node.options.Self.ID, rejectedNow-rejected[p])
		}
		sent, datagrams = sent+sentByPeer, datagrams+p.node.sequence.Load()
	}
	if direct := int64(datagrams) * int64(len(peers)-1); sent > direct/2 {
		t.Errorf("%d packets were sent for %d datagrams, want at most half of the %d without hubs", sent, datagrams, direct)
	}
}

// Guards against messages that are lost when a hub fails, and against hosts that are unreachable until others detect the
// failure: unconfirmed datagrams must be sent directly, in order, and another hub must replace the failed one.
func TestFailedHubIsReplaced(t *testing.T) {
	peers := newPeersWithHubs(t, 5)
	from := peers[0]
	for _, p := range peers {
		notifyAll(t, peers, p, "before")
	}
	hub, _, ok := from.node.hub(time.Now())
	if ok && hub == from.node.options.Self.ID {
		from = peers[2] // in the same data centre, where at most two hosts are hubs
		hub, _, ok = from.node.hub(time.Now())
	}
	if !ok {
		t.Fatal("no hub")
	}
	live := slices.DeleteFunc(slices.Clone(peers), func(p *peer) bool { return p.node.options.Self.ID == hub })
	for _, p := range peers {
		if p.node.options.Self.ID == hub {
			if err := p.conn.Close(); err != nil {
				t.Fatal(err)
			}
		}
	}
	begin := time.Now()
	notifyAll(t, live, from, "after")
	if took := time.Since(begin); took > 2*echoTimeout {
		t.Errorf("a message reached all hosts only %v after its hub failed", took)
	}
	from.node.uplink.mu.Lock()
	_, avoided := from.node.uplink.avoidedUntil[hub]
	from.node.uplink.mu.Unlock()
	if !avoided {
		t.Error("the failed hub is not avoided")
	}
	notifyAll(t, live, from, "later")
}

// Guards against malformed and forged packets: they must be rejected and not relayed.
func TestMalformedBundlesAreRejected(t *testing.T) {
	p := newPeerWithHubs(t, "a", "north", 1)
	other, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = other.Close() }()
	for _, packet := range [][]byte{
		{byte(packetBundleToRelay)},
		{byte(packetBundleToRelay), 0},
		{byte(packetBundleToRelay), 0, 9, 1},
		{byte(packetBundle), 0xff, 0xff, 1, 2, 3},
		{byte(packetToBundle)},
		append([]byte{byte(packetBundleToRelay), 0, 20}, make([]byte, 20)...),
		{},
	} {
		p.node.deliver(packet)
	}
	if sent, rejected, _ := p.node.Counters(); sent != 0 || rejected == 0 {
		t.Errorf("after malformed bundles: %d packets sent and %d rejected, want 0 sent and some rejected", sent, rejected)
	}
}
