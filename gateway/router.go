package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/gateway/dispatchclient"
	"github.com/bronzeyard/bronzeyard/gateway/durations"
	"github.com/bronzeyard/bronzeyard/gateway/evacuation"
	"github.com/bronzeyard/bronzeyard/gateway/floor"
	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/gateway/quota"
	"github.com/bronzeyard/bronzeyard/gateway/registry"
	"github.com/bronzeyard/bronzeyard/gateway/relay"
	"github.com/bronzeyard/bronzeyard/gateway/signals"
	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// retryBudgetShare is the share of the retry budget that the hosts use. The rest is reserved for retries that they make before
	// they have received each other's counts.
	retryBudgetShare = 0.92
	// burstFraction is the fraction of the retry slack that may be used in one burst.
	burstFraction = 0.4
	// minRetryRate is the rate of retries for a service without requests, per second. A limit of 0 would mean no limit.
	minRetryRate = 0.1
	// arrivalHalfLife is the half-life of the decaying count of a service's requests.
	arrivalHalfLife = 5 * time.Second
	// minRetryAfter and retryAfterJitter spread the retries of rejected callers over time.
	minRetryAfter = 300 * time.Millisecond
	// A hedged attempt starts when the probability that a successful response is still to come has fallen to hedgeProbability for
	// an upstream with a failure score of 0, and to trialHedgeProbability for one with a score of 1 or more and for a half-open
	// trial.
	hedgeProbability      = 0.07
	trialHedgeProbability = 0.3
	// typicalProbability is the probability that a successful response takes longer than the typical duration.
	typicalProbability = 0.25
	retryAfterJitter   = 0.5
)

// serviceState is the state that a host keeps for one service.
type serviceState struct {
	pool      *placement.Pool
	subset    *placement.Subset
	durations durations.Model
	signing   signing
	floor     *floor.Tracker
	available availableUpstreams
	// unreachable and rejected are what the asks for slots state: upstreams that this host cannot reach, and the number of requests that
	// it has rejected lately.
	unreachable dispatchclient.Unreachable
	rejected    rejections
	// coldMu is held while an upstream is chosen among some that are cold.
	coldMu sync.Mutex

	mu    sync.Mutex
	slots slotCount
	// arrivals is a decaying count of this host's requests, as of arrivedAt.
	arrivals  float64
	arrivedAt time.Time
}

// countRequest counts a request.
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

// requestRate returns the rate of this host's requests per second.
func (s *serviceState) requestRate(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decayedArrivals(now) * math.Ln2 / arrivalHalfLife.Seconds()
}

// router combines the registry, the circuit breakers, placement and the retry budgets. It implements relay.Upstreams.
type router struct {
	self       string
	dataCentre string
	registry   *registry.Registry
	breakers   *breaker.Set
	localLoss  breaker.LocalLossDetector
	retries    *quota.Limiter
	bounds     func() Bounds
	// evacuations holds the data centres whose upstreams receive no requests.
	evacuations evacuation.Set
	warmUps     *warmUps
	// queueNotices queues notices for the other hosts.
	queueNotices func([]breaker.Notice)
	// queueLocalNotices queues notices for the other hosts of the local data centre.
	queueLocalNotices func([]breaker.Notice)
	// queueLoad queues a report for the other hosts that an upstream is full.
	queueLoad func(placement.LoadReport)
	// onBreakerChange is called when a breaker has opened or closed. from is the host that observed the cause, empty for this one.
	onBreakerChange func(id settings.UpstreamID, open bool, cause, from string)
	// onSignal is called when an upstream has asked for something that it had not asked for before.
	onSignal func(settings.UpstreamID, signals.Signal)
	// onMisdirected is called when an upstream is taken out of use because another one has responded at its address.
	onMisdirected func(*settings.Upstream)
	// onConnectionLost is called for a connection to an upstream that broke together with connections to other upstreams.
	onConnectionLost func(settings.UpstreamID)
	// idleAddresses returns the addresses of the upstreams of a service to which there is an idle connection that a request would use, as
	// forward.Forwarder does.
	idleAddresses func(service string, idempotent bool, limit int) []string
	// dispatching reports whether dispatchers assign the slots of upstreams. nil means that they do not.
	dispatching func() bool
	// hostsPerSlot is the number of hosts per slot of an upstream from which they do.
	hostsPerSlot float64
	// dispatchers is the state for asking dispatchers; nil if dispatching is.
	dispatchers *dispatchers
	// fleet holds the live hosts; nil until they are set.
	fleet atomic.Pointer[floor.Fleet]

	mu       sync.Mutex
	hosts    int
	size     int // of the fleet among which the retry budget is divided; 0 if not known
	services map[settings.ServiceName]*serviceState
}

