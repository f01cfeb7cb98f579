package packagemap

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
)

// importPrefix is the prefix of the import path of each package of the project.
const importPrefix = "github.com/bronzeyard/bronzeyard/"

// Package is one row of the map.
type Package struct {
	// Path is relative to the root of the repository.
	Path string
	// Doc is the first sentence of the package comment.
	Doc string
	// Imports are the packages of the project that the package imports, as relative paths; imports of tests are excluded.
	Imports []string
}

// List returns the packages of the workspace at root, without packages of generated code. It runs "go list" and uses no
// network.
func List(ctx context.Context, root string) ([]Package, error) {
	modules, err := goCommand(ctx, root, "list", "-m", "-f", "{{.Dir}}/...")
	if err != nil {
		return nil, err
	}
	arguments := append([]string{"list", "-json=ImportPath,Doc,Imports"}, strings.Fields(string(modules))...)
	output, err := goCommand(ctx, root, arguments...)
	if err != nil {
		return nil, err
	}
	var packages []Package
	for decoder := json.NewDecoder(bytes.NewReader(output)); ; {
		var listed struct {
			ImportPath, Doc string
			Imports         []string
		}
		err := decoder.Decode(&listed)
		if errors.Is(err, io.EOF) {
			return packages, nil
		}
		if err != nil {
			return nil, fmt.Errorf("packagemap: decode the output of go list: %w", err)
		}
		if !isGenerated(listed.ImportPath) {
			packages = append(packages, newPackage(listed.ImportPath, listed.Doc, listed.Imports))
		}
	}
}

func newPackage(path, doc string, imports []string) Package {
	p := Package{Path: strings.TrimPrefix(path, importPrefix), Doc: doc}
	for _, imported := range imports {
		if name, found := strings.CutPrefix(imported, importPrefix); found && !isGenerated(name) {
			p.Imports = append(p.Imports, name)
		}
	}
	return p
}

// isGenerated reports whether the package holds code generated from protobuf messages. Only names of such packages end in pb.
func isGenerated(path string) bool { return strings.HasSuffix(path, "pb") }

func goCommand(ctx context.Context, root string, arguments ...string) ([]byte, error) {
	command := exec.CommandContext(ctx, "go", arguments...)
	command.Dir = root
	command.Env = append(os.Environ(), "GOPROXY=off", "GOFLAGS=")
	output, err := command.Output()
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) {
		return nil, fmt.Errorf("packagemap: go %s: %w: %s", arguments[0], err, exitErr.Stderr)
	}
	return output, err
}

const heading = `# Packages

This page is generated from the sources (run "go test -count=1 ./tools/packagemap -update"). The first path element of a package is
its Go module. Tests and packages of generated messages (names that end in "pb") are left out. "Imports" lists packages of
this project only.

| package | job | imports |
|---|---|---|
`

// Markdown returns the page.
func Markdown(packages []Package) string {
	var page strings.Builder
	page.WriteString(heading)
	for _, p := range packages {
		imports := "-"
		if len(p.Imports) > 0 {
			imports = "`" + strings.Join(p.Imports, "`, `") + "`"
		}
		fmt.Fprintf(&page, "| `%s` | %s | %s |\n", p.Path, strings.ReplaceAll(p.Doc, "|", `\|`), imports)
	}
	return page.String()
}
