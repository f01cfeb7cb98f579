package ratelimit

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the generated tests, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.steps": "200", "rapid.checks": "700"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
