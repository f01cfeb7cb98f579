package memory

import (
	"context"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/storage"
)

// Faults is a set of injected faults that can be changed while the service is in use. The zero value injects none.
type Faults struct {
	mu            sync.Mutex
	down          bool
	delay         time.Duration
	loseResponses int
	loseWrites    int
}

// SetDown starts or ends an outage in which every call fails with storage.ErrUnavailable.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// SetDelay delays every call.
func (f *Faults) SetDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

// LoseResponses lets the next n writes take effect and fail with storage.ErrUnknownOutcome.
func (f *Faults) LoseResponses(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseResponses = n
}

// LoseWrites lets the next n writes fail with storage.ErrUnknownOutcome without taking effect.
func (f *Faults) LoseWrites(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseWrites = n
}

// beforeCall waits for the delay and returns the error of an outage or of the context.
func (f *Faults) beforeCall(ctx context.Context) error {
	f.mu.Lock()
	delay, down := f.delay, f.down
	f.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
	}
	if down {
		return storage.ErrUnavailable
	}
	return ctx.Err()
}

// nextWriteOutcome reports whether the next write is applied and whether its response arrives. It counts the write.
func (f *Faults) nextWriteOutcome() (applied, acknowledged bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.loseWrites > 0:
		f.loseWrites--
		return false, false
	case f.loseResponses > 0:
		f.loseResponses--
		return true, false
	default:
		return true, true
	}
}
