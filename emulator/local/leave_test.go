package local_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/emulator/deployment"
	"github.com/bronzeyard/bronzeyard/emulator/load"
	"github.com/bronzeyard/bronzeyard/emulator/local"
	"github.com/bronzeyard/bronzeyard/emulator/upstream"
	"github.com/bronzeyard/bronzeyard/host/config"
)

// The callers of this test look up addresses every addressAge. Hosts may therefore drain for less than the 10 s for which
// callers may cache an address response.
const (
	addressAge = 500 * time.Millisecond
	drainTime  = 2 * time.Second
)

// startCallers offers load until stop is called, which returns all responses. A new period with a new address lookup begins
// every addressAge, even while slow responses of earlier periods still arrive on their kept-alive connections.
func startCallers(t *testing.T, bootstrap []string) (stop func() []load.Response) {
	t.Helper()
	stopping := make(chan struct{})
	var mu sync.Mutex
	var all []load.Response
	period := func(seed uint64) {
		responses, err := load.Run(t.Context(), periodOptions(bootstrap, seed))
		if err != nil {
			t.Error(err)
		}
		mu.Lock()
		defer mu.Unlock()
		all = append(all, responses...)
	}
	var running sync.WaitGroup
	running.Go(func() {
		ticker := time.NewTicker(addressAge)
		defer ticker.Stop()
		for seed := uint64(1); ; seed++ {
			running.Go(func() { period(seed) })
			select {
			case <-stopping:
				return
			case <-ticker.C:
			}
		}
	})
	return sync.OnceValue(func() []load.Response {
		close(stopping)
		running.Wait()
		return all
	})
}

func periodOptions(bootstrap []string, seed uint64) load.Options {
	return load.Options{
		Bootstrap: bootstrap, RepeatShare: 0.3, Duration: addressAge, Seed: seed,
		Customers: []load.Customer{
			{Name: "desk-1", Key: local.Key("desk-1"), Rate: 40},
			{Name: "desk-2", Key: local.Key("desk-2"), Rate: 40},
		},
		Routes: []load.Route{
			{Method: http.MethodGet, Path: "/logbook", Share: 0.5, Idempotent: true},
			{Method: http.MethodPost, Path: "/intake", Share: 0.5},
		},
	}
}

// Guards I10, I8, I7, I6 and I3 in a rolling replacement of all hosts. A host that closes its listener or releases its
// operations too early interrupts requests, or lets a repeated operation be executed a second time at the next owner.
func TestRollingReplacementKeepsInvariants(t *testing.T) {
	t.Parallel()
	d := smallDeployment(
		deployment.Service{Name: "logbook", Upstreams: 3, Idempotent: true},
		deployment.Service{Name: "intake", Upstreams: 3},
		deployment.Service{Name: "archive", Upstreams: 1},
	)
	setDrainTime := func(c *config.Config) { c.DrainTime = config.Duration(drainTime) }
	fleet := startFleet(t, local.Options{Deployment: d, ServiceTime: 10 * time.Millisecond, Configure: setDrainTime})
	for _, service := range []string{"logbook", "intake", "archive"} {
		fleet.Upstreams[service][0].SetFault(upstream.SlowBody)
	}
	first := fleet.Nodes()
	replacements, err := local.Configs(t.Context(), d, 2*len(first))
	if err != nil {
		t.Fatal(err)
	}
	replacements = replacements[len(first):]
	bootstrap := fleet.CallerAddresses()
	for _, c := range replacements {
		setDrainTime(c)
		c.Seeds = first[0].Config.Seeds
		bootstrap = append(bootstrap, c.Caller.Listen)
	}
	stop := startCallers(t, bootstrap)
	defer stop()

	var long []load.Response
	for i, node := range first {
		if _, err := fleet.StartHost(t.Context(), replacements[i]); err != nil {
			t.Fatal(err)
		}
		waitReady(t, fleet)
		long = append(long, leaveWithLongRequest(t, node, fleet.Upstreams["archive"][0]))
		if err := fleet.Stop(node); err != nil {
			t.Error(err)
		}
	}
	responses := append(stop(), long...)
	keys := []string{local.Key("desk-1"), local.Key("desk-2")}
	summary := load.Check(responses, fleet.Records(), keys)
	if summary.Violations() != 0 {
		t.Errorf("invariants were violated: %+v", summary)
	}
	if summary.ByStatus["200"] == 0 || countReplayed(responses) == 0 {
		t.Errorf("load without successful responses or without replays proves nothing: %+v", summary)
	}
	t.Logf("%+v", summary)
}

// leaveWithLongRequest lets a host leave while it serves a request that takes longer than the drain time.
func leaveWithLongRequest(t *testing.T, node *local.Node, archive *upstream.Server) load.Response {
	t.Helper()
	before := archive.Received()
	done := make(chan load.Response, 1)
	go func() { done <- longRequest(t, node) }()
	waitFor(t, "the upstream has received the long request", func() bool { return archive.Received() > before })
	ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout)
	defer cancel()
	if err := node.Host.Leave(ctx); err != nil {
		t.Errorf("host %s did not leave: %v", node.Config.HostID, err)
	}
	return <-done
}

// longRequest sends new operations until the host accepts one, and returns its response.
func longRequest(t *testing.T, node *local.Node) load.Response {
	client := newClient(t)
	url := "http://" + node.Config.Caller.Listen + "/archive"
	for {
		operation := local.NewOperationID()
		response := load.Response{Method: http.MethodPost, Path: "/archive", Operation: operation, Start: time.Now()}
		got, err := exchange(t.Context(), client, http.MethodPost, url, local.Key("desk-1"), operation)
		if err != nil {
			response.Err = err.Error()
		} else if got.kind != "" {
			continue
		}
		response.Latency, response.Status, response.Body = time.Since(response.Start), got.status, got.body
		t.Logf("long request at the leaving host %s: status %d after %s", node.Config.HostID, got.status, response.Latency)
		return response
	}
}

// countReplayed returns the number of responses that were replayed from a recorded operation result.
func countReplayed(responses []load.Response) (count int) {
	for i := range responses {
		if responses[i].Header.Get("Idempotency-Replayed") == "true" {
			count++
		}
	}
	return count
}
