package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/gateway/relay"
)

const (
	// signingMemory is the time after a signed success during which unsigned successes of the same service are not taken as evidence
	// that their upstream is healthy.
	signingMemory = 10 * time.Second
	// usualRejectedShare is the share of rejected responses in a service from which they are its usual responses, so that their
	// durations count.
	usualRejectedShare = 0.5
)

// evidence is what a response shows about its upstream.
type evidence struct {
	// sample is the sample for the breaker; 0 if the response shows nothing.
	sample breaker.Sample
	// typical is true if the duration of the response is that of a request that was served. Without this check, an upstream that
	// fails fast makes the others look slow: they are avoided, and their attempts are hedged or counted as overdue too early.
	typical bool
	// rejected is true for a complete response that may be an upstream's failure although it is not an error status of the
	// upstream: a status from 400 to 499, or a success without the signature that other successes of the service have.
	rejected bool
}

// signing remembers whether the upstreams of a service sign their responses.
type signing struct{ lastSigned atomic.Int64 } // Unix nanoseconds

func (s *signing) expected(now time.Time) bool {
	return now.UnixNano()-s.lastSigned.Load() < int64(signingMemory)
}

// evidenceOf evaluates the result of an attempt. A status from 400 to 499 can be the right response to its request. It neither opens a
// breaker nor reduces a failure score, but it passes a half-open trial.
func (s *serviceState) evidenceOf(now time.Time, result *relay.Result) evidence {
	clientError := result.Status >= http.StatusBadRequest && result.Status < http.StatusInternalServerError
	switch {
	case result.Outcome == relay.FailedStatus:
		return evidence{sample: s.failedSample(result)}
	case result.Outcome != relay.Answered:
		return evidence{}
	case !clientError && result.Signed:
		s.signing.lastSigned.Store(now.UnixNano())
		return evidence{sample: breaker.Good, typical: true}
	case !result.Signed && s.signing.expected(now):
		return evidence{rejected: true}
	case clientError:
		return evidence{sample: breaker.Responded, typical: s.pool.RejectedShare() > usualRejectedShare, rejected: true}
	default:
		return evidence{sample: breaker.Good, typical: true}
	}
}

// failedSample returns the sample for an error status. A status of 504 states that something behind the upstream took too long, which is
// no evidence against the upstream, unless it came faster than successful responses do.
func (s *serviceState) failedSample(result *relay.Result) breaker.Sample {
	if result.Status == http.StatusGatewayTimeout && result.Took >= s.pool.MeanDuration() {
		return 0
	}
	return breaker.ErrorStatus
}
