package ejection

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/outlier"
)

// Method is the call by which a host reports to an arbiter.
const Method peer.Method = "ejection.report"

const (
	// Interval is the time between two digests of a host.
	Interval = 250 * time.Millisecond
	// callTimeout limits a call that sends a report. It must be below Margin: adopt relies on this.
	callTimeout  = 400 * time.Millisecond
	probeTimeout = time.Second
	// previousArbiterTimeout is how long an arbiter of the previous epoch may still act after another host has learned the
	// new epoch: the length of its activity lease and the drift margin.
	previousArbiterTimeout = 2 * time.Second
)

// Options configure a Service.
type Options struct {
	Views     fleet.ViewSource
	Caller    peer.Caller
	Registrar peer.Registrar
	Clock     clock.Clock
	// Services calls yield for each service of the newest settings. Services and Draining must not call methods of the
	// Service, which holds its lock while it calls them.
	Services func(yield func(*settings.Service) bool)
	// Probe sends one probe to an upstream and returns an error unless a successful response arrives within the context's
	// deadline. Default nil: upstreams return without a probe.
	Probe func(ctx context.Context, upstream settings.Upstream) error
	// Draining returns the upstreams of a service whose drain sign this host has seen, or that the platform's host list
	// marks as leaving. All hosts stop using them, and they do not count for the floor. Default none.
	Draining func(service settings.ServiceName) []settings.UpstreamID
	Outlier  outlier.Options
	Arbiter  ArbiterOptions
	// Logger receives a line for each probe that this host's arbiters order. Default none.
	Logger zerolog.Logger
}

// serviceState is the state of one service on this host.
type serviceState struct {
	settings *settings.Service
	detector *outlier.Detector
	reporter *Reporter
	set      atomic.Pointer[Set]
}

// Service runs the detectors, reporters and arbiters of one host. It is safe for concurrent use.
type Service struct {
	options Options

	mu       sync.Mutex
	services map[settings.ServiceName]*serviceState
	// arbiters belong to arbiterEpoch.
	arbiters     map[settings.ServiceName]*Arbiter
	arbiterEpoch uint64
	// published is a copy of services that Ejected reads without the lock.
	published atomic.Pointer[map[settings.ServiceName]*serviceState]
	// inFlight holds the addresses of peers to which a report is in flight.
	inFlight map[string]bool
	// probes is the number of probes since the start of the process.
	probes uint64
	// tasks are the reports and probes in flight.
	tasks sync.WaitGroup
}

// NewService returns a Service and registers its handler. The caller must run Run.
func NewService(options Options) *Service {
	options.Arbiter.Probes = options.Probe != nil
	s := &Service{
		options:  options,
		services: make(map[settings.ServiceName]*serviceState),
		arbiters: make(map[settings.ServiceName]*Arbiter),
		inFlight: make(map[string]bool),
	}
	options.Registrar.Handle(Method, newReport, s.handle)
	return s
}

