package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// loadHalfLife is the age at which a reported load counts half.
	loadHalfLife = time.Second
	// distanceCost is the load by which an upstream in another data centre must be better, and nearRoom the load below which
	// an upstream in the own one has room: the way to another one costs more than it saves.
	distanceCost = 0.3
	nearRoom     = 0.7
	// sampledCandidates is the number of candidates that are compared. Hosts do not see each other's requests, and would all
	// take the best of all.
	sampledCandidates = 3
	// coldCost is the load that an upstream counts more until it is warm.
	coldCost = 0.35
	// shedCost is the load that an upstream counts more after it has refused a request, until shedFor has passed.
	shedCost = 1.0
	shedFor  = 700 * time.Millisecond
	// latencyWeight is the weight of a new sample in the mean duration of an upstream's answers.
	latencyWeight = 0.25
	// slowCost is the load that an upstream counts more for each multiple of the mean duration of its service.
	slowCost = 0.4
	// fullLoad is the load of the chosen upstream from which one with an open breaker is tried early with a request that can
	// be sent again, and unrepeatableFullLoad with any other: most trials fail, and a request that waits in a short queue is served.
	fullLoad             = 0.9
	unrepeatableFullLoad = 1.5
	// overfullLoad is the load from which a repeatable request waits too long at the chosen upstream.
	overfullLoad = 1.75
	// doubtCost is the load that an upstream counts more for each strike against it, for a request that cannot be repeated.
	doubtCost = 1.5
	// slowHalfLife is the time in which an upstream's slowness is forgotten.
	slowHalfLife = 3 * time.Second
)

// Load is what an upstream reports about itself.
type Load struct {
	Running, Waiting, Slots int
}

// Outcome is what an attempt tells about an upstream.
type Outcome struct {
	// Load is the reported load; nil if none was reported.
	Load *Load
	// Shed is true if the upstream refused because it is full.
	Shed bool
	// Took is the duration of a good answer; 0 for others.
	Took time.Duration
}

// Choice is a chosen upstream.
type Choice struct {
	Upstream settings.Upstream
	// Trial is true if the upstream's breaker is open and this attempt tests it.
	Trial bool
	// Load is the expected load that decided.
	Load float64
	// Candidates is the number of upstreams to choose from.
	Candidates int
}

type state struct {
	inFlight int
	load     float64 // share of the slots that was in use, above 1 if requests were waiting
	loadAt   time.Time
	shedAt   time.Time
	took     float64 // mean duration in seconds
	tookAt   time.Time
}

// Pool holds what one host knows of the upstreams of one service. It is safe for concurrent use.
type Pool struct {
	dataCentre string

	mu     sync.Mutex
	random *rand.Rand
	states map[settings.UpstreamID]*state
	took   float64 // mean duration of the service in seconds
	// samples counts good answers.
	samples int
}

// New returns a Pool for a host in the data centre.
func New(dataCentre string, random *rand.Rand) *Pool {
	return &Pool{dataCentre: dataCentre, random: random, states: make(map[settings.UpstreamID]*state)}
}

// Breakers states the circuit breaker of an upstream.
type Breakers interface {
	State(now time.Time, id settings.UpstreamID, repeatable bool) breaker.State
	FailureScore(now time.Time, id settings.UpstreamID) float64
	EarlyTrialAllowed(now time.Time, id settings.UpstreamID) bool
	MayHaveRecovered(now time.Time, id settings.UpstreamID) bool
	Hangs(id settings.UpstreamID) bool
}

// Request states what Pick must know of a request.
type Request struct {
	// Exclude lists the upstreams that the request has tried.
	Exclude []settings.UpstreamID
	// Repeatable requests may be lost at an upstream that is likely sick, because they can be sent again.
	Retryable bool
	// Idempotent requests may run again, but perhaps this one cannot be sent again. They make the trials of a service of which
	// less than the floor is in use.
	Idempotent bool
	// Again is true for a request that an upstream has failed already; it makes no trial.
	Retry bool
	// Beside is true for an attempt beside one that still runs. It is worth making only at an upstream with room.
	Hedge bool
	// Floor is the share of the upstreams that open breakers are to leave in use. Below it, and when those in use are full,
	// upstreams that may be well again are tried also with requests that cannot be sent again.
	Floor float64
}

// Pick chooses an upstream and counts the attempt as in flight until Done. It reports false if there is no candidate.
func (p *Pool) Pick(now time.Time, upstreams []settings.Upstream, request Request, breakers Breakers) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	view := p.sort(now, upstreams, request, breakers)
	if request.Idempotent && !request.Retryable && view.belowFloor(request.Floor) {
		request.Retryable = true
		view = p.sort(now, upstreams, request, breakers)
	}
	switch {
	case request.Hedge:
		return p.pickBeside(now, &view, breakers)
	case view.due != nil && !request.Retry:
		return take(*view.due, Choice{Trial: true, Candidates: view.usable}), true
	case len(view.candidates) > 0:
		return p.pickWell(now, &view, request, breakers), true
	default:
		return p.pickSick(&view, request)
	}
}

