package local_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/emulator/deployment"
	"github.com/bronzeyard/bronzeyard/emulator/local"
	"github.com/bronzeyard/bronzeyard/host/admin"
	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// conditionTimeout limits the wait for a condition. A correct fleet reaches it much sooner.
	conditionTimeout  = 30 * time.Second
	conditionInterval = 10 * time.Millisecond
)

// smallDeployment returns a deployment whose load three hosts under the race detector serve without queues.
func smallDeployment(services ...deployment.Service) *deployment.Deployment {
	return &deployment.Deployment{
		Name: "test", DataCentres: []string{"mv-north", "mv-mill", "mv-hall"}, Services: services,
		Customers: []deployment.Customer{{Name: "desk-1", Rate: 500, Burst: 1000}, {Name: "desk-2", Rate: 500, Burst: 1000}},
		Slots:     6, Connections: 360,
	}
}

func startFleet(t *testing.T, options local.Options) *local.Fleet {
	t.Helper()
	options.Seed = 1
	fleet, err := local.Start(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := fleet.Close(); err != nil {
			t.Error(err)
		}
	})
	waitReady(t, fleet)
	return fleet
}

func waitReady(t *testing.T, fleet *local.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout)
	defer cancel()
	if err := fleet.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
}

func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	timeout := time.After(conditionTimeout)
	ticker := time.NewTicker(conditionInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-timeout:
			t.Fatalf("condition not reached within %s: %s", conditionTimeout, what)
		case <-ticker.C:
		}
	}
}

// hostStatus is the part of a host's status that the tests use.
type hostStatus struct {
	Leaving  bool `json:"leaving"`
	InFlight int  `json:"in_flight"`
	Settings struct {
		Revision uint64 `json:"revision"`
	} `json:"settings"`
	Membership struct {
		Guest   bool
		Members []struct {
			Member          struct{ ID string }
			Self            bool
			HearsUs         bool
			HeardAgo        time.Duration
			AcknowledgedAgo time.Duration
		}
		Guests []string
	} `json:"membership"`
	Queues map[string]struct{ InFlight, Waiting int } `json:"queues"`
}

// queuedAt returns the number of requests that hold or await a slot of the service at the host.
func queuedAt(t *testing.T, node *local.Node, service string) int {
	t.Helper()
	queue := statusOf(t, node).Queues[service]
	return queue.InFlight + queue.Waiting
}

func statusOf(t *testing.T, node *local.Node) hostStatus {
	t.Helper()
	encoded, err := json.Marshal(node.Host.Status())
	if err != nil {
		t.Fatal(err)
	}
	var status hostStatus
	if err := json.Unmarshal(encoded, &status); err != nil {
		t.Fatalf("%v: %s", err, encoded)
	}
	return status
}

// callerResponse is the part of a response that the tests use.
type callerResponse struct {
	status int
	kind   string
	body   string
	major  int
	// reused is true if the request was sent on a connection that was open before.
	reused bool
}

// exchange sends one request with a customer's key and reads the complete response.
func exchange(ctx context.Context, client *http.Client, method, url, key, operation string) (callerResponse, error) {
	var got callerResponse
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { got.reused = info.Reused },
	})
	request, err := http.NewRequestWithContext(ctx, method, url, http.NoBody)
	if err != nil {
		return got, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	if operation != "" {
		request.Header.Set("Idempotency-Key", operation)
	}
	response, err := client.Do(request)
	if err != nil {
		return got, err
	}
	body, err := io.ReadAll(response.Body)
	got.status, got.kind = response.StatusCode, response.Header.Get("Bronzeyard-Error")
	got.body, got.major = string(body), response.ProtoMajor
	return got, errors.Join(err, response.Body.Close())
}

func get(t *testing.T, client *http.Client, url, key string) callerResponse {
	t.Helper()
	got, err := exchange(t.Context(), client, http.MethodGet, url, key, "")
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func newClient(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// sendChange sends one request of an operator and returns the status and, for a status below 300, the result.
func sendChange(t *testing.T, node *local.Node, path string, body any) (int, admin.ChangeResult) {
	t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	url := "http://" + node.Host.AdminAddress() + "/v1/" + path
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+local.OperatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	var result admin.ChangeResult
	if response.StatusCode < http.StatusMultipleChoices {
		if err := json.Unmarshal(text, &result); err != nil {
			t.Fatalf("%v: %s", err, text)
		}
	}
	return response.StatusCode, result
}

// change is the body of a request for a change.
type change struct {
	ChangeID string          `json:"change_id"`
	Base     uint64          `json:"base"`
	Edits    []settings.Edit `json:"edits,omitempty"`
	Hash     string          `json:"hash,omitempty"`
}

// mustChange retries a change until the host responds that it is active on all hosts, and returns its revision.
func mustChange(t *testing.T, node *local.Node, path string, body change) uint64 {
	t.Helper()
	var result admin.ChangeResult
	waitFor(t, "change is active: "+path, func() bool {
		var status int
		if status, result = sendChange(t, node, path, body); status >= http.StatusBadRequest {
			t.Logf("%s: status %d, retrying", path, status)
		}
		return status == http.StatusOK
	})
	return result.Revision
}

func revisionOf(t *testing.T, node *local.Node) uint64 {
	t.Helper()
	return statusOf(t, node).Settings.Revision
}
