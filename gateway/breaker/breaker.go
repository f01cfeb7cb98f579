package breaker

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/rendezvous"
)

// Sample is what an attempt says about its upstream.
type Sample int

// The samples.
const (
	// Good is a whole answer in time.
	Good Sample = iota + 1
	// ErrorStatus is an answer with a status that says the upstream failed.
	ErrorStatus
	// Broken is a reset, a cut or wrong answer.
	Broken
	// Unreachable means that no connection was obtained.
	Unreachable
)

// Strikes by sample. A breaker opens at 1.
const (
	strikesErrorStatus = 0.6
	strikesBroken      = 1.0
	strikesUnreachable = 1.0
	// strikesHeardUnreachable counts a failed connection of another host. It may be the path from there.
	strikesHeardUnreachable = 0.4
)

const (
	// strikeHalfLife is the time in which strikes lose half of their weight.
	strikeHalfLife = 1500 * time.Millisecond
	// goodFactor shrinks the strikes on a good sample of this host.
	goodFactor = 0.7
	// strikesAfterTrial remain when trials close a breaker, so that an error status right after opens it again.
	strikesAfterTrial = 0.5
	// mostStrikes bounds the strikes.
	mostStrikes = 3
	// unrepeatableDelay is the time after a trial that succeeded, in which requests that can be sent again make the next one.
	unrepeatableDelay = 600 * time.Millisecond
	// trialsToClose is the number of trials in a row that must succeed: a sick upstream still answers some requests.
	trialsToClose = 2
	// firstHold is how long a breaker stays open at first. A trial may cost a request that cannot be repeated, and an
	// upstream that is missed for some seconds costs little.
	firstHold = 6 * time.Second
	// repeatableHold is the time from the opening or the start of the last trial, after which a request that can be sent again
	// makes a trial. Its failure costs little. An upstream that has recovered must get a request within 2 s.
	repeatableHold = 1400 * time.Millisecond
	// holdGrowth is the factor between the holds of breakers that open again after a trial.
	holdGrowth = 1.2
	// longestHold bounds the hold.
	longestHold = 8 * time.Second
	// forgetHold is the time after a close from which the next hold is the first again.
	forgetHold = 6 * time.Second
	// trialHold is how long a trial keeps other hosts from making one.
	trialHold = 1500 * time.Millisecond
	// earlyAfter is the time after the last bad sample from which a trial may come before the hold ends, if the other
	// upstreams are full.
	earlyAfter = time.Second
	// wellAfter is the time after the last bad sample from which an upstream may be well again.
	wellAfter = 2 * time.Second
	// rankDelay is the time between the turns of two hosts for a trial. rankSpread and repeatableRankSpread bound the time
	// between the first and the last host, for requests that cannot be sent again and for those that can.
	rankDelay            = 150 * time.Millisecond
	rankSpread           = 16 * rankDelay
	repeatableRankSpread = 300 * time.Millisecond
)

// NoticeKind says what happened to a breaker.
type NoticeKind int

// The kinds of notice.
const (
	// NoticeSample tells of a bad sample.
	NoticeSample NoticeKind = iota + 1
	// NoticeTrial tells that a trial has started.
	NoticeTrialStarted
	// NoticeClosed tells that the last of the trials succeeded.
	NoticeClosed
	// NoticePassed tells that a trial succeeded and a further one is due.
	NoticeTrialPassed
	// NoticeSilence tells of an attempt that has no answer yet, or now has one.
	NoticeOverdue
	// NoticeSilent tells that silence has opened a breaker, to hosts that are not told of each attempt.
	NoticeOpenedByOverdue
)

// Notice is what other hosts are told.
type Notice struct {
	Kind     NoticeKind
	Upstream settings.UpstreamID
	// Sample is set with NoticeSample.
	Sample Sample
	// Silence is set with NoticeSilence.
	Overdue OverdueUpdate
}

// State is the state of a breaker.
type State int

// The states.
const (
	Closed State = iota
	Open
	// TrialDue means that this host may make a trial.
	TrialDue
)

