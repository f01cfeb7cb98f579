package dispatch

import "time"

const (
	// failureHalfLife is the half-life of the counts of which the share of failed attempts is computed.
	failureHalfLife = time.Second
	// minAttempts is the decayed number of attempts from which a share is computed.
	minAttempts = 20
)

// maxRejected bounds the rejected requests that one ask states.
const maxRejected = 1000

// failures measures the share of the requests that failed lately: the attempts, and the requests that hosts have rejected. Half-open trials
// do not count, because most of them fail while the service does without their upstreams. Those of grants of another dispatcher do, because
// it is not known that they were trials.
type failures struct {
	attempts, failed float64
	at               time.Time
}

func (f *failures) advance(now time.Time) {
	if !f.at.IsZero() {
		factor := decay(now.Sub(f.at), failureHalfLife)
		f.attempts *= factor
		f.failed *= factor
	}
	f.at = now
}

func (f *failures) add(now time.Time, outcome Outcome) {
	if outcome == Unused || outcome == Misdirected {
		return
	}
	f.advance(now)
	f.attempts++
	if outcome != Served && outcome != Responded {
		f.failed++
	}
}

// addRejected counts requests that a host has rejected without an attempt.
func (f *failures) addRejected(now time.Time, requests uint32) {
	f.advance(now)
	f.attempts += float64(min(requests, maxRejected))
	f.failed += float64(min(requests, maxRejected))
}

// share returns the share of failed attempts; 0 if there were too few attempts.
func (f *failures) share(now time.Time) float64 {
	f.advance(now)
	if f.attempts < minAttempts {
		return 0
	}
	return f.failed / f.attempts
}
