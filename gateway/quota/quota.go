package quota

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// SilentAfter is the time without a report after which a host counts as using an equal part of each rate.
	ReportTimeout = 2500 * time.Millisecond
	// demandHalfLife is the time in which demand loses half of its weight.
	demandHalfLife = time.Second
	// guardTime is the time of a customer's demand that other hosts may have admitted unheard.
	guardTime = 400 * time.Millisecond
	// lowShare is the share of a bucket below which each use is reported soon.
	lowShare = 0.5
	// steadyRate is the rate, in requests per second, up to which the others may take this host to go on although it does not.
	steadyRate = 0.05
	// refreshAfter is the time after which a report is repeated although nothing has changed, because it may have been lost.
	refreshAfter = 4 * time.Second
	// deepest bounds the debt of a bucket, in seconds of the rate.
	deepest = 3.0
	// rateHalfLife is the time in which the rate at which a host is taken to go on follows its reports by half, and
	// shortestInterval the least time between two reports that counts, both in seconds.
	rateHalfLife     = 0.5
	shortestInterval = 0.1
	// agreement is the weight of another host's view of a bucket in the own one, and agreementTime the least time in which all
	// views together weigh as much as the own one. A view is as old as its way was long, so without this bound the late views
	// of many hosts hide the use that this one has just heard of. A longer time keeps views apart that differ after a cut.
	agreement     = 1.0 / 16
	agreementTime = 1500 * time.Millisecond
	// shareDepth is the debt, in seconds of the rate, from which a host admits nothing, not even its own part.
	shareDepth = 0.05
	// isolatedAfter is the time without a report of any host after which this host admits only its own part. Hosts report
	// at least once a heartbeat, so the fewer there are, the longer is the usual silence.
	isolatedAfter = 200 * time.Millisecond
	heartbeat     = time.Second
	usualSilences = 3
	// leastOff is the number of requests by which the others must be wrong about this host, so that it reports soon.
	leastOff = 2
	// youngFor is the time after the first request in which new buckets hold startShare of their tokens: the process may be
	// one of many that were killed together, and what they admitted before is not known.
	youngFor   = 5 * time.Second
	startShare = 0.4
	// pause is the time without any call that shows that the process did not run, and settleTime the time after it in which
	// this host's view is not valid: reports of the time of the pause are still to be read.
	pause      = 500 * time.Millisecond
	settleTime = time.Second
	// checkInterval is the time between two looks for hosts that have fallen silent.
	checkInterval = 100 * time.Millisecond
	// forgetAfter is the time without use after which a customer's state is dropped.
	forgetAfter = time.Minute
)

// Limit is a customer's rate in requests per second and its burst in requests.
type Limit struct {
	Rate, Burst float64
	// Tolerance is the number of requests by which the hosts together may exceed the limit because they know of each other
	// late. It is used in favour of the customer.
	Tolerance float64
}

// capacity is the size of the bucket.
func (l Limit) capacity() float64 { return l.Burst + l.Tolerance }

// Use is what a host reports of a customer, counted since the start of its process.
type Usage struct {
	Customer  settings.CustomerID
	Admitted  uint64
	Requested uint64
	// Tokens is the host's own view of the bucket of all hosts, rounded. It is valid if Settled.
	Tokens int64
	// Settled is false for a host that started or was paused lately: it does not know what the others have admitted.
	Synced bool
}

// Decision is the answer to one request.
type Decision struct {
	Allowed bool
	// RetryAfter is when a token is due at this host.
	RetryAfter time.Duration
	// Tokens is the state of the bucket that decided, and Hosts the number of hosts that were heard lately.
	Tokens float64
	Hosts  int
}

type bucket struct {
	limit    Limit
	tokens   float64 // over all hosts
	share    float64 // tokens of this host's own part
	filledAt time.Time
	usedAt   time.Time
	own      Usage
	// told is what the other hosts take this one to admit, by its reports.
	told    remote
	mine    demand
	all     demand
	remotes map[string]*remote
	// perSecond is the sum of the remotes' rates.
	perSecond float64
	agreedAt  time.Time // last time that another host's view was taken into account
}

