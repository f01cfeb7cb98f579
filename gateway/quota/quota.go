package quota

import (
	"math"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// ReportTimeout is the time without a report after which a host is assumed to have used an equal share of each rate since its
	// last report. Each host reports at least once per heartbeat, and reports of a large fleet take up to 0.3 s.
	ReportTimeout = 1700 * time.Millisecond
	// demandHalfLife is the half-life of the decaying request counts from which the shares follow.
	demandHalfLife = time.Second
	// surgeHalfLife is the half-life of the count of others' requests that shows a surge. With demandHalfLife, the estimate of what
	// they have not reported yet lagged behind a surge by more than a second.
	surgeHalfLife = 250 * time.Millisecond
	// unreportedWindow is the most recent period whose admissions by other hosts may not have been reported to this host yet.
	unreportedWindow = 400 * time.Millisecond
	// lowWatermark is the fraction of a bucket's capacity below which every change is reported as urgent.
	lowWatermark = 0.5
	// negligibleRate is the predicted rate, in requests per second, up to which a host whose requests have stopped sends no
	// report to correct the others' prediction.
	negligibleRate = 0.05
	// refreshInterval is the time after which an unchanged report is sent again, because the last one may have been lost.
	refreshInterval = 4 * time.Second
	// maxDebtSeconds bounds the debt of a bucket, in seconds of the rate.
	maxDebtSeconds = 3.0
	// rateHalfLife is the half-life of the moving average that predicts a host's rate from its reports. Reports that follow
	// each other faster than minReportInterval are treated as that far apart. Both are in seconds.
	rateHalfLife      = 0.5
	minReportInterval = 0.1
	// maxEstimateWeight is the largest weight with which another host's estimate of a bucket enters this host's own one.
	// estimateMergeTime is the shortest time in which the weights of all received estimates add up to 1. Estimates arrive as
	// late as their reports. Without this bound, the late estimates of many hosts hide usage that this host has just
	// received. With a longer time, estimates that differ after hosts were isolated take longer to converge.
	maxEstimateWeight = 1.0 / 16
	estimateMergeTime = 1500 * time.Millisecond
	// maxShareDebtSeconds is the debt, in seconds of the rate, beyond which a host admits nothing, not even its own share.
	maxShareDebtSeconds = 0.05
	// minPredictionError is the least number of requests by which the others' prediction of this host must be wrong for an
	// urgent report.
	minPredictionError = 2
	// startupPeriod is the time after the first request or report during which new buckets start with the fraction
	// startupFill of their capacity: the process may be one of many that were killed together, and what these admitted
	// before is not known.
	startupPeriod = 5 * time.Second
	startupFill   = 0.4
	// pauseThreshold is the time without any call that indicates that the process did not run. For resyncTime after such a
	// pause this host's estimates are not valid, because reports that arrived during the pause may not have been read yet.
	pauseThreshold = 500 * time.Millisecond
	resyncTime     = time.Second
	// checkInterval is the least time between two searches for hosts that have timed out.
	checkInterval = 100 * time.Millisecond
	// idleTimeout is the time without requests or reports after which a customer's bucket is dropped.
	idleTimeout = time.Minute
)

// Limit is a customer's rate in requests per second and its burst in requests.
type Limit struct {
	Rate, Burst float64
	// Tolerance is the number of requests by which the hosts together may exceed the limit because their reports are
	// delayed. It is added to the customer's burst.
	Tolerance float64
}

// capacity is the size of the bucket.
func (l Limit) capacity() float64 { return l.Burst + l.Tolerance }

// Usage is a host's report about one customer. The counts start at zero with the host's process.
type Usage struct {
	Customer  settings.CustomerID
	Admitted  uint64
	Requested uint64
	// Tokens is the host's estimate of the bucket over all hosts, rounded. It is valid if Synced.
	Tokens int64
	// Synced is false for a host that has just started, has just been paused or has just heard from less than half of the
	// others: it does not know what they have admitted.
	Synced bool
}

// Decision is the result of Admit for one request.
type Decision struct {
	Allowed bool
	// RetryAfter is the time until this host expects a token for the customer. It is 0 for an admitted request and if it is not
	// known.
	RetryAfter time.Duration
	// Unavailable is true if the request is not admitted because this host does not know the size of the fleet.
	Unavailable bool
	// Tokens is the estimate of the bucket before the decision, and Hosts the number of live hosts with this one.
	Tokens float64
	Hosts  int
}

