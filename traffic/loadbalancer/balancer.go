package loadbalancer

import (
	"cmp"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

// Errors of Pick. In both cases nothing was sent to any upstream.
var (
	// ErrNoUpstream means that every upstream is leaving, ejected, excluded or outside the host's subset.
	ErrNoUpstream = errors.New("loadbalancer: no upstream takes requests")
	// ErrBusy means that every usable upstream is at this host's in-flight limit.
	ErrBusy = errors.New("loadbalancer: every upstream is at the in-flight limit")
)

const (
	// loadHalfLife is the age at which a reported load counts half. Reports come with answers, so at 0.3 requests/s
	// per host and upstream most are older than this and must not outweigh the in-flight count.
	loadHalfLife = time.Second
	// loadSmoothing is the time after which a report has replaced half of the average. Reports lag by more than a request
	// takes; used as they come, they made all hosts turn to the same upstream, and p99 was worse than with round robin.
	loadSmoothing = 4 * time.Second
	// spillLoad is the load of the own data centre's candidate above which other data centres are considered.
	spillLoad = 0.5
	// loadTolerance is a difference of loads that decides nothing. It is far below the 1/slots of one request in flight.
	loadTolerance = 0.03
	// remotePenalty is the load by which an upstream in another data centre must be better.
	remotePenalty = 0.1
	// shedFactor shrinks the in-flight limit on a shed answer.
	shedFactor = 0.7
	// shedInterval is the shortest time between two reductions, so that one burst of shed answers counts once.
	shedInterval = 100 * time.Millisecond
	// slowStart is how long a new upstream takes to reach its full share.
	slowStart = 10 * time.Second
	// slowStartMinimum is the share with which a new upstream starts.
	slowStartMinimum = 0.1
	// drainHold is how long a drain sign is believed. A draining upstream gets no requests and so cannot renew the sign.
	drainHold = 30 * time.Second
	// sampleInterval is the time between additional requests of all hosts together to an upstream of weight above 1. In
	// upstreambench, 80 ms detects at p99 0.2 to 1.2 s sooner than 120 ms in most cases.
	sampleInterval = 80 * time.Millisecond
)

// Weighter states the share of requests an upstream may get: 0 for an ejected upstream, 1 for a healthy one, less than 1
// while it returns, and more than 1 if additional requests are wanted to judge it.
type Weighter interface {
	Weight(settings.UpstreamID) float64
}

// Options configure a Balancer.
type Options struct {
	// DataCentre is the host's own data centre.
	DataCentre string
	// Seed makes the random choices reproducible.
	Seed uint64
	// NoSlowStart gives new upstreams their full share at once. Default false.
	NoSlowStart bool
}

// Config is what a Balancer chooses from.
type Config struct {
	// Upstreams of the service. Leaving ones get no requests.
	Upstreams []settings.Upstream
	// Hosts are the hosts that send to the service, this one included. An empty list means this host alone.
	Hosts []Host
	// Self is this host's entry in Hosts.
	Self Host
}

// Result is what an attempt told about its upstream.
type Result struct {
	// Shed is true if the upstream refused because of load.
	Shed bool
	// OK is true if the upstream answered properly.
	OK bool
	// Load is the reported load between 0 and 1; it is read only if HasLoad is true.
	Load    float64
	HasLoad bool
	// Draining is true if the upstream announced that it leaves.
	Draining bool
}

// Status describes one upstream as seen by this host.
type Status struct {
	ID       settings.UpstreamID
	InFlight int
	// Limit is the host's in-flight limit for the upstream, in requests.
	Limit float64
	// Draining is true while a drain sign is believed.
	Draining bool
}

type upstream struct {
	settings.Upstream
	inFlight int
	// limit lies between share, this host's part of the slots, and maximum.
	limit, share, maximum float64
	load                  float64
	loadAt                time.Time
	shedAt                time.Time
	// since is the time at which the upstream appeared; zero if it needs no slow start.
	since     time.Time
	drainTill time.Time
	sampledAt time.Time
}

// Balancer chooses upstreams of one service on one host.
type Balancer struct {
	options Options

	mu        sync.Mutex
	rng       *rand.Rand
	upstreams map[settings.UpstreamID]*upstream
	// order lists the upstreams of this host's subset by id, so that the choice depends on the seed alone.
	order    []*upstream
	inFlight int
	hosts    int
	started  bool
}

// New returns a Balancer without upstreams.
func New(options Options) *Balancer {
	return &Balancer{
		options:   options,
		rng:       rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
		upstreams: make(map[settings.UpstreamID]*upstream),
	}
}

// Update replaces the upstreams and hosts. In-flight counts of upstreams that stay are kept. Upstreams that are new
// after the first call start slowly.
func (b *Balancer) Update(now time.Time, config Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	hosts := config.Hosts
	if len(hosts) == 0 {
		hosts = []Host{config.Self}
	}
	b.hosts = len(hosts)
	b.order = nil
	known := make(map[settings.UpstreamID]*upstream, len(config.Upstreams))
	for _, u := range config.Upstreams {
		members := Subset(u, hosts)
		if !slices.ContainsFunc(members, func(h Host) bool { return h.ID == config.Self.ID }) {
			continue
		}
		state := b.upstreams[u.ID]
		if state == nil {
			state = b.newUpstream(now, u, len(members))
		}
		state.configure(u, len(members))
		known[u.ID] = state
		b.order = append(b.order, state)
	}
	b.upstreams = known
	b.started = true
	slices.SortFunc(b.order, func(x, y *upstream) int { return cmp.Compare(x.ID, y.ID) })
}

func (b *Balancer) newUpstream(now time.Time, u settings.Upstream, hosts int) *upstream {
	state := &upstream{limit: 2 * float64(max(1, u.Slots)) / float64(hosts)}
	if b.started && !b.options.NoSlowStart {
		state.since = now
	}
	return state
}

func (u *upstream) configure(next settings.Upstream, hosts int) {
	slots := max(1, next.Slots)
	u.Upstream = next
	u.share = float64(slots) / float64(hosts)
	u.maximum = float64(max(1, min(slots, connectionShare(next, hosts))))
	u.share = math.Min(u.share, u.maximum)
	u.limit = clamp(u.limit, u.share, u.maximum)
}

// Pick chooses an upstream outside exclude and counts the attempt as in flight until Done. weights may be nil.
func (b *Balancer) Pick(now time.Time, weights Weighter, exclude []settings.UpstreamID) (settings.Upstream, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := b.candidates(now, weights, exclude, false)
	if len(candidates) == 0 {
		// When every upstream has announced that it drains, one that drains is better than none.
		candidates = b.candidates(now, weights, exclude, true)
	}
	if len(candidates) == 0 {
		return settings.Upstream{}, ErrNoUpstream
	}
	candidates = slices.DeleteFunc(candidates, candidate.atLimit)
	if len(candidates) == 0 {
		return settings.Upstream{}, ErrBusy
	}
	chosen := b.sample(now, candidates)
	if chosen == nil {
		chosen = b.choose(now, b.admit(candidates))
	}
	chosen.inFlight++
	b.inFlight++
	return chosen.Upstream, nil
}

type candidate struct {
	*upstream
	weight float64
}

func (c candidate) atLimit() bool { return float64(c.inFlight) >= math.Max(1, c.limit) }

func (b *Balancer) candidates(now time.Time, weights Weighter, exclude []settings.UpstreamID, draining bool) []candidate {
	usable := make([]candidate, 0, len(b.order))
	for _, u := range b.order {
		if u.Leaving || (!draining && now.Before(u.drainTill)) || slices.Contains(exclude, u.ID) {
			continue
		}
		weight := u.startWeight(now)
		if weights != nil && weight < 1 {
			weight = math.Min(weight, weights.Weight(u.ID))
		} else if weights != nil {
			weight = weights.Weight(u.ID)
		}
		if weight > 0 {
			usable = append(usable, candidate{upstream: u, weight: weight})
		}
	}
	return usable
}

// sample returns an upstream that is due for an additional request of this host, or nil. An upstream that is slow reports
// a high load for that reason, so the load does not count here; the in-flight limit does.
func (b *Balancer) sample(now time.Time, candidates []candidate) *upstream {
	interval := time.Duration(b.hosts) * sampleInterval
	for _, c := range candidates {
		if c.weight <= 1 {
			continue
		}
		if now.Sub(c.sampledAt) > 2*interval {
			// Hosts learn of a suspect at the same time and must not all send at once.
			c.sampledAt = now.Add(-time.Duration(b.rng.Int64N(int64(interval))))
		}
		if now.Sub(c.sampledAt) >= interval {
			c.sampledAt = now
			return c.upstream
		}
	}
	return nil
}

// admit leaves out each upstream that is starting with the probability that its share demands. If that leaves none,
// all are admitted.
func (b *Balancer) admit(candidates []candidate) []candidate {
	admitted := make([]candidate, 0, len(candidates))
	for _, c := range candidates {
		if c.weight >= 1 || b.rng.Float64() < c.weight {
			admitted = append(admitted, c)
		}
	}
	if len(admitted) == 0 {
		return candidates
	}
	return admitted
}

// choose takes the better of two in the own data centre, or of two elsewhere if the former is loaded.
func (b *Balancer) choose(now time.Time, candidates []candidate) *upstream {
	slices.SortStableFunc(candidates, func(x, y candidate) int { return b.distance(x) - b.distance(y) })
	own := 0
	for own < len(candidates) && b.distance(candidates[own]) == 0 {
		own++
	}
	local, localLoad := b.betterOfTwo(now, candidates[:own])
	if local != nil && (localLoad < spillLoad || own == len(candidates)) {
		return local
	}
	remote, remoteLoad := b.betterOfTwo(now, candidates[own:])
	if local != nil && localLoad <= remoteLoad+remotePenalty {
		return local
	}
	return remote
}

func (b *Balancer) distance(c candidate) int {
	if c.DataCentre == b.options.DataCentre {
		return 0
	}
	return 1
}

func (b *Balancer) betterOfTwo(now time.Time, candidates []candidate) (*upstream, float64) {
	if len(candidates) == 0 {
		return nil, math.Inf(1)
	}
	mean := meanLoad(now, candidates)
	i := b.rng.IntN(len(candidates))
	first := candidates[i].upstream
	if len(candidates) == 1 {
		return first, first.loadAtTime(now, mean)
	}
	j := b.rng.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	second := candidates[j].upstream
	if second.loadAtTime(now, mean)+loadTolerance < first.loadAtTime(now, mean) {
		first = second
	}
	return first, first.loadAtTime(now, mean)
}

// loadAtTime is the share of the upstream's slots that is believed to be taken. Without a recent report it is taken to be as
// loaded as the mean of its data centre: an upstream that fails reports nothing, and must not draw requests by seeming idle.
func (u *upstream) loadAtTime(now time.Time, mean float64) float64 {
	load := float64(u.inFlight)/float64(max(1, u.Slots)) + mean
	if u.loadAt.IsZero() {
		return load
	}
	age := now.Sub(u.loadAt)
	return load + (u.load-mean)*math.Exp2(-float64(age)/float64(loadHalfLife))
}

// meanLoad is the mean of the loads that the candidates reported; 0 if none did. It loses weight with age, so that a data
// centre that was avoided is tried again.
func meanLoad(now time.Time, candidates []candidate) float64 {
	sum, n := 0.0, 0.0
	for _, c := range candidates {
		if !c.loadAt.IsZero() {
			sum += c.load * math.Exp2(-float64(now.Sub(c.loadAt))/float64(loadSmoothing))
			n++
		}
	}
	return sum / math.Max(1, n)
}

func (u *upstream) startWeight(now time.Time) float64 {
	if u.since.IsZero() {
		return 1
	}
	return clamp(float64(now.Sub(u.since))/float64(slowStart), slowStartMinimum, 1)
}

// Done ends an attempt that Pick started.
func (b *Balancer) Done(now time.Time, id settings.UpstreamID, result Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight = max(0, b.inFlight-1)
	u := b.upstreams[id]
	if u == nil {
		return
	}
	if result.HasLoad {
		u.observeLoad(now, clamp(result.Load, 0, 1))
	}
	if result.Draining {
		u.drainTill = now.Add(drainHold)
	}
	b.adapt(now, u, result)
	u.inFlight = max(0, u.inFlight-1)
}

// observeLoad averages reported loads over loadSmoothing. A single report is older than the requests that it would steer.
func (u *upstream) observeLoad(now time.Time, load float64) {
	keep := 0.0
	if !u.loadAt.IsZero() {
		keep = math.Exp2(-float64(now.Sub(u.loadAt)) / float64(loadSmoothing))
	}
	u.load = load + keep*(u.load-load)
	u.loadAt = now
}

// adapt reduces the limit on a shed answer and raises it while the host uses all that it may.
func (b *Balancer) adapt(now time.Time, u *upstream, result Result) {
	switch {
	case result.Shed && now.Sub(u.shedAt) >= shedInterval:
		u.shedAt = now
		u.limit = math.Max(u.share, u.limit*shedFactor)
	case result.OK && (float64(u.inFlight) >= u.limit-1 || b.inFlight+1 >= b.capacity()):
		step := 1 / math.Max(1, u.limit) / float64(max(1, len(b.order)))
		u.limit = math.Min(u.maximum, u.limit+step)
	}
}

func (b *Balancer) capacity() int {
	sum := 0.0
	for _, u := range b.order {
		sum += u.limit
	}
	return max(1, int(sum))
}

// Capacity is how many requests of the service this host may have in flight: the sum of its limits over the upstreams
// that weights leaves in use, at least 1. weights may be nil.
func (b *Balancer) Capacity(now time.Time, weights Weighter) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := 0.0
	for _, c := range b.candidates(now, weights, nil, false) {
		sum += c.limit
	}
	return max(1, int(sum))
}

// Draining lists the upstreams whose drain sign this host has seen and believes.
func (b *Balancer) Draining(now time.Time) []settings.UpstreamID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []settings.UpstreamID
	for _, u := range b.order {
		if now.Before(u.drainTill) {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// Status lists the upstreams of this host's subset by id.
func (b *Balancer) Status(now time.Time) []Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	statuses := make([]Status, 0, len(b.order))
	for _, u := range b.order {
		statuses = append(statuses, Status{ID: u.ID, InFlight: u.inFlight, Limit: u.limit, Draining: now.Before(u.drainTill)})
	}
	return statuses
}

func clamp(v, low, high float64) float64 { return math.Max(low, math.Min(high, v)) }
