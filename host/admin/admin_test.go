package admin_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/host/admin"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/settings/store"
	"github.com/bronzeyard/bronzeyard/storage/memory"
)

const token = "token-of-ada-0123456789"

type fleetStub struct {
	missing  []string
	err      error
	waited   []uint64
	draining bool
}

func (f *fleetStub) WaitActivated(_ context.Context, revision uint64) ([]string, error) {
	f.waited = append(f.waited, revision)
	return f.missing, f.err
}
func (f *fleetStub) Status() any                 { return map[string]string{"state": "active"} }
func (f *fleetStub) Drain(context.Context) error { f.draining = true; return nil }

func (f *fleetStub) DeclareEnded(host string) bool { return host == "lost-1" }

type testAPI struct {
	t       *testing.T
	table   *memory.Table
	store   *store.Store
	fleet   *fleetStub
	handler *admin.Handler
	log     bytes.Buffer
}

func newAPI(t *testing.T) *testAPI {
	a := &testAPI{t: t, table: memory.NewTable(), fleet: new(fleetStub)}
	logger := zerolog.New(&a.log)
	a.store = store.New(store.Options{Table: a.table, Objects: memory.NewObjectStore(), Clock: clock.Standard{}, Logger: logger})
	a.handler = admin.New(admin.Options{
		Settings: a.store, Fleet: a.fleet, Clock: clock.Standard{}, Logger: logger, DataCentre: "mv-north",
		Operators: []admin.Operator{{Name: "bo", TokenHash: sha256.Sum256([]byte("other"))}, {Name: "ada", TokenHash: sha256.Sum256([]byte(token))}},
	})
	return a
}

func (a *testAPI) call(method, path, body string) (int, map[string]any) {
	a.t.Helper()
	r := httptest.NewRequestWithContext(a.t.Context(), method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	a.handler.ServeHTTP(w, r)
	var response map[string]any
	if err := json.Unmarshal(w.Body.Bytes(), &response); err != nil {
		a.t.Fatalf("%s %s: %v in %q", method, path, err, w.Body.String())
	}
	return w.Code, response
}

func (a *testAPI) must(status int, method, path, body string) map[string]any {
	a.t.Helper()
	got, response := a.call(method, path, body)
	if got != status {
		a.t.Fatalf("%s %s: status %d, want %d: %v", method, path, got, status, response)
	}
	return response
}

// Guards against requests without a valid operator token that are accepted, including almost correct headers, and against
// tokens in the log.
func TestAuthentication(t *testing.T) {
	a := newAPI(t)
	for _, header := range []string{"", "Bearer ", "Bearer wrong", token, "bearer " + token, "Bearer " + token + " "} {
		for _, path := range []string{"/v1/settings", "/v1/none"} {
			r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, http.NoBody)
			r.Header.Set("Authorization", header)
			w := httptest.NewRecorder()
			a.handler.ServeHTTP(w, r)
			if w.Code != http.StatusUnauthorized || !strings.Contains(w.Body.String(), `"next"`) {
				t.Fatalf("header %q: status %d, %s", header, w.Code, w.Body.String())
			}
		}
	}
	if strings.Contains(a.log.String(), "wrong") {
		t.Fatalf("the log contains the presented token: %s", a.log.String())
	}
	a.must(http.StatusOK, http.MethodGet, "/v1/settings", "")
}

// Guards against a key or its hash in logs, in the audit log or in stored data other than the settings, and against a
// withdrawn key that is granted again.
func TestKeys(t *testing.T) {
	a := newAPI(t)
	a.must(http.StatusOK, http.MethodPost, "/v1/customers/harbour", `{"change_id":"c1","base":0,"rate":"5/s","burst":10}`)
	grant := a.must(http.StatusOK, http.MethodPost, "/v1/customers/harbour/keys/k1", `{"change_id":"c2","base":1}`)
	key, _ := grant["key"].(string)
	if len(key) < 40 {
		t.Fatalf("the response to a grant has no key: %v", grant)
	}
	snapshot := func() *settings.Snapshot {
		tree, revision := a.store.Current()
		snapshot, err := tree.Snapshot(revision, "mv-north")
		if err != nil {
			t.Fatal(err)
		}
		return snapshot
	}
	if customer, ok := snapshot().CustomerForKey(key); !ok || customer.ID != "harbour" {
		t.Fatal("the granted key is not valid")
	}
	a.must(http.StatusOK, http.MethodPost, "/v1/customers/harbour/keys/k1/withdraw", `{"change_id":"c3","base":2}`)
	if _, ok := snapshot().CustomerForKey(key); ok {
		t.Fatal("the withdrawn key is still valid")
	}
	repeated := a.must(http.StatusOK, http.MethodPost, "/v1/customers/harbour/keys/k1/withdraw", `{"change_id":"c3","base":2}`)
	if repeated["revision"] != 3.0 {
		t.Fatalf("a repeated withdrawal: %v", repeated)
	}
	second := a.must(http.StatusOK, http.MethodPost, "/v1/customers/harbour/keys/k1/withdraw", `{"change_id":"c5","base":3}`)
	if second["unchanged"] != true {
		t.Fatalf("a second withdrawal: %v", second)
	}
	a.must(http.StatusUnprocessableEntity, http.MethodPost, "/v1/customers/harbour/keys/k1", `{"change_id":"c4","base":3}`)

	hash, _ := settings.HashKey(key).MarshalText()
	keys := fmt.Sprint(a.must(http.StatusOK, http.MethodGet, "/v1/customers/harbour/keys", ""))
	audit := fmt.Sprint(a.must(http.StatusOK, http.MethodGet, "/v1/audit?path=customers/harbour/keys", ""))
	if !strings.Contains(audit, "customers/harbour/keys/k1") || !strings.Contains(audit, "ada") {
		t.Fatalf("the audit log lacks the grant: %s", audit)
	}
	for name, text := range map[string]string{"key list": keys, "audit": audit, "log": a.log.String()} {
		if strings.Contains(text, key) || strings.Contains(text, string(hash[7:])) {
			t.Fatalf("%s contains the key or its hash: %s", name, text)
		}
	}
	tree, _ := a.store.Current()
	encoded, err := tree.Encode()
	if err != nil || strings.Contains(string(encoded), key) {
		t.Fatalf("the key is in the settings (%v)", err)
	}
	if strings.Contains(a.storedContent(), key) {
		t.Fatal("the key is stored")
	}
}

