package local_test

import (
	"context"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/bronzeyard/bronzeyard/emulator/deployment"
	"github.com/bronzeyard/bronzeyard/emulator/local"
	"github.com/bronzeyard/bronzeyard/emulator/upstream"
	"github.com/bronzeyard/bronzeyard/host/config"
	"github.com/bronzeyard/bronzeyard/settings"
)

// waiting requests per host in TestWithdrawnKeyStopsEverywhere; the upstream has six slots.
const (
	holding = 20
	queued  = 4
)

// Guards I4 and I2: a host that checks a key only when a connection is opened or before a request waits goes on serving a
// withdrawn key on open connections or from its queue.
func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	t.Parallel()
	d := small(
		deployment.Service{Name: "logbook", Upstreams: 3, Idempotent: true},
		deployment.Service{Name: "hold-0", Upstreams: 1, Idempotent: true},
		deployment.Service{Name: "hold-1", Upstreams: 1, Idempotent: true},
		deployment.Service{Name: "hold-2", Upstreams: 1, Idempotent: true},
	)
	authority := newAuthority(t)
	fleet := startFleet(t, local.Options{Deployment: d, Configure: func(c *config.Config) {
		if strings.HasPrefix(c.HostID, "mv-hall") {
			c.Caller.TLS = authority.issue(t, c.HostID)
		}
	}})
	nodes := fleet.Nodes()
	mustOperate(t, nodes[0], "settings/edits", change{ChangeID: local.NewOperationID(), Base: 1, Edits: []settings.Edit{
		{Op: settings.Set, Path: "policy/timeout", Value: []byte(`"2m"`)},
	}})
	open := openConnections(t, nodes, authority)
	release := make([]context.CancelFunc, len(nodes))
	waiting := make([]<-chan answer, len(nodes))
	for i, node := range nodes {
		// Each host has a service of its own, whose only upstream would shed load if several hosts filled its slots.
		service := fmt.Sprintf("hold-%d", i)
		fleet.Upstreams[service][0].SetFault(upstream.Hang)
		release[i] = hold(t, node, service, open[i].client, open[i].base+"/"+service+"/holding")
		defer release[i]()
		waiting[i] = wait(t, node, service, open[i].client, open[i].base+"/"+service+"/queued")
	}

	mustOperate(t, nodes[1], "customers/desk-1/keys/first/withdraw",
		change{ChangeID: local.NewOperationID(), Base: revisionOf(t, nodes[1])})
	before := recordsOf(fleet, "/logbook/")
	for i := range nodes {
		got := get(t, open[i].client, open[i].base+"/logbook/after", local.Key("desk-1"))
		if got.status != http.StatusUnauthorized || got.major != open[i].major {
			t.Errorf("host %d answers a withdrawn key with %+v", i, got)
		}
		if other := get(t, open[i].client, open[i].base+"/logbook/other", local.Key("desk-2")); other.status != http.StatusOK {
			t.Errorf("host %d answers a valid key with %+v", i, other)
		}
		// A queued request that runs in spite of the withdrawal gets an answer at once.
		fleet.Upstreams[fmt.Sprintf("hold-%d", i)][0].SetFault(upstream.Healthy)
		release[i]()
		for range queued {
			if got := <-waiting[i]; got.status != http.StatusUnauthorized {
				t.Errorf("host %d answers a queued request with a withdrawn key with %+v", i, got)
			}
		}
	}
	if after := recordsOf(fleet, "/logbook/"); after != before+len(nodes) {
		t.Errorf("%d requests ran after the withdrawal, %d had a valid key", after-before, len(nodes))
	}
	for i := range nodes {
		if ran := recordsOf(fleet, fmt.Sprintf("/hold-%d/queued", i)); ran != 0 {
			t.Errorf("%d queued requests with a withdrawn key ran at host %d", ran, i)
		}
	}
}

// connection is a caller's open connection to a host.
type connection struct {
	client *http.Client
	base   string
	major  int
}

// openConnections opens a connection to each host and checks that it serves the key and stays open.
func openConnections(t *testing.T, nodes []*local.Node, authority *authority) []connection {
	t.Helper()
	open := make([]connection, len(nodes))
	for i, node := range nodes {
		open[i] = connection{client: newClient(t), base: "http://" + node.Config.Caller.Listen, major: 1}
		if node.Config.Caller.TLS != nil {
			open[i] = connection{client: authority.http2Client(t), base: "https://" + node.Config.Caller.Listen, major: 2}
		}
		get(t, open[i].client, open[i].base+"/logbook/first", local.Key("desk-1"))
		got := get(t, open[i].client, open[i].base+"/logbook/second", local.Key("desk-1"))
		if got.status != http.StatusOK || !got.reused || got.major != open[i].major {
			t.Fatalf("host %d: %+v", i, got)
		}
	}
	return open
}

