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
	// maxQueueFactor bounds the factor by which a queue at the upstream may delay a response. An unhealthy upstream appears to have
	// a long queue.
	maxQueueFactor = 2.0
	// unknownDurationWait is the time between checks of an attempt while the durations of its service are unknown.
	unknownDurationWait = 100 * time.Millisecond
	// maxTimerDelay is the delay of a timer above which the process is assumed to have been paused or short of CPU time.
	maxTimerDelay = 100 * time.Millisecond
	// lateResponseFactor is the fraction of the failure score that remains when a response arrives after the last level, because
	// the upstream is slow.
	lateResponseFactor = 0.5
)

// attemptMonitor reports an attempt without a response as overdue. Each level stands for a lower probability that a successful
// response is still to come.
type attemptMonitor struct {
	service  *serviceState
	route    durations.Route
	upstream settings.UpstreamID
	start    time.Time
	queue    float64 // queueFactor at the start
	// reportOverdue reports an update of the failure score.
	reportOverdue func(settings.UpstreamID, breaker.OverdueUpdate)

	mu       sync.Mutex
	timer    *time.Timer
	due      time.Time
	level    int     // index of the next level
	reported float64 // failure score that was reported last
	ended    bool
}

// monitor starts to watch an attempt that this host has placed itself.
func (r *router) monitor(s *serviceState, route durations.Route, id settings.UpstreamID, now time.Time) *attemptMonitor {
	return newMonitor(s, route, id, now, r.reportOverdue)
}

func newMonitor(
	s *serviceState, route durations.Route, id settings.UpstreamID, now time.Time,
	reportOverdue func(settings.UpstreamID, breaker.OverdueUpdate),
) *attemptMonitor {
	m := &attemptMonitor{service: s, route: route, upstream: id, start: now, reportOverdue: reportOverdue}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.queue = m.queueFactor(now)
	m.timer = time.AfterFunc(time.Hour, m.timerFired)
	m.schedule(now)
	return m
}

// untilLevel returns the time until the attempt reaches the next level. It reports false if there is no further level or the
// durations are unknown. A queue at the upstream delays the level.
func (m *attemptMonitor) untilLevel(now time.Time) (time.Duration, bool) {
	if m.level >= len(breaker.OverdueProbabilities) {
		return 0, false
	}
	age, ok := m.service.durations.ExceedanceAge(m.route, breaker.OverdueProbabilities[m.level])
	if !ok {
		return 0, false
	}
	return time.Duration(float64(age)*m.queueFactor(now)) - now.Sub(m.start), true
}

// queueFactor returns the factor by which a queue at the upstream delays a response.
func (m *attemptMonitor) queueFactor(now time.Time) float64 {
	return min(max(1, m.service.pool.ReportedLoad(now, m.upstream)), maxQueueFactor)
}

// schedule sets the timer for the next level. If the durations of the service are unknown, it checks again soon, because other
// responses may provide them.
func (m *attemptMonitor) schedule(now time.Time) {
	left, ok := m.untilLevel(now)
	switch {
	case m.level >= len(breaker.OverdueProbabilities):
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

// timerFired reports the level, unless the queue at the upstream has grown in the meantime. After a pause, the process must first
// read the responses that arrived during it.
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
		m.report(breaker.OverdueScore(breaker.OverdueProbabilities[m.level]))
		m.level++
	}
	m.schedule(now)
}

// report updates the failure score of the attempt.
func (m *attemptMonitor) report(score float64) {
	m.reportOverdue(m.upstream, breaker.OverdueUpdate{Previous: m.reported, Current: score})
	m.reported = score
}

// suspend withdraws the failure score of the attempt and reports it no more: its response has begun, and waits for memory of this host.
func (m *attemptMonitor) suspend() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timer.Stop()
	m.ended = true
	if m.reported != 0 {
		m.report(0)
	}
}

// end adds the duration of a typical response to the model, without the time in the upstream's queue. The failure score of the
// attempt is withdrawn if the response was successful, if the upstream did not run the request, or if the host had no memory for the
// response. If a successful response came after the last level, the fraction lateResponseFactor of the score remains.
func (m *attemptMonitor) end(outcome relay.Outcome, took time.Duration, typical bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	m.timer.Stop()
	if typical {
		m.service.durations.Observe(m.route, time.Duration(float64(took)/m.queue))
	}
	switch outcome {
	case relay.Answered, relay.NotRun, relay.WrongInstance, relay.NoMemory, relay.NotPassedOn:
	default:
		return
	}
	switch {
	case m.reported == 0:
	case m.level >= len(breaker.OverdueProbabilities) && outcome == relay.Answered:
		m.report(lateResponseFactor * m.reported)
	default:
		m.report(0)
	}
}