type circuit struct {
	strikes     float64
	silent      float64 // the part of strikes that comes from attempts without an answer
	strikesAt   time.Time
	silenceOnly bool // open because of silence alone
	hangs       bool // the newest failure was silence
	passed      int  // trials in a row that succeeded
	badAt       time.Time
	// repeatableFrom is the time from which a request that can be sent again may make a trial.
	repeatableFrom time.Time
	open           bool
	until          time.Time
	triedAt        time.Time // of the last trial of any host
	hold           time.Duration
	closedAt       time.Time
	trial          bool // this host's trial is running
	rank           int  // this host's place in the order of trials, as of the hosts of rankedFor
	rankedFor      int
}

// Set holds the breakers of all upstreams. It is safe for concurrent use.
type Set struct {
	self string

	mu    sync.Mutex
	hosts []string
	// generation counts the changes of hosts.
	generation int
	circuits   map[settings.UpstreamID]*circuit
}

// New returns a Set without breakers. self is the host's own id.
func New(self string) *Set {
	return &Set{self: self, hosts: []string{self}, generation: 1, circuits: make(map[settings.UpstreamID]*circuit)}
}

// SetHosts states the live hosts, this one included, which take turns in trials.
func (s *Set) SetHosts(hosts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(s.hosts, hosts) {
		s.hosts = hosts
		s.generation++
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

// State returns the state of an upstream's breaker for a request that can be sent again or not.
func (s *Set) State(now time.Time, id settings.UpstreamID, repeatable bool) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.circuits[id]
	if c == nil || !c.open {
		return Closed
	}
	rank := time.Duration(s.rank(id, c))
	due := c.until.Add(rank * s.delayWithin(rankSpread))
	if repeatable {
		due = earlier(due, c.repeatableFrom.Add(rank*s.delayWithin(repeatableRankSpread)))
	}
	if now.Before(due) {
		return Open
	}
	return TrialDue
}

// delayWithin is the time between the turns of two hosts if all turns must come within the spread.
func (s *Set) delayWithin(spread time.Duration) time.Duration {
	return min(rankDelay, spread/time.Duration(max(1, len(s.hosts))))
}

// Strikes returns the strikes against an upstream.
func (s *Set) FailureScore(now time.Time, id settings.UpstreamID) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.circuits[id]
	if c == nil {
		return 0
	}
	c.decay(now)
	return c.strikes
}

// rank is this host's place in the order of trials of an upstream. It is computed once for each set of hosts, because it is
// needed for each open breaker at each choice.
func (s *Set) rank(id settings.UpstreamID, c *circuit) int {
	if c.rankedFor == s.generation {
		return c.rank
	}
	own := rendezvous.Score(string(id), s.self)
	c.rank, c.rankedFor = 0, s.generation
	for _, host := range s.hosts {
		if host != s.self && rendezvous.Score(string(id), host) > own {
			c.rank++
		}
	}
	return c.rank
}

// MayTryEarly reports whether a trial may start before the hold ends.
func (s *Set) EarlyTrialAllowed(now time.Time, id settings.UpstreamID) bool {
	return s.mayTry(now, id, earlyAfter)
}

// MayBeWell reports whether a trial may start before the hold ends because too many upstreams are out of use.
func (s *Set) MayHaveRecovered(now time.Time, id settings.UpstreamID) bool {
	return s.mayTry(now, id, wellAfter)
}

// mayTry reports whether a trial may start some time after the last bad sample, and none is running.
func (s *Set) mayTry(now time.Time, id settings.UpstreamID, after time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.circuits[id]
	return c != nil && c.open && now.Sub(c.badAt) >= after && now.Sub(c.triedAt) >= trialHold
}

// BeginTrial starts a trial of this host.
func (s *Set) BeginTrial(now time.Time, id settings.UpstreamID) []Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.circuits[id]
	if c == nil || !c.open {
		return nil
	}
	c.trial = true
	c.tried(now)
	c.until = later(c.until, now.Add(trialHold))
	return []Notice{{Kind: NoticeTrialStarted, Upstream: id}}
}

// Report takes a sample of this host. opened is true if it opened the breaker.
func (s *Set) Report(now time.Time, id settings.UpstreamID, sample Sample) (notices []Notice, opened bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sample == Good {
		return s.good(now, id), false
	}
	opened = s.bad(now, id, strikesOf(sample))
	return []Notice{{Kind: NoticeSample, Upstream: id, Sample: sample}}, opened
}

