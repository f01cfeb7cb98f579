package ctl_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/integrii/flaggy"
	"github.com/sebdah/goldie/v2"

	"github.com/bronzeyard/bronzeyard/cmd/internal/ctl"
	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/host/admin"
	"github.com/bronzeyard/bronzeyard/settings/store"
	"github.com/bronzeyard/bronzeyard/storage/memory"
)

const token = "token-of-ada"

type fleetStub struct{ missing []string }

func (f *fleetStub) WaitActivated(context.Context, uint64) ([]string, error) { return f.missing, nil }

func (f *fleetStub) Status() any                   { return map[string]string{"state": "active"} }
func (f *fleetStub) Drain(context.Context) error   { return nil }
func (f *fleetStub) DeclareEnded(host string) bool { return host == "lost-1" }

// shell runs command lines against the admin API of one host, whose table and objects are in memory.
type shell struct {
	t     *testing.T
	table *memory.Table
	store *store.Store
	fleet *fleetStub
	admin string
	files map[string]string
}

func newShell(t *testing.T) *shell {
	sh := &shell{t: t, table: memory.NewTable(), fleet: new(fleetStub), files: map[string]string{"token": token + "\n"}}
	sh.store = store.New(store.Options{Table: sh.table, Objects: memory.NewObjectStore(), Clock: clock.Standard{}})
	server := httptest.NewTLSServer(admin.New(admin.Options{
		Settings: sh.store, Fleet: sh.fleet, Clock: clock.Standard{},
		Operators: []admin.Operator{{Name: "ada", TokenHash: sha256.Sum256([]byte(token))}},
	}))
	t.Cleanup(server.Close)
	sh.admin = server.URL
	sh.files["ca"] = string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}))
	return sh
}

// run runs one command line and returns its exit code, standard output and standard error.
func (sh *shell) run(line string, arguments ...string) (code ctl.ExitCode, out, errOut string) {
	sh.t.Helper()
	var stdout, stderr bytes.Buffer
	parser := flaggy.NewParser("bronzeyardctl")
	commands := ctl.Attach(parser, ctl.Environment{
		Stdout: &stdout, Stderr: &stderr, Stdin: strings.NewReader(""),
		Getenv: func(name string) string {
			return map[string]string{"BRONZEYARD_ADMIN": sh.admin, "BRONZEYARD_TOKEN_FILE": "token", "BRONZEYARD_CA_FILE": "ca"}[name]
		},
		ReadFile: func(name string) ([]byte, error) {
			if text, ok := sh.files[name]; ok {
				return []byte(text), nil
			}
			return nil, os.ErrNotExist
		},
	})
	if err := parser.ParseArgs(append(strings.Fields(line), arguments...)); err != nil {
		sh.t.Fatal(err)
	}
	code, found := commands.Run(sh.t.Context())
	if !found {
		sh.t.Fatalf("%s: no command", line)
	}
	return code, stdout.String(), stderr.String()
}

// must runs one command line, fails the test unless its exit code is want, and returns standard output and standard error.
func (sh *shell) must(want ctl.ExitCode, line string, arguments ...string) string {
	sh.t.Helper()
	code, out, errOut := sh.run(line, arguments...)
	if code != want {
		sh.t.Fatalf("%s: exit code %d, want %d: %s%s", line, code, want, out, errOut)
	}
	return out + errOut
}

const document = `{"data_centres":{"mv-north":{"policy":{"timeout":"4s"}}},"services":{"intake":{
	"upstreams":{"i1":{"address":"127.0.0.1:80","data_centre":"mv-north","slots":6,"connections":360}},
	"routes":{"check-in":{"path_prefix":"/check-in","methods":["POST"]}}}}}`

