package upstreambench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/ejection"
	"github.com/bronzeyard/bronzeyard/fleet/ejection/ejectionpb"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/loadbalancer"
	"github.com/bronzeyard/bronzeyard/traffic/outlier"
	"github.com/bronzeyard/bronzeyard/traffic/retry"
)

// Mode is a way to choose and eject upstreams.
type Mode string

// The modes that a run compares.
const (
	// FleetWide is the project's own method: fleet-wide ejection, and load balancing by two random choices.
	FleetWide Mode = "fleet-wide"
	// FleetRoundRobin is fleet-wide ejection with round robin.
	FleetRoundRobin Mode = "fleet-wide, round robin"
	// FleetHedged is FleetWide with a second attempt once the first one has exceeded the slow threshold.
	FleetHedged Mode = "fleet-wide, hedged"
	// NoEjection is load balancing by two random choices without ejection.
	NoEjection Mode = "no ejection"
	// Consecutive ejects an upstream for 30 s after five consecutive failures, on each host independently, with round robin.
	Consecutive Mode = "consecutive failures"
)

const (
	consecutiveLimit        = 5
	consecutiveEjectionTime = 30 * time.Second
	// deadline is the time from the arrival of a request within which it must be answered.
	deadline    = time.Second
	maxAttempts = 3
	// messageDelay is the one-way delay of a message between hosts.
	messageDelay = time.Millisecond
	// probeOverhead is added to deadline for the timeout of a probe.
	probeOverhead = 25 * time.Millisecond
)

// model simulates one service with its upstreams and the hosts that send requests to it.
type model struct {
	sim          *simulation
	mode         Mode
	service      *settings.Service
	upstreams    map[settings.UpstreamID]*simulatedUpstream
	upstreamList []*simulatedUpstream
	hosts        []*host
	arbiter      *ejection.Arbiter
	arrivalRNG   *rand.Rand
	seed         uint64
	requestRate  float64
	results      results
	onTick       func(now time.Time)
}

// results are counters and latencies over the whole run of a model.
type results struct {
	requests, inTime, attempts, retries, probes int
	floorCrossings                              int
	latencies                                   []time.Duration
}

type host struct {
	model               *model
	id                  fleet.Identity
	detector            *outlier.Detector
	reporter            *ejection.Reporter
	balancer            *loadbalancer.Balancer
	roundRobin          *loadbalancer.RoundRobin
	budget              *retry.Budget
	ejections           *ejection.Set
	consecutiveFailures map[settings.UpstreamID]int
	ejectedUntil        map[settings.UpstreamID]time.Time
}

func newModel(mode Mode, upstreams, slots, connections, hosts int, rate float64, seed uint64) *model {
	m := &model{
		sim: newSimulation(), mode: mode, service: &settings.Service{Name: "service", Policy: settings.Policy{Floor: 0.5}},
		upstreams: make(map[settings.UpstreamID]*simulatedUpstream), arrivalRNG: rand.New(rand.NewPCG(seed, 1)), seed: seed,
		requestRate: rate,
	}
	noise := rand.New(rand.NewPCG(seed, 2))
	for i := range upstreams {
		u := settings.Upstream{
			ID: settings.UpstreamID(fmt.Sprintf("u%02d", i)), DataCentre: fmt.Sprint("dc", i%3), Slots: slots, Connections: connections,
		}
		m.service.Upstreams = append(m.service.Upstreams, u)
		s := newSimulatedUpstream(m.sim, noise, u)
		m.upstreams[u.ID] = s
		m.upstreamList = append(m.upstreamList, s)
	}
	m.scheduleServicePause(noise)
	m.arbiter = ejection.NewArbiter(m.sim.now, m.sim.now, ejection.ArbiterOptions{Probes: true})
	m.arbiter.SetService(m.service)
	m.addHosts(hosts)
	m.scheduleArrival()
	return m
}

func (m *model) scheduleServicePause(noise *rand.Rand) {
	m.sim.after(time.Duration(noise.ExpFloat64()*float64(servicePauseInterval)), func() {
		for _, s := range m.upstreamList {
			s.pause()
		}
		m.scheduleServicePause(noise)
	})
}

