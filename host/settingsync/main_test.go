package settingsync_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor: the race detector of Go 1.26.8 crashes when timer channels of a synctest bubble
// are used on several.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
