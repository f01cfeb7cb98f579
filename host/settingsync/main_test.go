package settingsync_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain sets GOMAXPROCS to 1: the race detector of Go 1.26.8 crashes when timer channels of a synctest bubble are used
// on several processors.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
