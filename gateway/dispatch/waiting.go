package dispatch

import (
	"time"

	"github.com/bronzeyard/bronzeyard/traffic/queue"
)

const (
	// maxWaitingPerSlot bounds the queue. More requests per slot would wait longer than most time limits.
	maxWaitingPerSlot = 16
	// oldestInterval is the number of grants to waiting requests of which one goes to the request that has waited longest.
	oldestInterval = 10
	// minRetryAfter bounds Retry-After from below.
	minRetryAfter = 100 * time.Millisecond
	// retryAfterSpread is the range of the random factor of Retry-After above 1, which keeps callers from returning at the same time.
	retryAfterSpread = 0.5
	// maxWait bounds the expected wait if slots hardly become free.
	maxWait = time.Minute
	// maxTickAge is the time since the last Tick after which the deadlines of the waiting requests are checked before they are served.
	maxTickAge = 200 * time.Millisecond
)

// waiting is a request in the queue.
type waiting struct {
	request Request
	since   time.Time
	entry   *queue.Entry[rank, *waiting]
}

// enqueue adds a request to the queue and serves the queue.
func (d *Dispatcher) enqueue(now time.Time, request *Request) []Reply {
	w := &waiting{request: *request, since: now}
	r := rank{Priority: request.Priority, late: d.isLate(now, request)}
	estimate := d.estimate(now)
	if estimate.isHopeless(now, request, d.line.Ahead(r, request.Customer, request.Weight)) {
		return []Reply{d.reject(now, request.ID)}
	}
	var replies []Reply
	if d.line.Len() >= maxWaitingPerSlot*d.slots {
		displaced := d.line.Displaced(r, request.Customer, request.Weight)
		if displaced == nil {
			return []Reply{d.reject(now, request.ID)}
		}
		replies = append(replies, d.rejectWaiting(now, displaced.Value))
	}
	d.waiting[request.ID] = w
	w.entry = d.line.Add(r, request.Customer, request.Weight, request.NeedsToken, w)
	replies = append(replies, d.serve(now)...)
	if d.waiting[request.ID] != nil {
		replies = append(replies, Reply{ID: request.ID, Kind: Queued})
	}
	return replies
}

// rejectAfterPause rejects the waiting requests whose deadlines have passed if there was no Tick for maxTickAge, because the process was
// paused. Otherwise they would get the slots that others need. The ticks reject them before their deadlines if they are in time.
func (d *Dispatcher) rejectAfterPause(now time.Time) (replies []Reply) {
	if now.Sub(d.tickedAt) < maxTickAge {
		return nil
	}
	d.tickedAt = now
	var expired []*waiting
	d.line.Each(func(e *queue.Entry[rank, *waiting], _ float64) {
		if !now.Before(e.Value.request.Deadline) {
			expired = append(expired, e.Value)
		}
	})
	for _, w := range expired {
		replies = append(replies, d.rejectWaiting(now, w))
	}
	return replies
}

// isLate reports whether the request has a target latency that it can no longer meet.
func (d *Dispatcher) isLate(now time.Time, request *Request) bool {
	return !request.Target.IsZero() && now.Add(d.durations.typical()).After(request.Target)
}

// estimate is what is known about the waits of requests.
type estimate struct {
	perSlot float64 // seconds until a further slot becomes free; 0 if not known
	typical time.Duration
	// shareWithoutToken is the share of the waiting requests ahead that take slots before a request that needs no token.
	shareWithoutToken float64
}

func (d *Dispatcher) estimate(now time.Time) estimate {
	e := estimate{typical: d.durations.typical(), shareWithoutToken: 1}
	if held := d.line.Held(); held > 0 && !d.options.HasToken(now) {
		e.shareWithoutToken = 1 - float64(held)/float64(d.line.Len())
	}
	prior := 0.0
	if mean := d.durations.mean; mean > 0 {
		for _, u := range d.upstreams {
			if u.closed {
				prior += float64(u.Slots) / mean.Seconds()
			}
		}
	}
	if rate := d.drain.rate(now, prior); rate > 0 {
		e.perSlot = 1 / rate
	}
	return e
}