// bucket is this host's state for one customer.
type bucket struct {
	limit       Limit
	tokens      float64 // over all hosts
	shareTokens float64 // tokens of this host's share
	refilledAt  time.Time
	usedAt      time.Time
	local       Usage // this host's own counts
	// selfPrediction is what the other hosts predict of this one from its reports.
	selfPrediction prediction
	localDemand    demand
	totalDemand    demand
	// remoteSurge counts the reported requests of the other hosts, with surgeHalfLife.
	remoteSurge demand
	// localAdmitted counts this host's admissions. It shows what the host has admitted when it finds that it is isolated.
	localAdmitted demand
	// isolated is whether the host was isolated at refilledAt.
	isolated bool
	// lowSince is the time since which this host has admitted only its share because the bucket is low; zero if it is not low.
	lowSince    time.Time
	predictions map[string]*prediction
	// remoteRate is the sum of the predicted rates of the other hosts, in requests per second.
	remoteRate       float64
	estimateMergedAt time.Time // last merge of another host's estimate
}

// setPredictedRate changes the predicted rate of a host, in requests per second.
func (b *bucket) setPredictedRate(now time.Time, p *prediction, rate float64) {
	p.advance(now)
	b.remoteRate = max(0, b.remoteRate+rate-p.rate)
	p.rate = rate
}

// prediction returns the prediction of another host, and creates it if there is none.
func (b *bucket) prediction(host string) *prediction {
	p := b.predictions[host]
	if p == nil {
		p = &prediction{}
		b.predictions[host] = p
	}
	return p
}

// Limiter holds the buckets of one host. It is safe for concurrent use.
type Limiter struct {
	mu           sync.Mutex
	buckets      map[settings.CustomerID]*bucket
	lastReports  map[string]time.Time
	lastReportAt time.Time // of any host
	// former holds the hosts that have reported and are no longer in the fleet. They may have been cut off and come back.
	former map[string]bool
	// timedOut holds the hosts of lastReports without a report for ReportTimeout, as of checkedAt.
	timedOut  map[string]bool
	checkedAt time.Time
	startedAt time.Time // first request or report
	// resumedAt is the end of the last pause of the process.
	lastCallAt, resumedAt time.Time
	// resuming is true from the end of a pause until half of the other hosts have reported since.
	resuming bool
	// minorityAt is when this host last heard from less than half of the others, as found by checkTimeouts.
	minorityAt time.Time
	// hostsMissingAt is when more than maxMissingShare of the others were last not live, as found by checkTimeouts.
	hostsMissingAt time.Time
	// hosts is the number of hosts with this one, 0 if it is not known. listed is true after the first call of SetFleet.
	hosts   int
	listed  bool
	sweptAt time.Time
}

// New returns a Limiter that does not know the size of the fleet. It admits no request until SetHosts or ExpectHosts is called.
func New() *Limiter {
	return &Limiter{
		buckets: make(map[settings.CustomerID]*bucket), lastReports: make(map[string]time.Time), timedOut: make(map[string]bool),
		former: make(map[string]bool),
	}
}

// Admit decides whether one request of a customer is admitted. A limit without a rate admits every request.
func (l *Limiter) Admit(now time.Time, id settings.CustomerID, limit Limit) Decision {
	if limit.Rate <= 0 {
		return Decision{Allowed: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordCall(now)
	if l.hosts == 0 {
		return Decision{Unavailable: true}
	}
	b := l.bucket(now, id, limit)
	l.refill(now, b)
	b.usedAt = now
	b.local.Requested++
	b.localDemand.add(now, 1)
	b.totalDemand.add(now, 1)
	decision := Decision{Tokens: b.tokens, Hosts: l.liveHosts() + 1}
	if !l.allows(now, b) {
		decision.RetryAfter = b.retryAfter(now)
		return decision
	}
	b.tokens--
	b.shareTokens = max(b.shareTokens-1, min(b.shareTokens, 0))
	b.localAdmitted.add(now, 1)
	b.local.Admitted++
	decision.Allowed = true
	return decision
}

// allows reports whether a bucket has a token for this host.
func (l *Limiter) allows(now time.Time, b *bucket) bool {
	if l.isolated(now) {
		// The estimate of the whole bucket is out of date, and the others subtract this host's share.
		return b.shareTokens >= 1
	}
	if b.tokens >= 1+b.unreported(now) {
		return true
	}
	return b.shareTokens >= 1 && b.tokens >= -b.limit.Rate*maxShareDebtSeconds
}

// WouldAdmit reports whether Admit would allow a request. It takes no token and does not count as demand.
func (l *Limiter) WouldAdmit(now time.Time, id settings.CustomerID, limit Limit) bool {
	if limit.Rate <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordCall(now)
	if l.hosts == 0 {
		return false
	}
	b := l.bucket(now, id, limit)
	l.refill(now, b)
	return l.allows(now, b)
}

func (l *Limiter) bucket(now time.Time, id settings.CustomerID, limit Limit) *bucket {
	b := l.buckets[id]
	if b == nil {
		l.sweep(now)
		if l.startedAt.IsZero() {
			l.startedAt = now
		}
		tokens := limit.capacity()
		if now.Sub(l.startedAt) < startupPeriod {
			tokens *= startupFill
		}
		b = &bucket{
			limit: limit, tokens: tokens, shareTokens: l.startShare(limit, tokens), refilledAt: now,
			local: Usage{Customer: id}, predictions: make(map[string]*prediction), remoteSurge: demand{halfLife: surgeHalfLife},
		}
		for host := range l.timedOut {
			b.setPredictedRate(now, b.prediction(host), limit.Rate*l.equalShare())
		}
		l.buckets[id] = b
	}
	b.limit = limit
	return b
}

// sweep drops idle buckets. It does nothing if it has run within idleTimeout.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < idleTimeout {
		return
	}
	l.sweptAt = now
	for id, b := range l.buckets {
		if now.Sub(b.usedAt) > idleTimeout && now.Sub(b.refilledAt) > idleTimeout {
			delete(l.buckets, id)
		}
	}
}

