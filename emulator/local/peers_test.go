package local_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/bronzeyard/bronzeyard/emulator/deployment"
	"github.com/bronzeyard/bronzeyard/emulator/local"
	"github.com/bronzeyard/bronzeyard/host/config"
)

// Guards the mutual authentication of hosts, on which all invariants depend. A process must get neither settings nor a
// lease from the hosts unless the fleet's authority issued its certificate for its own host id. The table is down while
// the process starts, because the table itself admits any process that has its credentials.
func TestOnlyCertifiedHostsJoin(t *testing.T) {
	t.Parallel()
	d := smallDeployment(deployment.Service{Name: "logbook", Upstreams: 3, Idempotent: true})
	authority, other := newAuthority(t), newAuthority(t)
	fleet := startFleet(t, local.Options{Deployment: d, Configure: func(c *config.Config) {
		c.Peer.TLS = authority.issue(t, c.HostID)
	}})
	members := fleet.Nodes()
	waitFor(t, "acknowledged by all members", func() bool {
		return !slices.ContainsFunc(members, func(node *local.Node) bool { return !isAcknowledged(t, node, len(members)) })
	})

	fleet.Table.Faults.SetDown(true)
	fleet.Objects.Faults.SetDown(true)
	configs, err := local.Configs(t.Context(), d, 6)
	if err != nil {
		t.Fatal(err)
	}
	untrusted, misnamed, learner := configs[3], configs[4], configs[5]
	untrusted.Peer.TLS = other.issue(t, untrusted.HostID)
	untrusted.Peer.TLS.Authority = authority.path
	misnamed.Peer.TLS = authority.issue(t, learner.HostID)
	learner.Peer.TLS = authority.issue(t, learner.HostID)
	var started []*local.Node
	for _, c := range []*config.Config{untrusted, misnamed, learner} {
		c.Seeds = members[0].Config.Seeds
		node, err := fleet.StartHost(t.Context(), c)
		if err != nil {
			t.Fatal(err)
		}
		started = append(started, node)
	}
	// The learner starts last and joins in the same way, so the others would be ready by then too.
	var last string
	defer func() { t.Log("last response of the learner: ", last) }()
	waitFor(t, "the learner serves", func() bool {
		got, err := exchange(t.Context(), newClient(t), http.MethodGet, "http://"+learner.Caller.Listen+"/logbook", local.Key("desk-1"), "")
		last = fmt.Sprint(started[2].Host.Ready(), got, err)
		return started[2].Host.Ready() && err == nil && got.status == http.StatusOK
	})
	for _, node := range started[:2] {
		if revision := revisionOf(t, node); node.Host.Ready() || revision != 0 {
			t.Errorf("host %s must not join: ready %t, settings of revision %d", node.Config.HostID, node.Host.Ready(), revision)
		}
	}
	for _, member := range members {
		for _, id := range statusOf(t, member).Membership.Guests {
			if id != learner.HostID {
				t.Errorf("host %s lists %s as a learner", member.Config.HostID, id)
			}
		}
	}
}

// isAcknowledged reports whether a host has the given number of members in its epoch, receives heartbeats from all others
// and has its own acknowledged by them.
func isAcknowledged(t *testing.T, node *local.Node, members int) bool {
	t.Helper()
	seen := statusOf(t, node).Membership.Members
	for _, member := range seen {
		if !member.Self && (!member.HearsUs || member.HeardAgo < 0 || member.AcknowledgedAgo < 0) {
			return false
		}
	}
	return len(seen) == members
}
