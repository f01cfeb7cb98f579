package packagemap

import (
	"flag"
	"os"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write docs/packages.md")

const (
	root = "../.."
	page = root + "/docs/packages.md"
)

// The tests read files of other modules, which the cache of test results does not track. Run them with -count=1.

// Guards against a page that does not match the project's packages and their imports.
func TestPageIsUpToDate(t *testing.T) {
	packages, err := List(t.Context(), root)
	if err != nil {
		t.Fatal(err)
	}
	want := Markdown(packages)
	if *update {
		if err := os.WriteFile(page, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("docs/packages.md is not up to date, run go test -count=1 ./tools/packagemap -update")
	}
}

// Guards against imports that break the layers of the design: the foundation packages import nothing above them, and
// no package that runs in a host imports an emulator or an experiment.
func TestLayers(t *testing.T) {
	packages, err := List(t.Context(), root)
	if err != nil {
		t.Fatal(err)
	}
	forbidden := map[string][]string{
		"storage":  {"settings", "fleet", "traffic", "host", "gateway", "platform", "emulator", "bench", "cmd"},
		"settings": {"traffic", "host", "gateway", "platform", "emulator", "bench", "cmd"},
		"fleet":    {"host", "gateway", "platform", "emulator", "bench", "cmd"},
		"traffic":  {"host", "gateway", "platform", "emulator", "bench", "cmd"},
		"host":     {"gateway", "platform", "emulator", "bench", "cmd"},
		"gateway":  {"storage", "fleet", "host", "platform", "emulator", "bench", "cmd"},
		"platform": {"storage", "fleet", "emulator", "bench", "cmd"},
		"emulator": {"gateway", "platform", "bench", "cmd"},
		"bench":    {"gateway", "platform", "cmd"},
	}
	checked := 0
	for _, p := range packages {
		module, _, _ := strings.Cut(p.Path, "/")
		for _, imported := range p.Imports {
			checked++
			for _, upper := range forbidden[module] {
				if imported == upper || strings.HasPrefix(imported, upper+"/") {
					t.Errorf("%s imports %s", p.Path, imported)
				}
			}
		}
	}
	if checked == 0 {
		t.Error("no imports were listed")
	}
}
