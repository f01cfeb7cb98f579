package gossip

import "time"

// maxClaimedHosts bounds the size of the fleet that a datagram may claim.
const maxClaimedHosts = 10_000

// sizeClaim is the size of the fleet that another host has reported.
type sizeClaim struct {
	hosts int
	at    time.Time
}

// ExpectedHosts returns the number of hosts of the fleet, with this one, that other hosts have reported recently. It is used
// before the records of the hosts have been read, and is 0 afterwards or if there was no report. The reports cannot be
// authenticated without the records, so they must not be used for anything that a larger number would make unsafe.
func (n *Node) ExpectedHosts(now time.Time) int { return n.table.expectedHosts(now) }

func (t *table) expectedHosts(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	hosts, recent := 0, 0
	for _, claim := range t.claims {
		if now.Sub(claim.at) <= LivenessTimeout {
			hosts, recent = max(hosts, claim.hosts), recent+1
		}
	}
	if hosts == 0 {
		return 0
	}
	return max(hosts, recent+1)
}

// noteClaim records the size of the fleet that another host reports. It has no effect after the records have been read.
func (t *table) noteClaim(now time.Time, id string, hosts uint32) {
	if hosts == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.loaded {
		return
	}
	if t.claims == nil {
		t.claims = make(map[string]sizeClaim)
	}
	if _, known := t.claims[id]; known || len(t.claims) < maxPastIncarnations {
		t.claims[id] = sizeClaim{hosts: int(min(hosts, maxClaimedHosts)), at: now}
	}
}

// size returns the number of hosts of the fleet with this one, and 0 before the records have been read.
func (t *table) size(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.loaded {
		return 0
	}
	hosts := 1
	for _, host := range t.hosts {
		if now.Sub(host.LastSeenAt) <= membershipTimeout {
			hosts++
		}
	}
	return hosts
}
