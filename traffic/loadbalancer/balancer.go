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

// Errors of Pick. In both cases nothing has been sent to an upstream.
var (
	// ErrNoUpstream means that there is no upstream, or that each is leaving, ejected, excluded or outside the host's subset.
	ErrNoUpstream = errors.New("loadbalancer: no usable upstream: each is leaving, ejected, excluded or outside the host's subset")
	// ErrBusy means that every usable upstream is at this host's in-flight limit.
	ErrBusy = errors.New("loadbalancer: every usable upstream is at the in-flight limit of this host")
)

const (
	// loadHalfLife is the age at which the weight of a reported load has halved. Reports come with responses, so at 0.3
	// requests/s per host and upstream most are older than this and must not outweigh the in-flight count.
	loadHalfLife = time.Second
	// loadAverageHalfLife is the time in which earlier reports lose half of their weight in the average of reported loads.
	// Reports lag by more than the duration of a request. Without the average they made all hosts choose the same upstream, and
	// p99 was worse than with round robin.
	loadAverageHalfLife = 4 * time.Second
	// spilloverLoad is the load of the local data centre's candidate from which remote data centres are considered.
	spilloverLoad = 0.5
	// loadTolerance is the difference between loads that is ignored. It is far below the 1/slots of one request in flight.
	loadTolerance = 0.03
	// remotePenalty is the load by which a remote upstream must be less loaded than a local one to be chosen.
	remotePenalty = 0.1
	// shedFactor is the factor by which a shed response reduces the in-flight limit.
	shedFactor = 0.7
	// minShedInterval is the minimum time between two reductions, so that a burst of shed responses counts once.
	minShedInterval = 100 * time.Millisecond
	// slowStartDuration is the time in which a new upstream reaches its full share.
	slowStartDuration = 10 * time.Second
	// minSlowStartWeight is the fraction of its full share with which a new upstream starts.
	minSlowStartWeight = 0.1
	// drainSignTTL is how long a drain sign is valid. A draining upstream gets no requests and therefore cannot renew it.
	drainSignTTL = 30 * time.Second
	// sampleInterval is the time between the additional requests of all hosts together to an upstream with a weight above 1. In
	// upstreambench, 80 ms detects unhealthy upstreams 0.2 to 1.2 s sooner at p99 than 120 ms in most cases.
	sampleInterval = 80 * time.Millisecond
)

// Weighter provides the weight of an upstream in the distribution of requests: 0 for an ejected upstream, 1 for a healthy one,
// less than 1 while it returns from ejection, and more than 1 if additional requests are wanted to assess its health.
type Weighter interface {
	Weight(settings.UpstreamID) float64
}

// Options configures a Balancer.
type Options struct {
	// DataCentre is the data centre of this host.
	DataCentre string
	// Seed is the seed of the random choices, which makes them reproducible.
	Seed uint64
	// NoSlowStart gives new upstreams their full share immediately. Default false.
	NoSlowStart bool
}

// Config holds the upstreams from which a Balancer chooses, and the hosts that share them.
type Config struct {
	// Upstreams are the upstreams of the service. Leaving ones get no requests.
	Upstreams []settings.Upstream
	// Hosts are the hosts that send to the service, including this one. An empty list means this host alone.
	Hosts []Host
	// Self is this host's entry in Hosts.
	Self Host
}

// Result is what an attempt revealed about its upstream.
type Result struct {
	// Shed is true if the upstream rejected the request because of load.
	Shed bool
	// OK is true if the upstream returned a valid response.
	OK bool
	// Load is the reported load between 0 and 1. It is ignored unless HasLoad is true.
	Load    float64
	HasLoad bool
	// Draining is true if the response carried the upstream's drain sign.
	Draining bool
}

// Status is the state of one upstream on this host.
type Status struct {
	ID       settings.UpstreamID
	InFlight int
	// Limit is the host's in-flight limit for the upstream, in requests.
	Limit float64
	// Draining is true while a drain sign of the upstream is valid.
	Draining bool
}

type upstream struct {
	settings.Upstream
	inFlight int
	// limit is the in-flight limit. It lies between share, this host's share of the slots, and maxLimit.
	limit, share, maxLimit float64
	load                   float64
	loadAt                 time.Time
	shedAt                 time.Time
	// addedAt is the time at which the upstream was added; zero if it needs no slow start.
	addedAt    time.Time
	drainUntil time.Time
	sampledAt  time.Time
}

