package gossip

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a host that does not learn the size of the fleet while the records of the hosts cannot be read: the others still
// send to the address of the process before it, and their datagrams cannot be verified.
func TestRestartedHostLearnsSizeOfFleetWithoutRecords(t *testing.T) {
	a, b, c := newPeer(t, "a", "north"), newPeer(t, "b", "south"), newPeer(t, "c", "north")
	before := c.node.options.Self
	before.Incarnation++
	records := []Record{a.node.options.Self, b.node.options.Self, before}
	a.node.Update(time.Now(), records)
	b.node.Update(time.Now(), records)
	a.node.SetRegistered()
	b.node.SetRegistered()
	eventually(t, "c expects 3 hosts", func() bool { return c.node.ExpectedHosts(time.Now()) == 3 })
	if n := c.node.ExpectedHosts(time.Now().Add(LivenessTimeout + time.Second)); n != 0 {
		t.Errorf("%d hosts are expected although no other one was heard lately, want 0", n)
	}
	c.node.Update(time.Now(), records)
	if n := c.node.ExpectedHosts(time.Now()); n != 3 {
		t.Errorf("%d hosts are expected by a host that is not in the store itself, want 3", n)
	}
	c.node.SetRegistered()
	if n := c.node.ExpectedHosts(time.Now()); n != 0 {
		t.Errorf("%d hosts are expected after this host was registered, want 0", n)
	}
}

// Guards against a smaller size than the number of hosts that are heard, sizes of hosts that do not know the fleet themselves, and
// datagrams that claim an absurd size or fill the memory.
func TestSizeClaimsAreBounded(t *testing.T) {
	var hosts table
	now := time.Now()
	hosts.noteClaim(now, "a", 0)
	if n := hosts.expectedHosts(now); n != 0 {
		t.Errorf("%d hosts are expected after a claim of 0, want 0", n)
	}
	hosts.noteClaim(now, "a", 2)
	hosts.noteClaim(now, "b", 2)
	if n := hosts.expectedHosts(now); n != 3 {
		t.Errorf("%d hosts are expected after two others were heard, want 3", n)
	}
	hosts.noteClaim(now, "c", 1<<31)
	if n := hosts.expectedHosts(now); n != maxClaimedHosts {
		t.Errorf("%d hosts are expected after an absurd claim, want %d", n, maxClaimedHosts)
	}
	for i := range 2 * maxPastIncarnations {
		hosts.noteClaim(now, fmt.Sprint("h", i), 1)
	}
	if len(hosts.claims) > maxPastIncarnations {
		t.Errorf("%d claims are kept, want %d at most", len(hosts.claims), maxPastIncarnations)
	}
}

// Guards against a host that reports a fleet of one because it is not registered.
func TestUnregisteredHostClaimsNoSize(t *testing.T) {
	a := newPeer(t, "a", "north")
	a.node.Update(time.Now(), []Record{a.node.options.Self})
	if n := a.node.table.size(time.Now()); n != 0 {
		t.Errorf("the size of the fleet is %d before this host was registered, want 0", n)
	}
	a.node.SetRegistered()
	if n := a.node.table.size(time.Now()); n != 1 {
		t.Errorf("the size of the fleet is %d for a host that is alone, want 1", n)
	}
}