func (m *model) addHosts(n int) {
	members := make([]loadbalancer.Host, n)
	for i := range members {
		members[i] = loadbalancer.Host{ID: fleet.HostID(fmt.Sprintf("h%02d", i)), DataCentre: fmt.Sprint("dc", i%3)}
	}
	for i, member := range members {
		h := &host{
			model: m, id: fleet.Identity{ID: member.ID, Incarnation: 1}, detector: outlier.NewDetector(outlier.Options{}),
			reporter: ejection.NewReporter(), budget: retry.NewBudget(retry.BudgetOptions{}),
			balancer:            loadbalancer.New(loadbalancer.Options{DataCentre: member.DataCentre, Seed: m.seed + uint64(i)}),
			roundRobin:          loadbalancer.NewRoundRobin(m.service.Upstreams, i),
			consecutiveFailures: make(map[settings.UpstreamID]int), ejectedUntil: make(map[settings.UpstreamID]time.Time),
		}
		h.reporter.SetEpoch(1)
		h.balancer.Update(m.sim.now, loadbalancer.Config{Upstreams: m.service.Upstreams, Hosts: members, Self: member})
		m.hosts = append(m.hosts, h)
		m.sim.every(ejection.Interval*time.Duration(i)/time.Duration(n), ejection.Interval, h.tick)
	}
}

// usesArbiter reports whether the arbiter ejects upstreams in this mode.
func (m *model) usesArbiter() bool {
	return m.mode == FleetWide || m.mode == FleetRoundRobin || m.mode == FleetHedged
}

// tick sends a digest to the arbiter. The grant arrives two message delays later.
func (h *host) tick() {
	m := h.model
	h.detector.Sweep(m.sim.now)
	h.refresh()
	if m.usesArbiter() {
		sentAt := m.sim.now
		digest := h.reporter.Digest(sentAt, h.detector.Counts, nil)
		m.sim.after(messageDelay, func() {
			grant := m.arbiter.ProcessDigest(m.sim.now, h.id, digest)
			m.probe()
			m.sim.after(messageDelay, func() { h.apply(sentAt, grant) })
		})
	}
	m.checkFloor()
	if m.onTick != nil {
		m.onTick(m.sim.now)
	}
}

func (h *host) apply(sentAt time.Time, grant *ejectionpb.Grant) {
	h.reporter.Apply(sentAt, 1, grant)
	h.refresh()
}

func (h *host) refresh() { h.ejections = h.reporter.Set(h.model.sim.now, h.model.service) }

func (m *model) probe() {
	for _, id := range m.arbiter.Probes(m.sim.now) {
		m.results.probes++
		rng := rand.New(rand.NewPCG(m.seed, uint64(m.sim.now.UnixNano())))
		answered := false
		cancel := m.upstreams[id].serve(rng, func(outcome outlier.Outcome) {
			answered = true
			var err error
			if outcome != outlier.OK {
				err = fmt.Errorf("probe failed with outcome %d", outcome)
			}
			m.arbiter.ProbeResult(m.sim.now, id, err)
		})
		m.sim.after(deadline+probeOverhead, func() {
			if !answered {
				cancel()
				m.arbiter.ProbeResult(m.sim.now, id, fmt.Errorf("no response before the probe timeout"))
			}
		})
	}
}

// checkFloor counts a crossing if all hosts together have ejected more upstreams than the budget allows.
func (m *model) checkFloor() {
	if !m.usesArbiter() {
		return
	}
	union := make(map[settings.UpstreamID]bool)
	for _, h := range m.hosts {
		for _, e := range h.ejections.Ejections() {
			union[e.Upstream] = true
		}
	}
	if len(union) > ejection.Budget(len(m.upstreamList), m.service.Policy.Floor) {
		m.results.floorCrossings++
	}
}

// Weight implements loadbalancer.Weighter: with the ejections of this host alone in mode Consecutive, with those granted
// by the arbiter in the fleet-wide modes.
func (h *host) Weight(id settings.UpstreamID) float64 {
	if h.model.mode == Consecutive && h.model.sim.now.Before(h.ejectedUntil[id]) {
		return 0
	}
	if h.model.usesArbiter() {
		return ejection.Sampling{Set: h.ejections}.Weight(id)
	}
	return 1
}

// observe counts consecutive failures for mode Consecutive. It ejects the upstream at the limit unless this host alone has
// already ejected as many upstreams as the floor allows.
func (h *host) observe(id settings.UpstreamID, outcome outlier.Outcome) {
	if outcome == outlier.OK {
		h.consecutiveFailures[id] = 0
		return
	}
	h.consecutiveFailures[id]++
	ejected := 0
	for _, until := range h.ejectedUntil {
		if h.model.sim.now.Before(until) {
			ejected++
		}
	}
	if h.consecutiveFailures[id] >= consecutiveLimit &&
		ejected < ejection.Budget(len(h.model.upstreamList), h.model.service.Policy.Floor) {
		h.consecutiveFailures[id] = 0
		h.ejectedUntil[id] = h.model.sim.now.Add(consecutiveEjectionTime)
	}
}
