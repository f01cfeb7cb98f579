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
	hubFleet = 60
	// hubs is the number of hosts of a data centre that bundle datagrams at the same time.
	hubs = 2
	// bundleInterval is for how long a hub gathers datagrams.
	bundleInterval = 80 * time.Millisecond
	// bundleBytes bounds a bundle, so that it fits into one packet of usual size.
	bundleBytes = 1350
	// echoWithin is the time in which a host must see its own datagram in a bundle. Otherwise it takes the hub to have failed
	// and avoids it for avoidHub.
	echoWithin = 400 * time.Millisecond
	avoidHub   = 10 * time.Second
	// lengthBytes precede each datagram in a bundle.
	lengthBytes = 2
)

// outbox gathers the datagrams that this host bundles for others as their hub.
type outbox struct {
	mu sync.Mutex
	// near go to the own data centre; far are those of them that go to the others too.
	near, far [][]byte
	since     time.Time // of the first of them; zero if there is none
}

// waiting is a datagram that was given to a hub and not yet seen in a bundle.
type waiting struct {
	sequence uint64
	at       time.Time
	packet   []byte
	nearOnly bool
}

// uplink is this host's use of hubs.
type uplink struct {
	mu      sync.Mutex
	waiting []waiting
	hub     string
	avoided map[string]time.Time // until when
}

// hub returns the host that bundles this host's datagrams, which may be this host itself. It reports false if datagrams go
// directly.
func (n *Node) hub(now time.Time) (id string, to netip.AddrPort, ok bool) {
	n.uplink.mu.Lock()
	avoided := n.uplink.avoided
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
	return chosen.id, chosen.to, true
}

// hubHost is a host that may bundle datagrams.
type hubHost struct {
	id    string
	to    netip.AddrPort
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
		if host.DataCentre == t.dataCentre && !host.Leaving && now.Sub(host.LastSeenAt) <= silentAfter && usable(id) {
			candidates = append(candidates, hubHost{id: id, to: host.to, score: rendezvous.Score(t.dataCentre, id)})
		}
	}
	slices.SortFunc(candidates, func(a, b hubHost) int { return cmp.Compare(b.score, a.score) })
	return candidates[:min(hubs, len(candidates))]
}

// sendByHub gives a sealed datagram to a hub. It reports false if it must go directly.
func (n *Node) sendByHub(now time.Time, packet []byte, sequence uint64, nearOnly bool) bool {
	n.checkHub(now)
	id, to, ok := n.hub(now)
	if !ok {
		return false
	}
	if id == n.options.Self.ID {
		n.gather(packet[1:], nearOnly)
		return true
	}
	packet[0] = byte(collect)
	if nearOnly {
		packet[0] = byte(collectNear)
	}
	n.uplink.mu.Lock()
	n.uplink.hub = id
	n.uplink.waiting = append(n.uplink.waiting, waiting{sequence: sequence, at: now, packet: packet, nearOnly: nearOnly})
	n.uplink.mu.Unlock()
	n.write(packet, to)
	return true
}

// checkHub sends what a hub has not passed on in time directly, and avoids the hub.
func (n *Node) checkHub(now time.Time) {
	n.uplink.mu.Lock()
	if len(n.uplink.waiting) == 0 || now.Sub(n.uplink.waiting[0].at) <= echoWithin {
		n.uplink.mu.Unlock()
		return
	}
	lost, hub := n.uplink.waiting, n.uplink.hub
	n.uplink.waiting = nil
	n.uplink.avoided[hub] = now.Add(avoidHub)
	n.uplink.mu.Unlock()
	n.options.HubFailed(hub)
	// All of them go the same way, because hosts drop a datagram that a newer one has overtaken.
	near, far := n.table.near(now), n.table.relays(now)
	for _, w := range lost {
		n.sendDirectly(w.packet, near, far, w.nearOnly)
	}
}

// echoed notes that a hub has passed on this host's datagrams up to a sequence number.
func (n *Node) echoed(sequence uint64) {
	n.uplink.mu.Lock()
	defer n.uplink.mu.Unlock()
	n.uplink.waiting = slices.DeleteFunc(n.uplink.waiting, func(w waiting) bool { return w.sequence <= sequence })
}

// sendDirectly sends a sealed datagram to the hosts of the own data centre and to relays of the others.
func (n *Node) sendDirectly(packet []byte, near, far []receiver, nearOnly bool) {
	packet[0] = byte(direct)
	for _, host := range near {
		n.write(packet, host.to)
	}
	if nearOnly {
		return
	}
	for _, host := range far {
		n.write(packet, host.to)
	}
}

// gather adds a datagram without its passage to the next bundles.
func (n *Node) gather(sealed []byte, nearOnly bool) {
	n.outbox.mu.Lock()
	defer n.outbox.mu.Unlock()
	own := slices.Clone(sealed)
	n.outbox.near = append(n.outbox.near, own)
	if !nearOnly {
		n.outbox.far = append(n.outbox.far, own)
	}
	if n.outbox.since.IsZero() {
		n.outbox.since = time.Now()
		time.AfterFunc(bundleInterval, n.flush)
	}
}

// flush sends the bundles.
func (n *Node) flush() {
	n.outbox.mu.Lock()
	near, far, since := n.outbox.near, n.outbox.far, n.outbox.since
	n.outbox.near, n.outbox.far, n.outbox.since = nil, nil, time.Time{}
	n.outbox.mu.Unlock()
	now := time.Now()
	if now.Sub(since) > echoWithin {
		return // this host was paused, and the senders have sent directly
	}
	n.writeAll(bundles(bundle, near), n.table.near(now))
	for _, packet := range bundles(bundleFar, far) {
		n.writeAll([][]byte{packet}, n.table.relays(now))
	}
}

func (n *Node) writeAll(packets [][]byte, targets []receiver) {
	for _, packet := range packets {
		for _, host := range targets {
			n.write(packet, host.to)
		}
	}
}

// bundles packs sealed datagrams.
func bundles(as passage, sealed [][]byte) [][]byte {
	var packets [][]byte
	var packet []byte
	for _, one := range sealed {
		if len(packet) > 0 && len(packet)+lengthBytes+len(one) > bundleBytes {
			packets = append(packets, packet)
			packet = nil
		}
		if packet == nil {
			packet = append(make([]byte, 0, bundleBytes), byte(as))
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
		if len(rest) < lengthBytes {
			n.rejected.Add(1)
			return
		}
		size := int(binary.BigEndian.Uint16(rest))
		rest = rest[lengthBytes:]
		if size > len(rest) {
			n.rejected.Add(1)
			return
		}
		if _, accepted := n.accept(rest[:size]); accepted {
			fresh = true
		}
		rest = rest[size:]
	}
	if passage(packet[0]) == bundleFar && fresh && !n.paused(time.Now()) {
		packet[0] = byte(bundle)
		n.writeAll([][]byte{packet}, n.table.near(time.Now()))
	}
}