// Balancer chooses upstreams of one service on one host.
type Balancer struct {
	options Options

	mu        sync.Mutex
	rng       *rand.Rand
	upstreams map[settings.UpstreamID]*upstream
	// subset lists the upstreams to which this host may connect, sorted by id so that the choice depends on the seed alone.
	subset   []*upstream
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

// Update replaces the upstreams and hosts. Upstreams that remain keep their in-flight counts. Upstreams that are added after
// the first call get a slow start.
func (b *Balancer) Update(now time.Time, config Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	hosts := config.Hosts
	if len(hosts) == 0 {
		hosts = []Host{config.Self}
	}
	b.hosts = len(hosts)
	b.subset = nil
	upstreams := make(map[settings.UpstreamID]*upstream, len(config.Upstreams))
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
		upstreams[u.ID] = state
		b.subset = append(b.subset, state)
	}
	b.upstreams = upstreams
	b.started = true
	slices.SortFunc(b.subset, func(x, y *upstream) int { return cmp.Compare(x.ID, y.ID) })
}

func (b *Balancer) newUpstream(now time.Time, u settings.Upstream, hosts int) *upstream {
	state := &upstream{limit: 2 * float64(max(1, u.Slots)) / float64(hosts)}
	if b.started && !b.options.NoSlowStart {
		state.addedAt = now
	}
	return state
}

func (u *upstream) configure(next settings.Upstream, hosts int) {
	slots := max(1, next.Slots)
	u.Upstream = next
	u.share = float64(slots) / float64(hosts)
	u.maxLimit = float64(max(1, min(slots, connectionShare(next, hosts))))
	u.share = math.Min(u.share, u.maxLimit)
	u.limit = clamp(u.limit, u.share, u.maxLimit)
}