// pickBeside chooses an upstream with room.
func (p *Pool) pickBeside(now time.Time, view *sorted, breakers Breakers) (Choice, bool) {
	if len(view.candidates) == 0 {
		return Choice{}, false
	}
	chosen, load := p.choose(now, view.candidates, breakers)
	if load >= nearRoom {
		return Choice{}, false
	}
	return take(chosen, Choice{Load: load, Candidates: len(view.candidates)}), true
}

// restore returns an upstream that may be well again, at random so that hosts try different ones.
func (p *Pool) restore(now time.Time, open []candidate, breakers Breakers) (candidate, bool) {
	var well []candidate
	for _, c := range open {
		if breakers.MayHaveRecovered(now, c.upstream.ID) {
			well = append(well, c)
		}
	}
	if len(well) == 0 {
		return candidate{}, false
	}
	return well[p.random.IntN(len(well))], true
}

// pickWell chooses among upstreams with closed breakers, or tries another one if the best of them is full.
func (p *Pool) pickWell(now time.Time, view *sorted, request Request, breakers Breakers) Choice {
	var doubts Breakers
	if !request.Retryable {
		doubts = breakers
	}
	chosen, load := p.choose(now, view.candidates, doubts)
	choice := Choice{Load: load, Candidates: len(view.candidates)}
	if request.Retry || load < fullLoad {
		return take(chosen, choice)
	}
	var trial candidate
	var found bool
	switch {
	case request.Retryable || load >= unrepeatableFullLoad:
		trial, found = earlyTrial(now, view.open, breakers)
	case view.belowFloor(request.Floor):
		trial, found = p.restore(now, view.open, breakers)
	}
	if found {
		return take(trial, Choice{Trial: true, Load: load, Candidates: view.usable})
	}
	if request.Retryable && load >= overfullLoad {
		// A sick upstream answers some requests, and what fails there soon can be sent again; a full one refuses.
		quick := slices.DeleteFunc(view.open, func(c candidate) bool { return breakers.Hangs(c.upstream.ID) })
		if len(quick) > 0 {
			return take(p.leastStruck(quick), Choice{Load: load, Candidates: view.usable})
		}
	}
	return take(chosen, choice)
}

// pickSick chooses where no upstream with a closed breaker is left. Where every upstream seems sick the evidence may be at
// fault; else only a request that can be sent again is risked.
func (p *Pool) pickSick(view *sorted, request Request) (Choice, bool) {
	open := view.open
	if view.due != nil {
		open = append(open, *view.due)
	}
	if len(open) == 0 || (view.closed > 0 && !request.Retryable) {
		return Choice{}, false
	}
	return take(p.leastStruck(open), Choice{Candidates: len(open)}), true
}

// leastStruck returns the better of two random candidates by their strikes.
func (p *Pool) leastStruck(candidates []candidate) candidate {
	first := candidates[p.random.IntN(len(candidates))]
	second := candidates[p.random.IntN(len(candidates))]
	if second.strikes < first.strikes {
		return second
	}
	return first
}

// sorted holds the upstreams of a service by what they can be used for.
type sorted struct {
	// usable and closed count upstreams that stay, and those of them with a closed breaker, tried or not.
	usable, closed int
	// due is an upstream whose trial is due, candidates have closed and open has open breakers; none of them was tried.
	due        *candidate
	candidates []candidate
	open       []candidate
}

// belowFloor reports whether open breakers leave less than the share in use.
func (s *sorted) belowFloor(floor float64) bool { return float64(s.closed) < floor*float64(s.usable) }

func (p *Pool) sort(now time.Time, upstreams []settings.Upstream, request Request, breakers Breakers) sorted {
	var view sorted
	for i := range upstreams {
		u := &upstreams[i]
		if u.Leaving {
			continue
		}
		view.usable++
		state := breakers.State(now, u.ID, request.Retryable)
		if state == breaker.Closed {
			view.closed++
		}
		if slices.Contains(request.Exclude, u.ID) {
			continue
		}
		c := candidate{upstream: u, state: p.state(u.ID)}
		switch state {
		case breaker.Closed:
			view.candidates = append(view.candidates, c)
		case breaker.TrialDue:
			view.due = &c
		case breaker.Open:
			c.strikes = breakers.FailureScore(now, u.ID)
			view.open = append(view.open, c)
		}
	}
	return view
}

func (p *Pool) state(id settings.UpstreamID) *state {
	s := p.states[id]
	if s == nil {
		s = &state{}
		p.states[id] = s
	}
	return s
}

// take counts an attempt at the candidate as in flight.
func take(c candidate, choice Choice) Choice {
	choice.Upstream = *c.upstream
	c.state.inFlight++
	return choice
}

type candidate struct {
	upstream *settings.Upstream
	state    *state
	strikes  float64
}