func newRouter(dataCentre string, bounds func() Bounds, self string) *router {
	return &router{
		self: self, dataCentre: dataCentre, hostsPerSlot: defaultHostsPerSlot, registry: registry.New(), breakers: breaker.New(self),
		bounds: bounds, hosts: 1, warmUps: newWarmUps(self), retries: quota.New(),
		queueNotices:      func([]breaker.Notice) {},
		queueLocalNotices: func([]breaker.Notice) {},
		queueLoad:         func(placement.LoadReport) {},
		idleAddresses:     func(string, bool, int) []string { return nil },
		onBreakerChange:   func(settings.UpstreamID, bool, string, string) {},
		onConnectionLost:  func(settings.UpstreamID) {},
		onSignal:          func(settings.UpstreamID, signals.Signal) {},
		onMisdirected:     func(*settings.Upstream) {},
		services:          make(map[settings.ServiceName]*serviceState),
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
			floor:  floor.NewTracker(r.self),
		}
		r.services[name] = s
	}
	return s
}

// setHosts sets the live hosts, including this one, all other hosts of the fleet, and the number of hosts among which the retry
// budget is divided.
func (r *router) setHosts(alive, others []string, size int) {
	r.breakers.SetHosts(alive)
	r.retries.SetFleet(others, size)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts, r.size = len(others)+1, size
}

// fleetSize returns the number of hosts among which the retry budget is divided, including this one.
func (r *router) fleetSize() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.hosts, r.size)
}

// hostCount returns the number of hosts of the fleet, including this one.
func (r *router) hostCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hosts
}

// prune drops the state of upstreams that are not in the view.
func (r *router) prune(view *registry.View) {
	r.breakers.Keep(view.Has)
	r.warmUps.limiter.Keep(view.Has)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, s := range r.services {
		s.pool.Keep(now, view.Has)
	}
}

// Pick implements relay.Upstreams.
func (r *router) Pick(ctx context.Context, request *relay.PickRequest) (relay.Selection, error) {
	if r.usesDispatchers(request.Service) {
		return r.pickDispatched(ctx, request)
	}
	return r.place(request)
}

// place chooses an upstream from what this host knows, and takes the token of the retry budget that the attempt needs.
func (r *router) place(request *relay.PickRequest) (relay.Selection, error) {
	service := request.Service
	if request.NeedsToken && !request.Concurrent && !r.takeRetryToken(service) {
		return relay.Selection{}, relay.ErrNoRetryBudget
	}
	retryable := request.MayRetry && r.hasRetryToken(service)
	selection, ok := r.choose(request, retryable)
	if !ok {
		return relay.Selection{}, relay.ErrNoUpstream
	}
	if request.NeedsToken && request.Concurrent && !r.takeRetryToken(service) {
		selection.Done(relay.Result{Outcome: relay.Cancelled})
		return relay.Selection{}, relay.ErrNoRetryBudget
	}
	return selection, nil
}

// choose chooses an upstream from what this host knows. It returns false if there is none.
func (r *router) choose(picked *relay.PickRequest, retryable bool) (relay.Selection, bool) {
	now := time.Now()
	view := r.registry.View()
	s := r.service(picked.Service)
	request := picked.Request
	request.Retryable, request.Floor = retryable, r.bounds().Floor
	all := r.available(s, view, picked.Service)
	if choice, ok := r.pickForFloor(now, s, picked, request, all); ok {
		return r.placed(now, s, picked, choice, view), true
	}
	subset := s.subset.Of(all, r.hostCount())
	choice, ok := r.pickAdmitted(now, s, picked.Service, subset, all, request)
	if !ok && len(subset) < len(all) && !request.Hedge {
		if refuse, _ := s.pool.AllRefuse(now, subset); refuse { // upstreams that only other hosts use may accept requests
			choice, ok = r.pickAdmitted(now, s, picked.Service, all, all, request)
		}
	}
	if !ok {
		return relay.Selection{}, false
	}
	return r.placed(now, s, picked, choice, view), true
}

