package dispatch

import "time"

const (
	// expiryDelay is the time after the deadline of a request when its grant expires, for a release that is in transit.
	expiryDelay = 200 * time.Millisecond
	// defaultTimeLimit is the time limit of a request without one.
	defaultTimeLimit = time.Minute
	// endedPeriod is the minimum time for which the id of a request is known after its end. It must be longer than the time in which
	// a message is repeated or delayed.
	endedPeriod = 2 * time.Second
)

// grant is an assigned slot.
type grant struct {
	upstream *upstream
	trial    bool
	expires  time.Time
	reply    Reply
}

func (d *Dispatcher) grant(now time.Time, request *Request, u *upstream, trial bool) Reply {
	reply := Reply{ID: request.ID, Kind: Granted, Upstream: u.ID, Trial: trial, Load: u.load()}
	g := &grant{upstream: u, trial: trial, expires: request.Deadline.Add(expiryDelay), reply: reply}
	if len(d.grants) == 0 || g.expires.Before(d.nextExpiry) {
		d.nextExpiry = g.expires
	}
	d.grants[request.ID] = g
	u.grants++
	u.usedAt = now
	d.counters.Grants++
	if trial {
		u.trial, u.trialAt = true, now
		d.counters.Trials++
	}
	return reply
}

func (d *Dispatcher) endGrant(now time.Time, g *grant) {
	delete(d.grants, g.reply.ID)
	g.upstream.grants--
	if g.trial {
		g.upstream.trial = false
	}
	d.drain.freed(now)
}

func (d *Dispatcher) expireGrants(now time.Time) {
	if len(d.grants) == 0 || now.Before(d.nextExpiry) {
		return
	}
	d.nextExpiry = time.Time{}
	for id, g := range d.grants {
		if !now.Before(g.expires) {
			d.endGrant(now, g)
			d.ended.add(id, 0)
			d.counters.Expired++
			continue
		}
		if d.nextExpiry.IsZero() || g.expires.Before(d.nextExpiry) {
			d.nextExpiry = g.expires
		}
	}
}

// ended remembers the requests that have ended recently, so that a repeated or late message has no effect. The value is the
// Retry-After of a rejected request; otherwise 0.
type ended struct {
	recent, previous map[RequestID]time.Duration
	since            time.Time
}

func (e *ended) add(id RequestID, retryAfter time.Duration) {
	if e.recent == nil {
		e.recent = make(map[RequestID]time.Duration)
	}
	e.recent[id] = retryAfter
}

func (e *ended) get(id RequestID) (time.Duration, bool) {
	if retryAfter, ok := e.recent[id]; ok {
		return retryAfter, true
	}
	retryAfter, ok := e.previous[id]
	return retryAfter, ok
}

func (e *ended) advance(now time.Time) {
	if now.Sub(e.since) < endedPeriod {
		return
	}
	e.previous, e.recent, e.since = e.recent, nil, now
}
