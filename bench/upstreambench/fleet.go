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
	// FleetWide is the project's own way: fleet-wide ejection and two choices.
	FleetWide Mode = "fleet-wide"
	// FleetRoundRobin is fleet-wide ejection with round robin.
	FleetRoundRobin Mode = "fleet-wide, round robin"
	// FleetHedged is FleetWide with a second attempt once the first has passed the slow bound.
	FleetHedged Mode = "fleet-wide, hedged"
	// NoEjection is two choices without ejection.
	NoEjection Mode = "no ejection"
	// Consecutive ejects on each host alone after five failures in a row for 30 s, with round robin.
	Consecutive Mode = "consecutive failures"
)

const (
	consecutiveLimit = 5
	consecutiveHold  = 30 * time.Second
	deadline         = time.Second
	maxAttempts      = 3
	messageTime      = time.Millisecond
	probeCost        = 25 * time.Millisecond
)

// world is one service with its upstreams and the hosts that send to it.
type world struct {
	sim       *simulation
	mode      Mode
	service   *settings.Service
	upstreams map[settings.UpstreamID]*standIn
	order     []*standIn
	hosts     []*host
	arbiter   *ejection.Arbiter
	trace     *rand.Rand
	seed      uint64
	rate      float64
	results   results
	onTick    func(now time.Time)
}

// results are counted over the whole run.
type results struct {
	requests, inTime, attempts, retries, probes int
	floorCrossings                              int
	latencies                                   []time.Duration
}

type host struct {
	w        *world
	id       fleet.Identity
	detector *outlier.Detector
	reporter *ejection.Reporter
	balancer *loadbalancer.Balancer
	robin    *loadbalancer.RoundRobin
	budget   *retry.Budget
	set      *ejection.Set
	row      map[settings.UpstreamID]int
	heldTill map[settings.UpstreamID]time.Time
}

func newWorld(mode Mode, upstreams, slots, connections, hosts int, rate float64, seed uint64) *world {
	w := &world{
		sim: newSimulation(), mode: mode, service: &settings.Service{Name: "service", Policy: settings.Policy{Floor: 0.5}},
		upstreams: make(map[settings.UpstreamID]*standIn), trace: rand.New(rand.NewPCG(seed, 1)), seed: seed, rate: rate,
	}
	noise := rand.New(rand.NewPCG(seed, 2))
	for i := range upstreams {
		u := settings.Upstream{
			ID: settings.UpstreamID(fmt.Sprintf("u%02d", i)), DataCentre: fmt.Sprint("dc", i%3), Slots: slots, Connections: connections,
		}
		w.service.Upstreams = append(w.service.Upstreams, u)
		s := newStandIn(w.sim, noise, u)
		w.upstreams[u.ID] = s
		w.order = append(w.order, s)
	}
	w.scheduleServicePause(noise)
	w.arbiter = ejection.NewArbiter(w.sim.now, w.sim.now, ejection.ArbiterOptions{Probes: true})
	w.arbiter.SetService(w.service)
	w.addHosts(hosts)
	w.scheduleArrival()
	return w
}

func (w *world) scheduleServicePause(noise *rand.Rand) {
	w.sim.after(time.Duration(noise.ExpFloat64()*float64(servicePauses)), func() {
		for _, s := range w.order {
			s.pause()
		}
		w.scheduleServicePause(noise)
	})
}

func (w *world) addHosts(n int) {
	members := make([]loadbalancer.Host, n)
	for i := range members {
		members[i] = loadbalancer.Host{ID: fleet.HostID(fmt.Sprintf("h%02d", i)), DataCentre: fmt.Sprint("dc", i%3)}
	}
	for i, member := range members {
		h := &host{
			w: w, id: fleet.Identity{ID: member.ID, Incarnation: 1}, detector: outlier.NewDetector(outlier.Options{}),
			reporter: ejection.NewReporter(), budget: retry.NewBudget(retry.BudgetOptions{}),
			balancer: loadbalancer.New(loadbalancer.Options{DataCentre: member.DataCentre, Seed: w.seed + uint64(i)}),
			robin:    loadbalancer.NewRoundRobin(w.service.Upstreams, i),
			row:      make(map[settings.UpstreamID]int), heldTill: make(map[settings.UpstreamID]time.Time),
		}
		h.reporter.SetEpoch(1)
		h.balancer.Update(w.sim.now, loadbalancer.Config{Upstreams: w.service.Upstreams, Hosts: members, Self: member})
		w.hosts = append(w.hosts, h)
		w.sim.every(ejection.Interval*time.Duration(i)/time.Duration(n), ejection.Interval, h.tick)
	}
}