// placed returns the Selection of an upstream that this host has chosen.
func (r *router) placed(
	now time.Time, s *serviceState, picked *relay.PickRequest, choice placement.Choice, view *registry.View,
) relay.Selection {
	id := choice.Upstream.ID
	s.floor.Sent(now, id)
	if choice.Trial {
		r.queueNotices(r.breakers.BeginTrial(now, id))
	}
	monitor := r.monitor(s, picked.Route, id, now)
	done := func(result relay.Result) {
		shown := s.evidenceOf(time.Now(), &result)
		monitor.end(result.Outcome, result.Took, shown.typical)
		s.recordForFloor(time.Now(), &choice, result.Outcome)
		r.recordResult(s, &choice.Upstream, result, shown)
	}
	return r.selection(s, picked, choice, view, monitor, done)
}

// selection returns the Selection of a chosen upstream.
func (r *router) selection(
	s *serviceState, picked *relay.PickRequest, choice placement.Choice, view *registry.View, monitor *attemptMonitor,
	done func(relay.Result),
) relay.Selection {
	selection := relay.Selection{
		Upstream: choice.Upstream, Trial: choice.Trial, Floor: choice.Floor, Load: choice.Load,
		RegistryAge: monitor.start.Sub(view.ReadAt), Done: done, AwaitsMemory: monitor.suspend,
	}
	probability := hedgeProbabilityFor(choice, r.breakers.FailureScore(monitor.start, choice.Upstream.ID))
	selection.HedgeAfter, _ = s.durations.ExceedanceAge(picked.Route, probability)
	selection.TypicalDuration, _ = s.durations.ExceedanceAge(picked.Route, typicalProbability)
	return selection
}

// hedgeProbabilityFor returns a probability for an attempt at the chosen upstream. The attempt is hedged when the probability that
// its successful response is still to come has fallen to this value.
func hedgeProbabilityFor(choice placement.Choice, failureScore float64) float64 {
	if choice.Trial {
		return trialHedgeProbability
	}
	return hedgeProbability + (trialHedgeProbability-hedgeProbability)*min(1, failureScore)
}

// recordInPool records the result of an attempt in the state of the service.
func (r *router) recordInPool(s *serviceState, upstream *settings.Upstream, result *relay.Result, shown evidence) {
	noteReachability(&s.unreachable, upstream.ID, result.Outcome)
	outcome := placement.Outcome{Shed: result.Outcome == relay.NotRun, Load: result.Load}
	if result.Outcome != relay.WrongInstance { // the response is of another upstream
		outcome.Signal = signals.Signal{
			Address: upstream.Address, Incarnation: upstream.Incarnation, EntryLifetime: r.bounds().entryLifetime(),
			Leaving: result.Leaving, Backoff: result.Backoff,
		}
	}
	outcome.Answered, outcome.Rejected = result.Outcome == relay.Answered, shown.rejected
	if shown.typical {
		outcome.Took = result.Took
	}
	if added := s.pool.Done(time.Now(), upstream.ID, outcome); added.Leaving || added.Backoff > 0 {
		r.onSignal(upstream.ID, added)
	}
}

// recordResult processes the result of an attempt that this host has placed itself.
func (r *router) recordResult(s *serviceState, upstream *settings.Upstream, result relay.Result, shown evidence) {
	id := upstream.ID
	r.recordInPool(s, upstream, &result, shown)
	if report, ok := placement.LoadReportFor(id, result.Load); ok {
		r.queueLoad(report)
	}
	switch result.Outcome {
	case relay.Answered, relay.FailedStatus:
		if shown.sample != 0 {
			r.report(id, shown.sample)
		}
	case relay.Broken, relay.NotSent:
		r.reportBroken(id)
	case relay.NotConnected:
		r.report(id, breaker.Unreachable)
	case relay.WrongInstance:
		if r.registry.Misdirected(upstream) {
			r.onMisdirected(upstream)
		}
	case relay.TimedOut:
		// A time-out after a short time limit is no evidence against the upstream. Before one after a long time limit, the attempt
		// has already been reported as overdue.
	case relay.NotRun, relay.Cancelled, relay.NoMemory, relay.NotPassedOn:
	}
}

// reportBroken reports a connection that broke, unless this host has lost several at once. Such a loss is no evidence against the
// upstreams.
func (r *router) reportBroken(id settings.UpstreamID) {
	r.checkLocalLoss(id, func(local bool) {
		if !local {
			r.report(id, breaker.Broken)
		}
	})
}

