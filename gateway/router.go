package gateway

import (
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/gateway/durations"
	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/gateway/quota"
	"github.com/bronzeyard/bronzeyard/gateway/registry"
	"github.com/bronzeyard/bronzeyard/gateway/relay"
	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// retryBudgetShare is the share of the retry budget that the hosts use. The rest is for what they do before they have heard of
	// each other.
	retryBudgetShare = 0.92
	// burstFraction is the part of the slack that may come at once.
	burstFraction = 0.4
	// minRetryRate is the rate of retries of a service without requests, per second. A limit of 0 would be none.
	minRetryRate = 0.1
	// arrivalHalfLife is the time in which the rate of a service's requests follows a change by half.
	arrivalHalfLife = 5 * time.Second
	// minRetryAfter and retryAfterJitter make callers that were refused come back spread over time.
	minRetryAfter = 300 * time.Millisecond
	// hedgeProbability and trialHedgeProbability are the probabilities that a good answer is still to come, at which a second attempt
	// starts beside one at an upstream without strikes, and beside a trial.
	hedgeProbability      = 0.07
	trialHedgeProbability = 0.3
	// typicalProbability is the probability that a good answer takes longer than usual.
	typicalProbability = 0.25
	retryAfterJitter   = 0.5
)

// serviceState is what a host keeps for one service.
type serviceState struct {
	pool      *placement.Pool
	subset    *placement.Subset
	durations durations.Model

	mu sync.Mutex
	// arrivals is a decaying count of this host's requests, as of arrivedAt.
	arrivals  float64
	arrivedAt time.Time
}

// arrived counts a request.
func (s *serviceState) countRequest(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = s.decayedArrivals(now) + 1
	s.arrivedAt = now
}

func (s *serviceState) decayedArrivals(now time.Time) float64 {
	if s.arrivedAt.IsZero() {
		return 0
	}
	return s.arrivals * math.Exp2(-float64(now.Sub(s.arrivedAt))/float64(arrivalHalfLife))
}

// requestRate is the rate of this host's requests.
func (s *serviceState) requestRate(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decayedArrivals(now) * math.Ln2 / arrivalHalfLife.Seconds()
}

// router joins the registry, breakers, placement and retry budgets. It implements relay.Upstreams.
type router struct {
	self       string
	dataCentre string
	registry   *registry.Registry
	breakers   *breaker.Set
	localLoss  breaker.OwnLoss
	retries    *quota.Limiter
	bounds     func() Bounds
	// tell sends notices to the other hosts, and changed logs a breaker that opened or closed; from is the host that saw why,
	// empty for this one.
	queueNotices func([]breaker.Notice)
	// queueLocalNotices sends notices to the hosts of the own data centre.
	queueLocalNotices func([]breaker.Notice)
	// queueLoad tells the other hosts that an upstream is full.
	queueLoad       func(placement.Report)
	onBreakerChange func(id settings.UpstreamID, open bool, cause, from string)
	// onConnectionLost logs a connection to an upstream that this host has lost with several others.
	onConnectionLost func(settings.UpstreamID)

	mu       sync.Mutex
	hosts    int
	services map[settings.ServiceName]*serviceState
}

func newRouter(dataCentre string, bounds func() Bounds, self string) *router {
	return &router{
		self: self, dataCentre: dataCentre, registry: registry.New(), breakers: breaker.New(self), bounds: bounds, hosts: 1,
		retries:  quota.New(),
		services: make(map[settings.ServiceName]*serviceState),
	}
}

func (r *router) service(name settings.ServiceName) *serviceState {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil {
		s = &serviceState{
			pool:   placement.New(r.dataCentre, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
			subset: placement.NewSubset(r.self, r.dataCentre),
		}
		r.services[name] = s
	}
	return s
}

// setHosts states the live hosts, this one included, and all others that count.
func (r *router) setHosts(alive, others []string) {
	r.breakers.SetHosts(alive)
	r.retries.SetHosts(others)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = len(others) + 1
}

// hostCount is the number of hosts that count as a part of the fleet, this one included.
func (r *router) hostCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hosts
}

// keep drops what is known of upstreams that are gone.
func (r *router) prune(view *registry.View) {
	r.breakers.Keep(view.Has)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.services {
		s.pool.Keep(view.Has)
	}
}

// Pick implements relay.Upstreams.
func (r *router) Pick(service settings.ServiceName, route durations.Route, request placement.Request) (relay.Attempt, bool) {
	now := time.Now()
	view := r.registry.View()
	s := r.service(service)
	request.Floor = r.bounds().Floor
	choice, ok := s.pool.Pick(now, s.subset.Of(view.Upstreams(service), r.hostCount()), request, r.breakers)
	if !ok {
		return relay.Attempt{}, false
	}
	id := choice.Upstream.ID
	if choice.Trial {
		r.queueNotices(r.breakers.BeginTrial(now, id))
	}
	monitor := r.monitor(s, route, id, now)
	done := func(result relay.Result) {
		monitor.end(result.Outcome, result.Took)
		r.recordResult(s, id, result)
	}
	attempt := relay.Attempt{
		Upstream: choice.Upstream, Trial: choice.Trial, Load: choice.Load, Age: now.Sub(view.ReadAt), Done: done,
	}
	attempt.HedgeAfter, _ = s.durations.Age(route, hedgeProbabilityFor(choice, r.breakers.Strikes(now, id)))
	attempt.Usual, _ = s.durations.Age(route, typicalProbability)
	return attempt, true
}

