package breaker

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/rendezvous"
)

// Sample classifies the result of an attempt with regard to the health of its upstream.
type Sample int

// Samples.
const (
	// Good is a complete response within the time limit.
	Good Sample = iota + 1
	// ErrorStatus is a response whose status indicates that the upstream failed.
	ErrorStatus
	// Broken is a connection reset, or a truncated or invalid response.
	Broken
	// Unreachable means that no connection could be obtained.
	Unreachable
)

// Additions to the failure score by sample. A breaker opens at a score of 1.
const (
	scoreErrorStatus = 0.6
	scoreBroken      = 1.0
	scoreUnreachable = 1.0
	// scoreUnreachableElsewhere is for a failed connection of another host. The cause may be the network path from that host.
	scoreUnreachableElsewhere = 0.4
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

// NoticeKind is the kind of event that a Notice reports.
type NoticeKind int

// Kinds of notice.
const (
	// NoticeSample reports a failed sample.
	NoticeSample NoticeKind = iota + 1
	// NoticeTrialStarted reports that a trial has started.
	NoticeTrialStarted
	// NoticeClosed reports that a breaker has closed after its last required trial, or because late responses arrived.
	NoticeClosed
	// NoticeTrialPassed reports that a trial succeeded and a further one is due.
	NoticeTrialPassed
	// NoticeOverdue reports an attempt that has no response yet, or whose response has now arrived.
	NoticeOverdue
	// NoticeOpenedByOverdue reports that overdue attempts have opened a breaker. It is for hosts that do not receive
	// NoticeOverdue.
	NoticeOpenedByOverdue
)

// Notice is an update about one breaker for the other hosts.
type Notice struct {
	Kind     NoticeKind
	Upstream settings.UpstreamID
	// Sample is set with NoticeSample.
	Sample Sample
	// Overdue is set with NoticeOverdue.
	Overdue OverdueUpdate
}

// State is the state of a breaker.
type State int

// Breaker states.
const (
	Closed State = iota
	Open
	// TrialDue means that this host may make a half-open trial.
	TrialDue
)

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

// Set holds the breakers of all upstreams. It is safe for concurrent use.
type Set struct {
	self string

	mu    sync.Mutex
	hosts []string
	// hostsGeneration counts the changes of hosts.
	hostsGeneration int
	circuits        map[settings.UpstreamID]*circuit
}

// New returns a Set without breakers. self is the id of this host.
func New(self string) *Set {
	return &Set{self: self, hosts: []string{self}, hostsGeneration: 1, circuits: make(map[settings.UpstreamID]*circuit)}
}

// SetHosts sets the live hosts, including this one, which take turns in making trials.
func (s *Set) SetHosts(hosts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(s.hosts, hosts) {
		s.hosts = hosts
		s.hostsGeneration++
	}
}

// Keep drops the breakers of upstreams for which keep is false.
func (s *Set) Keep(keep func(settings.UpstreamID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.circuits {
		if !keep(id) {
			delete(s.circuits, id)
		}
	}
}

// State returns the state of the breaker of an upstream for a retryable or non-retryable request.
func (s *Set) State(now time.Time, id settings.UpstreamID, retryable bool) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.circuits[id]
	if c == nil || !c.open {
		return Closed
	}
	rank := time.Duration(s.rank(id, c))
	due := c.openUntil.Add(rank * s.rankDelayWithin(maxRankDelay))
	if retryable {
		due = earlier(due, c.retryableFrom.Add(rank*s.rankDelayWithin(maxRetryableRankDelay)))
	}
	if now.Before(due) {
		return Open
	}
	return TrialDue
}

// rankDelayWithin returns the time between the turns of two successive hosts if all turns must fall within the limit.
func (s *Set) rankDelayWithin(limit time.Duration) time.Duration {
	return min(rankDelay, limit/time.Duration(max(1, len(s.hosts))))
}

// FailureScore returns the current failure score of an upstream.
func (s *Set) FailureScore(now time.Time, id settings.UpstreamID) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.circuits[id]
	if c == nil {
		return 0
	}
	c.decay(now)
	return c.score
}

// rank returns the position of this host in the order of trials of an upstream. It is cached for each set of hosts, because
// every choice of an upstream needs it for each open breaker.
func (s *Set) rank(id settings.UpstreamID, c *circuit) int {
	if c.rankGeneration == s.hostsGeneration {
		return c.rank
	}
	own := rendezvous.Score(string(id), s.self)
	c.rank, c.rankGeneration = 0, s.hostsGeneration
	for _, host := range s.hosts {
		if host != s.self && rendezvous.Score(string(id), host) > own {
			c.rank++
		}
	}
	return c.rank
}

