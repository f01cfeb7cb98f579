package ratelimit

import (
	"flag"
	"os"
	"runtime"
	"testing"
)

// TestMain fixes the seed of the property-based tests, so that every run has the same result. It limits the tests to one
// processor, because the race detector of Go 1.26.8 crashes if timer channels of a synctest bubble are used on several.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.steps": "200", "rapid.checks": "700"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
