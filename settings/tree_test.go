package settings_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/bronzeyard/bronzeyard/settings"
)

func loadTree(t testing.TB) *settings.Tree {
	t.Helper()
	data, err := os.ReadFile("testdata/tree.json")
	if err != nil {
		t.Fatal(err)
	}
	tree, err := settings.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if err := tree.Validate(); err != nil {
		t.Fatal(err)
	}
	return tree
}

// Guards against a value taken from a level of lower precedence, and against an explanation with the wrong level.
func TestExplain(t *testing.T) {
	tree := loadTree(t)
	g := goldie.New(t)
	for name, query := range map[string][2]string{
		"fleet":       {"", ""},
		"data-centre": {"data_centres/mv-mill", ""},
		"service":     {"services/intake", "mv-north"},
		"service-at":  {"services/intake/data_centres/mv-mill", ""},
		"route":       {"services/intake/routes/check-in", "mv-mill"},
	} {
		t.Run(name, func(t *testing.T) {
			explained, err := tree.Explain(query[0], query[1])
			if err != nil {
				t.Fatal(err)
			}
			g.AssertJson(t, "explain-"+name, explained)
		})
	}
	if _, err := tree.Explain("services/none", ""); err == nil {
		t.Fatal("Explain returned no error for a service that does not exist")
	}
}

// Guards against a snapshot whose values differ from those that Explain returns, and against keys that stay valid after they
// are withdrawn.
func TestSnapshot(t *testing.T) {
	tree := loadTree(t)
	snapshot, err := tree.Snapshot(7, "mv-mill")
	if err != nil {
		t.Fatal(err)
	}
	route, found := snapshot.Route("desk.example", "POST", "/check-in/42")
	if !found || route.Name != "check-in" {
		t.Fatalf("got route %+v, want check-in", route)
	}
	policy := route.PolicyFor("POST")
	if got := fmt.Sprint(policy.Timeout, policy.MaxAttempts, policy.Floor, policy.QueueLength, policy.Idempotent, string(policy.Claims)); got !=
		"12s 2 0.6 16 falsetable" {
		t.Fatalf("unexpected effective policy: %s", got)
	}
	if customer, ok := snapshot.CustomerForKey("valid-key"); !ok || customer.ID != "harbour" || customer.Weight != 1 {
		t.Fatalf("got customer %+v for the valid key, want harbour with weight 1", customer)
	}
	if _, ok := snapshot.CustomerForKey("withdrawn-key"); ok {
		t.Fatal("a withdrawn key was accepted")
	}
	service, _ := snapshot.Service("intake")
	if len(service.Upstreams) != 2 || service.Upstreams[0].ID != "i1" || !service.Upstreams[1].Leaving {
		t.Fatalf("unexpected upstreams: %+v", service.Upstreams)
	}
}

