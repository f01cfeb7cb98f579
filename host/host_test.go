package host_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/emulator/upstream"
	"github.com/bronzeyard/bronzeyard/host"
	"github.com/bronzeyard/bronzeyard/host/config"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/settings/store"
	"github.com/bronzeyard/bronzeyard/storage/memory"
)

const testKey = "test-key"

func seedSettings(t *testing.T, table *memory.Table, objects *memory.ObjectStore, address string) {
	t.Helper()
	document := fmt.Sprintf(`{"policy": {"timeout": "2s"}, "data_centres": {"mv-north": {}}, "services": {"logbook": {
	  "upstreams": {"logbook-01": {"address": %q, "data_centre": "mv-north", "slots": 6, "connections": 360}},
	  "routes": {"all": {"path_prefix": "/logbook"}}}},
	  "customers": {"desk": {"rate": "100/s", "burst": 100, "keys": {"k1": {"hash": "sha256:%x"}}}}}`,
		address, settings.HashKey(testKey))
	tree, err := settings.Decode([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	edits, err := settings.Diff(&settings.Tree{}, tree)
	if err != nil {
		t.Fatal(err)
	}
	st := store.New(store.Options{Table: table, Objects: objects})
	change := store.Change{ID: "seed", Operator: "test", Edits: edits}
	if _, err := st.Apply(t.Context(), change); err != nil {
		encoded, _ := json.Marshal(edits)
		t.Fatalf("%v: %s", err, encoded)
	}
}

// Guards against a host that does not forward a request from end to end with settings loaded from the platform.
func TestRequestReachesUpstream(t *testing.T) {
	fakeUpstream, err := upstream.Start("127.0.0.1:0", upstream.Options{ID: "logbook-01", ServiceTime: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = fakeUpstream.Close() }()
	table, objects := memory.NewTable(), memory.NewObjectStore()
	seedSettings(t, table, objects, fakeUpstream.Address())

	ctx, cancel := context.WithCancel(t.Context())
	h, err := host.New(ctx, host.Options{
		Config: &config.Config{
			HostID: "mv-north-1", DataCentre: "mv-north", Cell: "main", Capacity: 1,
			Caller: config.Listener{Listen: "127.0.0.1:0"}, Peer: config.Listener{Listen: "127.0.0.1:0"},
			Admin: config.Admin{Listener: config.Listener{Listen: "127.0.0.1:0"}},
		},
		Table: table, Objects: objects,
	})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	defer func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		if err := h.Cleanup(); err != nil {
			t.Error(err)
		}
	}()

	var status int
	var body string
	for range 200 {
		status, body = get(t, "http://"+h.CallerAddress()+"/logbook/today")
		if status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(10 * time.Millisecond) // the host is loading its settings
	}
	if status != http.StatusOK || !strings.Contains(body, "served by logbook-01") {
		t.Errorf("got %d %q", status, body)
	}
}

func get(t *testing.T, url string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

// Guards against profiles that anybody who reaches the listener can read. Profiles expose memory and therefore secrets.
func TestProfilesRequireOperatorToken(t *testing.T) {
	h, err := host.New(t.Context(), host.Options{
		Config: &config.Config{
			HostID: "mv-north-1", DataCentre: "mv-north", Cell: "main", Capacity: 1,
			Caller: config.Listener{Listen: "127.0.0.1:0"}, Peer: config.Listener{Listen: "127.0.0.1:0"},
			Admin: config.Admin{Listener: config.Listener{Listen: "127.0.0.1:0"}},
		},
		Table: memory.NewTable(), Objects: memory.NewObjectStore(),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	defer func() {
		cancel()
		if err := errors.Join(<-done, h.Cleanup()); err != nil {
			t.Error(err)
		}
	}()
	for _, path := range []string{"/debug/pprof/heap", "/debug/pprof/profile", "/v1/settings"} {
		if status, _ := get(t, "http://"+h.AdminAddress()+path); status != http.StatusUnauthorized {
			t.Errorf("%s: got status %d without an operator's token, want 401", path, status)
		}
	}
}
