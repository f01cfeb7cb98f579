package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/registry"
)

const (
	// overlapInterval is the time after which a read of the upstreams without a response is followed by another one. It bounds
	// the time in which the recovery of a silent store is detected, which a read that waits for its time-out cannot do.
	overlapInterval = 600 * time.Millisecond
	// maxOverlappingReads is the maximum number of reads without a response.
	maxOverlappingReads = 3
)

// upstreamRead is a read of the upstreams that has ended.
type upstreamRead struct {
	startedAt time.Time
	// scheduled is false for a read that was triggered by a pause or by another host's update.
	scheduled  bool
	generation int
	entries    []registry.Entry
	version    uint64
	err        error
}

// upstreamReads makes reads of the upstreams that may overlap. It is used by one goroutine.
type upstreamReads struct {
	source UpstreamSource
	// results delivers the reads that have ended. Those of past generations are to be dropped.
	results chan upstreamRead
	// inFlight holds the starts of the reads of this generation that have not ended, in this order.
	inFlight   []time.Time
	generation int
	// cancels end the reads of this generation.
	cancels []context.CancelFunc
}

// start begins a read.
func (r *upstreamReads) start(ctx context.Context, scheduled bool) {
	read := upstreamRead{startedAt: time.Now(), scheduled: scheduled, generation: r.generation}
	reading, cancel := context.WithTimeout(ctx, callTimeout)
	r.inFlight = append(r.inFlight, read.startedAt)
	r.cancels = append(r.cancels, cancel)
	go func() {
		read.entries, read.version, read.err = r.source.Upstreams(reading)
		select {
		case r.results <- read:
		case <-reading.Done():
		}
	}()
}

// finish removes a read that has ended from those in flight. It reports false if the read was aborted.
func (r *upstreamReads) finish(read upstreamRead) bool {
	if read.generation != r.generation {
		return false
	}
	r.inFlight = slices.DeleteFunc(r.inFlight, read.startedAt.Equal)
	return true
}

// abort ends all reads in flight.
func (r *upstreamReads) abort() {
	for _, cancel := range r.cancels {
		cancel()
	}
	r.cancels, r.inFlight = nil, nil
	r.generation++
}

// overtakenBy returns the start of the newest read in flight that began before a read that has succeeded, and false if there is
// none. It counts as failed: the store or the path to it was not stable when it began.
func (r *upstreamReads) overtakenBy(read upstreamRead) (time.Time, bool) {
	for _, startedAt := range slices.Backward(r.inFlight) {
		if startedAt.Before(read.startedAt) {
			return startedAt, true
		}
	}
	return time.Time{}, false
}

// newerThan reports whether a read that began after a time is in flight.
func (r *upstreamReads) newerThan(at time.Time) bool {
	return len(r.inFlight) > 0 && r.inFlight[len(r.inFlight)-1].After(at)
}

// readSchedule determines when the next read of the upstreams begins and why.
type readSchedule struct {
	// failing is true while the newest read that has ended has failed. From retryAt on, it may be repeated.
	failing bool
	retryAt time.Time
	// triggeredAt is when a triggered read is due; zero if none is.
	triggeredAt time.Time
	// nextTrigger is the earliest time of a triggered read while reads fail. Without it, a host that the store rejects reads again for
	// each update of the others.
	nextTrigger time.Time
}

// trigger makes a read due at a time.
func (r *readSchedule) trigger(at time.Time) {
	if r.failing && at.Before(r.nextTrigger) {
		at = r.nextTrigger
	}
	if r.triggeredAt.IsZero() || at.Before(r.triggeredAt) {
		r.triggeredAt = at
	}
}

// begin is called when a read begins. It reports whether the read is a scheduled one, and not triggered.
func (r *readSchedule) begin(now time.Time) (scheduled bool) {
	if r.triggeredAt.IsZero() || now.Before(r.triggeredAt) {
		return true
	}
	r.triggeredAt, r.nextTrigger = time.Time{}, now.Add(maxRecoveryWait)
	return false
}
