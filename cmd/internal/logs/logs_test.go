package logs

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/integrii/flaggy"
	"github.com/sebdah/goldie/v2"
)

// run runs one command line and returns its exit code, standard output and standard error.
func run(t *testing.T, stdin string, arguments ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	parser := flaggy.NewParser("bronzeyardctl")
	commands := Attach(parser, Environment{Stdin: strings.NewReader(stdin), Stdout: &out, Stderr: &errs})
	if err := parser.ParseArgs(arguments); err != nil {
		t.Fatal(err)
	}
	code, found := commands.Run()
	if !found {
		t.Fatal("no command was found")
	}
	return code, out.String(), errs.String()
}

const incident = "testdata/incident.log"

// Guards against a trace that omits why a booking failed. The log is of a day on which upstreams reset the connections of
// bookings. The request was the half-open trial of a circuit breaker that had opened on the report of another host.
func TestTraceOfAnIncident(t *testing.T) {
	code, stdout, stderr := run(t, "", "trace", "83dfcde40888a1fa", "--logs", incident)
	if code != 0 {
		t.Fatalf("exit code %d: %s", code, stderr)
	}
	goldie.New(t).Assert(t, "trace", []byte(stdout))
}

// Guards against invalid input that ends without a clear error.
func TestBadInput(t *testing.T) {
	for name, c := range map[string]struct {
		arguments []string
		stdin     string
		code      int
		message   string
	}{
		"pattern without files": {[]string{"trace", "x", "--logs", "testdata/none*.log"}, "", 2, `--logs "testdata/none*.log" matches no file`},
		"bad pattern":           {[]string{"trace", "x", "--logs", "[a"}, "", 2, `--logs "[a"`},
		"unknown id":            {[]string{"trace", "nobody", "--logs", incident}, "", 1, `no log line of request "nobody"`},
		"not a log":             {[]string{"report"}, "hello\n", 1, "no line of a host's log in the input (1 other lines)"},
		"empty input":           {[]string{"trace", "x"}, "", 1, "no line of a host's log"},
	} {
		t.Run(name, func(t *testing.T) {
			code, _, stderr := run(t, c.stdin, c.arguments...)
			if code != c.code || !strings.Contains(stderr, c.message) {
				t.Errorf("exit code %d, error %q; want %d and %q", code, stderr, c.code, c.message)
			}
		})
	}
}

// Guards against a page that lacks plots or loads anything over the network.
func TestReportIsSelfContained(t *testing.T) {
	name := filepath.Join(t.TempDir(), "report.html")
	code, stdout, stderr := run(t, "", "report", "--logs", incident, "--output", name)
	if code != 0 {
		t.Fatalf("exit code %d: %s", code, stderr)
	}
	if !strings.HasPrefix(stdout, name) {
		t.Errorf("output %q does not name the file", stdout)
	}
	content, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	page := string(content)
	if n := strings.Count(page, "<svg"); n != 4 {
		t.Errorf("%d plots, want 4", n)
	}
	for _, text := range []string{"<script", "<link", "src="} {
		if strings.Contains(page, text) {
			t.Errorf("the page has %q", text)
		}
	}
	if !strings.Contains(page, "outcome_unknown") {
		t.Error("the page does not name the cause of the failed bookings")
	}
}
