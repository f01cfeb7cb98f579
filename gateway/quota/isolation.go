package quota

import (
	"math"
	"time"
)

const (
	// Each host reports at least once per heartbeatInterval. A host counts as isolated after about maxMissedReports times the
	// expected gap between the reports of all others, and after minIsolationTime at least. With three gaps, a fleet of 16 hosts
	// whose heartbeats were unevenly spaced found itself isolated every second and rejected requests within the limit.
	heartbeatInterval = time.Second
	maxMissedReports  = 5
	minIsolationTime  = 120 * time.Millisecond
	// In a small fleet, the hosts whose reports are missing are few: a host is isolated once each of them should have reported,
	// heartbeatInterval and maxHeartbeatDelay after the last report, but not before minMissedReports gaps.
	maxHeartbeatDelay = 150 * time.Millisecond
	minMissedReports  = 3
)

// isolationTimeout is the time without a report of any host after which this host is isolated. hosts must be at least 2.
func isolationTimeout(hosts int) time.Duration {
	gap := heartbeatInterval / time.Duration(hosts-1)
	return max(minIsolationTime, min(maxMissedReports*gap, max(minMissedReports*gap, heartbeatInterval+maxHeartbeatDelay)))
}

// inMinority reports whether less than half of the other hosts are live, as is the case right after a start.
func (l *Limiter) inMinority() bool { return 2*l.liveHosts() < l.hosts-1 }

// isolated reports whether this host may be isolated: it has received no report for too long, it is in a minority, or it does not know
// yet what the others have admitted during a pause of this process.
func (l *Limiter) isolated(now time.Time) bool {
	return l.hosts > 1 && (l.resuming || l.inMinority() || now.Sub(l.lastReportAt) > isolationTimeout(l.hosts))
}

// Isolated reports whether this host admits no more than an equal share of each limit, because it does not know what the others admit.
func (l *Limiter) Isolated(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkTimeouts(now)
	return l.hosts == 0 || l.isolated(now)
}

// staleReportTime is the time after a pause for which received reports may have waited in the socket.
const staleReportTime = 100 * time.Millisecond

// endResuming ends the isolation after a pause once half of the other hosts have reported since.
func (l *Limiter) endResuming() {
	if !l.resuming {
		return
	}
	reported := 0
	for _, at := range l.lastReports {
		if at.Sub(l.resumedAt) > staleReportTime {
			reported++
		}
	}
	l.resuming = 2*reported < l.hosts-1
}

// setIsolated records whether this host is isolated, as of this refill. When it becomes isolated, what it has recently admitted
// beyond its equal share is subtracted from its share, and so is its part of the debt that it knows of: the other hosts assume
// that it admits no more than its share from its last report on.
func (b *bucket) setIsolated(now time.Time, isolated bool, equalShare float64) {
	switch {
	case isolated && !b.isolated:
		// A host that admits exactly its share has a localAdmitted of recent.
		recent := b.limit.Rate * equalShare * demandHalfLife.Seconds() / math.Ln2
		due := recent + max(1, b.limit.capacity()*equalShare) + min(0, b.tokens)*equalShare
		b.shareTokens = min(b.shareTokens, due-b.localAdmitted.value(now))
	case !isolated && b.isolated:
		b.shareTokens = max(b.shareTokens, 0) // the others have reports of what was admitted
	}
	b.isolated = isolated
}