// Pick chooses an upstream that is not in exclude, and counts the attempt as in flight until Done. weights may be nil. The
// error is ErrNoUpstream or ErrBusy.
func (b *Balancer) Pick(now time.Time, weights Weighter, exclude []settings.UpstreamID) (settings.Upstream, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := b.candidates(now, weights, exclude, false)
	if len(candidates) == 0 {
		// If every upstream is draining, a draining one is better than none.
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
		chosen = b.choose(now, b.filterByWeight(candidates))
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
	usable := make([]candidate, 0, len(b.subset))
	for _, u := range b.subset {
		if u.Leaving || (!draining && now.Before(u.drainUntil)) || slices.Contains(exclude, u.ID) {
			continue
		}
		weight := u.slowStartWeight(now)
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

// sample returns an upstream that is due for an additional request of this host, or nil. The load is ignored here, because a
// slow upstream reports a high load for that reason alone. The in-flight limit still applies.
func (b *Balancer) sample(now time.Time, candidates []candidate) *upstream {
	interval := time.Duration(b.hosts) * sampleInterval
	for _, c := range candidates {
		if c.weight <= 1 {
			continue
		}
		if now.Sub(c.sampledAt) > 2*interval {
			// All hosts receive the weight of a suspected upstream at the same time. A random phase keeps them from sampling at once.
			c.sampledAt = now.Add(-time.Duration(b.rng.Int64N(int64(interval))))
		}
		if now.Sub(c.sampledAt) >= interval {
			c.sampledAt = now
			return c.upstream
		}
	}
	return nil
}

// filterByWeight keeps each candidate with a probability equal to its weight, up to 1. If none is left, it returns all
// candidates.
func (b *Balancer) filterByWeight(candidates []candidate) []candidate {
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

// choose returns the less loaded of two random upstreams in the local data centre, or of two remote ones if the local one is
// loaded and the remote one is sufficiently less loaded.
func (b *Balancer) choose(now time.Time, candidates []candidate) *upstream {
	slices.SortStableFunc(candidates, func(x, y candidate) int { return b.distance(x) - b.distance(y) })
	localCount := 0
	for localCount < len(candidates) && b.distance(candidates[localCount]) == 0 {
		localCount++
	}
	local, localLoad := b.betterOfTwo(now, candidates[:localCount])
	if local != nil && (localLoad < spilloverLoad || localCount == len(candidates)) {
		return local
	}
	remote, remoteLoad := b.betterOfTwo(now, candidates[localCount:])
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
		return first, first.estimatedLoad(now, mean)
	}
	j := b.rng.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	second := candidates[j].upstream
	if second.estimatedLoad(now, mean)+loadTolerance < first.estimatedLoad(now, mean) {
		first = second
	}
	return first, first.estimatedLoad(now, mean)
}

// estimatedLoad returns the estimated fraction of the upstream's slots in use. Without a recent report the upstream is assumed
// to be as loaded as the mean of its data centre: a failing upstream reports no load and must not attract requests because it
// seems idle.
func (u *upstream) estimatedLoad(now time.Time, mean float64) float64 {
	load := float64(u.inFlight)/float64(max(1, u.Slots)) + mean
	if u.loadAt.IsZero() {
		return load
	}
	age := now.Sub(u.loadAt)
	return load + (u.load-mean)*math.Exp2(-float64(age)/float64(loadHalfLife))
}

// meanLoad returns the mean of the loads that the candidates reported, 0 if none did. The loads decay with age, so that a data
// centre that was avoided is tried again.
func meanLoad(now time.Time, candidates []candidate) float64 {
	sum, n := 0.0, 0.0
	for _, c := range candidates {
		if !c.loadAt.IsZero() {
			sum += c.load * math.Exp2(-float64(now.Sub(c.loadAt))/float64(loadAverageHalfLife))
			n++
		}
	}
	return sum / math.Max(1, n)
}

func (u *upstream) slowStartWeight(now time.Time) float64 {
	if u.addedAt.IsZero() {
		return 1
	}
	return clamp(float64(now.Sub(u.addedAt))/float64(slowStartDuration), minSlowStartWeight, 1)
}

// Done records the end of an attempt that Pick started.
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
		u.drainUntil = now.Add(drainSignTTL)
	}
	b.adapt(now, u, result)
	u.inFlight = max(0, u.inFlight-1)
}

// observeLoad adds a report to the average of reported loads, which decays with loadAverageHalfLife. A single report would be
// older than the requests that it influences.
func (u *upstream) observeLoad(now time.Time, load float64) {
	decay := 0.0
	if !u.loadAt.IsZero() {
		decay = math.Exp2(-float64(now.Sub(u.loadAt)) / float64(loadAverageHalfLife))
	}
	u.load = load + decay*(u.load-load)
	u.loadAt = now
}

// adapt reduces the limit on a shed response, and raises it on a valid response while the limit of the upstream or of the
// service is used up.
func (b *Balancer) adapt(now time.Time, u *upstream, result Result) {
	switch {
	case result.Shed && now.Sub(u.shedAt) >= minShedInterval:
		u.shedAt = now
		u.limit = math.Max(u.share, u.limit*shedFactor)
	case result.OK && (float64(u.inFlight) >= u.limit-1 || b.inFlight+1 >= b.capacity()):
		step := 1 / math.Max(1, u.limit) / float64(max(1, len(b.subset)))
		u.limit = math.Min(u.maxLimit, u.limit+step)
	}
}

func (b *Balancer) capacity() int {
	sum := 0.0
	for _, u := range b.subset {
		sum += u.limit
	}
	return max(1, int(sum))
}

// Capacity returns how many requests of the service this host may have in flight: the sum of its limits for the usable
// upstreams with a weight above 0, at least 1. weights may be nil.
func (b *Balancer) Capacity(now time.Time, weights Weighter) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := 0.0
	for _, c := range b.candidates(now, weights, nil, false) {
		sum += c.limit
	}
	return max(1, int(sum))
}

// Draining returns the upstreams from which this host has received a drain sign that is still valid.
func (b *Balancer) Draining(now time.Time) []settings.UpstreamID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []settings.UpstreamID
	for _, u := range b.subset {
		if now.Before(u.drainUntil) {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// Status returns the state of the upstreams to which this host may connect, sorted by id.
func (b *Balancer) Status(now time.Time) []Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	statuses := make([]Status, 0, len(b.subset))
	for _, u := range b.subset {
		statuses = append(statuses, Status{ID: u.ID, InFlight: u.inFlight, Limit: u.limit, Draining: now.Before(u.drainUntil)})
	}
	return statuses
}

func clamp(v, low, high float64) float64 { return math.Max(low, math.Min(high, v)) }
