package peertest

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor. On several, the race detector of Go 1.26.8 crashes on timer channels of a synctest
// bubble.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