// setRate changes the rate at which a host is taken to go on.
func (b *bucket) setRate(now time.Time, r *remote, perSecond float64) {
	r.settle(now)
	b.perSecond = max(0, b.perSecond+perSecond-r.perSecond)
	r.perSecond = perSecond
}

// remote returns what is known of a host.
func (b *bucket) remote(host string) *remote {
	r := b.remotes[host]
	if r == nil {
		r = &remote{}
		b.remotes[host] = r
	}
	return r
}

// Limiter holds the buckets of one host. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	buckets map[settings.CustomerID]*bucket
	heard   map[string]time.Time
	heardAt time.Time // of any host
	// silent are the hosts in heard that were not heard for SilentAfter, as of checkedAt.
	silent    map[string]bool
	checkedAt time.Time
	startedAt time.Time // first request or report
	// calledAt is the last call, and pausedAt the end of the last pause.
	calledAt, pausedAt time.Time
	hosts              int
	swept              time.Time
}

// New returns a Limiter that knows of no other host.
func New() *Limiter {
	return &Limiter{
		buckets: make(map[settings.CustomerID]*bucket), heard: make(map[string]time.Time), silent: make(map[string]bool), hosts: 1,
	}
}

// Admit decides on one request of a customer. Limits without a rate admit everything.
func (l *Limiter) Admit(now time.Time, id settings.CustomerID, limit Limit) Decision {
	if limit.Rate <= 0 {
		return Decision{Allowed: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteCall(now)
	b := l.bucket(now, id, limit)
	l.fill(now, b)
	b.usedAt = now
	b.own.Requested++
	b.mine.add(now, 1)
	b.all.add(now, 1)
	decision := Decision{Tokens: b.tokens, Hosts: l.live() + 1}
	if !l.allows(now, b) {
		decision.RetryAfter = b.due(now)
		return decision
	}
	b.tokens--
	b.share = max(b.share-1, 0)
	b.own.Admitted++
	decision.Allowed = true
	return decision
}

// allows reports whether a bucket has a token for this host.
func (l *Limiter) allows(now time.Time, b *bucket) bool {
	if b.tokens >= 1+b.guard(now) && !l.isolated(now) {
		return true
	}
	return b.share >= 1 && b.tokens >= -b.limit.Rate*shareDepth
}

// WouldAdmit reports whether Admit would allow a request. It takes no token and counts no demand.
func (l *Limiter) WouldAdmit(now time.Time, id settings.CustomerID, limit Limit) bool {
	if limit.Rate <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteCall(now)
	b := l.bucket(now, id, limit)
	l.fill(now, b)
	return l.allows(now, b)
}

// isolated reports whether this host may be cut off: it has heard nobody for long, or hears less than half of the others,
// as in the first moments after a start.
func (l *Limiter) isolated(now time.Time) bool {
	if l.hosts <= 1 {
		return false
	}
	if 2*l.live() < l.hosts-1 {
		return true
	}
	return now.Sub(l.heardAt) > max(isolatedAfter, usualSilences*heartbeat/time.Duration(l.hosts-1))
}

func (l *Limiter) bucket(now time.Time, id settings.CustomerID, limit Limit) *bucket {
	b := l.buckets[id]
	if b == nil {
		l.sweep(now)
		if l.startedAt.IsZero() {
			l.startedAt = now
		}
		tokens := limit.capacity()
		if now.Sub(l.startedAt) < youngFor {
			tokens *= startShare
		}
		b = &bucket{
			limit: limit, tokens: tokens, share: max(1, tokens/float64(l.hosts)), filledAt: now,
			own: Usage{Customer: id}, remotes: make(map[string]*remote),
		}
		for host := range l.silent {
			b.setRate(now, b.remote(host), limit.Rate/float64(l.hosts))
		}
		l.buckets[id] = b
	}
	b.limit = limit
	return b
}

// sweep drops buckets that are not in use. It runs at most once in forgetAfter.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.swept) < forgetAfter {
		return
	}
	l.swept = now
	for id, b := range l.buckets {
		if now.Sub(b.usedAt) > forgetAfter && now.Sub(b.filledAt) > forgetAfter {
			delete(l.buckets, id)
		}
	}
}