func (a *testAPI) storedContent() string {
	var all strings.Builder
	for _, partition := range []string{
		"settings", "settings/log/00000000000000000000", "settings/audit/00000000000000000000",
		"settings/change/c1", "settings/change/c2", "settings/change/c3",
	} {
		items, err := a.table.Query(a.t.Context(), partition, "", 1000)
		if err != nil || len(items) == 0 {
			a.t.Fatalf("%s: %d rows, %v", partition, len(items), err)
		}
		for _, item := range items {
			all.Write(item.Value)
			all.WriteString(item.WriteID)
		}
	}
	return all.String()
}

// Guards against a change that is reported as active although a host has not applied it.
func TestNotYetActivated(t *testing.T) {
	a := newAPI(t)
	a.fleet.missing = []string{"host-3"}
	response := a.must(http.StatusAccepted, http.MethodPost, "/v1/customers/harbour", `{"change_id":"c1","base":0,"rate":"5/s","burst":10}`)
	if fmt.Sprint(response["in_force"], response["missing"], a.fleet.waited) != "false [host-3] [1]" {
		t.Fatalf("%v, waited for %v", response, a.fleet.waited)
	}
	a.fleet.missing, a.fleet.err = nil, context.DeadlineExceeded
	a.must(http.StatusAccepted, http.MethodPut, "/v1/customers/harbour/limits", `{"change_id":"c2","base":1,"rate":"6/s","burst":10}`)
}

// Guards against errors without a kind, without advice or with the wrong status, and against errors that repeat the
// content of the request.
func TestErrors(t *testing.T) {
	a := newAPI(t)
	a.must(http.StatusOK, http.MethodPost, "/v1/customers/harbour", `{"change_id":"c1","base":0,"rate":"5/s","burst":10}`)
	a.must(http.StatusOK, http.MethodPut, "/v1/customers/harbour/limits", `{"change_id":"c2","base":1,"rate":"6/s","burst":10}`)
	edit := func(id string, base int, path, value string) string {
		return fmt.Sprintf(`{"change_id":%q,"base":%d,"edits":[{"op":"set","path":%q,"value":%s}]}`, id, base, path, value)
	}
	for name, test := range map[string]struct {
		status             int
		kind               admin.ErrorKind
		method, path, body string
	}{
		"unknown path":     {404, admin.KindNotFound, "GET", "/v1/none", ""},
		"unknown customer": {404, admin.KindNotFound, "GET", "/v1/customers/none/keys", ""},
		"unknown value":    {404, admin.KindNotFound, "GET", "/v1/settings?path=customers/none", ""},
		"not JSON":         {400, admin.KindBadRequest, "POST", "/v1/settings/edits", "{"},
		"unknown member":   {400, admin.KindBadRequest, "POST", "/v1/customers/x", `{"key":"secret"}`},
		"no change id":     {400, admin.KindBadRequest, "POST", "/v1/settings/edits", edit("", 2, "policy/timeout", `"1s"`)},
		"future base":      {400, admin.KindBadRequest, "POST", "/v1/settings/edits", edit("e1", 9, "policy/timeout", `"1s"`)},
		"invalid":          {422, admin.KindInvalid, "POST", "/v1/settings/edits", edit("e2", 2, "customers/harbour/burst", `0`)},
		"conflict":         {409, admin.KindConflict, "POST", "/v1/settings/edits", edit("e3", 1, "customers/harbour/rate", `"9/s"`)},
		"change id reused": {409, admin.KindChangeIDReused, "POST", "/v1/settings/edits", edit("c1", 2, "policy/timeout", `"1s"`)},
		"stale document":   {409, admin.KindConflict, "POST", "/v1/settings/apply", `{"change_id":"e4","base":1,"document":{"customers":{"harbour":{"rate":"5/s","burst":10}}}}`},
		"bad limit":        {400, admin.KindBadRequest, "GET", "/v1/customers?limit=0", ""},
		"bad time":         {400, admin.KindBadRequest, "GET", "/v1/audit?since=yesterday", ""},
	} {
		t.Run(name, func(t *testing.T) {
			status, response := a.call(test.method, test.path, test.body)
			if status != test.status || response["error"] != string(test.kind) || response["next"] == "" {
				t.Fatalf("status %d, %v; want %d and %s", status, response, test.status, test.kind)
			}
			if strings.Contains(fmt.Sprint(response), "secret") {
				t.Fatalf("the error repeats the content of the request: %v", response)
			}
		})
	}
	a.table.Faults.SetDown(true)
	status, response := a.call(http.MethodPost, "/v1/settings/edits", edit("e5", 2, "policy/timeout", `"1s"`))
	if status != http.StatusServiceUnavailable || response["error"] != string(admin.KindUnavailable) {
		t.Fatalf("status %d, %v", status, response)
	}
}