// checkLocalLoss calls then, after a short time, with whether the connection to an upstream that has broken was lost by this host.
func (r *router) checkLocalLoss(id settings.UpstreamID, then func(local bool)) {
	brokenAt := time.Now()
	r.localLoss.Record(brokenAt, id)
	time.AfterFunc(breaker.LocalLossWindow, func() {
		local := r.localLoss.IsLocal(brokenAt)
		if local {
			r.onConnectionLost(id)
		}
		then(local)
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

func (r *router) reportOverdue(id settings.UpstreamID, update breaker.OverdueUpdate) {
	local, all := r.breakers.ReportOverdue(time.Now(), id, update)
	r.queueLocalNotices([]breaker.Notice{local})
	r.queueNotices(all)
	for _, notice := range all {
		r.logChange(notice, "")
	}
}

func (r *router) logChange(notice breaker.Notice, from string) {
	r.onBreakerChange(notice.Upstream, r.breakers.IsOpen(notice.Upstream), notice.Cause(), from)
}

// receiveNotice processes a notice of another host.
func (r *router) receiveNotice(now time.Time, from string, notice breaker.Notice) {
	if !r.registry.View().Has(notice.Upstream) {
		return
	}
	// With dispatchers, only the host that has observed the cause logs the change: there is a line for each host otherwise.
	if r.breakers.Receive(now, notice) && (r.dispatching == nil || !r.dispatching()) {
		r.logChange(notice, from)
	}
}

// receiveLoad processes a load report of another host.
func (r *router) receiveLoad(now time.Time, report placement.LoadReport) {
	if service, ok := r.registry.View().ServiceOf(report.Upstream); ok {
		r.service(service).pool.Receive(now, report)
	}
}

// CountRequest implements relay.Upstreams.
func (r *router) CountRequest(service settings.ServiceName) {
	r.service(service).countRequest(time.Now())
}

// CountRejected implements relay.Upstreams.
func (r *router) CountRejected(service settings.ServiceName) {
	s, now := r.service(service), time.Now()
	s.floor.Record(now, true)
	s.rejected.add(now)
}

// takeRetryToken takes a token of the retry budget of a service. It returns false if there is none. All hosts share the budget, like the
// rate of a customer.
func (r *router) takeRetryToken(service settings.ServiceName) bool {
	id := settings.CustomerID(service)
	limit, _ := r.retryLimit(id)
	return r.retries.Admit(time.Now(), id, limit).Allowed
}

// hasRetryToken reports whether takeRetryToken would succeed.
func (r *router) hasRetryToken(service settings.ServiceName) bool {
	id := settings.CustomerID(service)
	limit, _ := r.retryLimit(id)
	return r.retries.WouldAdmit(time.Now(), id, limit)
}

// retryLimit returns the retry budget of a service. Callers choose hosts at random, so the request rate of the fleet is
// approximately that of this host times the number of hosts.
func (r *router) retryLimit(service settings.CustomerID) (quota.Limit, bool) {
	bounds := r.bounds()
	if r.usesDispatchers(settings.ServiceName(service)) {
		bounds.RetryRatio *= 1 - dispatcherBudgetShare
		bounds.RetrySlack *= 1 - dispatcherBudgetShare
	}
	requests := r.service(settings.ServiceName(service)).requestRate(time.Now()) * float64(r.hostCount())
	return retryBudget(&bounds, requests), true
}

// retryBudget returns the limit of retries for a number of requests per second. The bound applies to each window of
// Bounds.RetryWindow, so the slack is available again in each window. A fraction of it may be used in one burst, and the rest is
// added as a rate. If all of it could be used at once, a service whose upstreams are unhealthy for a long time would exhaust it
// within the first seconds.
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

// RetryAfter implements relay.Upstreams.
func (r *router) RetryAfter(service settings.ServiceName) time.Duration {
	pool := r.service(service).pool
	typical := max(minRetryAfter, pool.MeanDuration())
	jitter := time.Duration(retryAfterJitter * rand.Float64() * float64(typical))
	_, next := pool.AllRefuse(time.Now(), r.registry.View().Upstreams(service))
	return max(typical, next) + jitter
}

// refusingUpstreams counts the upstreams that have stated that they leave, and those that have asked for no requests now.
func (r *router) refusingUpstreams(now time.Time) (leaving, backoff int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.services {
		l, q := s.pool.Refusing(now)
		leaving, backoff = leaving+l, backoff+q
	}
	return leaving, backoff
}
