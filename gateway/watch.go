package gateway

import (
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/gateway/durations"
	"github.com/bronzeyard/bronzeyard/gateway/relay"
	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// maxQueueFactor bounds the factor by which a queue at the upstream may delay an answer. A sick upstream seems to have a
	// long one.
	maxQueueFactor = 2.0
	// unknownDurationWait is the time after which a service whose durations are not known is looked at again.
	unknownDurationWait = 100 * time.Millisecond
	// maxTimerDelay is the lateness of a timer from which the process was frozen or short of processor time.
	maxTimerDelay = 100 * time.Millisecond
	// lateResponseFactor is the part of the strikes that stays when an answer comes after the last level: the upstream is slow.
	lateResponseFactor = 0.5
)

// watch weighs an attempt while it has no answer.
type attemptMonitor struct {
	router   *router
	service  *serviceState
	route    durations.Route
	upstream settings.UpstreamID
	start    time.Time
	queue    float64 // factor at the start

	mu       sync.Mutex
	timer    *time.Timer
	due      time.Time
	level    int // the next one
	reported float64
	ended    bool
}

func (r *router) monitor(s *serviceState, route durations.Route, id settings.UpstreamID, now time.Time) *attemptMonitor {
	m := &attemptMonitor{router: r, service: s, route: route, upstream: id, start: now}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.queue = m.queueFactor(now)
	m.timer = time.AfterFunc(time.Hour, m.timerFired)
	m.schedule(now)
	return m
}

// untilLevel is the time until the next level, if there is one. A queue at the upstream delays it.
func (m *attemptMonitor) untilLevel(now time.Time) (time.Duration, bool) {
	if m.level >= len(breaker.SilenceLevels) {
		return 0, false
	}
	age, ok := m.service.durations.Age(m.route, breaker.SilenceLevels[m.level])
	if !ok {
		return 0, false
	}
	return time.Duration(float64(age)*m.queueFactor(now)) - now.Sub(m.start), true
}

// queueFactor is the factor by which a queue at the upstream delays an answer.
func (m *attemptMonitor) queueFactor(now time.Time) float64 {
	return min(max(1, m.service.pool.Reported(now, m.upstream)), maxQueueFactor)
}

// wait sets the timer for the next level. Where nothing is known of the service, answers of others may tell soon.
func (m *attemptMonitor) schedule(now time.Time) {
	left, ok := m.untilLevel(now)
	switch {
	case m.level >= len(breaker.SilenceLevels):
		return
	case !ok:
		left = unknownDurationWait
	}
	m.resetTimer(now, max(left, time.Millisecond))
}

func (m *attemptMonitor) resetTimer(now time.Time, left time.Duration) {
	m.due = now.Add(left)
	m.timer.Reset(left)
}

// reached reports the level, unless the queue at the upstream has grown meanwhile. A process that was frozen first reads the
// answers that came in this time.
func (m *attemptMonitor) timerFired() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		return
	}
	now := time.Now()
	if now.Sub(m.due) > maxTimerDelay {
		m.resetTimer(now, maxTimerDelay)
		return
	}
	if left, ok := m.untilLevel(now); ok && left <= 0 {
		m.report(breaker.SilenceStrikes(breaker.SilenceLevels[m.level]))
		m.level++
	}
	m.schedule(now)
}

// tell states the strikes of the attempt.
func (m *attemptMonitor) report(strikes float64) {
	m.router.reportOverdue(m.upstream, breaker.Silence{Before: m.reported, Now: strikes})
	m.reported = strikes
}

// end learns the duration of a good answer, without the queue that it waited in. It takes back the strikes if the upstream has answered, the most of them if it was very late.
func (m *attemptMonitor) end(outcome relay.Outcome, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	m.timer.Stop()
	if outcome == relay.Answered {
		m.service.durations.Observe(m.route, time.Duration(float64(took)/m.queue))
	}
	switch outcome {
	case relay.Answered, relay.NotRun, relay.WrongInstance:
	default:
		return
	}
	switch {
	case m.reported == 0:
	case m.level >= len(breaker.SilenceLevels) && outcome == relay.Answered:
		m.report(lateResponseFactor * m.reported)
	default:
		m.report(0)
	}
}