// guard is what other hosts may have admitted since their last reports.
func (b *bucket) guard(now time.Time) float64 {
	others := max(0, b.all.perSecond(now)-b.mine.perSecond(now))
	return min(others*guardTime.Seconds(), b.limit.capacity()/2)
}

// part is this host's part of the rate, by demand.
func (b *bucket) part(now time.Time) float64 {
	all := b.all.now(now)
	if all <= 0 {
		return 1
	}
	return min(1, b.mine.now(now)/all)
}

// due is the time until this host's part of the rate gives a token.
func (b *bucket) due(now time.Time) time.Duration {
	rate := max(b.limit.Rate*b.part(now), b.limit.Rate/100)
	missing := max(1-b.share, 0) + max(0, -b.tokens)*b.part(now)
	return time.Duration(missing / rate * float64(time.Second))
}

// fill adds the tokens of the time since the last call and takes what other hosts are predicted to have admitted: those that
// were heard go on as between their last reports, and those that are silent for long use an equal part of the rate.
func (l *Limiter) fill(now time.Time, b *bucket) {
	l.checkSilence(now)
	passed := now.Sub(b.filledAt).Seconds()
	if passed <= 0 {
		return
	}
	b.filledAt = now
	equalPart := 1 / float64(l.hosts)
	silent := float64(max(0, l.hosts-1-l.live()))
	capacity := max(1, b.limit.capacity()*(1-silent*equalPart))
	// Hosts that were never heard have no counts to compare with later.
	unheard := float64(max(0, l.hosts-1-len(l.heard)))
	rate := b.limit.Rate*(1-unheard*equalPart) - b.perSecond
	b.tokens = clamp(b.tokens+rate*passed, -b.limit.Rate*deepest, capacity)
	part := b.part(now)
	if l.isolated(now) {
		part = min(part, equalPart)
	}
	b.share = min(b.share+b.limit.Rate*part*passed, max(1, capacity*part))
}

// checkSilence finds hosts that have fallen silent. It looks at most once in checkInterval, because it looks at all hosts.
func (l *Limiter) checkSilence(now time.Time) {
	if now.Sub(l.checkedAt) < checkInterval {
		return
	}
	l.checkedAt = now
	for host, at := range l.heard {
		if l.silent[host] || now.Sub(at) <= ReportTimeout {
			continue
		}
		l.silent[host] = true
		for _, b := range l.buckets {
			b.setRate(now, b.remote(host), b.limit.Rate/float64(l.hosts))
		}
	}
}

// live counts the other hosts that were heard lately.
func (l *Limiter) live() int { return min(len(l.heard)-len(l.silent), l.hosts-1) }

// Heard takes the reports of another host. limitOf returns a customer's limit.
func (l *Limiter) ApplyReport(
	now time.Time, host string, uses []Usage, limitOf func(settings.CustomerID) (Limit, bool),
) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteCall(now)
	_, known := l.heard[host]
	l.heard[host], l.heardAt = now, now
	l.returned(now, host)
	for _, use := range uses {
		limit, ok := limitOf(use.Customer)
		if !ok || limit.Rate <= 0 {
			continue
		}
		b := l.bucket(now, use.Customer, limit)
		l.fill(now, b)
		if !known && b.remotes[host] == nil {
			b.takeFirst(now, host, use)
			continue
		}
		b.take(now, host, use)
	}
}

// takeFirst takes the first report of a host. If it has run for long, its counts are of times past, and its view of the bucket is
// better than that of a process that has just started. If it started lately, both began with the same tokens.
func (b *bucket) takeFirst(now time.Time, host string, use Usage) {
	b.remotes[host] = &remote{admitted: use.Admitted, asked: use.Requested, at: now, settledAt: now}
	if use.Synced {
		b.tokens = min(b.tokens, float64(use.Tokens))
		return
	}
	b.tokens = max(b.tokens-float64(use.Admitted), -b.limit.Rate*deepest)
	b.all.add(now, float64(use.Requested))
}

