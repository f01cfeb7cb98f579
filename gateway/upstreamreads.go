package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/registry"
)

const (
	// minOverlapInterval and maxOverlapInterval bound overlapInterval.
	minOverlapInterval = 150 * time.Millisecond
	maxOverlapInterval = 600 * time.Millisecond
	// readDuration is reserved for the read that detects the recovery of the store.
	readDuration = 100 * time.Millisecond
	// maxOverlappingReads is the maximum number of reads without a response.
	maxOverlappingReads = 6
)

// overlapInterval is the time after which a read of the upstreams without a response is followed by another one. A read that waits for
// its time-out would detect the recovery of a silent store too late for the time in which missing entries may be kept.
func overlapInterval(stablePeriod time.Duration) time.Duration {
	if stablePeriod <= 0 {
		return maxOverlapInterval
	}
	return min(maxOverlapInterval, max(minOverlapInterval, registry.MaxDetectionTime(stablePeriod)-readDuration))
}

// upstreamRead is a read of the upstreams that has ended.
type upstreamRead struct {
	// id is the number of the read.
	id        uint64
	startedAt time.Time
	// scheduled is false for a read that was triggered by a pause or by another host's update.
	scheduled bool
	entries   []registry.Entry
	version   uint64
	err       error
}

// pendingRead is a read that has not ended.
type pendingRead struct {
	id        uint64
	startedAt time.Time
	cancel    context.CancelFunc
	// aborted is closed when the result of the read is no longer wanted.
	aborted chan struct{}
}

// upstreamReads makes reads of the upstreams that may overlap. It is used by one goroutine.
type upstreamReads struct {
	source UpstreamSource
	// results delivers each read that has ended, and was not aborted, exactly once.
	results chan upstreamRead
	lastID  uint64
	// pending holds the reads that have not ended, in the order of their starts.
	pending []pendingRead
}

// start begins a read.
func (r *upstreamReads) start(ctx context.Context, scheduled bool) {
	r.lastID++
	read := upstreamRead{id: r.lastID, startedAt: time.Now(), scheduled: scheduled}
	reading, cancel := context.WithTimeout(ctx, callTimeout)
	aborted := make(chan struct{})
	r.pending = append(r.pending, pendingRead{id: read.id, startedAt: read.startedAt, cancel: cancel, aborted: aborted})
	go func() {
		read.entries, read.version, read.err = r.source.Upstreams(reading)
		select {
		case r.results <- read:
		case <-aborted: // the end of callTimeout must not drop the result, which would leave the read pending
		}
	}()
}

// finish removes a read that has ended from the pending ones. It reports false if the read was aborted.
func (r *upstreamReads) finish(read upstreamRead) bool {
	i := slices.IndexFunc(r.pending, func(p pendingRead) bool { return p.id == read.id })
	if i < 0 {
		return false
	}
	r.pending[i].cancel()
	r.pending = slices.Delete(r.pending, i, i+1)
	return true
}

// abort ends all pending reads.
func (r *upstreamReads) abort() {
	for _, p := range r.pending {
		p.cancel()
		close(p.aborted)
	}
	r.pending = nil
}

// overtakenBy returns the start of the newest pending read that began before a read that has succeeded, and false if there is none.
// It counts as failed: the store or the path to it was not stable when it began.
func (r *upstreamReads) overtakenBy(read upstreamRead) (time.Time, bool) {
	for _, p := range slices.Backward(r.pending) {
		if p.startedAt.Before(read.startedAt) {
			return p.startedAt, true
		}
	}
	return time.Time{}, false
}

// newerThan reports whether a read that began after a time is pending.
func (r *upstreamReads) newerThan(at time.Time) bool {
	return len(r.pending) > 0 && r.pending[len(r.pending)-1].startedAt.After(at)
}

// readSchedule determines when the next read of the upstreams begins and why.
type readSchedule struct {
	// failing is true while the newest read that has ended has failed. From retryAt on, it may be repeated.
	failing bool
	retryAt time.Time
	// triggeredAt is when a triggered read is due; zero if none is.
	triggeredAt time.Time
	// nextTrigger is the earliest time of a read that an update triggers while reads fail. Without it, a host that the store rejects reads again for
	// each update of the others.
	nextTrigger time.Time
}

// triggerByUpdate makes a read due at a time because another host has reported an update, but not too soon after the one before while
// reads fail.
func (r *readSchedule) triggerByUpdate(at time.Time) {
	if r.failing && at.Before(r.nextTrigger) {
		at = r.nextTrigger
	}
	r.trigger(at)
}

// trigger makes a read due at a time.
func (r *readSchedule) trigger(at time.Time) {
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
