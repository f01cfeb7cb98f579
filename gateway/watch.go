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
	// longestQueue bounds the factor by which a queue at the upstream may delay an answer. A sick upstream seems to have a
	// long one.
	longestQueue = 2.0
	// unknownWait is the time after which a service whose durations are not known is looked at again.
	unknownWait = 100 * time.Millisecond
	// lateTimer is the lateness of a timer from which the process was frozen or short of processor time.
	lateTimer = 100 * time.Millisecond
	// keptSilence is the part of the strikes that stays when an answer comes after the last level: the upstream is slow.
	keptSilence = 0.5
)

// watch weighs an attempt while it has no answer.
type watch struct {
	router   *router
	service  *routedService
	route    durations.Route
	upstream settings.UpstreamID
	start    time.Time
	queue    float64 // factor at the start

	mu    sync.Mutex
	timer *time.Timer
	due   time.Time
	level int // the next one
	told  float64
	ended bool
}

func (r *router) watch(s *routedService, route durations.Route, id settings.UpstreamID, now time.Time) *watch {
	w := &watch{router: r, service: s, route: route, upstream: id, start: now}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = w.queueFactor(now)
	w.timer = time.AfterFunc(time.Hour, w.reached)
	w.wait(now)
	return w
}

// untilLevel is the time until the next level, if there is one. A queue at the upstream delays it.
func (w *watch) untilLevel(now time.Time) (time.Duration, bool) {
	if w.level >= len(breaker.OverdueProbabilities) {
		return 0, false
	}
	age, ok := w.service.durations.ExceedanceAge(w.route, breaker.OverdueProbabilities[w.level])
	if !ok {
		return 0, false
	}
	return time.Duration(float64(age)*w.queueFactor(now)) - now.Sub(w.start), true
}

// queueFactor is the factor by which a queue at the upstream delays an answer.
func (w *watch) queueFactor(now time.Time) float64 {
	return min(max(1, w.service.pool.ReportedLoad(now, w.upstream)), longestQueue)
}

// wait sets the timer for the next level. Where nothing is known of the service, answers of others may tell soon.
func (w *watch) wait(now time.Time) {
	left, ok := w.untilLevel(now)
	switch {
	case w.level >= len(breaker.OverdueProbabilities):
		return
	case !ok:
		left = unknownWait
	}
	w.waitFor(now, max(left, time.Millisecond))
}

func (w *watch) waitFor(now time.Time, left time.Duration) {
	w.due = now.Add(left)
	w.timer.Reset(left)
}

// reached reports the level, unless the queue at the upstream has grown meanwhile. A process that was frozen first reads the
// answers that came in this time.
func (w *watch) reached() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	now := time.Now()
	if now.Sub(w.due) > lateTimer {
		w.waitFor(now, lateTimer)
		return
	}
	if left, ok := w.untilLevel(now); ok && left <= 0 {
		w.tell(breaker.OverdueScore(breaker.OverdueProbabilities[w.level]))
		w.level++
	}
	w.wait(now)
}

// tell states the strikes of the attempt.
func (w *watch) tell(strikes float64) {
	w.router.reportSilence(w.upstream, breaker.OverdueUpdate{Previous: w.told, Current: strikes})
	w.told = strikes
}

// end learns the duration of a good answer, without the queue that it waited in. It takes back the strikes if the upstream has answered, the most of them if it was very late.
func (w *watch) end(outcome relay.Outcome, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
	if outcome == relay.Answered {
		w.service.durations.Observe(w.route, time.Duration(float64(took)/w.queue))
	}
	switch outcome {
	case relay.Answered, relay.NotRun, relay.WrongInstance:
	default:
		return
	}
	switch {
	case w.told == 0:
	case w.level >= len(breaker.OverdueProbabilities) && outcome == relay.Answered:
		w.tell(keptSilence * w.told)
	default:
		w.tell(0)
	}
}
