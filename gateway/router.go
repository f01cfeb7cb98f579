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
	// budgetShare is the share of the retry budget that the hosts use. The rest is for what they do before they have heard of
	// each other.
	budgetShare = 0.92
	// atOncePart is the part of the slack that may come at once.
	atOncePart = 0.4
	// leastRetries is the rate of retries of a service without requests, per second. A limit of 0 would be none.
	leastRetries = 0.1
	// arrivalHalfLife is the time in which the rate of a service's requests follows a change by half.
	arrivalHalfLife = 5 * time.Second
	// shortestRetryAfter and retrySpread make callers that were refused come back spread over time.
	shortestRetryAfter = 300 * time.Millisecond
	// hedgeChance and trialHedgeChance are the probabilities that a good answer is still to come, at which a second attempt
	// starts beside one at an upstream without strikes, and beside a trial.
	hedgeChance      = 0.07
	trialHedgeChance = 0.3
	// usualChance is the probability that a good answer takes longer than usual.
	usualChance = 0.25
	retrySpread = 0.5
)

// routedService is what a host keeps for one service.
type routedService struct {
	pool      *placement.Pool
	subset    *placement.Subset
	durations durations.Model

	mu sync.Mutex
	// arrivals is a decaying count of this host's requests, as of arrivedAt.
	arrivals  float64
	arrivedAt time.Time
}

// arrived counts a request.
func (s *routedService) arrived(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = s.decayed(now) + 1
	s.arrivedAt = now
}

func (s *routedService) decayed(now time.Time) float64 {
	if s.arrivedAt.IsZero() {
		return 0
	}
	return s.arrivals * math.Exp2(-float64(now.Sub(s.arrivedAt))/float64(arrivalHalfLife))
}

// perSecond is the rate of this host's requests.
func (s *routedService) perSecond(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decayed(now) * math.Ln2 / arrivalHalfLife.Seconds()
}

// router joins the registry, breakers, placement and retry budgets. It implements relay.Upstreams.
type router struct {
	self       string
	dataCentre string
	registry   *registry.Registry
	breakers   *breaker.Set
	ownLoss    breaker.LocalLossDetector
	retries    *quota.Limiter
	bounds     func() Bounds
	// tell sends notices to the other hosts, and changed logs a breaker that opened or closed; from is the host that saw why,
	// empty for this one.
	tell func([]breaker.Notice)
	// tellNear sends notices to the hosts of the own data centre.
	tellNear func([]breaker.Notice)
	// tellLoad tells the other hosts that an upstream is full.
	tellLoad func(placement.LoadReport)
	changed  func(id settings.UpstreamID, open bool, cause, from string)
	// connectionsLost logs a connection to an upstream that this host has lost with several others.
	connectionsLost func(settings.UpstreamID)

	mu       sync.Mutex
	hosts    int
	services map[settings.ServiceName]*routedService
}

func newRouter(dataCentre string, bounds func() Bounds, self string) *router {
	return &router{
		self: self, dataCentre: dataCentre, registry: registry.New(), breakers: breaker.New(self), bounds: bounds, hosts: 1,
		retries:  quota.New(),
		services: make(map[settings.ServiceName]*routedService),
	}
}

