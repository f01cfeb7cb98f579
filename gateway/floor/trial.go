package floor

import "time"

const (
	// earlyTrialAfter is the time after the last failure of an upstream from which a retryable request may be a trial.
	earlyTrialAfter = time.Second
	// RecoveredAfter is the time after the last failure from which an upstream has probably recovered, so that other requests may be a
	// trial. An upstream that recovers right after a failure must receive a request in any 2 s that begin 2 s later, and a trial after
	// 2.8 s leaves the home host maxIdle to make it. Earlier ones fail more often.
	RecoveredAfter = 2800 * time.Millisecond
	// minTrialShare is the share of failed attempts from which non-retryable requests may be trials. The rule holds from a tenth of
	// failed requests on, and each such trial may cost a caller its request.
	minTrialShare = 0.06
)

// TrialAfter returns the time for which an upstream with an open breaker must have been without a failure to get a first attempt as a
// half-open trial. It returns false if the attempt must not be a trial. belowFloor states whether open breakers leave less than the floor
// of the service in use. A failed trial of a non-retryable request costs a caller its request, so such trials are made only below the
// floor, and if no retryable requests could make them.
func (t *Tracker) TrialAfter(now time.Time, retryable, belowFloor bool) (time.Duration, bool) {
	if retryable {
		return earlyTrialAfter, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	enough := t.failures >= minTrialShare*t.attempts && now.Sub(t.retryableAt) >= retryablePause
	return RecoveredAfter, belowFloor && enough
}