// hedgeProbabilityFor is the probability that an attempt still gets a good answer when a second one is started beside it.
func hedgeProbabilityFor(choice placement.Choice, strikes float64) float64 {
	if choice.Trial {
		return trialHedgeProbability
	}
	return hedgeProbability + (trialHedgeProbability-hedgeProbability)*min(1, strikes)
}

// done takes the result of an attempt.
func (r *router) recordResult(s *serviceState, id settings.UpstreamID, result relay.Result) {
	outcome := placement.Outcome{Shed: result.Outcome == relay.NotRun, Load: result.Load}
	if result.Outcome == relay.Answered {
		outcome.Took = result.Took
	}
	s.pool.Done(time.Now(), id, outcome)
	if report, ok := placement.Told(id, result.Load); ok {
		r.queueLoad(report)
	}
	switch result.Outcome {
	case relay.Answered:
		r.report(id, breaker.Good)
	case relay.FailedStatus:
		if result.Status != http.StatusGatewayTimeout {
			r.report(id, breaker.ErrorStatus)
		}
	case relay.Broken, relay.NotSent:
		r.reportBroken(id)
	case relay.NotConnected:
		r.report(id, breaker.Unreachable)
	case relay.WrongInstance:
		r.registry.Gone(id)
	case relay.TimedOut:
		// Running out of a short time says nothing; out of a long one was reported when the attempt began to hang.
	case relay.NotRun, relay.Cancelled:
	}
}

// reportBroken reports a connection that broke, unless this host has lost several at once: that says nothing about the
// upstreams.
func (r *router) reportBroken(id settings.UpstreamID) {
	at := time.Now()
	r.localLoss.Note(at, id)
	time.AfterFunc(breaker.OwnLossWindow, func() {
		if r.localLoss.At(at) {
			r.onConnectionLost(id)
			return
		}
		r.report(id, breaker.Broken)
	})
}

func (r *router) report(id settings.UpstreamID, sample breaker.Sample) {
	notices, opened := r.breakers.Report(time.Now(), id, sample)
	r.queueNotices(notices)
	for _, notice := range notices {
		if opened || notice.Kind == breaker.NoticeClosed {
			r.logChange(notice, "")
		}
	}
}

func (r *router) reportOverdue(id settings.UpstreamID, silence breaker.Silence) {
	near, all := r.breakers.ReportSilence(time.Now(), id, silence)
	r.queueLocalNotices([]breaker.Notice{near})
	r.queueNotices(all)
	for _, notice := range all {
		r.logChange(notice, "")
	}
}

func (r *router) logChange(notice breaker.Notice, from string) {
	r.onBreakerChange(notice.Upstream, r.breakers.IsOpen(notice.Upstream), notice.Cause(), from)
}

// hear takes a notice of another host.
func (r *router) receiveNotice(now time.Time, from string, notice breaker.Notice) {
	if !r.registry.View().Has(notice.Upstream) {
		return
	}
	if r.breakers.Hear(now, notice) {
		r.logChange(notice, from)
	}
}

// receiveLoad takes a report of another host.
func (r *router) receiveLoad(now time.Time, report placement.Report) {
	if service, ok := r.registry.View().ServiceOf(report.Upstream); ok {
		r.service(service).pool.Hear(now, report)
	}
}

// Arrived implements relay.Upstreams.
func (r *router) Arrived(service settings.ServiceName) {
	r.service(service).countRequest(time.Now())
}

// TryRetry implements relay.Upstreams. The retry budget of a service is a limit over all hosts like that of a customer.
func (r *router) TryRetry(service settings.ServiceName) bool {
	id := settings.CustomerID(service)
	limit, _ := r.retryLimit(id)
	return r.retries.Admit(time.Now(), id, limit).Allowed
}

// MayRetry implements relay.Upstreams.
func (r *router) MayRetry(service settings.ServiceName) bool {
	id := settings.CustomerID(service)
	limit, _ := r.retryLimit(id)
	return r.retries.WouldAdmit(time.Now(), id, limit)
}

// retryLimit returns the retry budget of a service. Callers reach hosts at random, so the requests of all hosts are about
// those of this one times their number.
func (r *router) retryLimit(service settings.CustomerID) (quota.Limit, bool) {
	bounds := r.bounds()
	requests := r.service(settings.ServiceName(service)).requestRate(time.Now()) * float64(r.hostCount())
	return retryBudget(&bounds, requests), true
}

// retryBudget is the limit for a number of requests per second. The bound holds for each window of some seconds, so the slack
// comes again in each: a part of it may come at once, the rest flows in. If all of it came at once, a service in which
// upstreams are sick for long would have used it up after the first seconds.
func retryBudget(bounds *Bounds, requests float64) quota.Limit {
	limit := quota.Limit{
		Rate: retryBudgetShare*bounds.RetryRatio*requests + minRetryRate, Burst: retryBudgetShare * bounds.RetrySlack,
	}
	if window := bounds.RetryWindow.Seconds(); window > 0 {
		limit.Rate += (1 - burstFraction) * limit.Burst / window
		limit.Burst *= burstFraction
	}
	return limit
}

// RefusedFor implements relay.Upstreams.
func (r *router) RefusedFor(service settings.ServiceName) time.Duration {
	typical := max(minRetryAfter, r.service(service).pool.Typical())
	return time.Duration(float64(typical) * (1 + retryAfterJitter*rand.Float64()))
}
