package gossip

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// probesPerDataCentre is the number of probes that the hosts of a data centre together send to another one in each heartbeat
	// interval while they hear no host of it. One that arrives is enough, because it is relayed.
	probesPerDataCentre = 8
	// fullProbeTime is the silence of a host up to which it is probed at the full rate. Later the rate is in inverse proportion to the
	// silence, because most hosts that are silent for long are gone. A host that is not finds the others again after a small part of the
	// time for which it was cut off.
	fullProbeTime = 5 * time.Minute
)

// probeLost sends this host's record and a datagram to some hosts that it has not heard for membershipTimeout. It sends them nothing else,
// and they may have stopped sending to it for the same reason, so hosts that were cut off from each other would stay so.
func (n *Node) probeLost(now time.Time) {
	lost := n.table.probeTargets(now, rand.Float64)
	if len(lost) == 0 {
		return
	}
	record, err := n.EncodedRecord()
	if err != nil {
		n.rejected.Add(1)
		return
	}
	packet, _, ok := n.newDatagram(now, content{})
	if !ok {
		return
	}
	packet[0] = byte(packetProbe)
	n.sendRecord(packetProbeIntroduction, record, lost)
	for _, host := range lost {
		n.write(packet, host.addr)
	}
	n.probes.Add(int64(len(lost)))
}

// probeTargets returns the hosts that are probed now: at most one host of the local data centre, and at most one of each remote data centre of
// which no host is a member of the fleet. A remote data centre with a member needs no probe, because that host relays datagrams to the others
// there. random returns a random number in [0, 1).
func (t *table) probeTargets(now time.Time, random func() float64) []destination {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost, heard := make(map[string]*lostHosts), make(map[string]bool)
	local := 1
	for _, host := range t.hosts {
		if host.DataCentre == t.dataCentre {
			local++
		}
		switch {
		case host.isMember(now):
			heard[host.DataCentre] = true
		case !host.Leaving:
			if lost[host.DataCentre] == nil {
				lost[host.DataCentre] = &lostHosts{}
			}
			lost[host.DataCentre].add(now, host)
		}
	}
	var targets []destination
	for dataCentre, hosts := range lost {
		maxChance := 1.0
		if dataCentre != t.dataCentre {
			if heard[dataCentre] {
				continue
			}
			maxChance = min(1, probesPerDataCentre/float64(local))
		}
		if random() < maxChance*min(1, hosts.weight) {
			host := hosts.choose(random)
			targets = append(targets, destination{host.addr, host.Key})
		}
	}
	return targets
}

// lostHosts are the hosts of a data centre that are no longer members of the fleet.
type lostHosts struct {
	hosts []*Host
	// ends are the sums of the weights of the hosts up to each of them, and weight is the sum of all. The weight of a host is the rate at
	// which it is probed if no other one is lost.
	ends   []float64
	weight float64
}

func (l *lostHosts) add(now time.Time, host *Host) {
	l.weight += min(1, float64(fullProbeTime)/float64(now.Sub(host.LastSeenAt)))
	l.hosts, l.ends = append(l.hosts, host), append(l.ends, l.weight)
}

// choose returns a random host.
func (l *lostHosts) choose(random func() float64) *Host {
	i, _ := slices.BinarySearch(l.ends, random()*l.weight)
	return l.hosts[min(i, len(l.hosts)-1)]
}

// probeRelayTargets returns the hosts to which a probe is relayed: the other hosts of the local data centre, if the sender is in a remote
// one, or was not a member of the fleet. rejoined is true in the second case.
func (t *table) probeRelayTargets(now time.Time, from string, rejoined bool) []netip.AddrPort {
	if targets := t.relayTargets(from); len(targets) > 0 || !rejoined {
		return targets
	}
	local := t.localHosts(now)
	targets := make([]netip.AddrPort, 0, len(local))
	for _, host := range local {
		targets = append(targets, host.addr)
	}
	return targets
}
