package gossip

import "time"

// maxClaimedHosts bounds the size of the fleet that a datagram may claim.
const maxClaimedHosts = 10_000

// sizeClaim is the size of the fleet that another host has reported.
type sizeClaim struct {
	hosts int
	at    time.Time
}

// SetRegistered states that this host's record is in the store and that those of the others have been read and added by Update. From
// then on, it reports the size of the fleet to hosts that are not registered.
func (n *Node) SetRegistered() {
	n.table.mu.Lock()
	defer n.table.mu.Unlock()
	n.table.registered, n.table.claims = true, nil
}

// ExpectedHosts returns the number of hosts of the fleet, with this one, that other hosts have reported recently. It is used until
// SetRegistered is called, and is 0 afterwards or if there was no report. The reports may not be authenticated, because that takes
// the records, so they must not be used for anything that a larger number would make unsafe.
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

// noteClaim records the size of the fleet that another host reports. It has no effect after SetRegistered.
func (t *table) noteClaim(now time.Time, id string, hosts uint32) {
	if hosts == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.registered {
		return
	}
	if t.claims == nil {
		t.claims = make(map[string]sizeClaim)
	}
	if _, known := t.claims[id]; known || len(t.claims) < maxPastIncarnations {
		t.claims[id] = sizeClaim{hosts: int(min(hosts, maxClaimedHosts)), at: now}
	}
}

// size returns the number of hosts of the fleet with this one, and 0 before SetRegistered.
func (t *table) size(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.registered {
		return 0
	}
	hosts := 1
	for _, host := range t.hosts {
		if host.isMember(now) {
			hosts++
		}
	}
	return hosts
}
