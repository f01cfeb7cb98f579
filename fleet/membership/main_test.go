package membership

import (
	"flag"
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor, because the race detector of Go 1.26.8 crashes when timer channels of a synctest
// bubble are used on several. It also fixes the seed and the size of the property tests unless the command line sets them.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "260", "rapid.steps": "60", "rapid.nofailfile": "true"}
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
