package gossip

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// LivenessTimeout is the time without a datagram after which a host is considered unavailable.
	LivenessTimeout = 2500 * time.Millisecond
	// membershipTimeout is the time without a datagram after which a host no longer counts as a member of the fleet.
	membershipTimeout = 20 * time.Second
	// replayWindowSize is the number of recent datagrams per host for which it is known whether they were accepted.
	replayWindowSize = 64
)

// Host is what is known about another host.
type Host struct {
	Record
	// LastSeenAt is when its newest datagram arrived, or when its record was added if none has arrived since.
	LastSeenAt time.Time
	Leaving    bool
	// Heard is true if a datagram of this process has arrived, or its introduction. A record in the store may be that of a host which
	// ended long ago.
	Heard bool
	// Configuration is the active version of the host, 0 if not yet received.
	Configuration uint64
	// ConfirmedAt is when a read of the store last confirmed that version; zero if not known.
	ConfirmedAt time.Time
	// StoreUnavailable is true if the host's recent reads of the store have failed.
	StoreUnavailable bool
	// Served is the number of requests that the host has served in the 2 s before its newest datagram, if Counted is true.
	Served  int
	Counted bool

	// size is the number of hosts from which it has heard, as its newest datagram states.
	size       int
	addr       netip.AddrPort
	recordedAt time.Time // when the record was added
	seen       bool      // a datagram was accepted since the record was added
	// datagrams and dispatches are the replay windows of its datagrams and of its dispatch messages. Datagrams that go through hubs
	// arrive much later than messages that are sent directly, so the two kinds do not share a sequence.
	datagrams, dispatches replayWindow
}

// replayWindow records which of the recent sequence numbers of a sender were accepted.
type replayWindow struct {
	newest   uint64
	accepted uint64 // bit i is set if sequence number newest-i was accepted
}

// record adds a sequence number. It reports whether the number is new, and whether a higher one was accepted before it.
func (w *replayWindow) record(sequence uint64) (fresh, outOfOrder bool) {
	if sequence > w.newest {
		if shift := sequence - w.newest; w.newest > 0 && shift < replayWindowSize {
			w.accepted = w.accepted<<shift | 1
		} else {
			w.accepted = 1
		}
		w.newest = sequence
		return true, false
	}
	age := w.newest - sequence
	if age >= replayWindowSize || w.accepted&(1<<age) != 0 {
		return false, true
	}
	w.accepted |= 1 << age
	return true, true
}

// table holds the other hosts of the fleet.
type table struct {
	self       string
	dataCentre string

	mu    sync.Mutex
	hosts map[string]*Host
	// replaced holds past incarnations of hosts. unknownSince maps hosts without a record to the time from which they are
	// waited for: that of their first datagram, or of the last request to read their record.
	replaced     map[pastIncarnation]bool
	unknownSince map[string]time.Time
	// registered is true once this host's record is in the store and the others were read. Until then, claims holds the sizes of the
	// fleet that other hosts report.
	registered bool
	claims     map[string]sizeClaim
	majority   majority
	// dispatchesSent counts the dispatch messages that were sent to each host.
	dispatchesSent map[string]uint64
}

// update adds the records from a read of the store. Hosts whose record is missing stay in the table and expire only when no
// datagrams arrive. A record that was added after the read began is not replaced, because it may be newer than the read.
func (t *table) update(readAt time.Time, records []Record) (changed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, record := range records {
		known := t.hosts[record.ID]
		if record.ID == t.self || (known != nil && (known.Incarnation == record.Incarnation || known.recordedAt.After(readAt))) {
			continue
		}
		// A store that came back from a copy may have the record of an earlier process.
		if t.replaced[pastIncarnation{record.ID, record.Incarnation}] || (known != nil && record.StoreEra < known.StoreEra) {
			continue
		}
		if t.put(now, record) {
			changed = append(changed, record.ID)
		}
	}
	return changed
}

// find returns the key of a sender and its newest sequence number; false if its record is not known.
func (t *table) find(id string, incarnation uint64) (key []byte, newest uint64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	host := t.hosts[id]
	if host == nil || host.Incarnation != incarnation {
		return nil, 0, false
	}
	return host.Key, host.datagrams.newest, true
}

// acceptance is the result of accept.
type acceptance struct {
	// accepted is false for a datagram that is repeated or older than the replay window.
	accepted bool
	// returned is true if the sender was unavailable before, and rejoined if it was no longer a member of the fleet.
	returned, rejoined bool
	// unheard is the sender if it was no longer a member and this process had not heard it before. It may know an earlier process of this
	// host only.
	unheard *destination
}

