package settings_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/bronzeyard/bronzeyard/settings"
)

// editPool returns edits of which some are invalid, alone or in combination: shared keys, routes that collide, repeated
// addresses, undeclared data centres.
func editPool() []settings.Edit {
	hash := func(key string) string {
		text, _ := settings.HashKey(key).MarshalText()
		return `{"hash":"` + string(text) + `"}`
	}
	pool := []settings.Edit{
		{Op: settings.Unset, Path: "customers/harbour"},
		{Op: settings.Unset, Path: "data_centres/mv-mill"},
		{Op: settings.Unset, Path: "services/intake/upstreams/i1"},
		{Op: settings.Unset, Path: "services/intake"},
	}
	for _, set := range []struct{ path, value string }{
		{"policy/timeout", `"2s"`},
		{"policy/timeout", `"0s"`},
		{"data_centres/mv-mill", `{}`},
		{"data_centres/mv-mill/policy/max_attempts", `2`},
		{"services/intake/policy/timeout", `"1s"`},
		{"services/intake/policy/max_attempts", `99`},
		{"services/intake/data_centres/mv-north", `{}`},
		{"services/intake/upstreams/i1/leaving", `true`},
		{"services/intake/upstreams/i1/address", `"127.0.0.2:80"`},
		{"services/intake/upstreams/i3", `{"address":"127.0.0.3:80","data_centre":"mv-mill","slots":1,"connections":1}`},
		{"services/intake/routes/fees/path_prefix", `"/check-in"`},
		{"services/intake/routes/fees/path_prefix", `"/fees"`},
		{"services/intake/routes/fees/policy/timeout", `"7s"`},
		{"services/logbook", `{"routes":{"r":{"host":"desk.example","path_prefix":"/fees","methods":["POST"]}}}`},
		{"services/logbook", `{"routes":{"r":{"path_prefix":"/logs"}}}`},
	} {
		pool = append(pool, settings.Edit{Op: settings.Set, Path: set.path, Value: json.RawMessage(set.value)})
	}
	for _, customer := range []string{"harbour", "mill"} {
		base := "customers/" + customer
		pool = append(
			pool,
			settings.Edit{Op: settings.Set, Path: base, Value: json.RawMessage(`{"rate":"1/s","burst":1}`)},
			settings.Edit{Op: settings.Set, Path: base + "/burst", Value: json.RawMessage(`5`)},
			settings.Edit{Op: settings.Set, Path: base + "/burst", Value: json.RawMessage(`0`)},
			settings.Edit{Op: settings.Add, Path: base + "/keys/k2", Value: json.RawMessage(hash("valid-key"))},
			settings.Edit{Op: settings.Add, Path: base + "/keys/k3", Value: json.RawMessage(hash("third-key"))},
			settings.Edit{Op: settings.Unset, Path: base + "/keys/k3"},
			settings.Edit{Op: settings.Set, Path: base + "/keys/k2/withdrawn", Value: json.RawMessage(`"2026-01-01T00:00:00Z"`)},
		)
	}
	return pool
}

// describeSnapshot lists what callers of a snapshot can see.
func describeSnapshot(t *rapid.T, tree *settings.Tree) string {
	snapshot, err := tree.Snapshot(1, "mv-mill")
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for service := range snapshot.Services {
		lines = append(lines, fmt.Sprintf("%+v", *service))
	}
	for customer := range snapshot.Customers {
		lines = append(lines, fmt.Sprintf("%+v", *customer))
	}
	slices.Sort(lines)
	for _, path := range []string{"/fees/1", "/check-in", "/logs", "/"} {
		route, found := snapshot.Route("desk.example", "POST", path)
		lines = append(lines, fmt.Sprintf("%s %v %+v", path, found, route))
	}
	for _, key := range []string{"valid-key", "third-key", "withdrawn-key"} {
		customer, found := snapshot.CustomerForKey(key)
		lines = append(lines, fmt.Sprintf("%s %v %+v", key, found, customer))
	}
	return strings.Join(lines, "\n")
}

// Guards against an incremental validation after edits that misses an error which a validation of the whole tree finds, and
// against a snapshot that still has values from before the edits.
func TestApplyMatchesFullTree(t *testing.T) {
	pool := editPool()
	document, err := loadTree(t).Encode()
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		tree, _ := settings.Decode(document)
		if err := tree.Validate(); err != nil {
			t.Fatal(err)
		}
		_ = describeSnapshot(t, tree) // computes the derived state, so that Apply can reuse it
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			edits := rapid.SliceOfN(rapid.SampledFrom(pool), 1, 3).Draw(t, "edits")
			next, _, err := tree.Apply(edits)
			if err != nil {
				continue
			}
			encoded, err := next.Encode()
			if err != nil {
				t.Fatal(err)
			}
			whole, err := settings.Decode(encoded)
			if err != nil {
				t.Fatal(err)
			}
			want, got := whole.Validate(), next.Validate()
			if (want == nil) != (got == nil) {
				t.Fatalf("after %+v incremental validation returned %v, validation of the whole tree %v", edits, got, want)
			}
			if want != nil {
				continue
			}
			if d := cmp.Diff(describeSnapshot(t, whole), describeSnapshot(t, next)); d != "" {
				t.Fatalf("after %+v the snapshot differs:\n%s", edits, d)
			}
			tree = next
		}
	})
}