// Guards against an invalid document that is accepted, or rejected without the path of the invalid value. Also guards
// against an error that contains a key which was given instead of its hash.
func TestStrictness(t *testing.T) {
	valid, err := loadTree(t).EncodeIndented()
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct{ old, replacement, path string }{
		"unknown member":        {`"burst": 40`, `"burst": 40, "brust": 1`, "customers/harbour/brust"},
		"case of a member":      {`"burst": 40`, `"Burst": 40`, "customers/harbour/Burst"},
		"repeated member":       {`"burst": 40`, `"burst": 40, "burst": 41`, "customers/harbour/burst"},
		"wrong type":            {`"burst": 40`, `"burst": "40"`, "customers/harbour/burst"},
		"rate without unit":     {`"20/s"`, `"20"`, "customers/harbour/rate"},
		"rate as a number":      {`"20/s"`, `20`, "customers/harbour/rate"},
		"rate not a number":     {`"20/s"`, `"NaN/s"`, "customers/harbour/rate"},
		"rate zero":             {`"20/s"`, `"0/s"`, "customers/harbour/rate"},
		"burst below 1":         {`"burst": 40`, `"burst": 0.5`, "customers/harbour/burst"},
		"negative weight":       {`"burst": 40`, `"burst": 40, "weight": -1`, "customers/harbour/weight"},
		"null customer":         {`"customers": {`, `"customers": {"nobody": null,`, "customers/nobody"},
		"name with a slash":     {`"harbour": {`, `"har/bour": {`, "customers/har/bour"},
		"hash is a key":         {`"sha256:`, `"secret-`, "customers/harbour/keys/k0/hash"},
		"same hash twice":       {`"customers": {`, `"customers": {"twin":{"rate":"1/s","burst":1,"keys":{"k":{"hash":"` + validHash + `"}}},`, "customers/twin/keys"},
		"timeout without unit":  {`"3s"`, `"3"`, "policy/timeout"},
		"timeout zero":          {`"3s"`, `"0s"`, "policy/timeout"},
		"timeout negative":      {`"3s"`, `"-3s"`, "policy/timeout"},
		"size in powers of ten": {`"2MiB"`, `"2MB"`, "policy/max_request_bytes"},
		"size overflow":         {`"2MiB"`, `"99999999999GiB"`, "policy/max_request_bytes"},
		"floor above 1":         {`"floor": 0.6`, `"floor": 1.6`, "services/intake/policy/floor"},
		"floor on a route":      {`"claims": "table"`, `"claims": "table", "floor": 0.1`, "services/intake/routes/check-in/policy/floor"},
		"queue on a route":      {`"claims": "table"`, `"claims": "table", "queue_length": 1`, "services/intake/routes/check-in/policy/queue_length"},
		"unknown mode":          {`"claims": "table"`, `"claims": "disk"`, "services/intake/routes/check-in/policy/claims"},
		"claims without time":   {`"claims_since": "2026-01-01T00:00:00Z"`, `"max_attempts": 1`, "services/intake/routes/check-in/policy/claims_since"},
		"repeated address":      {`"127.0.0.2:80"`, `"127.0.0.1:80"`, "services/intake/upstreams/i2/address"},
		"address by name":       {`"127.0.0.2:80"`, `"localhost:80"`, "services/intake/upstreams/i2/address"},
		"unknown data centre":   {`"data_centre": "mv-north"`, `"data_centre": "north"`, "services/intake/upstreams/i1/data_centre"},
		"no slots":              {`"slots": 6`, `"slots": 0`, "services/intake/upstreams/i1/slots"},
		"routes collide":        {`"/fees"`, `"/check-in/"`, "services/intake/routes/fees"},
		"path with dots":        {`"/fees"`, `"/fees/../check-in"`, "services/intake/routes/fees/path_prefix"},
		"method in lower case":  {`"POST"`, `"post"`, "services/intake/routes/check-in/methods"},
		"trailing data":         {"}\n}", "}\n}{}", ""},
		"too deep":              {`"policy": {`, `"policy": {"a":{"a":{"a":{}}},`, "policy/a"},
	} {
		t.Run(name, func(t *testing.T) {
			if !strings.Contains(string(valid), test.old) {
				t.Fatalf("the valid document does not contain %s", test.old)
			}
			tree, err := settings.Decode([]byte(strings.Replace(string(valid), test.old, test.replacement, 1)))
			if err == nil {
				err = tree.Validate()
			}
			var invalid *settings.InvalidError
			if !errors.As(err, &invalid) || invalid.FieldErrors[0].Path != test.path {
				t.Fatalf("got %v, want a field error at %s", err, test.path)
			}
			if strings.Contains(err.Error(), "secret-") {
				t.Fatalf("the error contains text that may be a key: %v", err)
			}
		})
	}
}

// ignoreDerived excludes values that are computed from the settings from comparisons.
var ignoreDerived = cmpopts.IgnoreUnexported(settings.Tree{}, settings.CustomerSpec{})

const validHash = "sha256:cc358b85b8b74a6f82504e141c2cb5c45c70711c2420cc98bcc230843f8def6d"

// Guards against edits that change the tree to which they are applied, that change another value than the one at their path,
// or that make a withdrawn key valid.
func TestApply(t *testing.T) {
	for name, test := range map[string]struct {
		op          settings.Op
		path, value string
		wantErr     string
	}{
		"set a value":             {settings.Set, "services/intake/policy/timeout", `"9s"`, ""},
		"first value for a level": {settings.Set, "data_centres/mv-hall/policy/timeout", `"9s"`, ""},
		"unset a value":           {settings.Unset, "services/intake/policy/floor", "", ""},
		"remove an upstream":      {settings.Unset, "services/intake/upstreams/i2", "", ""},
		"withdraw a key":          {settings.Set, "customers/harbour/keys/k1/withdrawn", `"2026-12-04T00:00:00Z"`, ""},
		"make a key valid":        {settings.Unset, "customers/harbour/keys/k0/withdrawn", "", "can't be made valid"},
		"replace a hash":          {settings.Set, "customers/harbour/keys/k0/hash", `"` + validHash + `"`, "can't be replaced"},
		"add an existing entry":   {settings.Add, "customers/harbour", `{"rate":"1/s","burst":1}`, "already exists"},
		"unset a missing entry":   {settings.Unset, "customers/nobody", "", "no value to unset"},
		"set in a missing entry":  {settings.Set, "customers/nobody/rate", `"1/s"`, "does not exist"},
		"set a collection":        {settings.Set, "customers", `{}`, "collection"},
		"unset a collection":      {settings.Unset, "customers/harbour/keys", "", "collection"},
		"null":                    {settings.Set, "policy/timeout", `null`, "no value"},
		"below a value":           {settings.Set, "policy/timeout/x", `1`, "nothing below"},
		"unknown operation":       {"put", "policy/timeout", `"1s"`, "not an operation"},
		"unknown member":          {settings.Set, "policies/timeout", `"1s"`, "does not exist"},
	} {
		t.Run(name, func(t *testing.T) {
			tree := loadTree(t)
			before, _ := tree.Encode()
			edited, effects, err := tree.Apply([]settings.Edit{{Op: test.op, Path: test.path, Value: []byte(test.value)}})
			if after, _ := tree.Encode(); string(after) != string(before) {
				t.Fatal("the edit changed the tree to which it was applied")
			}
			if test.wantErr != "" {
				if err == nil || !strings.Contains(err.Error(), test.wantErr) {
					t.Fatalf("got %v, want an error with %q", err, test.wantErr)
				}
				return
			}
			if err != nil || effects[0].Path != test.path {
				t.Fatalf("got error %v and effects %+v", err, effects)
			}
			requireDiff(t, tree, edited)
		})
	}
}

