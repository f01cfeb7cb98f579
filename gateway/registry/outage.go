package registry

import "time"

const (
	// gapThreshold is the time between two reads above which entries of live upstreams may have expired.
	gapThreshold = 2500 * time.Millisecond
	// gracePeriod is the time for which missing entries are kept after a gap. Upstreams write their entries again within
	// about 2 s of the recovery of the store.
	gracePeriod = 2100 * time.Millisecond
	// keepMargin is the time before the end of the stable period at which kept entries are dropped. It covers the read that
	// drops them and the requests that are being sent meanwhile.
	keepMargin = 200 * time.Millisecond
	// eraMargin covers datagrams that are late when a new era begins, beside keepMargin.
	eraMargin = 300 * time.Millisecond
	// maxReportAge is the age up to which another host's read proves that the store has been available.
	maxReportAge = 1500 * time.Millisecond
)

// Report describes a read of the store by another host.
type Report struct {
	ReadAt time.Time
	// KeptUntil is the end of that host's grace period after a gap in its reads. It equals ReadAt if no live upstream is missing.
	KeptUntil time.Time
	// Era is the era of the store at the read.
	Era uint64
}

func (r *Report) synced() bool { return !r.KeptUntil.After(r.ReadAt) }

// replaces reports whether r is more useful than an earlier report. Of two recent reports, the one with the earlier end is.
func (r *Report) replaces(previous *Report) bool {
	if previous == nil || r.Era > previous.Era {
		return true
	}
	if r.Era < previous.Era {
		return false
	}
	if r.ReadAt.Sub(previous.ReadAt) > maxReportAge {
		return true
	}
	if r.synced() != previous.synced() {
		return r.synced()
	}
	if r.synced() {
		return r.ReadAt.After(previous.ReadAt)
	}
	return r.KeptUntil.Before(previous.KeptUntil)
}

// ObserveReport records a read of the store by another host, and reports whether it is more useful than the one before. The host that
// detects the recovery of the store first, or that had no gap in its reads, knows best from when on missing entries are final.
// ObserveReport may be called concurrently with all other methods.
func (r *Registry) ObserveReport(report Report) bool {
	for {
		previous := r.report.Load()
		if !report.replaces(previous) {
			return false
		}
		if r.report.CompareAndSwap(previous, &report) {
			return true
		}
	}
}

// MaxDetectionTime returns the time in which a host must detect the recovery of the store to be able to keep missing entries for the
// whole grace period. It is not positive if the stable period is too short for that.
func MaxDetectionTime(stablePeriod time.Duration) time.Duration {
	return stablePeriod - keepMargin - gracePeriod
}

// RecordFailure records that a read that began at startedAt has failed: the store, or this host's path to it, has not been stable
// before that time. stablePeriod is the time after the recovery of the store from which on missing entries must no longer be used;
// 0 means that there is no such time. RecordFailure must not be called concurrently with Update.
func (r *Registry) RecordFailure(startedAt time.Time, stablePeriod time.Duration) {
	if stablePeriod <= 0 || startedAt.Before(r.failedAt) {
		return
	}
	r.failedAt = startedAt
	r.keepLimit = startedAt.Add(max(stablePeriod-keepMargin, gracePeriod))
}

// RecordEra records that the next read to be applied is the first one of a new era. The store has come back after the newest read of
// the earlier era, whose time another host may have reported too late by eraMargin. RecordEra must not be called concurrently with
// Update.
func (r *Registry) RecordEra(stablePeriod time.Duration) {
	r.RecordFailure(r.View().ReadAt.Add(-eraMargin), stablePeriod)
}

// RecordPause records that this process was paused until endedAt, which hides the recovery of the store as a failed read does. A grace
// period that has begun in the meantime is no longer limited by earlier failures: the read that began it may be handled before the pause is
// noticed. RecordPause must not be called concurrently with Update.
func (r *Registry) RecordPause(endedAt time.Time, stablePeriod time.Duration) {
	r.RecordFailure(endedAt, stablePeriod)
	g := r.grace.Load()
	if g == nil || !endedAt.Before(g.keptUntil) {
		return
	}
	if until := earlier(g.syncedAt, r.keepLimit); g.keptUntil.Before(until) {
		r.grace.Store(&grace{syncedAt: g.syncedAt, keptUntil: until})
	}
}

// grace describes the time after the start, or after a gap in the reads, in which entries of live upstreams may be missing.
type grace struct {
	// syncedAt is the time from which on no live upstream is missing.
	syncedAt time.Time
	// keptUntil is the time at which kept entries are dropped. It is before syncedAt if this host's newest failed read is so old
	// that entries which are kept until syncedAt might be used for too long.
	keptUntil time.Time
	// limit bounds the grace period of a new era, also one that is adopted from another host; zero for other grace periods.
	limit time.Time
}

// beginGrace starts the grace period of missing entries at the first read after a gap, or after the start. lastReadAt is the
// newest read before the gap. The recovery of the store is later than the newest failed read and earlier than this one. The grace
// period runs from the latter, so that live upstreams have the time to return, and its end is bounded from the former, so that
// the time that a host takes to detect the recovery does not prolong the use of removed upstreams.
//
// In a new era the store has recovered after lastReadAt, from which RecordEra has bounded the end.
func (r *Registry) beginGrace(startedAt, lastReadAt time.Time, newEra bool) {
	g := grace{syncedAt: startedAt.Add(gracePeriod), keptUntil: startedAt.Add(gracePeriod)}
	if r.failedAt.After(lastReadAt) || (newEra && !r.keepLimit.IsZero()) {
		g.keptUntil = earlier(g.keptUntil, r.keepLimit)
	}
	if newEra && !r.keepLimit.IsZero() {
		g.limit = r.keepLimit
	}
	r.grace.Store(&g)
	r.applyReport(startedAt)
}

// applyReport adopts the grace period of another host that knows better when the store has recovered, or has had no gap in its
// reads. An adopted grace period is no longer limited by this host's own failures, which may be much older than the recovery.
func (r *Registry) applyReport(now time.Time) {
	report, g := r.report.Load(), r.grace.Load()
	if report == nil || g == nil || report.Era != r.era || now.Sub(report.ReadAt) > maxReportAge {
		return
	}
	end := earlier(report.KeptUntil, g.syncedAt)
	if !g.limit.IsZero() {
		end = earlier(end, g.limit)
	}
	if !end.Equal(g.keptUntil) {
		r.grace.Store(&grace{syncedAt: end, keptUntil: end, limit: g.limit})
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// KeptUntil returns the time at which kept entries are due to be dropped, and false if there are none. The store must be read
// at that time. It must not be called concurrently with Update.
func (r *Registry) KeptUntil(now time.Time) (time.Time, bool) {
	r.applyReport(now)
	if g := r.grace.Load(); g != nil {
		return g.keptUntil, len(r.kept) > 0
	}
	return time.Time{}, false
}

// Kept is the number of entries that are kept although they are missing.
func (r *Registry) Kept() int { return len(r.kept) }

// Synced reports whether no live upstream is missing: the grace period after the start or after the latest gap is over. If it is
// not, left is its rest; 0 if that is not known precisely.
func (r *Registry) Synced(now time.Time) (synced bool, left time.Duration) {
	g := r.grace.Load()
	switch {
	case g == nil:
		return false, 0
	case !now.Before(g.syncedAt):
		return true, 0
	case g.keptUntil.Before(g.syncedAt):
		return false, 0
	default:
		return false, g.syncedAt.Sub(now)
	}
}