// unreported estimates what the other hosts have admitted since their last reports.
func (b *bucket) unreported(now time.Time) float64 {
	others := max(0, b.totalDemand.rate(now)-b.localDemand.rate(now), b.remoteSurge.rate(now))
	return min(others*unreportedWindow.Seconds(), b.limit.capacity()/2)
}

// share is this host's fraction of the total demand.
func (b *bucket) share(now time.Time) float64 {
	all := b.totalDemand.value(now)
	if all <= 0 {
		return 1
	}
	return min(1, b.localDemand.value(now)/all)
}

// retryAfter is the time until this host's share of the rate yields a token.
func (b *bucket) retryAfter(now time.Time) time.Duration {
	rate := max(b.limit.Rate*b.share(now), b.limit.Rate/100)
	missing := max(1-b.shareTokens, 0) + max(0, -b.tokens)*b.share(now)
	return time.Duration(missing / rate * float64(time.Second))
}

// refill adds the tokens of the time since the last call and subtracts what the other hosts are predicted to have admitted.
// Live hosts are predicted to continue at the rate of their last reports, and hosts that have timed out to use an equal share
// of the rate.
func (l *Limiter) refill(now time.Time, b *bucket) {
	l.checkTimeouts(now)
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	equalShare := l.equalShare()
	notLive := float64(max(0, l.hosts-1-l.liveHosts()))
	capacity := max(1, b.limit.capacity()*(1-notLive*equalShare))
	// Hosts that have never reported have no prediction in remoteRate, and no counts that could correct it later.
	neverReported := float64(max(0, l.hosts-1-len(l.lastReports)))
	rate := b.limit.Rate*(1-neverReported*equalShare) - b.remoteRate
	b.tokens = clamp(b.tokens+rate*elapsed, -b.limit.Rate*maxDebtSeconds, capacity)
	share, isolated := b.share(now), l.isolated(now)
	if isolated {
		// The others subtract this host's share of the burst too.
		share, capacity = min(share, equalShare), b.limit.capacity()
	}
	b.updateLow(now, isolated)
	earned := b.limit.Rate * elapsed
	if l.spendsSurplus(now, b) {
		earned += b.surplus() * min(1, elapsed/surplusTime.Seconds())
	}
	b.shareTokens = min(b.shareTokens+earned*share, max(1, capacity*share))
	b.setIsolated(now, isolated, equalShare)
}

// ApplyReport applies a usage report of another host. limitOf returns a customer's limit, and false for a customer that does
// not exist.
func (l *Limiter) ApplyReport(
	now time.Time, host string, report []Usage, limitOf func(settings.CustomerID) (Limit, bool),
) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordCall(now)
	_, known := l.lastReports[host]
	returned := !known && l.former[host]
	delete(l.former, host)
	l.lastReports[host], l.lastReportAt = now, now
	l.endResuming()
	l.clearTimeout(now, host)
	for _, usage := range report {
		limit, ok := limitOf(usage.Customer)
		if !ok || limit.Rate <= 0 {
			continue
		}
		b := l.bucket(now, usage.Customer, limit)
		l.refill(now, b)
		if !known && b.predictions[host] == nil {
			b.applyFirstUsage(now, host, usage, returned)
			continue
		}
		b.applyUsage(now, host, usage)
	}
}

