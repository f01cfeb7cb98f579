package gossip

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/traffic/rendezvous"
)

const (
	// defaultMinHostsForHubs is the minimum number of other hosts for which datagrams go through hubs. With fewer hosts, the delay
	// costs more than the direct datagrams.
	defaultMinHostsForHubs = 60
	// hubsPerDataCentre is the number of hosts of a data centre that bundle datagrams at the same time.
	hubsPerDataCentre = 2
	// bundleInterval is how long a hub collects datagrams for a bundle.
	bundleInterval = 80 * time.Millisecond
	// maxBundleBytes bounds a bundle so that it fits into one packet of usual size.
	maxBundleBytes = 1350
	// echoTimeout is the time within which a host must see its own datagram in a bundle. Otherwise it considers the hub failed
	// and avoids it for hubBackoff.
	echoTimeout = 400 * time.Millisecond
	hubBackoff  = 10 * time.Second
	// lengthPrefixBytes is the size of the length that precedes each datagram in a bundle.
	lengthPrefixBytes = 2
)

// outbox holds the datagrams that this host collects as a hub until it sends them in bundles.
type outbox struct {
	mu sync.Mutex
	// local datagrams go to the local data centre; remote holds those of them that go to the remote ones too.
	local, remote [][]byte
	firstAt       time.Time // when the first of them was added; zero if there is none
}

// unconfirmed is a datagram that was sent to a hub and not yet seen in a bundle.
type unconfirmed struct {
	sequence  uint64
	sentAt    time.Time
	packet    []byte
	localOnly bool
}

// uplink is the state of this host as a client of hubs.
type uplink struct {
	mu           sync.Mutex
	unconfirmed  []unconfirmed
	hub          string
	avoidedUntil map[string]time.Time // by host id
}

// hub returns the host that bundles this host's datagrams, which may be this host itself. It reports false if datagrams are
// sent directly.
func (n *Node) hub(now time.Time) (id string, addr netip.AddrPort, ok bool) {
	n.uplink.mu.Lock()
	avoidedUntil := n.uplink.avoidedUntil
	for id, until := range avoidedUntil {
		if now.After(until) {
			delete(avoidedUntil, id)
		}
	}
	usable := func(id string) bool { _, avoided := avoidedUntil[id]; return !avoided }
	candidates := n.table.hubs(now, n.options.MinHostsForHubs, usable)
	n.uplink.mu.Unlock()
	if len(candidates) == 0 {
		return "", netip.AddrPort{}, false
	}
	chosen := candidates[rendezvous.Score(n.options.Self.ID, n.options.Self.DataCentre)%uint64(len(candidates))]
	return chosen.id, chosen.addr, true
}

// hubHost is a host that may bundle datagrams.
type hubHost struct {
	id    string
	addr  netip.AddrPort
	score uint64
}

// hubs returns the hosts that bundle the datagrams of the local data centre: those with the highest scores among this host and
// the hosts that were seen recently. It returns none for a fleet with fewer than minOthers other hosts.
func (t *table) hubs(now time.Time, minOthers int, usable func(id string) bool) []hubHost {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.hosts) < minOthers {
		return nil
	}
	candidates := []hubHost{{id: t.self, score: rendezvous.Score(t.dataCentre, t.self)}}
	for id, host := range t.hosts {
		if host.DataCentre == t.dataCentre && !host.Leaving && now.Sub(host.LastSeenAt) <= silenceThreshold && usable(id) {
			candidates = append(candidates, hubHost{id: id, addr: host.addr, score: rendezvous.Score(t.dataCentre, id)})
		}
	}
	slices.SortFunc(candidates, func(a, b hubHost) int { return cmp.Compare(b.score, a.score) })
	return candidates[:min(hubsPerDataCentre, len(candidates))]
}

// sendViaHub sends a datagram to a hub. It reports false if the datagram must be sent directly.
func (n *Node) sendViaHub(now time.Time, packet []byte, sequence uint64, localOnly bool) bool {
	n.checkHub(now)
	id, addr, ok := n.hub(now)
	if !ok {
		return false
	}
	if id == n.options.Self.ID {
		n.addToBundle(packet[1:], localOnly)
		return true
	}
	packet[0] = byte(packetToBundle)
	if localOnly {
		packet[0] = byte(packetToBundleLocal)
	}
	n.uplink.mu.Lock()
	n.uplink.hub = id
	n.uplink.unconfirmed = append(n.uplink.unconfirmed, unconfirmed{
		sequence: sequence, sentAt: now, packet: packet, localOnly: localOnly,
	})
	n.uplink.mu.Unlock()
	n.write(packet, addr)
	return true
}

