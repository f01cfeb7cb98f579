package breaker

import (
	"slices"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/rendezvous"
)

// State is the state of a breaker.
type State int

// Breaker states.
const (
	Closed State = iota
	Open
	// TrialDue means that this host may make a half-open trial.
	TrialDue
)

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

// TrialState returns the state of the breaker of an upstream for a request whose trial this host assigns on behalf of all hosts. The
// hosts need not take turns then, and a retryable request may make a trial after the shorter assignedCooldown.
func (s *Set) TrialState(now time.Time, id settings.UpstreamID, retryable bool) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.circuits[id]
	if c == nil || !c.open {
		return Closed
	}
	due := c.openUntil
	if retryable {
		due = earlier(due, c.retryableFrom.Add(assignedCooldown-retryableCooldown))
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
	return s.TrialAllowed(now, id, earlyTrialAfter)
}

// MayHaveRecovered reports whether a trial may start before the cooldown ends. Callers use it if too many upstreams are out of
// use.
func (s *Set) MayHaveRecovered(now time.Time, id settings.UpstreamID) bool {
	return s.TrialAllowed(now, id, recoveryAfter)
}

// TrialAllowed reports whether the breaker is open, the given time has passed since the last failure, and no trial has started
// within trialReservation.
func (s *Set) TrialAllowed(now time.Time, id settings.UpstreamID, after time.Duration) bool {
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
	if sample == Good || sample == Responded {
		return s.recordSuccess(now, id, sample), false
	}
	opened = s.recordFailure(now, id, scoreOf(sample))
	return []Notice{{Kind: NoticeSample, Upstream: id, Sample: sample}}, opened
}

func (s *Set) recordSuccess(now time.Time, id settings.UpstreamID, sample Sample) []Notice {
	c := s.circuits[id]
	switch {
	case c == nil:
		return nil
	case c.open && c.ownTrial:
		if c.passTrial(now) {
			return []Notice{{Kind: NoticeClosed, Upstream: id}}
		}
		return []Notice{{Kind: NoticeTrialPassed, Upstream: id}}
	case !c.open && sample == Good:
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
