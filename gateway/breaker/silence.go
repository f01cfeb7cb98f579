package breaker

import (
	"math"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

// OverdueProbabilities are the levels at which an attempt without a response is scored. An attempt reaches a level when the
// probability that a successful response takes longer than the age of the attempt falls to this value.
var OverdueProbabilities = [...]float64{0.12, 0.04, 0.015}

const (
	// hangingShare is the assumed share of requests that a hanging upstream leaves without a response.
	hangingShare = 0.6
	// openingLogRatio is the logarithm of the likelihood ratio, unhealthy to healthy, at which a breaker opens.
	openingLogRatio = 4.6
	// failedTrialScore is the score of one overdue attempt from which it counts as a failed trial.
	failedTrialScore = 0.5
	// confirmedScore is the failure score from which a breaker opened by overdue attempts stays open when a response arrives.
	confirmedScore = 0.6
	// minOtherScore is the score of other failures from which overdue attempts are not the only reason to open a breaker.
	minOtherScore = 0.3
)

// OverdueUpdate changes the contribution of one attempt without a response to the failure score of its upstream. Previous is
// the contribution that is already counted and Current replaces it. When the response arrives, Current is 0 or smaller than
// Previous.
type OverdueUpdate struct {
	Previous, Current float64
}

// OverdueScore returns the contribution of an attempt to the failure score. probability is the probability that a successful
// response takes longer than the age of the attempt. The score is a step of a sequential probability ratio test between a
// healthy upstream and one that leaves a part of its requests without a response.
func OverdueScore(probability float64) float64 {
	return max(0, math.Log((hangingShare+(1-hangingShare)*probability)/probability)/openingLogRatio)
}

// ReportOverdue applies the update of an attempt of this host. The local notice is for the hosts of the local data centre,
// which send the upstream most of its requests. The fleet notices are for all hosts; there is one if the update has opened or
// closed the breaker.
func (s *Set) ReportOverdue(now time.Time, id settings.UpstreamID, update OverdueUpdate) (local Notice, fleet []Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	local = Notice{Kind: NoticeOverdue, Upstream: id, Overdue: update}
	if !s.applyOverdue(now, id, update) {
		return local, nil
	}
	kind := NoticeClosed
	if s.circuits[id].open {
		kind = NoticeOpenedByOverdue
	}
	return local, []Notice{{Kind: kind, Upstream: id}}
}

func (s *Set) applyOverdue(now time.Time, id settings.UpstreamID, update OverdueUpdate) (changed bool) {
	c := s.circuit(id)
	c.decay(now)
	c.overdueScore += update.Current - update.Previous
	c.overdueScore = max(c.overdueScore, 0)
	c.addScore(now, update.Current-update.Previous)
	switch {
	case update.Current < update.Previous:
		return c.closeOnLateResponse(now)
	case update.Current >= failedTrialScore && update.Previous < failedTrialScore && c.open:
		c.fail(now)
		c.hangs = true
		return false
	case c.score >= 1 && !c.open:
		otherFailures := c.score-c.overdueScore >= minOtherScore
		c.trip(now)
		c.failedAt, c.overdueOnly, c.hangs = now, !otherFailures, true
		return true
	default:
		return false
	}
}

// closeOnLateResponse closes a breaker that overdue attempts alone have opened, if late responses have reduced the failure score
// to less than confirmedScore.
func (c *circuit) closeOnLateResponse(now time.Time) (closed bool) {
	if !c.open || !c.overdueOnly || c.score >= confirmedScore {
		return false
	}
	score := c.score
	c.close(now)
	c.score, c.overdueScore = score, score
	return true
}

// Cause returns the cause of a failure that a notice reports, as a log value.
func (n *Notice) Cause() string {
	switch n.Kind {
	case NoticeOverdue, NoticeOpenedByOverdue:
		return "silence"
	default:
		return n.Sample.String()
	}
}

// Hangs reports whether the latest failure of an upstream was an overdue attempt. A request that fails at such an upstream
// uses up its whole time limit.
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