// ejects reports whether the mode uses the arbiter.
func (w *world) ejects() bool {
	return w.mode == FleetWide || w.mode == FleetRoundRobin || w.mode == FleetHedged
}

// tick sends a digest; the arbiter's answer comes two messages later.
func (h *host) tick() {
	w := h.w
	h.detector.Sweep(w.sim.now)
	h.refresh()
	if w.ejects() {
		sentAt := w.sim.now
		digest := h.reporter.Digest(sentAt, h.detector.Counts, nil)
		w.sim.after(messageTime, func() {
			grant := w.arbiter.ProcessDigest(w.sim.now, h.id, digest)
			w.probe()
			w.sim.after(messageTime, func() { h.apply(sentAt, grant) })
		})
	}
	w.checkFloor()
	if w.onTick != nil {
		w.onTick(w.sim.now)
	}
}

func (h *host) apply(sentAt time.Time, grant *ejectionpb.Grant) {
	h.reporter.Apply(sentAt, 1, grant)
	h.refresh()
}

func (h *host) refresh() { h.set = h.reporter.Set(h.w.sim.now, h.w.service) }

func (w *world) probe() {
	for _, id := range w.arbiter.Probes(w.sim.now) {
		w.results.probes++
		rng := rand.New(rand.NewPCG(w.seed, uint64(w.sim.now.UnixNano())))
		answered := false
		cancel := w.upstreams[id].serve(rng, func(outcome outlier.Outcome) {
			answered = true
			var err error
			if outcome != outlier.OK {
				err = fmt.Errorf("outcome %d", outcome)
			}
			w.arbiter.ProbeResult(w.sim.now, id, err)
		})
		w.sim.after(deadline+probeCost, func() {
			if !answered {
				cancel()
				w.arbiter.ProbeResult(w.sim.now, id, fmt.Errorf("no answer"))
			}
		})
	}
}

// checkFloor counts a crossing if a host, or all hosts together, have more out of use than the budget allows.
func (w *world) checkFloor() {
	if !w.ejects() {
		return
	}
	union := make(map[settings.UpstreamID]bool)
	for _, h := range w.hosts {
		for _, e := range h.set.Ejections() {
			union[e.Upstream] = true
		}
	}
	if len(union) > ejection.Budget(len(w.order), w.service.Policy.Floor) {
		w.results.floorCrossings++
	}
}

// Weight implements loadbalancer.Weighter for the host's own ejections in mode Consecutive.
func (h *host) Weight(id settings.UpstreamID) float64 {
	if h.w.mode == Consecutive && h.w.sim.now.Before(h.heldTill[id]) {
		return 0
	}
	if h.w.ejects() {
		return ejection.Sampling{Set: h.set}.Weight(id)
	}
	return 1
}

// observe counts failures in a row for mode Consecutive and ejects within the floor of this host alone.
func (h *host) observe(id settings.UpstreamID, outcome outlier.Outcome) {
	if outcome == outlier.OK {
		h.row[id] = 0
		return
	}
	h.row[id]++
	held := 0
	for _, till := range h.heldTill {
		if h.w.sim.now.Before(till) {
			held++
		}
	}
	if h.row[id] >= consecutiveLimit && held < ejection.Budget(len(h.w.order), h.w.service.Policy.Floor) {
		h.row[id] = 0
		h.heldTill[id] = h.w.sim.now.Add(consecutiveHold)
	}
}