// Guards against endpoints that change or read the wrong part of the tree.
func TestServicesAndDocuments(t *testing.T) {
	a := newAPI(t)
	document := `{"data_centres":{"mv-north":{"policy":{"timeout":"4s"}}},"services":{"intake":{
		"upstreams":{"i1":{"address":"127.0.0.1:80","data_centre":"mv-north","slots":6,"connections":360}},
		"routes":{"check-in":{"path_prefix":"/check-in","methods":["POST"]}}}}}`
	apply := func(id string, base int) string {
		return fmt.Sprintf(`{"change_id":%q,"base":%d,"document":%s}`, id, base, document)
	}
	a.must(http.StatusOK, http.MethodPost, "/v1/settings/apply", apply("c1", 0))
	if repeated := a.must(http.StatusOK, http.MethodPost, "/v1/settings/apply", apply("c2", 1)); repeated["unchanged"] != true || repeated["revision"] != 1.0 {
		t.Fatalf("the same document again: %v", repeated)
	}
	upstream := "/v1/services/intake/upstreams/i2"
	a.must(http.StatusOK, http.MethodPut, upstream, `{"change_id":"c3","base":1,"spec":{"address":"127.0.0.2:80","data_centre":"mv-north","slots":6,"connections":360}}`)
	a.must(http.StatusOK, http.MethodPut, upstream+"/leaving", `{"change_id":"c4","base":2,"leaving":true}`)
	list := fmt.Sprint(a.must(http.StatusOK, http.MethodGet, "/v1/services", "")["services"])
	if !strings.Contains(list, "id:i1") || !strings.Contains(list, "id:i2 leaving:true") {
		t.Fatalf("services are %s", list)
	}
	a.must(http.StatusOK, http.MethodDelete, upstream, `{"change_id":"c5","base":3}`)
	if tree, _ := a.store.Current(); len(tree.Services["intake"].Upstreams) != 1 {
		t.Fatal("the upstream was not removed")
	}
	explained := fmt.Sprint(a.must(http.StatusOK, http.MethodGet, "/v1/settings/explain?path=services/intake/routes/check-in", "")["values"])
	if !strings.Contains(explained, "branch:data_centres/mv-north/policy field:timeout value:4s") {
		t.Fatalf("explained as %s", explained)
	}
	status := fmt.Sprint(a.must(http.StatusOK, http.MethodGet, "/v1/status", ""))
	if !strings.Contains(status, "revision:4") || !strings.Contains(status, "state:active") {
		t.Fatalf("status is %s", status)
	}
	a.must(http.StatusOK, http.MethodPost, "/v1/drain", "")
	if !a.fleet.draining {
		t.Fatal("the host does not drain")
	}
	future := time.Now().Add(time.Hour).UTC().Format(time.RFC3339)
	page := a.must(http.StatusOK, http.MethodGet, "/v1/audit?operator=bo", "")["entries"]
	late := a.must(http.StatusOK, http.MethodGet, "/v1/audit?since="+future, "")["entries"]
	all := a.must(http.StatusOK, http.MethodGet, "/v1/audit?limit=3", "")
	if fmt.Sprint(page, late) != "[] []" || len(all["entries"].([]any)) != 3 || all["next"] != 2.0 {
		t.Fatalf("audit: %v, %v, %v", page, late, all)
	}
}

// Guards against accepting an operator's declaration that a host has ended for a host that is alive or does not exist, and
// against a declaration that is not logged with the operator's name.
func TestDeclareEnded(t *testing.T) {
	a := newAPI(t)
	a.must(http.StatusNotFound, http.MethodPost, "/v1/hosts/mv-north-1/ended", "{}")
	a.must(http.StatusOK, http.MethodPost, "/v1/hosts/lost-1/ended", "{}")
	if log := a.log.String(); !strings.Contains(log, "lost-1") || !strings.Contains(log, "ada") {
		t.Errorf("the log does not show which operator declared which host as ended: %s", log)
	}
}
