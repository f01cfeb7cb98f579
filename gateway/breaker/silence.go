package breaker

import (
	"math"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

// SilenceLevels are the probabilities that a good answer comes later, at which an attempt without an answer is weighed.
var OverdueProbabilities = [...]float64{0.12, 0.04, 0.015}

const (
	// sickSilence is the share of the requests that an upstream which hangs leaves without an answer.
	sickSilence = 0.6
	// openingEvidence is the logarithm of the likelihood ratio, sick against well, that opens a breaker.
	openingEvidence = 4.6
	// failedSilence are the strikes of one attempt from which it counts as failed if it is a trial.
	failedSilence = 0.5
	// confirmedStrikes are the strikes from which a breaker that silence has opened stays open when an answer comes.
	confirmedStrikes = 0.6
	// hardStrikes are those of other evidence from which silence is not the only reason to open a breaker.
	hardStrikes = 0.3
)

// Silence is the evidence of one attempt without an answer: its strikes so far, and those that were counted before. With an
// answer it has none, or fewer.
type OverdueUpdate struct {
	Previous, Current float64
}

// SilenceStrikes weighs an attempt whose age a good answer exceeds with the probability. It is a step of a sequential
// probability ratio test between an upstream that is well and one that leaves a part of its requests without an answer.
func OverdueScore(exceeds float64) float64 {
	return max(0, math.Log((sickSilence+(1-sickSilence)*exceeds)/exceeds)/openingEvidence)
}

// ReportSilence takes the evidence of an attempt of this host. The first notice is for the hosts nearby, which share most
// of the evidence on an upstream; a second one is for all hosts, if the evidence has opened or closed the breaker.
func (s *Set) ReportOverdue(now time.Time, id settings.UpstreamID, silence OverdueUpdate) (near Notice, all []Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	near = Notice{Kind: NoticeOverdue, Upstream: id, Overdue: silence}
	if !s.silence(now, id, silence) {
		return near, nil
	}
	kind := NoticeClosed
	if s.circuits[id].open {
		kind = NoticeOpenedByOverdue
	}
	return near, []Notice{{Kind: kind, Upstream: id}}
}

func (s *Set) silence(now time.Time, id settings.UpstreamID, silence OverdueUpdate) (changed bool) {
	c := s.circuit(id)
	c.decay(now)
	c.silent += silence.Current - silence.Previous
	c.silent = max(c.silent, 0)
	c.add(now, silence.Current-silence.Previous)
	switch {
	case silence.Current < silence.Previous:
		return c.answered(now)
	case silence.Current >= failedSilence && silence.Previous < failedSilence && c.open:
		c.failed(now)
		c.hangs = true
		return false
	case c.strikes >= 1 && !c.open:
		hard := c.strikes-c.silent >= hardStrikes
		c.openFor(now)
		c.badAt, c.silenceOnly, c.hangs = now, !hard, true
		return true
	default:
		return false
	}
}

// answered closes a breaker that silence alone has opened, if answers have come after all.
func (c *circuit) answered(now time.Time) (closed bool) {
	if !c.open || !c.silenceOnly || c.strikes >= confirmedStrikes {
		return false
	}
	strikes := c.strikes
	c.close(now)
	c.strikes, c.silent = strikes, strikes
	return true
}

// Cause says what a notice tells of an upstream.
func (n *Notice) Cause() string {
	switch n.Kind {
	case NoticeOverdue, NoticeOpenedByOverdue:
		return "silence"
	default:
		return n.Sample.String()
	}
}

// Hangs reports whether an upstream's newest failure was silence: a request that fails there takes all of its time.
func (s *Set) Hangs(id settings.UpstreamID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.circuits[id]
	return c != nil && c.hangs
}

// IsOpen reports whether the breaker of an upstream is open.
func (s *Set) IsOpen(id settings.UpstreamID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.circuits[id]
	return c != nil && c.open
}