// EarlyTrialAllowed reports whether a trial may start before the cooldown ends. Callers use it if the other upstreams are full.
func (s *Set) EarlyTrialAllowed(now time.Time, id settings.UpstreamID) bool {
	return s.trialAllowed(now, id, earlyTrialAfter)
}

// MayHaveRecovered reports whether a trial may start before the cooldown ends. Callers use it if too many upstreams are out of
// use.
func (s *Set) MayHaveRecovered(now time.Time, id settings.UpstreamID) bool {
	return s.trialAllowed(now, id, recoveryAfter)
}

// trialAllowed reports whether the breaker is open, the given time has passed since the last failure, and no trial has started
// within trialReservation.
func (s *Set) trialAllowed(now time.Time, id settings.UpstreamID, after time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.circuits[id]
	return c != nil && c.open && now.Sub(c.failedAt) >= after && now.Sub(c.trialAt) >= trialReservation
}

// BeginTrial starts a trial of this host and returns the notices for the other hosts.
func (s *Set) BeginTrial(now time.Time, id settings.UpstreamID) []Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.circuits[id]
	if c == nil || !c.open {
		return nil
	}
	c.ownTrial = true
	c.recordTrialStart(now)
	c.openUntil = later(c.openUntil, now.Add(trialReservation))
	return []Notice{{Kind: NoticeTrialStarted, Upstream: id}}
}

// Report records a sample of this host and returns the notices for the other hosts. opened is true if the sample opened the
// breaker.
func (s *Set) Report(now time.Time, id settings.UpstreamID, sample Sample) (notices []Notice, opened bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sample == Good {
		return s.recordSuccess(now, id), false
	}
	opened = s.recordFailure(now, id, scoreOf(sample))
	return []Notice{{Kind: NoticeSample, Upstream: id, Sample: sample}}, opened
}

func (s *Set) recordSuccess(now time.Time, id settings.UpstreamID) []Notice {
	c := s.circuits[id]
	switch {
	case c == nil:
		return nil
	case c.open && c.ownTrial:
		if c.passTrial(now) {
			return []Notice{{Kind: NoticeClosed, Upstream: id}}
		}
		return []Notice{{Kind: NoticeTrialPassed, Upstream: id}}
	case !c.open:
		c.decay(now)
		c.score *= successFactor
		c.overdueScore *= successFactor
	}
	return nil
}

// Receive applies a notice of another host. changed is true if it opened or closed the breaker.
func (s *Set) Receive(now time.Time, notice Notice) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch notice.Kind {
	case NoticeSample:
		score := scoreOf(notice.Sample)
		if notice.Sample == Unreachable {
			score = scoreUnreachableElsewhere
		}
		return s.recordFailure(now, notice.Upstream, score)
	case NoticeTrialStarted:
		if c := s.circuits[notice.Upstream]; c != nil && c.open && !c.ownTrial {
			c.openUntil = later(c.openUntil, now.Add(trialReservation))
			c.recordTrialStart(now)
		}
	case NoticeTrialPassed:
		if c := s.circuits[notice.Upstream]; c != nil && c.open {
			return c.passTrial(now)
		}
	case NoticeClosed:
		if c := s.circuits[notice.Upstream]; c != nil && c.open {
			c.close(now)
			return true
		}
	case NoticeOverdue:
		return s.applyOverdue(now, notice.Upstream, notice.Overdue)
	case NoticeOpenedByOverdue:
		c := s.circuit(notice.Upstream)
		if !c.open {
			c.trip(now)
			c.overdueOnly, c.hangs, c.failedAt = true, true, now
			return true
		}
	}
	return false
}

func (s *Set) circuit(id settings.UpstreamID) *circuit {
	c := s.circuits[id]
	if c == nil {
		c = &circuit{}
		s.circuits[id] = c
	}
	return c
}

func (s *Set) recordFailure(now time.Time, id settings.UpstreamID, score float64) bool {
	c := s.circuit(id)
	c.addScore(now, score)
	return c.fail(now)
}

func scoreOf(sample Sample) float64 {
	switch sample {
	case ErrorStatus:
		return scoreErrorStatus
	case Unreachable:
		return scoreUnreachable
	default:
		return scoreBroken
	}
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

// String implements fmt.Stringer.
func (s Sample) String() string {
	switch s {
	case Good:
		return "good"
	case ErrorStatus:
		return "error_status"
	case Broken:
		return "broken"
	case Unreachable:
		return "unreachable"
	default:
		return "invalid"
	}
}