func (s *Set) good(now time.Time, id settings.UpstreamID) []Notice {
	c := s.circuits[id]
	switch {
	case c == nil:
		return nil
	case c.open && c.trial:
		if c.pass(now) {
			return []Notice{{Kind: NoticeClosed, Upstream: id}}
		}
		return []Notice{{Kind: NoticeTrialPassed, Upstream: id}}
	case !c.open:
		c.decay(now)
		c.strikes *= goodFactor
		c.silent *= goodFactor
	}
	return nil
}

// Hear takes a notice of another host. changed is true if it opened or closed the breaker.
func (s *Set) Receive(now time.Time, notice Notice) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch notice.Kind {
	case NoticeSample:
		strikes := strikesOf(notice.Sample)
		if notice.Sample == Unreachable {
			strikes = strikesHeardUnreachable
		}
		return s.bad(now, notice.Upstream, strikes)
	case NoticeTrialStarted:
		if c := s.circuits[notice.Upstream]; c != nil && c.open && !c.trial {
			c.until = later(c.until, now.Add(trialHold))
			c.tried(now)
		}
	case NoticeTrialPassed:
		if c := s.circuits[notice.Upstream]; c != nil && c.open {
			return c.pass(now)
		}
	case NoticeClosed:
		if c := s.circuits[notice.Upstream]; c != nil && c.open {
			c.close(now)
			return true
		}
	case NoticeOverdue:
		return s.silence(now, notice.Upstream, notice.Overdue)
	case NoticeOpenedByOverdue:
		c := s.circuit(notice.Upstream)
		if !c.open {
			c.openFor(now)
			c.silenceOnly, c.hangs, c.badAt = true, true, now
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

func (s *Set) bad(now time.Time, id settings.UpstreamID, strikes float64) bool {
	c := s.circuit(id)
	c.add(now, strikes)
	return c.failed(now)
}

func strikesOf(sample Sample) float64 {
	switch sample {
	case ErrorStatus:
		return strikesErrorStatus
	case Unreachable:
		return strikesUnreachable
	default:
		return strikesBroken
	}
}

func (c *circuit) decay(now time.Time) {
	if !c.strikesAt.IsZero() {
		factor := math.Exp2(-float64(now.Sub(c.strikesAt)) / float64(strikeHalfLife))
		c.strikes *= factor
		c.silent *= factor
	}
	c.strikesAt = now
}

// add adds strikes, which may be negative.
func (c *circuit) add(now time.Time, strikes float64) {
	c.decay(now)
	c.strikes = min(max(c.strikes+strikes, 0), mostStrikes)
	c.silent = min(c.silent, c.strikes)
}

// failed takes a bad sample whose strikes were added. It reports whether it opens the breaker.
func (c *circuit) failed(now time.Time) bool {
	trial := c.trial || now.Sub(c.triedAt) < trialHold
	c.trial, c.badAt, c.silenceOnly, c.hangs = false, now, false, false
	switch {
	case c.open:
		// Attempts from before the breaker opened say nothing new; a trial that failed does.
		if trial {
			c.reopen(now)
		}
		return false
	case c.strikes >= 1:
		c.openFor(now)
		return true
	default:
		return false
	}
}

// pass takes a trial that succeeded. It reports whether that closes the breaker; otherwise the next trial is due.
func (c *circuit) pass(now time.Time) bool {
	c.passed++
	if c.passed >= trialsToClose {
		c.close(now)
		return true
	}
	// Requests that can be sent again come first.
	c.trial, c.until, c.triedAt, c.repeatableFrom = false, now.Add(unrepeatableDelay), time.Time{}, now
	return false
}

func (c *circuit) openFor(now time.Time) {
	c.open, c.repeatableFrom, c.passed = true, now.Add(repeatableHold), 0
	if c.hold == 0 || now.Sub(c.closedAt) > forgetHold {
		c.hold = firstHold
	} else {
		c.grow()
	}
	c.until = now.Add(c.hold)
}

// tried notes the start of a trial of any host.
func (c *circuit) tried(now time.Time) { c.triedAt, c.repeatableFrom = now, now.Add(repeatableHold) }

func (c *circuit) reopen(now time.Time) {
	c.passed = 0
	c.grow()
	c.until = now.Add(c.hold)
}

func (c *circuit) grow() { c.hold = min(longestHold, time.Duration(holdGrowth*float64(c.hold))) }

func (c *circuit) close(now time.Time) {
	c.open, c.trial, c.silenceOnly, c.closedAt = false, false, false, now
	c.strikes, c.silent, c.strikesAt = strikesAfterTrial, 0, now
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