// earlyTrial returns the upstream with the fewest strikes that may be tried before its hold ends.
func earlyTrial(now time.Time, open []candidate, breakers Breakers) (candidate, bool) {
	best := -1
	for i := range open {
		if breakers.EarlyTrialAllowed(now, open[i].upstream.ID) && (best < 0 || open[i].strikes < open[best].strikes) {
			best = i
		}
	}
	if best < 0 {
		return candidate{}, false
	}
	return open[best], true
}

// choose takes the best of some near candidates drawn at random. Only if it has no room, one of some distant candidates is
// taken if it is better by the cost of distance. doubts is nil if strikes do not count.
func (p *Pool) choose(now time.Time, candidates []candidate, doubts Breakers) (candidate, float64) {
	var near, far []candidate
	for _, c := range candidates {
		if c.upstream.DataCentre == p.dataCentre {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	best, load := p.bestOfSome(now, near, doubts)
	if load < nearRoom {
		return best, load
	}
	distant, distantLoad := p.bestOfSome(now, far, doubts)
	if distantLoad+distanceCost < load {
		return distant, distantLoad
	}
	return best, load
}

// bestOfSome returns the best of sampledCandidates at random. It changes the order of the candidates.
func (p *Pool) bestOfSome(now time.Time, candidates []candidate, doubts Breakers) (candidate, float64) {
	var best candidate
	least := math.Inf(1)
	for i := range min(sampledCandidates, len(candidates)) {
		j := i + p.random.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
		load := p.load(now, candidates[i])
		if doubts != nil {
			load += doubtCost * doubts.FailureScore(now, candidates[i].upstream.ID)
		}
		if load < least {
			best, least = candidates[i], load
		}
	}
	return best, least
}

// load is the expected share of an upstream's slots in use, with the costs in the same unit.
func (p *Pool) load(now time.Time, c candidate) float64 {
	s := c.state
	load := float64(s.inFlight) / float64(max(1, c.upstream.Slots))
	if !s.loadAt.IsZero() {
		load += s.load * halved(now.Sub(s.loadAt), loadHalfLife)
	}
	if now.Before(c.upstream.WarmUntil) {
		load += coldCost
	}
	if !s.shedAt.IsZero() && now.Sub(s.shedAt) < shedFor {
		load += shedCost
	}
	if p.took > 0 && s.took > p.took {
		load += slowCost * (s.took/p.took - 1) * halved(now.Sub(s.tookAt), slowHalfLife)
	}
	return load
}

func halved(age, halfLife time.Duration) float64 { return math.Exp2(-float64(age) / float64(halfLife)) }

// Done ends an attempt that Pick started.
func (p *Pool) Done(now time.Time, id settings.UpstreamID, outcome Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[id]
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	if outcome.Load != nil {
		s.load = outcome.Load.share()
		s.loadAt = now
	}
	if outcome.Shed {
		s.shedAt = now
	}
	if outcome.Took > 0 {
		p.observe(now, s, outcome.Took.Seconds())
	}
}

func (p *Pool) observe(now time.Time, s *state, took float64) {
	s.took = smoothed(s.took, took, latencyWeight)
	s.tookAt = now
	p.samples++
	p.took = smoothed(p.took, took, latencyWeight/4)
}

func smoothed(mean, sample, weight float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + weight*(sample-mean)
}

// typicalSamples is the number of answers from which the mean duration of a service is known.
const typicalSamples = 5

// Report is the load of an upstream as another host has learned it.
type LoadReport struct {
	Upstream settings.UpstreamID
	// Load is the share of the slots in use, above 1 if requests wait.
	Load float64
}

// Hear takes a report of another host.
func (p *Pool) Receive(now time.Time, report LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(report.Upstream)
	s.load, s.loadAt = report.Load, now
}

// Reported is the load that the upstream has reported lately, in shares of its slots; 0 if there is no report.
func (p *Pool) ReportedLoad(now time.Time, id settings.UpstreamID) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[id]
	if s == nil || s.loadAt.IsZero() {
		return 0
	}
	return s.load * halved(now.Sub(s.loadAt), loadHalfLife)
}

// toldLoad is the load from which other hosts are told.
const toldLoad = 1.0

// Told returns what other hosts should know of a load.
func LoadReportFor(id settings.UpstreamID, load *Load) (LoadReport, bool) {
	if load == nil || load.share() < toldLoad {
		return LoadReport{}, false
	}
	return LoadReport{Upstream: id, Load: load.share()}, true
}

// share is the share of the slots in use, above 1 if requests wait.
func (l *Load) share() float64 { return float64(l.Running+l.Waiting) / float64(max(1, l.Slots)) }

// Typical is the mean duration of the service's good answers; 0 if too few are known.
func (p *Pool) MeanDuration() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.samples < typicalSamples {
		return 0
	}
	return time.Duration(p.took * float64(time.Second))
}

// Keep drops what is known of upstreams for which keep is false and that have nothing in flight.
func (p *Pool) Keep(keep func(settings.UpstreamID) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.states {
		if s.inFlight == 0 && !keep(id) {
			delete(p.states, id)
		}
	}
}
