package membership

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the size of the property tests unless the command line sets them.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "400", "rapid.steps": "120", "rapid.nofailfile": "true"}
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
