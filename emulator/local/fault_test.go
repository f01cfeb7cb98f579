package local_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/emulator/deployment"
	"github.com/bronzeyard/bronzeyard/emulator/local"
	"github.com/bronzeyard/bronzeyard/emulator/upstream"
	"github.com/bronzeyard/bronzeyard/settings"
)

// requestsPerFault is large enough that the unhealthy one of two upstreams is chosen almost certainly.
const requestsPerFault = 24

// Guards I6: a response that is truncated, crossed or late must not be forwarded as a complete one. Each fault has its own
// service with an unhealthy and a healthy upstream, because an ejection for one fault could otherwise hide another fault.
func TestUpstreamFaultGivesNoWrongResponse(t *testing.T) {
	t.Parallel()
	faults := upstream.Faults()
	services := make([]deployment.Service, len(faults))
	for i, fault := range faults {
		services[i] = deployment.Service{Name: string(fault), Upstreams: 2, Idempotent: true}
	}
	fleet := startFleet(t, local.Options{Deployment: smallDeployment(services...), ServiceTime: time.Millisecond})
	nodes := fleet.Nodes()
	mustChange(t, nodes[0], "settings/edits", change{ChangeID: local.NewOperationID(), Base: 1, Edits: []settings.Edit{
		{Op: settings.Set, Path: "policy/timeout", Value: []byte(`"2s"`)},
	}})
	var running sync.WaitGroup
	for _, fault := range faults {
		fleet.Upstreams[string(fault)][0].SetFault(fault)
		running.Go(func() { sendUnderFault(t, fleet, nodes, fault) })
	}
	running.Wait()
}

// sendUnderFault sends requestsPerFault requests to the service of a fault, and more until its unhealthy upstream has
// received one or conditionTimeout has passed.
func sendUnderFault(t *testing.T, fleet *local.Fleet, nodes []*local.Node, fault upstream.Fault) {
	client := newClient(t)
	unhealthy := fleet.Upstreams[string(fault)][0]
	complete, rejections := 0, make(map[string]int)
	started := time.Now()
	for i := 0; i < requestsPerFault || (unhealthy.Received() == 0 && time.Since(started) < conditionTimeout); i++ {
		path := fmt.Sprintf("/%s/%d", fault, i)
		url := "http://" + nodes[i%len(nodes)].Config.Caller.Listen + path
		got, err := exchange(t.Context(), client, http.MethodGet, url, local.Key("desk-1"), "")
		switch {
		case err != nil:
			t.Errorf("%s: request %d failed without a response: %v", fault, i, err)
		case got.status >= http.StatusBadRequest:
			rejections[fmt.Sprintf("%d %s", got.status, got.kind)]++
		case got.status == http.StatusOK && isResponseTo(fleet, fault, path, got.body):
			complete++
		default:
			t.Errorf("%s: request %d got the wrong response %+v", fault, i, got)
		}
	}
	if unhealthy.Received() == 0 || complete == 0 {
		t.Errorf("%s: %d requests at the unhealthy upstream, %d complete responses", fault, unhealthy.Received(), complete)
	}
	t.Logf("%s: %d requests at the unhealthy upstream, %d complete, rejections %v", fault, unhealthy.Received(), complete, rejections)
}

func isResponseTo(fleet *local.Fleet, fault upstream.Fault, path, body string) bool {
	for i, server := range fleet.Upstreams[string(fault)] {
		// With ForeignAnswer the body is right, but the X-Request-Id is that of another request, so the response is wrong.
		crossed := fault == upstream.ForeignAnswer && i == 0
		if !crossed && body == fmt.Sprintf("GET %s served by %s\n", path, server.ID()) {
			return true
		}
	}
	return false
}
