package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/signals"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/queue"
)

// Options configure a Dispatcher. All fields are required.
type Options struct {
	// Breakers must know the outcome of an attempt before Release is called, and the start of each trial when a call has granted it.
	Breakers Breakers
	// TakeToken takes a token of the retry budget of the service. HasToken reports whether it would succeed.
	TakeToken, HasToken func(now time.Time) bool
	// Floor returns the share of the upstreams that open breakers leave in use while many requests fail; 0 if there is no minimum.
	Floor func() float64
	// EntryLifetime returns the longest time for which a process of an upstream that has ended is in the list of upstreams.
	EntryLifetime func() time.Duration
	Random        *rand.Rand
}

// Dispatcher assigns slots. It is not safe for concurrent use.
type Dispatcher struct {
	options Options

	// upstreams are those of the last SetUpstreams. known also has removed ones that may come back.
	upstreams []*upstream
	known     map[settings.UpstreamID]*upstream
	slots     int
	// usable and closed count the upstreams for which these fields are true.
	usable, closed int
	refreshedAt    time.Time
	durations      durations

	line    *queue.Line[rank, *waiting]
	waiting map[RequestID]*waiting
	// lineGrants counts the grants to waiting requests.
	lineGrants  int
	drain       drain
	failures    failures
	retryableAt time.Time // arrival of the last request that can make a trial early

	grants     map[RequestID]*grant
	nextExpiry time.Time // no grant expires earlier
	tickedAt   time.Time // the last Tick, or the last check of the deadlines without one
	ended      ended
	counters   Stats
}

// New returns a Dispatcher without upstreams.
func New(options Options) *Dispatcher {
	return &Dispatcher{
		options: options,
		known:   make(map[settings.UpstreamID]*upstream),
		line:    queue.NewLine[rank, *waiting](compareRanks),
		waiting: make(map[RequestID]*waiting),
		grants:  make(map[RequestID]*grant),
	}
}

// SetUpstreams sets the upstreams of the service in this data centre.
func (d *Dispatcher) SetUpstreams(now time.Time, upstreams []settings.Upstream) {
	d.upstreams, d.slots, d.usable, d.closed = d.upstreams[:0], 0, 0, 0
	for _, u := range d.known {
		u.listed, u.usable, u.closed = false, false, false
	}
	for i := range upstreams {
		u := d.known[upstreams[i].ID]
		if u == nil || u.Incarnation != upstreams[i].Incarnation || u.Address != upstreams[i].Address {
			// Grants to an earlier process keep the state that they began with, but for the signals: the response may be of this one.
			asked := &signals.State{}
			if u != nil {
				asked = u.signals
			}
			u = &upstream{usedAt: now, decayedAt: now, hash: HashOf(upstreams[i].ID), signals: asked}
			d.known[upstreams[i].ID] = u
		}
		u.Upstream, u.listed = upstreams[i], true
		u.Slots = max(1, u.Slots)
		d.upstreams = append(d.upstreams, u)
		d.slots += u.Slots
	}
	for id, u := range d.known {
		if !u.listed && u.grants == 0 && !u.signals.Pending(now) {
			delete(d.known, id)
		}
	}
	d.refreshAll(now)
}

// Ask handles a request for a slot. Like the other methods, it returns the replies that are due now, to any host.
func (d *Dispatcher) Ask(now time.Time, request Request) []Reply {
	d.advance(now)
	if replies, known := d.repeated(request.ID); known {
		return replies
	}
	if request.Deadline.IsZero() {
		request.Deadline = now.Add(defaultTimeLimit)
	}
	d.failures.addRejected(now, request.Rejected)
	switch {
	case !now.Before(request.Deadline):
		return []Reply{d.reject(now, request.ID)}
	case !d.servable(&request):
		return []Reply{{ID: request.ID, Kind: Full}}
	case request.Hedge || request.Remote:
		return []Reply{d.grantNow(now, &request)}
	}
	if isTrialCandidate(&request) && request.Retryable {
		d.retryableAt = now
	}
	if u := d.trialFor(now, &request); u != nil {
		return []Reply{d.grant(now, &request, u, true)}
	}
	if d.closed == 0 {
		// Another data centre may have upstreams with closed breakers. If none has, the breakers may be wrong, and the host decides.
		return []Reply{{ID: request.ID, Kind: Full}}
	}
	if !d.mustWait(&request) {
		if u := d.choose(now, &request, 0); u != nil && (!request.NeedsToken || d.options.TakeToken(now)) {
			return []Reply{d.grant(now, &request, u, false)}
		}
	}
	return d.enqueue(now, &request)
}