var timestamps = regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`)

// Guards against a command that sends the wrong request, or prints output that people or scripts cannot read.
func TestCommands(t *testing.T) {
	sh := newShell(t)
	sh.files["fleet.json"] = document
	sh.files["service.json"] = `{"routes":{"r":{"path_prefix":"/benchcards"}}}`
	var transcript strings.Builder
	for _, line := range []string{
		"apply fleet.json --base 0",
		"set services/intake/policy/timeout 6s",
		"get services/intake/policy",
		"explain services/intake/routes/check-in --data-centre mv-north",
		"unset services/intake/policy/timeout",
		"customer create harbour --rate 20/s --burst 40",
		"customer limit harbour --rate 90/min --burst 10 --weight 2",
		"customer list",
		"key withdraw harbour k1",
		"service set benchcards service.json",
		"upstream set intake i2 --address 127.0.0.2:80 --data-centre mv-north --slots 4 --connections 330",
		"upstream leaving intake i2",
		"service list",
		"upstream remove intake i2",
		"customer list --json",
		"audit --path services/intake/upstreams",
		"status --json",
		"drain",
	} {
		code, out, errOut := sh.run(line)
		transcript.WriteString("$ bronzeyardctl " + line + "\n" + out + errOut)
		if code != ctl.ExitOK {
			transcript.WriteString("exit code " + string(rune('0'+code)) + "\n")
		}
	}
	goldie.New(t).Assert(t, "transcript", timestamps.ReplaceAll([]byte(transcript.String()), []byte("TIME")))
}

// Guards against a granted key that is not valid, is sent in clear text, or is shown more than once.
func TestKeyCommands(t *testing.T) {
	sh := newShell(t)
	sh.must(ctl.ExitOK, "customer create harbour --rate 20/s --burst 40")
	out := sh.must(ctl.ExitOK, "key grant harbour k1")
	match := regexp.MustCompile(`key    (\S{43}) `).FindStringSubmatch(out)
	if match == nil {
		t.Fatalf("no key in %q", out)
	}
	tree, revision := sh.store.Current()
	snapshot, err := tree.Snapshot(revision, "")
	if err != nil {
		t.Fatal(err)
	}
	if customer, ok := snapshot.CustomerForKey(match[1]); !ok || customer.ID != "harbour" {
		t.Fatal("the granted key is not valid")
	}
	sh.must(ctl.ExitOK, "key withdraw harbour k1")
	if tree, _ = sh.store.Current(); tree.Customers["harbour"].Keys[0].Withdrawn == 0 {
		t.Fatal("the key was not withdrawn")
	}
	if list := sh.must(ctl.ExitOK, "key list harbour"); !strings.Contains(list, "k1") || strings.Contains(list, match[1]) {
		t.Fatalf("keys are listed as %q", list)
	}
}

// Guards against failures that scripts cannot distinguish by the exit code.
func TestExitCodes(t *testing.T) {
	sh := newShell(t)
	sh.files["fleet.json"] = document
	sh.must(ctl.ExitOK, "customer create harbour --rate 20/s --burst 40")
	sh.must(ctl.ExitOK, "set customers/harbour/burst 50")
	sh.must(ctl.ExitFailed, "set customers/harbour/burst 0")
	sh.must(ctl.ExitFailed, "get customers/nobody")
	sh.must(ctl.ExitUsage, "apply fleet.json")
	sh.must(ctl.ExitUsage, "apply none.json --base 1")
	sh.must(ctl.ExitUsage, "get --token-file none")
	sh.must(ctl.ExitUsage, "get --ca-file token")
	sh.must(ctl.ExitUsage, "customer create mill --burst 4")
	if out := sh.must(ctl.ExitConflict, "set customers/harbour/burst 60 --base 1"); !strings.Contains(out, "ada changed customers/harbour/burst") {
		t.Fatalf("the message about the conflict does not name the changed path: %s", out)
	}
	sh.fleet.missing = []string{"host-3"}
	if out := sh.must(ctl.ExitNotInForce, "set customers/harbour/burst 70"); !strings.Contains(out, "host-3") {
		t.Fatalf("the missing host is not named: %s", out)
	}
	sh.fleet.missing = nil
	sh.table.Faults.SetDown(true)
	sh.must(ctl.ExitUnavailable, "set customers/harbour/burst 80 --base 3")
	sh.table.Faults.SetDown(false)
	available := sh.admin
	unavailable := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"error":"outcome_unknown","message":"?","next":"?"}`))
	}))
	defer unavailable.Close()
	sh.admin = "http://127.0.0.1:1," + unavailable.URL + "," + available
	sh.must(ctl.ExitOK, "set customers/harbour/burst 90")
	sh.admin = "http://127.0.0.1:1"
	sh.must(ctl.ExitUnavailable, "set customers/harbour/burst 90 --base 4")
}

// Guards against a repeated command that makes its change a second time.
func TestRepeatedCommand(t *testing.T) {
	sh := newShell(t)
	line := "customer create harbour --rate 20/s --burst 40 --change-id once --base 0"
	sh.must(ctl.ExitOK, line)
	sh.must(ctl.ExitOK, line)
	if _, revision := sh.store.Current(); revision != 1 {
		t.Fatalf("revision %d, want 1", revision)
	}
}

// Guards against an invalid command line that is accepted, and against a help text without the exit codes.
func TestBadUsage(t *testing.T) {
	flaggy.PanicInsteadOfExit = true
	defer func() { flaggy.PanicInsteadOfExit = false }()
	for _, line := range []string{"set policy/timeout", "get --no-such-flag", "customer destroy x"} {
		func() {
			defer func() {
				if recover() == nil {
					t.Fatalf("%q was accepted", line)
				}
			}()
			newShell(t).run(line)
		}()
	}
	parser := flaggy.NewParser("bronzeyardctl")
	ctl.Attach(parser, ctl.Environment{Getenv: func(string) string { return "" }})
	if !strings.Contains(parser.AdditionalHelpAppend, "4 not yet in force everywhere") {
		t.Fatal("the help text lacks the exit codes")
	}
}
