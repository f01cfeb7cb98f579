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
	// AliveFor is the time without a datagram after which a host is taken to be away.
	LivenessTimeout = 2500 * time.Millisecond
	// countedFor is the time without a datagram after which a host no longer counts as a part of the fleet.
	membershipTimeout = 20 * time.Second
	// takenBits is the number of datagrams of a host for which it is known whether they were taken.
	replayWindowSize = 64
)

// Host is what is known of another host.
type Host struct {
	Record
	// HeardAt is when its last datagram arrived, or when its record was first seen.
	LastSeenAt time.Time
	Leaving    bool
	// Configuration is the version in force there, 0 if not yet heard.
	Configuration uint64
	// ConfirmedAt is when a read of the store has confirmed that version; zero if not known.
	ConfirmedAt time.Time
	// StoreAway is true if the host could not read the store lately.
	StoreUnavailable bool

	addr       netip.AddrPort
	recordedAt time.Time // when the record was taken
	sequence   uint64    // the newest of its datagrams
	window     uint64    // bit i is set if the one that is i older was taken
	seen       bool
}

// take notes a datagram and reports whether it is new, and whether a newer one has come before it.
func (h *Host) recordSequence(sequence uint64) (fresh, overtaken bool) {
	if sequence > h.sequence {
		if shift := sequence - h.sequence; h.sequence > 0 && shift < replayWindowSize {
			h.window = h.window<<shift | 1
		} else {
			h.window = 1
		}
		h.sequence = sequence
		return true, false
	}
	age := h.sequence - sequence
	if age >= replayWindowSize || h.window&(1<<age) != 0 {
		return false, true
	}
	h.window |= 1 << age
	return true, true
}

// table holds the other hosts.
type table struct {
	self       string
	dataCentre string

	mu    sync.Mutex
	hosts map[string]*Host
	// replaced are earlier starts of hosts, and unknownSince hosts without a record by the time of their first datagram.
	replaced     map[pastIncarnation]bool
	unknownSince map[string]time.Time
}

// update takes the records of a read of the store. A record that is missing is kept while its host is heard. One that was put
// after the read began may be newer than what the read has found.
func (t *table) update(readAt time.Time, records []Record) (changed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, record := range records {
		known := t.hosts[record.ID]
		if record.ID == t.self || (known != nil && (known.Incarnation == record.Incarnation || known.recordedAt.After(readAt))) {
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
	return host.Key, host.sequence, true
}

// accept notes a verified datagram. It reports false for one that was taken before or is overtaken by too many. Only the
// newest one states what the host is now, unless this host was paused.
func (t *table) accept(now time.Time, m *Message, paused bool) (accepted, returned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	host := t.hosts[m.Host]
	if host == nil {
		return false, false
	}
	fresh, overtaken := host.recordSequence(m.Sequence)
	if m.Stale = overtaken || paused; !fresh || m.Stale {
		return fresh, false
	}
	returned = !host.seen || now.Sub(host.LastSeenAt) > LivenessTimeout
	host.LastSeenAt, host.seen = now, true
	host.Leaving, host.Configuration = m.Leaving, max(host.Configuration, m.Configuration)
	host.StoreUnavailable = m.StoreUnavailable
	if m.ConfigurationAge > 0 {
		host.ConfirmedAt = now.Add(-m.ConfigurationAge)
	}
	return true, returned
}

// list returns the other hosts that count as a part of the fleet, sorted by id.
func (t *table) list(now time.Time) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	hosts := make([]Host, 0, len(t.hosts))
	for _, host := range t.hosts {
		if now.Sub(host.LastSeenAt) <= membershipTimeout {
			hosts = append(hosts, *host)
		}
	}
	slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.ID, b.ID) })
	return hosts
}

// Alive reports whether the host was heard lately.
func (h *Host) Alive(now time.Time) bool { return now.Sub(h.LastSeenAt) <= LivenessTimeout }

const (
	// relaysAllHeard is the number of hosts of another data centre that get a datagram and pass it on there while all of them
	// are heard. Each datagram goes to others, so that one lost does little harm.
	relaysIfAllSeen = 1
	// relaysSomeSilent is their number while a host there has not been heard for silentAfter: those drawn may be away too.
	relaysIfSomeSilent = 2
	silenceThreshold   = 1300 * time.Millisecond
)

// receiver is a host to send to, with the key that introductions to it are sealed with.
type destination struct {
	addr netip.AddrPort
	key  []byte
}

// near returns the hosts of the own data centre.
func (t *table) localHosts(now time.Time) []destination {
	t.mu.Lock()
	defer t.mu.Unlock()
	var near []destination
	for _, host := range t.hosts {
		if host.DataCentre == t.dataCentre && now.Sub(host.LastSeenAt) <= membershipTimeout {
			near = append(near, destination{host.addr, host.Key})
		}
	}
	return near
}

// relays returns the hosts of other data centres to which a datagram goes: in each one some that are drawn at random, which
// pass it on there. Traffic between data centres is dear, and with a new draw each time a host that is away costs only a part of
// the datagrams.
func (t *table) relays(now time.Time) []destination {
	t.mu.Lock()
	defer t.mu.Unlock()
	distant := make(map[string][]*Host)
	for _, host := range t.hosts {
		if host.DataCentre != t.dataCentre && now.Sub(host.LastSeenAt) <= membershipTimeout {
			distant[host.DataCentre] = append(distant[host.DataCentre], host)
		}
	}
	var relays []destination
	for _, hosts := range distant {
		for _, host := range pickRelays(now, hosts) {
			relays = append(relays, destination{host.addr, host.Key})
		}
	}
	return relays
}

// drawn draws relays, and prefers hosts that were heard lately and stay.
func pickRelays(now time.Time, hosts []*Host) []*Host {
	var heard, staying []*Host
	for _, host := range hosts {
		if host.Leaving {
			continue
		}
		staying = append(staying, host)
		if now.Sub(host.LastSeenAt) <= silenceThreshold {
			heard = append(heard, host)
		}
	}
	relays := relaysIfSomeSilent
	if len(heard) == len(staying) {
		relays = relaysIfAllSeen
	}
	if len(heard) > 0 {
		hosts = heard
	}
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(relays, len(hosts))]
}

// relayTargets returns the hosts to which a datagram from another data centre is passed on: the others of the own one.
// They drop what they have seen, and pass nothing on again.
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