func (r *router) service(name settings.ServiceName) *routedService {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil {
		s = &routedService{
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
func (r *router) keep(view *registry.View) {
	r.breakers.Keep(view.Has)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.services {
		s.pool.Keep(view.Has)
	}
}

// Pick implements relay.Upstreams.
func (r *router) Pick(service settings.ServiceName, route durations.Route, request placement.Request) (relay.Selection, bool) {
	now := time.Now()
	view := r.registry.View()
	s := r.service(service)
	request.Floor = r.bounds().Floor
	choice, ok := s.pool.Pick(now, s.subset.Of(view.Upstreams(service), r.hostCount()), request, r.breakers)
	if !ok {
		return relay.Selection{}, false
	}
	id := choice.Upstream.ID
	if choice.Trial {
		r.tell(r.breakers.BeginTrial(now, id))
	}
	watched := r.watch(s, route, id, now)
	done := func(result relay.Result) {
		watched.end(result.Outcome, result.Took)
		r.done(s, id, result)
	}
	attempt := relay.Selection{
		Upstream: choice.Upstream, Trial: choice.Trial, Load: choice.Load, RegistryAge: now.Sub(view.ReadAt), Done: done,
	}
	attempt.HedgeAfter, _ = s.durations.ExceedanceAge(route, hedgeChanceFor(choice, r.breakers.FailureScore(now, id)))
	attempt.TypicalDuration, _ = s.durations.ExceedanceAge(route, usualChance)
	return attempt, true
}

// hedgeChanceFor is the probability that an attempt still gets a good answer when a second one is started beside it.
func hedgeChanceFor(choice placement.Choice, strikes float64) float64 {
	if choice.Trial {
		return trialHedgeChance
	}
	return hedgeChance + (trialHedgeChance-hedgeChance)*min(1, strikes)
}

// done takes the result of an attempt.
func (r *router) done(s *routedService, id settings.UpstreamID, result relay.Result) {
	outcome := placement.Outcome{Shed: result.Outcome == relay.NotRun, Load: result.Load}
	if result.Outcome == relay.Answered {
		outcome.Took = result.Took
	}
	s.pool.Done(time.Now(), id, outcome)
	if report, ok := placement.LoadReportFor(id, result.Load); ok {
		r.tellLoad(report)
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
		r.registry.Remove(id)
	case relay.TimedOut:
		// Running out of a short time says nothing; out of a long one was reported when the attempt began to hang.
	case relay.NotRun, relay.Cancelled:
	}
}

// reportBroken reports a connection that broke, unless this host has lost several at once: that says nothing about the
// upstreams.
func (r *router) reportBroken(id settings.UpstreamID) {
	at := time.Now()
	r.ownLoss.Record(at, id)
	time.AfterFunc(breaker.LocalLossWindow, func() {
		if r.ownLoss.IsLocal(at) {
			r.connectionsLost(id)
			return
		}
		r.report(id, breaker.Broken)
	})
}

func (r *router) report(id settings.UpstreamID, sample breaker.Sample) {
	notices, opened := r.breakers.Report(time.Now(), id, sample)
	r.tell(notices)
	for _, notice := range notices {
		if opened || notice.Kind == breaker.NoticeClosed {
			r.logChange(notice, "")
		}
	}
}

func (r *router) reportSilence(id settings.UpstreamID, silence breaker.OverdueUpdate) {
	near, all := r.breakers.ReportOverdue(time.Now(), id, silence)
	r.tellNear([]breaker.Notice{near})
	r.tell(all)
	for _, notice := range all {
		r.logChange(notice, "")
	}
}

func (r *router) logChange(notice breaker.Notice, from string) {
	r.changed(notice.Upstream, r.breakers.IsOpen(notice.Upstream), notice.Cause(), from)
}

// hear takes a notice of another host.
func (r *router) hear(now time.Time, from string, notice breaker.Notice) {
	if !r.registry.View().Has(notice.Upstream) {
		return
	}
	if r.breakers.Receive(now, notice) {
		r.logChange(notice, from)
	}
}

// hearLoad takes a report of another host.
func (r *router) hearLoad(now time.Time, report placement.LoadReport) {
	if service, ok := r.registry.View().ServiceOf(report.Upstream); ok {
		r.service(service).pool.Receive(now, report)
	}
}

// Arrived implements relay.Upstreams.
func (r *router) CountRequest(service settings.ServiceName) {
	r.service(service).arrived(time.Now())
}

// TryRetry implements relay.Upstreams. The retry budget of a service is a limit over all hosts like that of a customer.
func (r *router) TakeRetryToken(service settings.ServiceName) bool {
	id := settings.CustomerID(service)
	limit, _ := r.retryLimit(id)
	return r.retries.Admit(time.Now(), id, limit).Allowed
}

// MayRetry implements relay.Upstreams.
func (r *router) HasRetryToken(service settings.ServiceName) bool {
	id := settings.CustomerID(service)
	limit, _ := r.retryLimit(id)
	return r.retries.WouldAdmit(time.Now(), id, limit)
}

// retryLimit returns the retry budget of a service. Callers reach hosts at random, so the requests of all hosts are about
// those of this one times their number.
func (r *router) retryLimit(service settings.CustomerID) (quota.Limit, bool) {
	bounds := r.bounds()
	requests := r.service(settings.ServiceName(service)).perSecond(time.Now()) * float64(r.hostCount())
	return retryBudget(&bounds, requests), true
}

// retryBudget is the limit for a number of requests per second. The bound holds for each window of some seconds, so the slack
// comes again in each: a part of it may come at once, the rest flows in. If all of it came at once, a service in which
// upstreams are sick for long would have used it up after the first seconds.
func retryBudget(bounds *Bounds, requests float64) quota.Limit {
	limit := quota.Limit{
		Rate: budgetShare*bounds.RetryRatio*requests + leastRetries, Burst: budgetShare * bounds.RetrySlack,
	}
	if window := bounds.RetryWindow.Seconds(); window > 0 {
		limit.Rate += (1 - atOncePart) * limit.Burst / window
		limit.Burst *= atOncePart
	}
	return limit
}

// RefusedFor implements relay.Upstreams.
func (r *router) RetryAfter(service settings.ServiceName) time.Duration {
	typical := max(shortestRetryAfter, r.service(service).pool.MeanDuration())
	return time.Duration(float64(typical) * (1 + retrySpread*rand.Float64()))
}
