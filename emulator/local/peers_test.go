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

// Guards the authentication of hosts to each other, on which all invariants rest: a process without a certificate of the
// fleet's authority for its own host id must learn no settings and get no lease from the hosts. The table is down while it
// starts, since the table itself admits those who have its credentials.
func TestOnlyCertifiedHostsJoin(t *testing.T) {
	t.Parallel()
	d := small(deployment.Service{Name: "logbook", Upstreams: 3, Idempotent: true})
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
	foreign, misnamed, guest := configs[3], configs[4], configs[5]
	foreign.Peer.TLS = other.issue(t, foreign.HostID)
	foreign.Peer.TLS.Authority = authority.path
	misnamed.Peer.TLS = authority.issue(t, guest.HostID)
	guest.Peer.TLS = authority.issue(t, guest.HostID)
	var started []*local.Node
	for _, c := range []*config.Config{foreign, misnamed, guest} {
		c.Seeds = members[0].Config.Seeds
		node, err := fleet.StartHost(t.Context(), c)
		if err != nil {
			t.Fatal(err)
		}
		started = append(started, node)
	}
	// The guest starts last and uses the same path, so the others would be ready by then too.
	var last string
	defer func() { t.Log("last answer of the guest: ", last) }()
	waitFor(t, "guest serves", func() bool {
		got, err := exchange(t.Context(), newClient(t), http.MethodGet, "http://"+guest.Caller.Listen+"/logbook", local.Key("desk-1"), "")
		last = fmt.Sprint(started[2].Host.Ready(), got, err)
		return started[2].Host.Ready() && err == nil && got.status == http.StatusOK
	})
	for _, node := range started[:2] {
		if revision := revisionOf(t, node); node.Host.Ready() || revision != 0 {
			t.Errorf("host %s is ready (%t) with settings of revision %d", node.Config.HostID, node.Host.Ready(), revision)
		}
	}
	for _, member := range members {
		for _, id := range statusOf(t, member).Membership.Guests {
			if id != guest.HostID {
				t.Errorf("host %s takes %s for a guest", member.Config.HostID, id)
			}
		}
	}
}

// isAcknowledged reports whether a host has the given number of members in its epoch and hears from all others.
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
