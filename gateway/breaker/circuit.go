package breaker

import (
	"math"
	"time"
)

const (
	// scoreHalfLife is the half-life of the failure score.
	scoreHalfLife = 1500 * time.Millisecond
	// successFactor is applied to the failure score on each Good sample of this host while the breaker is closed.
	successFactor = 0.7
	// scoreAfterTrials is the failure score after trials have closed a breaker. With it, one error status soon afterwards opens
	// the breaker again.
	scoreAfterTrials = 0.5
	// maxScore bounds the failure score.
	maxScore = 3
	// nonRetryableDelay is the time after a successful trial during which only retryable requests may make the next one.
	nonRetryableDelay = 600 * time.Millisecond
	// trialsToClose is the number of successive trials that must succeed. One is not enough, because an unhealthy upstream
	// still responds to some requests.
	trialsToClose = 2
	// initialCooldown is the time that a breaker stays open at first for non-retryable requests. It is long because a trial may
	// cost a request that cannot be retried, while going without one upstream for some seconds costs little.
	initialCooldown = 6 * time.Second
	// retryableCooldown is the time after the breaker opened, or after the start of the last trial, from which a retryable
	// request may make a trial. A failure of such a request costs little, and an upstream that has recovered must receive a
	// request within 2 s.
	retryableCooldown = 1400 * time.Millisecond
	// assignedCooldown replaces retryableCooldown if one host assigns the trials of all hosts. It is shorter because that host knows
	// that no other trial runs, and the other upstreams carry the load of one that has recovered until a trial shows it.
	assignedCooldown = 700 * time.Millisecond
	// cooldownGrowth is the factor by which the cooldown grows after a failed trial, and when the breaker opens again within
	// cooldownResetAfter.
	cooldownGrowth = 1.2
	// maxCooldown bounds the cooldown.
	maxCooldown = 8 * time.Second
	// cooldownResetAfter is the time after the breaker closed from which the next cooldown is initialCooldown again.
	cooldownResetAfter = 6 * time.Second
	// trialReservation is the time after the start of a trial during which no host starts an early trial, or another one with a
	// non-retryable request. Retryable requests wait for retryableCooldown instead. A failure during this time counts as a
	// failed trial.
	trialReservation = 1500 * time.Millisecond
	// earlyTrialAfter is the time after the last failure from which a trial may start before the cooldown ends, if the other
	// upstreams are full.
	earlyTrialAfter = time.Second
	// recoveryAfter is the time after the last failure from which an upstream may have recovered.
	recoveryAfter = 2 * time.Second
	// rankDelay is the time between the turns of two successive hosts to make a trial. maxRankDelay and maxRetryableRankDelay
	// bound the time between the turns of the first and the last host, for non-retryable and for retryable requests.
	rankDelay             = 150 * time.Millisecond
	maxRankDelay          = 16 * rankDelay
	maxRetryableRankDelay = 300 * time.Millisecond
)

// circuit is the breaker of one upstream.
type circuit struct {
	score        float64
	overdueScore float64 // part of score that comes from overdue attempts
	scoreAt      time.Time
	overdueOnly  bool // opened by overdue attempts alone
	hangs        bool // the latest failure was an overdue attempt
	passedTrials int  // successive trials that succeeded
	failedAt     time.Time
	// retryableFrom is the time from which a retryable request may make a trial.
	retryableFrom  time.Time
	open           bool
	openUntil      time.Time
	trialAt        time.Time // start of the last trial of any host
	cooldown       time.Duration
	closedAt       time.Time
	ownTrial       bool // a trial of this host is running
	rank           int  // position of this host in the order of trials, valid while rankGeneration is current
	rankGeneration int
}

func (c *circuit) decay(now time.Time) {
	if !c.scoreAt.IsZero() {
		factor := math.Exp2(-float64(now.Sub(c.scoreAt)) / float64(scoreHalfLife))
		c.score *= factor
		c.overdueScore *= factor
	}
	c.scoreAt = now
}

// addScore adds to the failure score. delta may be negative.
func (c *circuit) addScore(now time.Time, delta float64) {
	c.decay(now)
	c.score = min(max(c.score+delta, 0), maxScore)
	c.overdueScore = min(c.overdueScore, c.score)
}

// fail handles a failure after its score was added. It reports whether the failure opens the breaker.
func (c *circuit) fail(now time.Time) bool {
	trial := c.ownTrial || now.Sub(c.trialAt) < trialReservation
	c.ownTrial, c.failedAt, c.overdueOnly, c.hangs = false, now, false, false
	switch {
	case c.open:
		// Attempts that started before the breaker opened add no information. A failed trial does.
		if trial {
			c.reopen(now)
		}
		return false
	case c.score >= 1:
		c.trip(now)
		return true
	default:
		return false
	}
}

// passTrial handles a successful trial. It reports whether that closes the breaker; otherwise the next trial is due.
func (c *circuit) passTrial(now time.Time) bool {
	c.passedTrials++
	if c.passedTrials >= trialsToClose {
		c.close(now)
		return true
	}
	// Retryable requests make the next trial first.
	c.ownTrial, c.openUntil, c.trialAt, c.retryableFrom = false, now.Add(nonRetryableDelay), time.Time{}, now
	return false
}

func (c *circuit) trip(now time.Time) {
	c.open, c.retryableFrom, c.passedTrials = true, now.Add(retryableCooldown), 0
	if c.cooldown == 0 || now.Sub(c.closedAt) > cooldownResetAfter {
		c.cooldown = initialCooldown
	} else {
		c.growCooldown()
	}
	c.openUntil = now.Add(c.cooldown)
}

// recordTrialStart records the start of a trial of any host.
func (c *circuit) recordTrialStart(now time.Time) {
	c.trialAt, c.retryableFrom = now, now.Add(retryableCooldown)
}

func (c *circuit) reopen(now time.Time) {
	c.passedTrials = 0
	c.growCooldown()
	c.openUntil = now.Add(c.cooldown)
}

func (c *circuit) growCooldown() {
	c.cooldown = min(maxCooldown, time.Duration(cooldownGrowth*float64(c.cooldown)))
}

func (c *circuit) close(now time.Time) {
	c.open, c.ownTrial, c.overdueOnly, c.closedAt = false, false, false, now
	c.score, c.overdueScore, c.scoreAt = scoreAfterTrials, 0, now
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
