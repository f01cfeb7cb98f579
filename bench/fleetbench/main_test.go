package fleetbench

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor. The race detector of Go 1.26.8 crashes if timer channels of a synctest bubble
// are used on several processors.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