// applyFirstUsage applies the first report of a host. If that host is synced, its counts include admissions from long ago,
// and its estimate of the bucket is better than that of a process that has just started. If it is not synced, both processes
// began with the same tokens, unless the host has returned to the fleet: then its counts include admissions from long ago too, and
// neither estimate is better.
func (b *bucket) applyFirstUsage(now time.Time, host string, usage Usage, returned bool) {
	b.predictions[host] = &prediction{admitted: usage.Admitted, requested: usage.Requested, reportedAt: now, predictedAt: now}
	if usage.Synced {
		b.tokens = min(b.tokens, float64(usage.Tokens))
		return
	}
	if returned {
		return
	}
	b.tokens = max(b.tokens-float64(usage.Admitted), -b.limit.Rate*maxDebtSeconds)
	b.totalDemand.add(now, float64(usage.Requested))
}

// recordCall records the time of a call, and the end of a pause if there was one.
func (l *Limiter) recordCall(now time.Time) {
	if !l.lastCallAt.IsZero() && now.Sub(l.lastCallAt) > pauseThreshold {
		l.resumedAt, l.resuming = now, true
	}
	l.lastCallAt = now
}

// synced reports whether this host's estimates of the buckets are valid.
func (l *Limiter) synced(now time.Time) bool {
	return !l.startedAt.IsZero() && now.Sub(l.startedAt) >= startupPeriod && now.Sub(l.resumedAt) >= resyncTime &&
		now.Sub(l.minorityAt) >= resyncTime
}

// applyUsage subtracts what a host has admitted since its last report beyond its prediction. A report with lower counts than
// the last one has arrived out of order and is ignored.
func (b *bucket) applyUsage(now time.Time, host string, usage Usage) {
	p := b.prediction(host)
	if usage.Admitted < p.admitted || usage.Requested < p.requested {
		return
	}
	b.totalDemand.add(now, float64(usage.Requested-p.requested))
	b.remoteSurge.add(now, float64(usage.Requested-p.requested))
	excess, rate := p.update(now, usage.Admitted, usage.Requested)
	b.tokens = max(b.tokens-excess, -b.limit.Rate*maxDebtSeconds)
	b.setPredictedRate(now, p, rate)
	// Estimates can diverge, for example while hosts are isolated. Without the merge they would stay apart for as long as the
	// customer uses its whole rate.
	if usage.Synced {
		weight := min(maxEstimateWeight, now.Sub(b.estimateMergedAt).Seconds()/estimateMergeTime.Seconds())
		b.tokens += (float64(usage.Tokens) - b.tokens) * weight
		b.estimateMergedAt = now
	}
}

// ResetCounts resets the counts of a host to zero after its restart. It must be called before the first report of the new
// process is applied.
func (l *Limiter) ResetCounts(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.former, host)
	for _, b := range l.buckets {
		if p := b.predictions[host]; p != nil {
			p.admitted, p.requested = 0, 0
		}
	}
}

// NextReport returns the usage to report to the other hosts. With urgentOnly, it returns only customers for which the others'
// prediction is significantly wrong or the bucket is low, otherwise all that have changed. The limiter treats the result as
// reported, so the caller must send it.
func (l *Limiter) NextReport(now time.Time, urgentOnly bool) []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordCall(now)
	synced := l.synced(now)
	var report []Usage
	for _, b := range l.buckets {
		if now.Sub(b.usedAt) > idleTimeout/2 || (urgentOnly && !b.needsUrgentReport(now, l.hosts)) || !b.needsReport(now) {
			continue
		}
		l.refill(now, b)
		_, b.selfPrediction.rate = b.selfPrediction.update(now, b.local.Admitted, b.local.Requested)
		b.local.Tokens, b.local.Synced = int64(math.Round(b.tokens)), synced
		report = append(report, b.local)
	}
	return report
}

// needsReport reports whether this host's usage should be reported: it has changed, the others predict a rate that is not
// negligible, or the last report is older than refreshInterval.
func (b *bucket) needsReport(now time.Time) bool {
	return b.local.Requested != b.selfPrediction.requested || b.selfPrediction.rate > negligibleRate ||
		now.Sub(b.selfPrediction.reportedAt) >= refreshInterval
}

// needsUrgentReport reports whether this host's usage should be reported before the next heartbeat: the bucket is low and the
// host has received requests since its last report, or the others' prediction is wrong by so much that it would be significant
// if it were as wrong for every host.
func (b *bucket) needsUrgentReport(now time.Time, hosts int) bool {
	capacity := b.limit.capacity()
	if b.selfPrediction.deviation(now, b.local.Admitted) >= max(minPredictionError, capacity/float64(4*hosts)) {
		return true
	}
	return b.tokens < lowWatermark*capacity && b.local.Requested != b.selfPrediction.requested
}

func clamp(x, low, high float64) float64 { return min(max(x, low), high) }
