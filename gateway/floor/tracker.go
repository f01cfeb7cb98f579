package floor

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// maxIdle is the time after its last request to an upstream from which the home host sends it the next one. It is short enough for
	// a request in each period of 2 s, also if the next request of the host is some tenths of a second later.
	maxIdle = 1200 * time.Millisecond
	// minFailureShare is the share of failed attempts from which the floor is in danger.
	minFailureShare = 0.05
	// minFailures is the decaying number of failed attempts from which the floor is in danger. A single failure at a host with few
	// requests says little about the share.
	minFailures = 1.5
	// countHalfLife is the half-life of the counts of attempts.
	countHalfLife = 5 * time.Second
	// retryablePause is the time after a retryable request during which non-retryable ones make no trials, because they cannot be
	// repeated if the trial fails.
	retryablePause = 2 * time.Second
)

// Tracker holds the state of one host for one service. It is safe for concurrent use.
type Tracker struct {
	self string

	mu sync.Mutex
	// attempts and failures are decaying counts as of countedAt.
	attempts, failures float64
	countedAt          time.Time
	retryableAt        time.Time
	// own holds the upstreams whose home is this host, as of source and fleet.
	source []settings.Upstream
	fleet  *Fleet
	own    []settings.Upstream
	// sentAt holds the time of the last request of this host to each upstream in own. The zero time means that none is known: then one is
	// due, also if the upstream got a request before it was in own.
	sentAt map[settings.UpstreamID]time.Time
}

// NewTracker returns the Tracker of a host.
func NewTracker(self string) *Tracker { return &Tracker{self: self} }

// Record counts an attempt that has ended, or a request that was rejected without one.
func (t *Tracker) Record(now time.Time, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	t.attempts++
	if failed {
		t.failures++
	}
}

func (t *Tracker) decay(now time.Time) {
	if !t.countedAt.IsZero() {
		factor := math.Exp2(-float64(now.Sub(t.countedAt)) / float64(countHalfLife))
		t.attempts *= factor
		t.failures *= factor
	}
	t.countedAt = now
}

// InDanger reports whether the share of failed attempts and rejected requests of this host is so large that the floor must be kept.
func (t *Tracker) InDanger(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	return t.failures >= minFailures && t.failures >= minFailureShare*t.attempts
}

// RecordRetryable records that a retryable request has arrived.
func (t *Tracker) RecordRetryable(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retryableAt = now
}

// Sent records that this host sends an upstream a request.
func (t *Tracker) Sent(now time.Time, id settings.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.sentAt[id]; ok {
		t.sentAt[id] = now
	}
}

// Due returns the upstreams that must receive the next requests of this host, the one without a request for the longest time first.
// upstreams holds those of the service and must not be modified afterwards.
func (t *Tracker) Due(now time.Time, upstreams []settings.Upstream, fleet *Fleet) []settings.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(upstreams, fleet)
	var due []settings.Upstream
	for i := range t.own {
		if now.Sub(t.sentAt[t.own[i].ID]) >= maxIdle {
			due = append(due, t.own[i])
		}
	}
	slices.SortStableFunc(due, func(a, b settings.Upstream) int { return t.sentAt[a.ID].Compare(t.sentAt[b.ID]) })
	return due
}

// refresh determines the upstreams whose home is this host, if the upstreams of the service or the live hosts have changed.
func (t *Tracker) refresh(upstreams []settings.Upstream, fleet *Fleet) {
	if t.fleet == fleet && sameSlice(t.source, upstreams) {
		return
	}
	t.source, t.fleet, t.own = upstreams, fleet, nil
	sentAt := make(map[settings.UpstreamID]time.Time)
	for i := range upstreams {
		u := &upstreams[i]
		if !u.Leaving && fleet.Home(u) == t.self {
			t.own = append(t.own, *u)
			sentAt[u.ID] = t.sentAt[u.ID]
		}
	}
	t.sentAt = sentAt
}

func sameSlice(a, b []settings.Upstream) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
