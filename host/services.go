package host

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/ejection"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
	"github.com/bronzeyard/bronzeyard/traffic/loadbalancer"
	"github.com/bronzeyard/bronzeyard/traffic/outlier"
	"github.com/bronzeyard/bronzeyard/traffic/proxy"
	"github.com/bronzeyard/bronzeyard/traffic/queue"
	"github.com/bronzeyard/bronzeyard/traffic/retry"
)

// service is the state of one service on this host.
type service struct {
	balancer *loadbalancer.Balancer
	queue    *queue.Queue
	budget   *retry.Budget
}

// services holds the load balancer, queue and retry budget of each service. It implements proxy.Selector, proxy.Queue and
// proxy.RetryBudget.
type services struct {
	dataCentre string
	// ejections and leaving are set before the first request.
	ejections *ejection.Service
	leaving   *leavingList

	mu       sync.RWMutex
	byName   map[settings.ServiceName]*service
	hosts    []loadbalancer.Host
	self     loadbalancer.Host
	snapshot *settings.Snapshot
}

func newServices(dataCentre string) *services {
	return &services{dataCentre: dataCentre, byName: make(map[settings.ServiceName]*service)}
}

// onSettings applies new settings.
func (s *services) onSettings(_, snapshot *settings.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = snapshot
	s.update()
}

// onView applies a new epoch: the number of connections that each host may open depends on the hosts.
func (s *services) onView(_, view *fleet.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = s.hosts[:0:0]
	for i := range view.Epoch.Members {
		member := &view.Epoch.Members[i]
		host := loadbalancer.Host{ID: member.ID, DataCentre: member.DataCentre}
		s.hosts = append(s.hosts, host)
	}
	s.self = loadbalancer.Host{ID: view.Self.ID, DataCentre: s.dataCentre}
	if !slices.ContainsFunc(s.hosts, func(host loadbalancer.Host) bool { return host.ID == s.self.ID }) {
		// A learner also serves callers. If it were not in the list of hosts, it would get no upstream.
		s.hosts = append(s.hosts, s.self)
	}
	s.update()
}

// update applies the settings and the hosts to all services. The caller must hold s.mu.
func (s *services) update() {
	if s.snapshot == nil {
		return
	}
	now := time.Now()
	for spec := range s.snapshot.Services {
		entry := s.byName[spec.Name]
		if entry == nil {
			entry = s.newService(spec.Name)
			s.byName[spec.Name] = entry
		}
		entry.queue.SetLength(spec.Policy.QueueLength)
		entry.balancer.Update(now, loadbalancer.Config{Upstreams: spec.Upstreams, Hosts: s.hosts, Self: s.self})
	}
	for name := range s.byName {
		if _, ok := s.snapshot.Service(name); !ok {
			delete(s.byName, name)
		}
	}
}

func (s *services) newService(name settings.ServiceName) *service {
	balancer := loadbalancer.New(loadbalancer.Options{DataCentre: s.dataCentre, Seed: uint64(time.Now().UnixNano())})
	limit := func() int { return balancer.Capacity(time.Now(), s.ejections.Ejected(name)) }
	return &service{
		balancer: balancer,
		queue:    queue.New(queue.Options{Limit: limit}),
		budget:   retry.NewBudget(retry.BudgetOptions{}),
	}
}

func (s *services) lookup(name settings.ServiceName) (*service, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	entry, ok := s.byName[name]
	return entry, ok
}

// queueStats returns the statistics of each service's queue.
func (s *services) queueStats() map[settings.ServiceName]queue.Stats {
	s.mu.RLock()
	defer s.mu.RUnlock()
	stats := make(map[settings.ServiceName]queue.Stats, len(s.byName))
	for name, entry := range s.byName {
		stats[name] = entry.queue.Stats()
	}
	return stats
}

// Pick implements proxy.Selector.
func (s *services) Pick(
	spec *settings.Service, policy *settings.Policy, exclude []settings.UpstreamID,
) (proxy.Selection, error) {
	entry, ok := s.lookup(spec.Name)
	if !ok {
		return proxy.Selection{}, errkind.New(errkind.NoUpstream, nil)
	}
	chosen, err := entry.balancer.Pick(time.Now(), s.weights(spec.Name, policy.Idempotent), exclude)
	switch {
	case errors.Is(err, loadbalancer.ErrBusy):
		return proxy.Selection{}, errkind.New(errkind.Overloaded, err)
	case err != nil:
		return proxy.Selection{}, errkind.New(errkind.NoUpstream, err)
	}
	report := s.ejections.Start(spec.Name, chosen.ID)
	done := func(result proxy.Result) {
		report(outlierOutcome(result.Outcome))
		entry.balancer.Done(time.Now(), chosen.ID, loadbalancer.Result{
			Shed: result.Outcome == proxy.OutcomeShed, OK: result.Outcome == proxy.OutcomeOK,
			Load: result.Load, HasLoad: result.LoadKnown, Draining: result.Draining,
		})
	}
	return proxy.Selection{Upstream: chosen, Done: done}, nil
}

// weights returns the weights of a service's upstreams. Idempotent requests are sent to suspected upstreams more often, so
// that the arbiter detects sooner whether these are unhealthy.
func (s *services) weights(name settings.ServiceName, idempotent bool) loadbalancer.Weighter {
	set := s.ejections.Ejected(name)
	if idempotent {
		return ejection.Sampling{Set: set}
	}
	return set
}

// outlierOutcome converts the outcome of an attempt for outlier detection.
func outlierOutcome(outcome proxy.Outcome) outlier.Outcome {
	switch outcome {
	case proxy.OutcomeOK:
		return outlier.OK
	case proxy.OutcomeShed:
		return outlier.Shed
	case proxy.OutcomeCancelled:
		return outlier.Abandoned
	default:
		return outlier.Failed
	}
}

// draining returns the upstreams of a service that sent this host a drain sign or that the host list marks as leaving.
func (s *services) draining(name settings.ServiceName) []settings.UpstreamID {
	s.mu.RLock()
	entry, snapshot := s.byName[name], s.snapshot
	s.mu.RUnlock()
	if entry == nil {
		return nil
	}
	draining := entry.balancer.Draining(time.Now())
	spec, ok := snapshot.Service(name)
	if !ok {
		return draining
	}
	for i := range spec.Upstreams {
		if s.leaving.contains(&spec.Upstreams[i]) {
			draining = append(draining, spec.Upstreams[i].ID)
		}
	}
	return draining
}

// Acquire implements proxy.Queue.
func (s *services) Acquire(
	ctx context.Context, spec *settings.Service, customer *settings.Customer,
) (release func(), err error) {
	entry, ok := s.lookup(spec.Name)
	if !ok {
		return nil, errkind.New(errkind.NoUpstream, nil)
	}
	id, weight := settings.CustomerID(""), 1.0
	if customer != nil {
		id, weight = customer.ID, customer.Weight
	}
	release, err = entry.queue.Acquire(ctx, id, weight)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return nil, errkind.New(errkind.DeadlineNotRun, err)
	case err != nil:
		return nil, errkind.New(errkind.Overloaded, err)
	}
	return release, nil
}

// OnSuccess implements proxy.RetryBudget.
func (s *services) OnSuccess(name settings.ServiceName) {
	if entry, ok := s.lookup(name); ok {
		entry.budget.OnSuccess(time.Now())
	}
}

// TakeRetryToken implements proxy.RetryBudget.
func (s *services) TakeRetryToken(name settings.ServiceName) bool {
	entry, ok := s.lookup(name)
	return ok && entry.budget.TakeToken(time.Now())
}
