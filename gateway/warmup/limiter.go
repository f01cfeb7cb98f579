package warmup

import (
	"slices"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/rendezvous"
)

const (
	// memberRetention is the time for which a silent host counts as a member of the fleet. It may be cut off and send requests.
	memberRetention = 10 * time.Minute
	// settleTime is the time after the first view of the fleet for which this host sends cold upstreams nothing. Hosts that start
	// together know few others at first, and each would consider itself one of the senders.
	settleTime = 5 * time.Second
	// unchangedEntryTime is the time after the end of an evacuation for which an entry that states no warm-up may be older than that.
	// Upstreams write their entries once in a second or so.
	unchangedEntryTime = 3 * time.Second
)

// Member is another host of the fleet that was heard lately.
type Member struct {
	ID string
	// Leaving is true if it has announced that it leaves.
	Leaving bool
}

// Limiter knows which upstreams are cold, and limits this host's requests to them. It is safe for concurrent use.
type Limiter struct {
	self string

	mu sync.Mutex
	// firstViewAt is the time of the first view of the fleet; zero before.
	firstViewAt time.Time
	members     map[string]member
	// ids are the members, sorted; generation grows with each change of them.
	ids        []string
	generation uint64
	upstreams  map[settings.UpstreamID]*upstream
	// latest is the latest end of a warm-up that was stated.
	latest time.Time
}

// member is a host that was heard at a time.
type member struct {
	heardAt time.Time
	leaving bool
}

// upstream is what is known about the warm-up of an upstream.
type upstream struct {
	// until is the end of the warm-up as of the newest statement, which was made at statedAt.
	until, statedAt time.Time
	// sends is true if this host is one of the senders, as of a generation of the members and a number of senders.
	sends      bool
	generation uint64
	senders    int
	// tokens is the number of requests that may be sent, as of filledAt.
	tokens   float64
	filledAt time.Time
}

// New returns the Limiter of a host.
func New(self string) *Limiter {
	return &Limiter{
		self: self, members: make(map[string]member), upstreams: make(map[settings.UpstreamID]*upstream),
	}
}

// SetMembers sets the other hosts that were heard lately. A host that is missing remains a member for memberRetention, unless it has
// announced that it leaves. Before the first call the fleet is not known and cold upstreams get no requests.
func (l *Limiter) SetMembers(now time.Time, heard []Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstViewAt.IsZero() {
		l.firstViewAt = now
	}
	for _, host := range heard {
		l.members[host.ID] = member{heardAt: now, leaving: host.Leaving}
	}
	ids := make([]string, 0, len(l.members))
	for id, host := range l.members {
		if silent := now.Sub(host.heardAt); silent >= memberRetention || (silent > 0 && host.leaving) {
			delete(l.members, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	if !slices.Equal(ids, l.ids) {
		l.ids = ids
		l.generation++
	}
}

// Observe records that an upstream has stated at a time that it is cold until another time. The newest statement counts.
func (l *Limiter) Observe(statedAt time.Time, id settings.UpstreamID, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.upstream(id); statedAt.After(u.statedAt) {
		u.until, u.statedAt = until, statedAt
		l.latest = later(l.latest, until)
	}
}

// MayBeCold reports whether the statements leave any upstream cold. It is a quick check before those of single upstreams.
func (l *Limiter) MayBeCold(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.latest)
}

func (l *Limiter) upstream(id settings.UpstreamID) *upstream {
	u := l.upstreams[id]
	if u == nil {
		u = &upstream{}
		l.upstreams[id] = u
	}
	return u
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ColdUntil returns the end of the warm-up of an upstream. It is not after now if the upstream is not cold. returnedAt is the end of an
// evacuation of its data centre, zero if there was none: the upstream counts as cold from then on for the limit's period, unless a later
// statement says otherwise.
func (l *Limiter) ColdUntil(id settings.UpstreamID, limit *Limit, returnedAt time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.upstreams[id]
	switch {
	case returnedAt.IsZero() && u == nil:
		return time.Time{}
	case returnedAt.IsZero():
		return u.until
	case u == nil:
		return returnedAt.Add(limit.Period)
	case u.statedAt.Sub(returnedAt) >= unchangedEntryTime:
		return u.until
	case u.statedAt.After(returnedAt) && u.until.After(u.statedAt):
		return u.until
	default:
		return later(u.until, returnedAt.Add(limit.Period))
	}
}

// Admits reports whether this host may send a cold upstream a request now.
func (l *Limiter) Admits(now time.Time, id settings.UpstreamID, limit *Limit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refill(now, id, limit).tokens >= 1
}

// Take counts a request to a cold upstream. It reports false, and counts nothing, if the request must not be sent.
func (l *Limiter) Take(now time.Time, id settings.UpstreamID, limit *Limit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.refill(now, id, limit)
	if u.tokens < 1 {
		return false
	}
	u.tokens--
	return true
}

// refill returns the state of an upstream with its tokens as of now. An upstream starts without a token, because it may just have got
// requests that did not count.
func (l *Limiter) refill(now time.Time, id settings.UpstreamID, limit *Limit) *upstream {
	u := l.upstream(id)
	senders, rate := limit.shares()
	elapsed := now.Sub(u.filledAt)
	switch {
	case u.filledAt.IsZero() || elapsed > limit.Period: // not cold meanwhile
		u.tokens = 0
	case elapsed > 0:
		u.tokens = min(1, u.tokens+rate*elapsed.Seconds())
	}
	u.filledAt = later(u.filledAt, now)
	if !l.isSender(now, u, id, senders) {
		u.tokens = 0
	}
	return u
}

// isSender reports whether this host is one of the hosts with the highest scores for the upstream.
func (l *Limiter) isSender(now time.Time, u *upstream, id settings.UpstreamID, senders int) bool {
	if l.firstViewAt.IsZero() || now.Sub(l.firstViewAt) < settleTime {
		return false
	}
	if u.senders != senders || u.generation != l.generation {
		own, before := rendezvous.Score(string(id), l.self), 0
		for _, host := range l.ids {
			if rendezvous.Score(string(id), host) > own {
				if before++; before >= senders {
					break
				}
			}
		}
		u.sends, u.senders, u.generation = before < senders, senders, l.generation
	}
	return u.sends
}

// Keep drops the state of upstreams that no longer exist.
func (l *Limiter) Keep(exists func(settings.UpstreamID) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.upstreams {
		if !exists(id) {
			delete(l.upstreams, id)
		}
	}
}