// repeated returns the replies to a request that was seen before.
func (d *Dispatcher) repeated(id RequestID) (replies []Reply, known bool) {
	if g := d.grants[id]; g != nil {
		return []Reply{g.reply}, true
	}
	if d.waiting[id] != nil {
		return []Reply{{ID: id, Kind: Queued}}, true
	}
	retryAfter, known := d.ended.get(id)
	if known && retryAfter > 0 {
		return []Reply{{ID: id, Kind: Rejected, RetryAfter: retryAfter}}, true
	}
	return nil, known
}

// mustWait reports whether other requests wait for what the request needs.
func (d *Dispatcher) mustWait(request *Request) bool {
	if request.NeedsToken {
		return d.line.Len() > 0
	}
	return d.line.Len() > d.line.Held()
}

// grantNow handles a request that does not wait. It yields to those that do.
func (d *Dispatcher) grantNow(now time.Time, request *Request) Reply {
	full := Reply{ID: request.ID, Kind: Full}
	if d.mustWait(request) || (request.Hedge && d.line.Len() > 0) {
		return full
	}
	u := d.choose(now, request, 0)
	if u == nil || (request.NeedsToken && !d.options.TakeToken(now)) {
		return full
	}
	return d.grant(now, request, u, false)
}

// Withdraw handles a request that no longer needs a slot.
func (d *Dispatcher) Withdraw(now time.Time, id RequestID) []Reply {
	return d.Release(now, Release{ID: id, Outcome: Unused})
}

// Release handles the end of a granted attempt.
func (d *Dispatcher) Release(now time.Time, release Release) []Reply {
	d.advance(now)
	if _, known := d.ended.get(release.ID); known {
		return nil
	}
	d.ended.add(release.ID, 0)
	if w := d.waiting[release.ID]; w != nil {
		d.line.Remove(w.entry)
		delete(d.waiting, release.ID)
		return nil
	}
	g := d.grants[release.ID]
	if g == nil {
		// A grant of another dispatcher.
		if u := d.known[release.Upstream]; u != nil {
			d.failures.add(now, release.Outcome)
			d.learn(now, u, &release)
		}
		return nil
	}
	if !g.trial {
		d.failures.add(now, release.Outcome)
	}
	d.learn(now, g.upstream, &release)
	d.endGrant(now, g)
	return d.serve(now)
}

// Tick handles the time that has passed.
func (d *Dispatcher) Tick(now time.Time) []Reply {
	d.advance(now)
	d.expireGrants(now)
	replies := append(d.returnWaiting(), d.serve(now)...)
	d.tickedAt = now
	return append(replies, d.rejectHopeless(now)...)
}

// advance updates what depends on the time.
func (d *Dispatcher) advance(now time.Time) {
	d.drain.advance(now, d.line.Len() > d.line.Held())
	d.ended.advance(now)
	if now.Sub(d.refreshedAt) >= refreshInterval {
		d.refreshAll(now)
	}
}

// Stats is a snapshot of the state of a Dispatcher.
type Stats struct {
	// InUse counts the granted requests that have not ended, Waiting those in the queue, and Free the free slots.
	InUse, Waiting, Free int
	// OldestWait is the time for which the first request of the queue has waited.
	OldestWait time.Duration
	// Grants, Trials, Rejections and Expired count since the start.
	Grants, Trials, Rejections, Expired int64
}

// Stats returns the current state.
func (d *Dispatcher) Stats(now time.Time) Stats {
	stats := d.counters
	stats.InUse, stats.Waiting = len(d.grants), d.line.Len()
	for _, u := range d.upstreams {
		if u.closed {
			stats.Free += max(0, u.Slots-int(u.inFlight()))
		}
	}
	if oldest := d.line.Oldest(true); oldest != nil {
		stats.OldestWait = now.Sub(oldest.Value.since)
	}
	return stats
}

// rank orders the waiting requests. late is true for requests that can no longer meet their target latency.
type rank struct {
	Priority
	late bool
}

func compareRanks(a, b rank) int {
	late := 0
	if a.late != b.late {
		late = 1
		if b.late {
			late = -1
		}
	}
	return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Route, b.Route), late)
}

// servable reports whether there is an upstream that the request has not tried and that accepts requests.
func (d *Dispatcher) servable(request *Request) bool {
	if d.usable > len(request.Exclude) {
		return true
	}
	return slices.ContainsFunc(d.upstreams, func(u *upstream) bool { return u.usable && !slices.Contains(request.Exclude, u.ID) })
}