// timeToFree returns the time in which a number of slots become free; 0 if nothing is known.
func (e *estimate) timeToFree(slots float64) time.Duration {
	return time.Duration(min(slots*e.perSlot, maxWait.Seconds()) * float64(time.Second))
}

// isHopeless reports whether a request with the given number of others ahead of it cannot be served before its deadline.
func (e *estimate) isHopeless(now time.Time, request *Request, ahead float64) bool {
	if !request.NeedsToken {
		ahead *= e.shareWithoutToken
	}
	return now.Add(e.timeToFree(ahead+1) + e.typical).After(request.Deadline)
}

// serve grants free slots to waiting requests.
func (d *Dispatcher) serve(now time.Time) []Reply {
	replies := d.rejectAfterPause(now)
	for extra := 0; d.line.Len() > 0 && extra <= 1; {
		held := d.line.Held() > 0 && d.options.HasToken(now)
		if !held && d.line.Len() == d.line.Held() {
			break
		}
		if !d.anyFree(extra) {
			extra++
			continue
		}
		w, u := d.next(now, held, extra)
		if w == nil {
			extra++ // the free upstreams are excluded
			continue
		}
		d.lineGrants++
		delete(d.waiting, w.request.ID)
		replies = append(replies, d.grant(now, &w.request, u, false))
	}
	return replies
}

func (d *Dispatcher) anyFree(extra int) bool {
	for _, u := range d.upstreams {
		if u.closed && u.isFree(extra) {
			return true
		}
	}
	return false
}

// next removes the request that is served next and returns it with its upstream.
func (d *Dispatcher) next(now time.Time, held bool, extra int) (*waiting, *upstream) {
	var chosen *upstream
	accept := func(w *waiting) bool {
		chosen = d.choose(now, &w.request, extra)
		return chosen != nil && (!w.request.NeedsToken || d.options.TakeToken(now))
	}
	if (d.lineGrants+1)%oldestInterval == 0 {
		if oldest := d.line.Oldest(held); oldest != nil && accept(oldest.Value) {
			d.line.Remove(oldest)
			return oldest.Value, chosen
		}
	}
	if e := d.line.Next(held, accept); e != nil {
		return e.Value, chosen
	}
	return nil, nil
}

// rejectHopeless rejects the waiting requests that cannot be served before their deadlines, and moves those that can no longer meet
// their target latency behind the others of their priority.
func (d *Dispatcher) rejectHopeless(now time.Time) []Reply {
	if d.line.Len() == 0 {
		return nil
	}
	estimate := d.estimate(now)
	var hopeless, late []*waiting
	d.line.Each(func(e *queue.Entry[rank, *waiting], ahead float64) {
		switch w := e.Value; {
		// Each rejection moves the others forward.
		case estimate.isHopeless(now, &w.request, max(0, ahead-float64(len(hopeless)))):
			hopeless = append(hopeless, w)
		case !e.Priority.late && d.isLate(now, &w.request):
			late = append(late, w)
		}
	})
	replies := make([]Reply, 0, len(hopeless))
	for _, w := range hopeless {
		replies = append(replies, d.rejectWaiting(now, w))
	}
	for _, w := range late {
		d.line.Move(w.entry, rank{Priority: w.request.Priority, late: true})
	}
	return replies
}

func (d *Dispatcher) rejectWaiting(now time.Time, w *waiting) Reply {
	reply := d.reject(now, w.request.ID)
	d.line.Remove(w.entry)
	delete(d.waiting, w.request.ID)
	return reply
}

func (d *Dispatcher) reject(now time.Time, id RequestID) Reply {
	estimate := d.estimate(now)
	drained := estimate.timeToFree(float64(d.line.Len() + 1))
	factor := 1 + retryAfterSpread*d.options.Random.Float64()
	retryAfter := time.Duration(factor * float64(max(minRetryAfter, drained)))
	d.ended.add(id, retryAfter)
	d.counters.Rejections++
	return Reply{ID: id, Kind: Rejected, RetryAfter: retryAfter}
}
