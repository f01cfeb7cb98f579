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
	// hubFleet is the number of other hosts from which datagrams go by way of hubs. With fewer, the delay costs more than the
	// datagrams do.
	defaultMinHostsForHubs = 60
	// hubs is the number of hosts of a data centre that bundle datagrams at the same time.
	hubsPerDataCentre = 2
	// bundleInterval is for how long a hub gathers datagrams.
	bundleInterval = 80 * time.Millisecond
	// bundleBytes bounds a bundle, so that it fits into one packet of usual size.
	maxBundleBytes = 1350
	// echoWithin is the time in which a host must see its own datagram in a bundle. Otherwise it takes the hub to have failed
	// and avoids it for avoidHub.
	echoTimeout = 400 * time.Millisecond
	hubBackoff  = 10 * time.Second
	// lengthBytes precede each datagram in a bundle.
	lengthPrefixBytes = 2
)

// outbox gathers the datagrams that this host bundles for others as their hub.
type outbox struct {
	mu sync.Mutex
	// near go to the own data centre; far are those of them that go to the others too.
	local, remote [][]byte
	firstAt       time.Time // of the first of them; zero if there is none
}

// waiting is a datagram that was given to a hub and not yet seen in a bundle.
type unconfirmed struct {
	sequence  uint64
	sentAt    time.Time
	packet    []byte
	localOnly bool
}

// uplink is this host's use of hubs.
type uplink struct {
	mu           sync.Mutex
	unconfirmed  []unconfirmed
	hub          string
	avoidedUntil map[string]time.Time // until when
}

// hub returns the host that bundles this host's datagrams, which may be this host itself. It reports false if datagrams go
// directly.
func (n *Node) hub(now time.Time) (id string, to netip.AddrPort, ok bool) {
	n.uplink.mu.Lock()
	avoided := n.uplink.avoidedUntil
	for id, until := range avoided {
		if now.After(until) {
			delete(avoided, id)
		}
	}
	usable := func(id string) bool { _, bad := avoided[id]; return !bad }
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

// hubs returns the hosts that bundle the datagrams of the own data centre: those with the highest scores of all that were
// heard lately, this one included. It returns none for a fleet with fewer than least other hosts.
func (t *table) hubs(now time.Time, least int, usable func(id string) bool) []hubHost {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.hosts) < least {
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

// sendByHub gives a sealed datagram to a hub. It reports false if it must go directly.
func (n *Node) sendViaHub(now time.Time, packet []byte, sequence uint64, nearOnly bool) bool {
	n.checkHub(now)
	id, to, ok := n.hub(now)
	if !ok {
		return false
	}
	if id == n.options.Self.ID {
		n.addToBundle(packet[1:], nearOnly)
		return true
	}
	packet[0] = byte(packetToBundle)
	if nearOnly {
		packet[0] = byte(packetToBundleLocal)
	}
	n.uplink.mu.Lock()
	n.uplink.hub = id
	n.uplink.unconfirmed = append(n.uplink.unconfirmed, unconfirmed{sequence: sequence, sentAt: now, packet: packet, localOnly: nearOnly})
	n.uplink.mu.Unlock()
	n.write(packet, to)
	return true
}

// checkHub sends what a hub has not passed on in time directly, and avoids the hub.
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
	// All of them go the same way, because hosts drop a datagram that a newer one has overtaken.
	near, far := n.table.localHosts(now), n.table.relays(now)
	for _, w := range lost {
		n.sendDirectly(w.packet, near, far, w.localOnly)
	}
}

// echoed notes that a hub has passed on this host's datagrams up to a sequence number.
func (n *Node) confirmEcho(sequence uint64) {
	n.uplink.mu.Lock()
	defer n.uplink.mu.Unlock()
	n.uplink.unconfirmed = slices.DeleteFunc(n.uplink.unconfirmed, func(w unconfirmed) bool { return w.sequence <= sequence })
}

// sendDirectly sends a sealed datagram to the hosts of the own data centre and to relays of the others.
func (n *Node) sendDirectly(packet []byte, near, far []destination, nearOnly bool) {
	packet[0] = byte(packetDirect)
	for _, host := range near {
		n.write(packet, host.addr)
	}
	if nearOnly {
		return
	}
	for _, host := range far {
		n.write(packet, host.addr)
	}
}

// gather adds a datagram without its passage to the next bundles.
func (n *Node) addToBundle(sealed []byte, nearOnly bool) {
	n.outbox.mu.Lock()
	defer n.outbox.mu.Unlock()
	own := slices.Clone(sealed)
	n.outbox.local = append(n.outbox.local, own)
	if !nearOnly {
		n.outbox.remote = append(n.outbox.remote, own)
	}
	if n.outbox.firstAt.IsZero() {
		n.outbox.firstAt = time.Now()
		time.AfterFunc(bundleInterval, n.flushBundles)
	}
}

// flush sends the bundles.
func (n *Node) flushBundles() {
	n.outbox.mu.Lock()
	near, far, since := n.outbox.local, n.outbox.remote, n.outbox.firstAt
	n.outbox.local, n.outbox.remote, n.outbox.firstAt = nil, nil, time.Time{}
	n.outbox.mu.Unlock()
	now := time.Now()
	if now.Sub(since) > echoTimeout {
		return // this host was paused, and the senders have sent directly
	}
	n.writeAll(packBundles(packetBundle, near), n.table.localHosts(now))
	for _, packet := range packBundles(packetBundleToRelay, far) {
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

// bundles packs sealed datagrams.
func packBundles(as packetKind, sealed [][]byte) [][]byte {
	var packets [][]byte
	var packet []byte
	for _, one := range sealed {
		if len(packet) > 0 && len(packet)+lengthPrefixBytes+len(one) > maxBundleBytes {
			packets = append(packets, packet)
			packet = nil
		}
		if packet == nil {
			packet = append(make([]byte, 0, maxBundleBytes), byte(as))
		}
		packet = binary.BigEndian.AppendUint16(packet, uint16(len(one)))
		packet = append(packet, one...)
	}
	if len(packet) > 0 {
		packets = append(packets, packet)
	}
	return packets
}

// unbundle takes the datagrams of a bundle. One that came from another data centre is passed on if it holds anything new.
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
		if _, accepted := n.accept(rest[:size]); accepted {
			fresh = true
		}
		rest = rest[size:]
	}
	if packetKind(packet[0]) == packetBundleToRelay && fresh && !n.mayBeStale(time.Now()) {
		packet[0] = byte(packetBundle)
		n.writeAll([][]byte{packet}, n.table.localHosts(time.Now()))
	}
}
