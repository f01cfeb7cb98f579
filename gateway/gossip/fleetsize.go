package gossip

import "time"

// minorityTimeout is the time after which a host that hears from at most half of the fleet takes the others for gone. Until then it
// keeps its share of the limits, because the others may go on beyond a cut.
const minorityTimeout = 5 * time.Minute

// majority is the size of the fleet when more than half of it was last available to this host, or when minorityTimeout ended.
type majority struct {
	size int
	at   time.Time
}

// FleetSize updates and returns the number of hosts, with this one, among which limits are divided. It is the largest number of hosts from which
// this host, or one that it has heard within membershipTimeout, has itself heard within membershipTimeout. It does not shrink while
// at most half of the fleet is available to this host, for up to minorityTimeout: hosts that it has heard a while ago may be beyond a cut, too.
func (n *Node) FleetSize(now time.Time) int { return n.table.fleetSize(now) }

func (t *table) fleetSize(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	alive, heard, stated, left := 1, 1, 0, 0
	for _, host := range t.hosts {
		if host.Alive(now) {
			alive++
		}
		switch {
		case host.isMember(now):
			heard++
			// A host that has started counts hosts of which it has only read the records, which may be gone.
			if now.Sub(host.recordedAt) > membershipTimeout {
				stated = max(stated, host.size)
			}
		case host.Leaving && !host.LastSeenAt.Add(membershipTimeout).Before(t.majority.at):
			left++ // it was still counted in t.majority
		}
	}
	size := max(heard, stated)
	before := t.majority.size - left
	if 2*alive <= before && now.Sub(t.majority.at) <= minorityTimeout {
		return max(size, before)
	}
	t.majority = majority{size: size, at: now}
	return size
}