// noteCall notes a call, and the end of a pause if there was one.
func (l *Limiter) noteCall(now time.Time) {
	if !l.calledAt.IsZero() && now.Sub(l.calledAt) > pause {
		l.pausedAt = now
	}
	l.calledAt = now
}

// settled reports whether this host's view of the buckets is valid.
func (l *Limiter) settled(now time.Time) bool {
	return !l.startedAt.IsZero() && now.Sub(l.startedAt) >= youngFor && now.Sub(l.pausedAt) >= settleTime
}

// returned ends the time in which a host that was silent had an equal part. What it was taken to have used stays, until its
// counts say what it was.
func (l *Limiter) returned(now time.Time, host string) {
	if !l.silent[host] {
		return
	}
	delete(l.silent, host)
	for _, b := range l.buckets {
		l.fill(now, b)
		b.setRate(now, b.remote(host), 0)
	}
}

// take subtracts what a host admitted since its last report beyond what was predicted. A count that falls arrived late.
func (b *bucket) take(now time.Time, host string, use Usage) {
	r := b.remote(host)
	if use.Admitted < r.admitted || use.Requested < r.asked {
		return
	}
	b.all.add(now, float64(use.Requested-r.asked))
	more, perSecond := r.note(now, use.Admitted, use.Requested)
	b.tokens = max(b.tokens-more, -b.limit.Rate*deepest)
	b.setRate(now, r, perSecond)
	// Views that have drifted apart, for example while hosts were cut off, would stay so as long as a customer uses all.
	if use.Synced {
		weight := min(agreement, now.Sub(b.agreedAt).Seconds()/agreementTime.Seconds())
		b.tokens += (float64(use.Tokens) - b.tokens) * weight
		b.agreedAt = now
	}
}

// Restarted makes the counts of a host begin at zero, before the reports of its next process.
func (l *Limiter) ResetCounts(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.buckets {
		if r := b.remotes[host]; r != nil {
			r.admitted, r.asked = 0, 0
		}
	}
}

// SetHosts states the other hosts, heard or not.
func (l *Limiter) SetHosts(others []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = len(others) + 1
	for host := range l.heard {
		if !slices.Contains(others, host) {
			l.drop(host)
		}
	}
}

// drop forgets a host that is no longer a part of the fleet.
func (l *Limiter) drop(host string) {
	delete(l.heard, host)
	delete(l.silent, host)
	for _, b := range l.buckets {
		if r := b.remotes[host]; r != nil {
			b.perSecond = max(0, b.perSecond-r.perSecond)
			delete(b.remotes, host)
		}
	}
}

// Uses returns this host's counts that the others should know: with onlyUrgent those about which they are wrong by so much
// that it matters, otherwise those that have changed. It takes them as told.
func (l *Limiter) NextReport(now time.Time, onlyUrgent bool) []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteCall(now)
	settled := l.settled(now)
	var uses []Usage
	for _, b := range l.buckets {
		if now.Sub(b.usedAt) > forgetAfter/2 || (onlyUrgent && !b.urgent(now, l.hosts)) || !b.news(now) {
			continue
		}
		l.fill(now, b)
		_, b.told.perSecond = b.told.note(now, b.own.Admitted, b.own.Requested)
		b.own.Tokens, b.own.Synced = int64(math.Round(b.tokens)), settled
		uses = append(uses, b.own)
	}
	return uses
}

// news reports whether there is something to tell of this host's use: it has changed, the others take it to go on, or the
// last report is old.
func (b *bucket) news(now time.Time) bool {
	return b.own.Requested != b.told.asked || b.told.perSecond > steadyRate || now.Sub(b.told.at) >= refreshAfter
}

// urgent reports whether the other hosts should know of this host's use soon: because the bucket is low, or because they are
// wrong about this host by so much that it matters if they are about all.
func (b *bucket) urgent(now time.Time, hosts int) bool {
	capacity := b.limit.capacity()
	if b.told.off(now, b.own.Admitted) >= max(leastOff, capacity/float64(4*hosts)) {
		return true
	}
	return b.tokens < lowShare*capacity && b.own.Requested != b.told.asked
}

func clamp(x, low, high float64) float64 { return min(max(x, low), high) }