// requireDiff checks that Diff returns at least one edit and that its edits turn one tree into the other.
func requireDiff(t testing.TB, from, to *settings.Tree) {
	t.Helper()
	edits, err := settings.Diff(from, to)
	if err != nil || len(edits) == 0 {
		t.Fatalf("diff: %v, %d edits", err, len(edits))
	}
	got, _, err := from.Apply(edits)
	if err != nil {
		t.Fatalf("applying the diff: %v", err)
	}
	if d := cmp.Diff(to, got, ignoreDerived); d != "" {
		t.Fatalf("the tree after the diff differs:\n%s", d)
	}
}

// Guards against a document without keys that removes the keys of its customers, and against keys that can't be removed.
func TestDiffOfKeys(t *testing.T) {
	tree := loadTree(t)
	keys := func(list settings.KeyList) *settings.Tree {
		return &settings.Tree{
			Policy: tree.Policy, DataCentres: tree.DataCentres, Services: tree.Services,
			Customers: map[string]*settings.CustomerSpec{"harbour": {Rate: 20, Burst: 40, Keys: list}},
		}
	}
	if edits, err := settings.Diff(tree, keys(nil)); err != nil || len(edits) != 0 {
		t.Fatalf("document without keys: got edits %v and error %v, want none", edits, err)
	}
	requireDiff(t, tree, keys(tree.Customers["harbour"].Keys[1:]))
}

// Guards against a value that differs after it was encoded and decoded.
func TestUnitsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := settings.Bytes(rapid.Int64Range(0, 1<<50).Draw(t, "size"))
		rate := settings.Rate(rapid.Float64Range(0.001, 1e9).Draw(t, "rate"))
		length := settings.Duration(rapid.Int64Range(1, 1<<50).Draw(t, "duration"))
		var size2 settings.Bytes
		var rate2 settings.Rate
		var length2 settings.Duration
		for _, pair := range []struct {
			from interface{ MarshalText() ([]byte, error) }
			to   interface{ UnmarshalText([]byte) error }
		}{{size, &size2}, {rate, &rate2}, {length, &length2}} {
			text, _ := pair.from.MarshalText()
			if err := pair.to.UnmarshalText(text); err != nil {
				t.Fatal(err)
			}
		}
		if size != size2 || rate != rate2 || length != length2 {
			t.Fatalf("%v %v %v became %v %v %v", size, rate, length, size2, rate2, length2)
		}
	})
}

// Guards against panics on malformed documents, and against accepted documents that change when encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, err := settings.Decode(data)
		if err != nil || tree.Validate() != nil {
			return
		}
		encoded, err := tree.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := settings.Decode(encoded)
		if err != nil {
			t.Fatalf("%v in %s", err, encoded)
		}
		if second, _ := again.Encode(); string(second) != string(encoded) {
			t.Fatalf("%s became %s", encoded, second)
		}
		if _, err := tree.Snapshot(1, "mv-mill"); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against panics on malformed edits, and against paths that are accepted with a malformed name.
func FuzzEdit(f *testing.F) {
	tree := loadTree(f)
	f.Fuzz(func(t *testing.T, op, path, value string) {
		names, err := settings.ParsePath(path)
		if err == nil && strings.Join(names, "/") != path {
			t.Fatalf("%q was parsed as %q", path, names)
		}
		edited, _, editErr := tree.Apply([]settings.Edit{{Op: settings.Op(op), Path: path, Value: []byte(value)}})
		if editErr == nil && err != nil {
			t.Fatalf("an edit at the malformed path %q was applied", path)
		}
		if editErr == nil {
			_ = edited.Validate()
		}
	})
}
