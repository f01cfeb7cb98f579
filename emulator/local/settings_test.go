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

// Numbers of requests per host in TestWithdrawnKeyIsRejectedByAllHosts. The upstream has six slots, so most of the holding
// requests wait. The queued requests wait behind them.
const (
	holding = 20
	queued  = 4
)

// Guards I4 and I2: a host that checks a key only when a connection is opened, or only before a request is queued,
// continues to serve a withdrawn key on open connections or from its queue.
func TestWithdrawnKeyIsRejectedByAllHosts(t *testing.T) {
	t.Parallel()
	d := smallDeployment(
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
	mustChange(t, nodes[0], "settings/edits", change{ChangeID: local.NewOperationID(), Base: 1, Edits: []settings.Edit{
		{Op: settings.Set, Path: "policy/timeout", Value: []byte(`"2m"`)},
	}})
	open := openConnections(t, nodes, authority)
	release := make([]context.CancelFunc, len(nodes))
	queuedResponses := make([]<-chan callerResponse, len(nodes))
	for i, node := range nodes {
		// Each host has its own service, because its only upstream would shed load if several hosts filled its slots.
		service := fmt.Sprintf("hold-%d", i)
		fleet.Upstreams[service][0].SetFault(upstream.Hang)
		release[i] = fillSlots(t, node, service, open[i].client, open[i].base+"/"+service+"/holding")
		defer release[i]()
		queuedResponses[i] = queueRequests(t, node, service, open[i].client, open[i].base+"/"+service+"/queued")
	}

	mustChange(t, nodes[1], "customers/desk-1/keys/first/withdraw",
		change{ChangeID: local.NewOperationID(), Base: revisionOf(t, nodes[1])})
	before := countRecords(fleet, "/logbook/")
	for i := range nodes {
		got := get(t, open[i].client, open[i].base+"/logbook/after", local.Key("desk-1"))
		if got.status != http.StatusUnauthorized || got.major != open[i].major {
			t.Errorf("host %d: request with a withdrawn key got %+v, want status 401 on the open connection", i, got)
		}
		if other := get(t, open[i].client, open[i].base+"/logbook/other", local.Key("desk-2")); other.status != http.StatusOK {
			t.Errorf("host %d: request with a valid key got %+v, want status 200", i, other)
		}
		// A queued request that is executed despite the withdrawal gets a response at once.
		fleet.Upstreams[fmt.Sprintf("hold-%d", i)][0].SetFault(upstream.Healthy)
		release[i]()
		for range queued {
			if got := <-queuedResponses[i]; got.status != http.StatusUnauthorized {
				t.Errorf("host %d: queued request with a withdrawn key got %+v, want status 401", i, got)
			}
		}
	}
	if after := countRecords(fleet, "/logbook/"); after != before+len(nodes) {
		t.Errorf("%d requests were executed after the withdrawal, want only the %d with a valid key", after-before, len(nodes))
	}
	for i := range nodes {
		if ran := countRecords(fleet, fmt.Sprintf("/hold-%d/queued", i)); ran != 0 {
			t.Errorf("%d queued requests with a withdrawn key were executed for host %d, want 0", ran, i)
		}
	}
}

// connection is a caller's open connection to a host.
type connection struct {
	client *http.Client
	base   string
	major  int
}

// openConnections opens a connection to each host and checks that requests on it succeed and that it stays open.
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

// fillSlots sends requests of another customer that occupy all slots of a service at a host until release is called.
func fillSlots(t *testing.T, node *local.Node, service string, client *http.Client, url string) (release context.CancelFunc) {
	t.Helper()
	ctx, release := context.WithCancel(t.Context())
	for range holding {
		go func() {
			// The request must end only when it is cancelled. Then a response may still come: the first request that ends frees a
			// slot for another one, whose cancellation is still under way.
			got, err := exchange(ctx, client, http.MethodGet, url, local.Key("desk-2"), "")
			if err == nil && ctx.Err() == nil {
				t.Errorf("a request that should wait got the response %+v", got)
			}
		}()
	}
	// Wait until all are queued. Otherwise a request of the other customer could overtake one of these and get a slot.
	waitFor(t, "all slots held", func() bool { return queuedAt(t, node, service) == holding })
	return release
}

// queueRequests sends requests that are queued behind those of fillSlots.
func queueRequests(t *testing.T, node *local.Node, service string, client *http.Client, url string) <-chan callerResponse {
	t.Helper()
	responses := make(chan callerResponse, queued)
	for range queued {
		go func() {
			got, err := exchange(t.Context(), client, http.MethodGet, url, local.Key("desk-1"), "")
			if err != nil {
				t.Error(err)
			}
			responses <- got
		}()
	}
	waitFor(t, "requests queued", func() bool { return queuedAt(t, node, service) == holding+queued })
	return responses
}

func countRecords(fleet *local.Fleet, prefix string) (count int) {
	for _, record := range fleet.Records() {
		if strings.HasPrefix(record.Target, prefix) {
			count++
		}
	}
	return count
}

// Guards I11 against three failures: a change is acknowledged before all hosts have applied it, a host starts with older
// settings while the table is down, or a change is accepted although it cannot be stored.
func TestAcceptedChangeIsActiveAndDurable(t *testing.T) {
	t.Parallel()
	d := smallDeployment(deployment.Service{Name: "logbook", Upstreams: 3, Idempotent: true})
	fleet := startFleet(t, local.Options{Deployment: d})
	nodes := fleet.Nodes()
	client := newClient(t)
	key, revision := "", uint64(0)
	for i := range 6 {
		key = fmt.Sprintf("key-%d", i)
		revision = addKey(t, nodes[i%len(nodes)], key)
		for _, node := range nodes {
			got := get(t, client, "http://"+node.Config.Caller.Listen+"/logbook", key)
			if applied := revisionOf(t, node); applied < revision || got.status != http.StatusOK {
				t.Errorf("revision %d is active, but host %s has revision %d and responds %+v", revision, node.Config.HostID, applied, got)
			}
		}
	}
	revision = mustChange(t, nodes[0], "customers/desk-1/keys/first/withdraw",
		change{ChangeID: local.NewOperationID(), Base: revision})

	fleet.Table.Faults.SetDown(true)
	body := change{ChangeID: local.NewOperationID(), Base: revision}
	if status, _ := sendChange(t, nodes[1], "customers/desk-1/keys/key-1/withdraw", body); status != http.StatusServiceUnavailable {
		t.Errorf("change during an outage of the table: got status %d, want 503", status)
	}
	restarted := restart(t, fleet, nodes[2])
	for _, node := range fleet.Nodes() {
		got := get(t, client, "http://"+node.Config.Caller.Listen+"/logbook", key)
		if applied := revisionOf(t, node); applied < revision || got.status != http.StatusOK {
			t.Errorf("host %s has revision %d, want at least %d, and responds %+v", node.Config.HostID, applied, revision, got)
		}
	}
	fleet.Table.Faults.SetDown(false)
	waitFor(t, "the restarted host is a member again", func() bool { return !statusOf(t, restarted).Membership.Guest })
	if after := addKey(t, restarted, "key-after"); after <= revision {
		t.Errorf("new revision %d is not above %d", after, revision)
	}
}

// addKey adds an API key for a customer through a host and returns the active revision that contains it.
func addKey(t *testing.T, node *local.Node, key string) uint64 {
	t.Helper()
	hash := settings.HashKey(key)
	return mustChange(t, node, "customers/desk-1/keys/"+key, change{
		ChangeID: local.NewOperationID(), Base: revisionOf(t, node), Hash: "sha256:" + hex.EncodeToString(hash[:]),
	})
}

// restart emulates a crash of a host and starts it again. Until it is ready it must not serve the withdrawn
// first key of desk-1.
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
			t.Errorf("starting host: request with a withdrawn key got %+v, want status 401 or 503", got)
		}
		return ready
	})
	return started
}
