package relay

import (
	"sync"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/pipeline"
)

// testTimeLimit is the time limit of the requests of a fixture, and the time in which sendInTime expects a response.
const testTimeLimit = 2 * time.Second

// stallMeter measures for how long this process did not run, which happens when the machine is overloaded or the process is stopped.
type stallMeter struct {
	mu       sync.Mutex
	lastTick time.Time
	total    time.Duration
}

const (
	stallTick = 5 * time.Millisecond
	// minStall is the delay of a tick from which on it counts as a stall.
	minStall = 100 * time.Millisecond
)

// startStallMeter starts a meter that runs until the test ends.
func startStallMeter(t *testing.T) *stallMeter {
	t.Helper()
	m := &stallMeter{lastTick: time.Now()}
	ticker := time.NewTicker(stallTick)
	t.Cleanup(ticker.Stop)
	go func() {
		for {
			select {
			case <-ticker.C:
				m.stalled()
			case <-t.Context().Done():
				return
			}
		}
	}()
	return m
}

// stalled returns the time for which the process has not run so far.
func (m *stallMeter) stalled() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if gap := now.Sub(m.lastTick); gap >= minStall {
		m.total += gap
	}
	m.lastTick = now
	return m.total
}

// sendInTime is like send and expects the response within testTimeLimit, without the time for which the process did not run. The
// fixture must have a longer time limit: with testTimeLimit, a stall of the process is a timeout of the upstream to the relay.
func (r *fixture) sendInTime(what, method string, stalls *stallMeter) (*pipeline.Response, string) {
	r.t.Helper()
	before, begin := stalls.stalled(), time.Now()
	response, id := r.send(method)
	if took := time.Since(begin) - (stalls.stalled() - before); took > testTimeLimit {
		r.t.Errorf("%s: the response took %v, want at most %v", what, took, testTimeLimit)
	}
	return response, id
}