// accept records a verified datagram. Only the newest datagram updates the state of the host, and none does while this host may have been
// paused.
func (t *table) accept(now time.Time, m *Message, paused bool) acceptance {
	t.mu.Lock()
	defer t.mu.Unlock()
	host := t.hosts[m.Host]
	if host == nil {
		return acceptance{}
	}
	fresh, outOfOrder := host.datagrams.record(m.Sequence)
	if m.Stale = outOfOrder || paused; !fresh || m.Stale {
		return acceptance{accepted: fresh}
	}
	result := acceptance{
		accepted: true, returned: !host.seen || now.Sub(host.LastSeenAt) > LivenessTimeout, rejoined: !host.isMember(now),
	}
	if result.rejoined && !host.seen {
		result.unheard = &destination{host.addr, host.Key}
	}
	host.LastSeenAt, host.seen, host.Heard = now, true, true
	host.Leaving, host.Configuration = m.Leaving, max(host.Configuration, m.Configuration)
	host.StoreUnavailable, host.size = m.StoreUnavailable, m.Hosts
	host.Served, host.Counted = m.Served, m.Counted
	if m.ConfigurationAge > 0 {
		host.ConfirmedAt = now.Add(-m.ConfigurationAge)
	}
	return result
}

// list returns the other hosts that count as members of the fleet, sorted by id.
func (t *table) list(now time.Time) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	hosts := make([]Host, 0, len(t.hosts))
	for _, host := range t.hosts {
		if host.isMember(now) {
			hosts = append(hosts, *host)
		}
	}
	slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.ID, b.ID) })
	return hosts
}

// Records returns the records of this host and of the other hosts that count as members of the fleet.
func (n *Node) Records(now time.Time) []Record {
	records := []Record{n.record()}
	hosts := n.table.list(now)
	for i := range hosts {
		records = append(records, hosts[i].Record)
	}
	return records
}

// isMember reports whether the host counts as a member of the fleet.
func (h *Host) isMember(now time.Time) bool { return now.Sub(h.LastSeenAt) <= membershipTimeout }

// Alive reports whether the host was last seen within LivenessTimeout.
func (h *Host) Alive(now time.Time) bool { return now.Sub(h.LastSeenAt) <= LivenessTimeout }

const (
	// relaysIfAllSeen is the number of hosts of a remote data centre that receive a datagram and relay it there, while all of
	// its hosts were seen recently. Relays are chosen anew for each datagram, so a lost one does little harm.
	relaysIfAllSeen = 1
	// relaysIfSomeSilent is their number while a host there has not been seen for silenceThreshold: the chosen relays may be
	// unavailable too.
	relaysIfSomeSilent = 2
	silenceThreshold   = 1300 * time.Millisecond
)

// destination is a host to send to. key authenticates introductions to it.
type destination struct {
	addr netip.AddrPort
	key  []byte
}

// localHosts returns the other hosts of the local data centre.
func (t *table) localHosts(now time.Time) []destination {
	t.mu.Lock()
	defer t.mu.Unlock()
	var local []destination
	for _, host := range t.hosts {
		if host.DataCentre == t.dataCentre && host.isMember(now) {
			local = append(local, destination{host.addr, host.Key})
		}
	}
	return local
}

// relays returns the hosts in remote data centres to which a datagram is sent: in each data centre, some hosts that are chosen
// at random and relay the datagram there. Traffic between data centres is expensive. Because relays are chosen for each
// datagram, an unavailable host costs only a fraction of the datagrams.
func (t *table) relays(now time.Time) []destination {
	t.mu.Lock()
	defer t.mu.Unlock()
	remote := make(map[string][]*Host)
	for _, host := range t.hosts {
		if host.DataCentre != t.dataCentre && host.isMember(now) {
			remote[host.DataCentre] = append(remote[host.DataCentre], host)
		}
	}
	var relays []destination
	for _, hosts := range remote {
		for _, host := range pickRelays(now, hosts) {
			relays = append(relays, destination{host.addr, host.Key})
		}
	}
	return relays
}

// pickRelays chooses relays at random. It prefers hosts that were seen recently and are not leaving.
func pickRelays(now time.Time, hosts []*Host) []*Host {
	var seen, staying []*Host
	for _, host := range hosts {
		if host.Leaving {
			continue
		}
		staying = append(staying, host)
		if now.Sub(host.LastSeenAt) <= silenceThreshold {
			seen = append(seen, host)
		}
	}
	relays := relaysIfSomeSilent
	if len(seen) == len(staying) {
		relays = relaysIfAllSeen
	}
	if len(seen) > 0 {
		hosts = seen
	}
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(relays, len(hosts))]
}

// relayTargets returns the hosts to which a datagram from a remote data centre is relayed: the other hosts of the local one.
// They drop repeated datagrams and do not relay them again.
func (t *table) relayTargets(from string) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	sender := t.hosts[from]
	if sender == nil || sender.DataCentre == t.dataCentre {
		return nil
	}
	var targets []netip.AddrPort
	for _, host := range t.hosts {
		if host.DataCentre == t.dataCentre {
			targets = append(targets, host.addr)
		}
	}
	return targets
}
