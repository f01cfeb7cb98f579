package gossip

import (
	"crypto/hmac"
	"net/netip"
	"time"
)

// introductionTimeout is the time that a host has to introduce itself after its start. Its record is read from the store only
// after that time: with hundreds of hosts, a read by every host at each start makes up most of the store's calls.
const introductionTimeout = 1500 * time.Millisecond

// Introduce sends this host's record to all hosts that it knows. Each packet is authenticated with the key of its receiver, so
// only a host that has read the store can create it.
func (n *Node) Introduce() {
	body, err := n.EncodedRecord()
	if err != nil {
		n.rejected.Add(1)
		return
	}
	now := time.Now()
	n.sendRecord(packetIntroduction, body, n.table.localHosts(now))
	n.sendRecord(packetIntroduction, body, n.table.relays(now))
}

// introduceTo sends this host's record to one host.
func (n *Node) introduceTo(host destination) {
	body, err := n.EncodedRecord()
	if err != nil {
		n.rejected.Add(1)
		return
	}
	n.sendRecord(packetIntroductionRelayed, body, []destination{host})
}

func (n *Node) sendRecord(kind packetKind, body []byte, hosts []destination) {
	for _, host := range hosts {
		packet := newPacket(host.key, body)
		packet[0] = byte(kind)
		n.write(packet, host.addr)
	}
}

// receiveIntroduction adds the record of a host that has started. It is relayed to the hosts of the local data centre if the host is in a
// remote one, or if it may have lost the others here.
func (n *Node) receiveIntroduction(packet []byte) {
	signed := packet[1:]
	if len(signed) <= macBytes || !hmac.Equal(signed[:macBytes], computeMAC(n.options.Self.Key, signed[macBytes:])) {
		n.rejected.Add(1)
		return
	}
	record, err := DecodeRecord(signed[macBytes:])
	if err != nil {
		n.rejected.Add(1)
		return
	}
	now := time.Now()
	if !n.table.addIntroduced(now, record) {
		n.repeated.Add(1)
		return
	}
	n.options.HostFound(record.ID)
	kind, remote := packetKind(packet[0]), record.DataCentre != n.options.Self.DataCentre
	if kind == packetProbeIntroduction || (kind == packetIntroduction && remote) {
		n.sendRecord(packetIntroductionRelayed, signed[macBytes:], n.table.localHosts(now))
	}
}

// addIntroduced adds the record of a host that has started. It reports false if the record is already known, or if a later
// incarnation of the host has replaced it.
func (t *table) addIntroduced(now time.Time, record Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if record.ID == t.self || t.replaced[pastIncarnation{record.ID, record.Incarnation}] {
		return false
	}
	if known := t.hosts[record.ID]; known != nil && known.Incarnation == record.Incarnation {
		return false
	}
	if !t.put(now, record) {
		return false
	}
	t.hosts[record.ID].Heard = true
	return true
}

// pastIncarnation identifies an earlier incarnation of a host.
type pastIncarnation struct {
	id          string
	incarnation uint64
}

// maxPastIncarnations bounds the past incarnations that are remembered, and the hosts that are waited for without a record.
const maxPastIncarnations = 4096

// put replaces the entry of a host. It reports false if the record's address is invalid.
func (t *table) put(now time.Time, record Record) bool {
	addr, err := netip.ParseAddrPort(record.Address)
	if err != nil {
		return false // not reached: DecodeRecord has checked the address
	}
	if known := t.hosts[record.ID]; known != nil {
		if len(t.replaced) >= maxPastIncarnations {
			clear(t.replaced)
		}
		t.replaced[pastIncarnation{record.ID, known.Incarnation}] = true
	}
	t.hosts[record.ID] = &Host{Record: record, LastSeenAt: now, recordedAt: now, addr: addr}
	delete(t.unknownSince, record.ID)
	return true
}

// noteUnknown notes a datagram from a host whose record is not known. It reports whether the record must be read because the
// host has not introduced itself in time.
func (t *table) noteUnknown(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, seen := t.unknownSince[id]
	if !seen {
		if len(t.unknownSince) < maxPastIncarnations {
			t.unknownSince[id] = now
		}
		return false
	}
	if now.Sub(since) < introductionTimeout {
		return false
	}
	t.unknownSince[id] = now
	return true
}