// checkHub checks whether a datagram has remained unconfirmed for echoTimeout. If so, it sends all unconfirmed datagrams
// directly and avoids the hub.
func (n *Node) checkHub(now time.Time) {
	n.uplink.mu.Lock()
	if len(n.uplink.unconfirmed) == 0 || now.Sub(n.uplink.unconfirmed[0].sentAt) <= echoTimeout {
		n.uplink.mu.Unlock()
		return
	}
	lost, hub := n.uplink.unconfirmed, n.uplink.hub
	n.uplink.unconfirmed = nil
	n.uplink.avoidedUntil[hub] = now.Add(hubBackoff)
	n.uplink.mu.Unlock()
	n.options.HubFailed(hub)
	// All of them take the same path, which keeps their order: hosts ignore the sender's state in a datagram that arrives out of
	// order, and drop a datagram that is older than the replay window.
	local, remote := n.table.localHosts(now), n.table.relays(now)
	for _, u := range lost {
		n.sendDirectly(u.packet, local, remote, u.localOnly)
	}
}

// confirmEcho records that a hub has sent this host's datagrams up to a sequence number.
func (n *Node) confirmEcho(sequence uint64) {
	n.uplink.mu.Lock()
	defer n.uplink.mu.Unlock()
	n.uplink.unconfirmed = slices.DeleteFunc(n.uplink.unconfirmed, func(u unconfirmed) bool { return u.sequence <= sequence })
}

// sendDirectly sends a datagram to the hosts of the local data centre and, unless localOnly is set, to relays in remote ones.
func (n *Node) sendDirectly(packet []byte, local, remote []destination, localOnly bool) {
	packet[0] = byte(packetDirect)
	for _, host := range local {
		n.write(packet, host.addr)
	}
	if localOnly {
		return
	}
	for _, host := range remote {
		n.write(packet, host.addr)
	}
}

// addToBundle adds a copy of a datagram, without the packet kind, to the next bundles.
func (n *Node) addToBundle(signed []byte, localOnly bool) {
	n.outbox.mu.Lock()
	defer n.outbox.mu.Unlock()
	datagram := slices.Clone(signed)
	n.outbox.local = append(n.outbox.local, datagram)
	if !localOnly {
		n.outbox.remote = append(n.outbox.remote, datagram)
	}
	if n.outbox.firstAt.IsZero() {
		n.outbox.firstAt = time.Now()
		time.AfterFunc(bundleInterval, n.flushBundles)
	}
}

// flushBundles sends the collected datagrams in bundles.
func (n *Node) flushBundles() {
	n.outbox.mu.Lock()
	local, remote, firstAt := n.outbox.local, n.outbox.remote, n.outbox.firstAt
	n.outbox.local, n.outbox.remote, n.outbox.firstAt = nil, nil, time.Time{}
	n.outbox.mu.Unlock()
	now := time.Now()
	if now.Sub(firstAt) > echoTimeout {
		return // this host was paused, and the senders have sent their datagrams directly
	}
	n.writeAll(packBundles(packetBundle, local), n.table.localHosts(now))
	for _, packet := range packBundles(packetBundleToRelay, remote) {
		n.writeAll([][]byte{packet}, n.table.relays(now))
	}
}

func (n *Node) writeAll(packets [][]byte, targets []destination) {
	for _, packet := range packets {
		for _, host := range targets {
			n.write(packet, host.addr)
		}
	}
}

// packBundles packs datagrams into bundles of at most maxBundleBytes. A larger datagram gets a bundle of its own.
func packBundles(kind packetKind, datagrams [][]byte) [][]byte {
	var packets [][]byte
	var packet []byte
	for _, datagram := range datagrams {
		if len(packet) > 0 && len(packet)+lengthPrefixBytes+len(datagram) > maxBundleBytes {
			packets = append(packets, packet)
			packet = nil
		}
		if packet == nil {
			packet = append(make([]byte, 0, maxBundleBytes), byte(kind))
		}
		packet = binary.BigEndian.AppendUint16(packet, uint16(len(datagram)))
		packet = append(packet, datagram...)
	}
	if len(packet) > 0 {
		packets = append(packets, packet)
	}
	return packets
}

// unbundle accepts the datagrams of a bundle. A bundle from a remote data centre is relayed if it holds at least one datagram
// that is new, unless this host may have been paused.
func (n *Node) unbundle(packet []byte) {
	fresh := false
	for rest := packet[1:]; len(rest) > 0; {
		if len(rest) < lengthPrefixBytes {
			n.rejected.Add(1)
			return
		}
		size := int(binary.BigEndian.Uint16(rest))
		rest = rest[lengthPrefixBytes:]
		if size > len(rest) {
			n.rejected.Add(1)
			return
		}
		if _, result := n.accept(rest[:size]); result.accepted {
			fresh = true
		}
		rest = rest[size:]
	}
	if packetKind(packet[0]) == packetBundleToRelay && fresh && !n.mayBeStale(time.Now()) {
		packet[0] = byte(packetBundle)
		n.writeAll([][]byte{packet}, n.table.localHosts(time.Now()))
	}
}