// hold sends requests of another customer that fill all slots of a service at a host until release is called.
func hold(t *testing.T, node *local.Node, service string, client *http.Client, url string) (release context.CancelFunc) {
	t.Helper()
	ctx, release := context.WithCancel(t.Context())
	for range holding {
		go func() {
			// The request ends by its cancellation.
			got, err := exchange(ctx, client, http.MethodGet, url, local.Key("desk-2"), "")
			if err == nil {
				t.Errorf("a request that should wait is answered with %+v", got)
			}
		}()
	}
	// A request that has only arrived could still be overtaken by one of the other customer, which then gets a slot.
	waitFor(t, "all slots held", func() bool { return queuedAt(t, node, service) == holding })
	return release
}

// wait sends requests that wait in the queue behind those of hold.
func wait(t *testing.T, node *local.Node, service string, client *http.Client, url string) <-chan answer {
	t.Helper()
	answers := make(chan answer, queued)
	for range queued {
		go func() {
			got, err := exchange(t.Context(), client, http.MethodGet, url, local.Key("desk-1"), "")
			if err != nil {
				t.Error(err)
			}
			answers <- got
		}()
	}
	waitFor(t, "requests queued", func() bool { return queuedAt(t, node, service) == holding+queued })
	return answers
}

func recordsOf(fleet *local.Fleet, prefix string) (count int) {
	for _, record := range fleet.Records() {
		if strings.HasPrefix(record.Target, prefix) {
			count++
		}
	}
	return count
}

// Guards I11: a change that is answered before all hosts have applied it, a host that starts with older settings while the
// table is down, and a change that is accepted although it cannot be kept.
func TestAcceptedChangeIsInForceAndStays(t *testing.T) {
	t.Parallel()
	d := small(deployment.Service{Name: "logbook", Upstreams: 3, Idempotent: true})
	fleet := startFleet(t, local.Options{Deployment: d})
	nodes := fleet.Nodes()
	client := newClient(t)
	key, revision := "", uint64(0)
	for i := range 6 {
		key = fmt.Sprintf("key-%d", i)
		revision = grant(t, nodes[i%len(nodes)], key)
		for _, node := range nodes {
			got := get(t, client, "http://"+node.Config.Caller.Listen+"/logbook", key)
			if applied := revisionOf(t, node); applied < revision || got.status != http.StatusOK {
				t.Errorf("revision %d is in force, host %s has %d and answers %+v", revision, node.Config.HostID, applied, got)
			}
		}
	}
	revision = mustOperate(t, nodes[0], "customers/desk-1/keys/first/withdraw",
		change{ChangeID: local.NewOperationID(), Base: revision})

	fleet.Table.Faults.SetDown(true)
	body := change{ChangeID: local.NewOperationID(), Base: revision}
	if status, _ := operate(t, nodes[1], "customers/desk-1/keys/key-1/withdraw", body); status != http.StatusServiceUnavailable {
		t.Errorf("a change during an outage of the table is answered with %d", status)
	}
	restarted := restart(t, fleet, nodes[2])
	for _, node := range fleet.Nodes() {
		got := get(t, client, "http://"+node.Config.Caller.Listen+"/logbook", key)
		if applied := revisionOf(t, node); applied < revision || got.status != http.StatusOK {
			t.Errorf("host %s has revision %d of %d and answers %+v", node.Config.HostID, applied, revision, got)
		}
	}
	fleet.Table.Faults.SetDown(false)
	waitFor(t, "member again", func() bool { return !statusOf(t, restarted).Membership.Guest })
	if after := grant(t, restarted, "key-after"); after <= revision {
		t.Errorf("revision %d follows %d", after, revision)
	}
}

// grant grants a key to a customer at a host and returns the revision that is in force with it.
func grant(t *testing.T, node *local.Node, key string) uint64 {
	t.Helper()
	hash := settings.HashKey(key)
	return mustOperate(t, node, "customers/desk-1/keys/"+key, change{
		ChangeID: local.NewOperationID(), Base: revisionOf(t, node), Hash: "sha256:" + hex.EncodeToString(hash[:]),
	})
}

// restart ends a host as a crash does and starts it again. Until it is ready it must not serve the withdrawn first key.
func restart(t *testing.T, fleet *local.Fleet, node *local.Node) *local.Node {
	t.Helper()
	if err := fleet.Stop(node); err != nil {
		t.Fatal(err)
	}
	started, err := fleet.StartHost(t.Context(), node.Config)
	if err != nil {
		t.Fatal(err)
	}
	client := newClient(t)
	waitFor(t, "ready after a restart", func() bool {
		ready := started.Host.Ready()
		got, err := exchange(t.Context(), client, http.MethodGet, "http://"+node.Config.Caller.Listen+"/logbook", local.Key("desk-1"), "")
		if err == nil && !slices.Contains([]int{http.StatusUnauthorized, http.StatusServiceUnavailable}, got.status) {
			t.Errorf("a starting host answers a withdrawn key with %+v", got)
		}
		return ready
	})
	return started
}
