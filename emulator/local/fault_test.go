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

// requestsPerFault and the two upstreams of each service make it practically certain that the sick one is chosen.
const requestsPerFault = 24

// Guards I6: an answer that is cut, crossed or late and is passed on as if it were whole. Each fault has a service of its
// own with a sick and a healthy upstream, so that no fault hides behind the ejection that another one caused.
func TestNoFaultOfAnUpstreamGivesAWrongAnswer(t *testing.T) {
	t.Parallel()
	faults := upstream.Faults()
	services := make([]deployment.Service, len(faults))
	for i, fault := range faults {
		services[i] = deployment.Service{Name: string(fault), Upstreams: 2, Idempotent: true}
	}
	fleet := startFleet(t, local.Options{Deployment: small(services...), ServiceTime: time.Millisecond})
	nodes := fleet.Nodes()
	mustOperate(t, nodes[0], "settings/edits", change{ChangeID: local.NewOperationID(), Base: 1, Edits: []settings.Edit{
		{Op: settings.Set, Path: "policy/timeout", Value: []byte(`"2s"`)},
	}})
	var running sync.WaitGroup
	for _, fault := range faults {
		fleet.Upstreams[string(fault)][0].SetFault(fault)
		running.Go(func() { askUnderFault(t, fleet, nodes, fault) })
	}
	running.Wait()
}

// askUnderFault sends requests to the service of a fault until its sick upstream has received one.
func askUnderFault(t *testing.T, fleet *local.Fleet, nodes []*local.Node, fault upstream.Fault) {
	client := newClient(t)
	sick := fleet.Upstreams[string(fault)][0]
	whole, refusals := 0, make(map[string]int)
	started := time.Now()
	for i := 0; i < requestsPerFault || (sick.Received() == 0 && time.Since(started) < conditionTimeout); i++ {
		path := fmt.Sprintf("/%s/%d", fault, i)
		url := "http://" + nodes[i%len(nodes)].Config.Caller.Listen + path
		got, err := exchange(t.Context(), client, http.MethodGet, url, local.Key("desk-1"), "")
		switch {
		case err != nil:
			t.Errorf("%s: request %d was cut: %v", fault, i, err)
		case got.status >= http.StatusBadRequest:
			refusals[fmt.Sprintf("%d %s", got.status, got.kind)]++
		case got.status == http.StatusOK && isAnswerTo(fleet, fault, path, got.body):
			whole++
		default:
			t.Errorf("%s: request %d has the wrong answer %+v", fault, i, got)
		}
	}
	if sick.Received() == 0 || whole == 0 {
		t.Errorf("%s: %d requests at the sick upstream, %d whole answers", fault, sick.Received(), whole)
	}
	t.Logf("%s: %d requests at the sick upstream, %d whole answers, refusals %v", fault, sick.Received(), whole, refusals)
}

func isAnswerTo(fleet *local.Fleet, fault upstream.Fault, path, body string) bool {
	for i, server := range fleet.Upstreams[string(fault)] {
		// An answer with the X-Request-Id of another request has the right body here and is wrong all the same.
		crossed := fault == upstream.ForeignAnswer && i == 0
		if !crossed && body == fmt.Sprintf("GET %s served by %s\n", path, server.ID()) {
			return true
		}
	}
	return false
}
