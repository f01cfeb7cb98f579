package gossip

import (
	"crypto/hmac"
	"net/netip"
	"time"
)

// introduceWithin is the time in which a host that has just started introduces itself. Only then its record is read from
// the store: with hundreds of hosts, a read by each of them for each start is most of the store's calls.
const introductionTimeout = 1500 * time.Millisecond

// Introduce sends this host's record to all hosts that it knows, each sealed with the key of the receiver: only a host that
// has read the store can make it.
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

func (n *Node) sendRecord(as packetKind, body []byte, hosts []destination) {
	for _, host := range hosts {
		packet := newPacket(host.key, body)
		packet[0] = byte(as)
		n.write(packet, host.addr)
	}
}

// introduced takes the record of a host that has started, and passes it on in the own data centre if it comes from another.
func (n *Node) receiveIntroduction(packet []byte) {
	sealed := packet[1:]
	if len(sealed) <= macBytes || !hmac.Equal(sealed[:macBytes], computeMAC(n.options.Self.Key, sealed[macBytes:])) {
		n.rejected.Add(1)
		return
	}
	record, err := DecodeRecord(sealed[macBytes:])
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
	if packetKind(packet[0]) == packetIntroduction && record.DataCentre != n.options.Self.DataCentre {
		n.sendRecord(packetIntroductionRelayed, sealed[macBytes:], n.table.localHosts(now))
	}
}

// introduce takes the record of a host that has started. It reports false for one that is known, or that a later start has
// replaced.
func (t *table) addIntroduced(now time.Time, record Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if record.ID == t.self || t.replaced[pastIncarnation{record.ID, record.Incarnation}] {
		return false
	}
	if known := t.hosts[record.ID]; known != nil && known.Incarnation == record.Incarnation {
		return false
	}
	return t.put(now, record)
}

// former is an earlier start of a host.
type pastIncarnation struct {
	id          string
	incarnation uint64
}

// maxFormer bounds the earlier starts that are remembered.
const maxPastIncarnations = 4096

// put replaces what is known of a host.
func (t *table) put(now time.Time, record Record) bool {
	to, err := netip.ParseAddrPort(record.Address)
	if err != nil {
		return false // DecodeRecord has checked it
	}
	if known := t.hosts[record.ID]; known != nil {
		if len(t.replaced) >= maxPastIncarnations {
			clear(t.replaced)
		}
		t.replaced[pastIncarnation{record.ID, known.Incarnation}] = true
	}
	t.hosts[record.ID] = &Host{Record: record, LastSeenAt: now, recordedAt: now, addr: to}
	delete(t.unknownSince, record.ID)
	return true
}

// overdue notes a datagram of a host whose record is not known. It reports whether the record must be read, because the host
// has not introduced itself in time.
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