// Run sends reports and advances the arbiters until the context ends, and then waits for the calls in flight. It returns nil.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	defer s.tasks.Wait()
	for {
		s.tick(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// OnView applies a new view of the host. The host's arbiters are replaced by new ones whenever the epoch changes, because
// arbiters of the previous epoch on other hosts may have granted ejections meanwhile.
func (s *Service) OnView(previous, view *fleet.View) {
	if previous != nil && previous.Epoch.Number == view.Epoch.Number {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enterEpoch(view)
	for _, l := range s.services {
		l.reporter.SetEpoch(view.Epoch.Number)
	}
}

func (s *Service) enterEpoch(view *fleet.View) {
	if s.arbiterEpoch != view.Epoch.Number {
		s.arbiterEpoch = view.Epoch.Number
		clear(s.arbiters)
	}
}

// Start records that an attempt at an upstream was sent. The returned function records its outcome; only its first call
// counts.
func (s *Service) Start(service settings.ServiceName, upstream settings.UpstreamID) func(outlier.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.stateOf(service)
	number := l.detector.Start(s.options.Clock.Now(), upstream)
	return func(outcome outlier.Outcome) {
		s.mu.Lock()
		defer s.mu.Unlock()
		l.detector.Finish(s.options.Clock.Now(), number, outcome)
	}
}

func (s *Service) stateOf(name settings.ServiceName) *serviceState {
	l := s.services[name]
	if l == nil {
		l = &serviceState{
			settings: &settings.Service{Name: name}, detector: outlier.NewDetector(s.options.Outlier), reporter: NewReporter(),
		}
		l.reporter.SetEpoch(s.options.Views.View().Epoch.Number)
		s.services[name] = l
		s.publish()
	}
	return l
}

func (s *Service) publish() {
	services := maps.Clone(s.services)
	s.published.Store(&services)
}

// Ejected returns the ejections of a service that are active on this host, or nil if the service is not known. It takes no
// lock unless a lease of the last set has ended.
func (s *Service) Ejected(service settings.ServiceName) *Set {
	services := s.published.Load()
	if services == nil || (*services)[service] == nil {
		return nil
	}
	l := (*services)[service]
	now := s.options.Clock.Now()
	set := l.set.Load()
	if set == nil || set.validAt(now) {
		return set
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	set = l.reporter.Set(now, l.settings)
	l.set.Store(set)
	return set
}

// tick sweeps the detectors, advances the arbiters and sends the digests.
func (s *Service) tick(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.options.Views.View()
	now := s.options.Clock.Now()
	s.enterEpoch(view)
	s.applySettings(view)
	for _, l := range s.services {
		l.reporter.SetEpoch(view.Epoch.Number)
		l.detector.Sweep(now)
		l.set.Store(l.reporter.Set(now, l.settings))
	}
	if view.ActiveAt(now) {
		s.advance(ctx, now)
	}
	s.report(ctx, view)
}

func (s *Service) applySettings(view *fleet.View) {
	known := make(map[settings.ServiceName]bool)
	s.options.Services(func(service *settings.Service) bool {
		known[service.Name] = true
		l := s.stateOf(service.Name)
		if l.settings == service {
			return true
		}
		l.settings = service
		ids := make(map[settings.UpstreamID]bool, len(service.Upstreams))
		for _, u := range service.Upstreams {
			ids[u.ID] = true
		}
		l.detector.Keep(func(id settings.UpstreamID) bool { return ids[id] })
		if a := s.arbiters[service.Name]; a != nil {
			a.SetService(service)
		}
		return true
	})
	for name := range s.services {
		if !known[name] {
			delete(s.services, name)
			delete(s.arbiters, name)
			s.publish()
		}
	}
	for name := range s.arbiters {
		if !view.Owns(ownerKey(name)) {
			delete(s.arbiters, name)
		}
	}
}

func ownerKey(name settings.ServiceName) string { return "ejection/" + string(name) }

// advance advances the arbiters to now and starts the probes that are due.
func (s *Service) advance(ctx context.Context, now time.Time) {
	for name, arbiter := range s.arbiters {
		arbiter.Advance(now)
		if s.options.Probe == nil {
			continue
		}
		for _, id := range arbiter.Probes(now) {
			for _, u := range s.services[name].settings.Upstreams {
				if u.ID == id {
					s.probes++
					s.tasks.Go(func() { s.probe(ctx, name, arbiter, u) })
				}
			}
		}
	}
}

func (s *Service) probe(ctx context.Context, name settings.ServiceName, arbiter *Arbiter, u settings.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := s.options.Probe(ctx, u)
	s.mu.Lock()
	defer s.mu.Unlock()
	arbiter.ProbeResult(s.options.Clock.Now(), u.ID, err)
	s.options.Logger.Info().Str("service", string(name)).Str("upstream", string(u.ID)).Bool("ok", err == nil).Msg("upstream probed")
}

// Status is the state of one service on this host.
type Status struct {
	Service settings.ServiceName
	// Arbiter is true if the arbiter of the service runs on this host.
	Arbiter bool
	// SlowBound is the latency above which an attempt is slow.
	SlowBound time.Duration
	Ejections []Ejection
}

// Status returns the state of each service, in no particular order.
func (s *Service) Status() []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	list := make([]Status, 0, len(s.services))
	for name, l := range s.services {
		_, isArbiter := s.arbiters[name]
		list = append(list, Status{
			Service: name, Arbiter: isArbiter, SlowBound: l.detector.SlowThreshold(),
			Ejections: l.reporter.Set(now, l.settings).Ejections(),
		})
	}
	return list
}

// Probes is the number of probes since the start of the process.
func (s *Service) Probes() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probes
}
