package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/gateway/signals"
	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// loadHalfLife is the half-life of a reported load.
	loadHalfLife = time.Second
	// remoteCost is the load by which an upstream in a remote data centre must be better than one in the local data centre.
	// spareCapacityLoad is the load below which a local upstream has spare capacity. Below it, the longer path to a remote one
	// costs more than it saves.
	remoteCost        = 0.3
	spareCapacityLoad = 0.7
	// sampledCandidates is the number of candidates that are compared. Hosts do not see each other's requests and would all
	// choose the same upstream if they compared all candidates.
	sampledCandidates = 3
	// warmUpCost is added to the load of an upstream until it is warm.
	warmUpCost = 0.35
	// shedCost is added to the load of an upstream for shedPeriod after it has shed a request.
	shedCost   = 1.0
	shedPeriod = 700 * time.Millisecond
	// durationWeight is the weight of a new sample in the mean response duration of an upstream. In that of the service, a sample
	// has a quarter of this weight.
	durationWeight = 0.25
	// slowCost is added to the load of an upstream for each multiple by which its mean duration exceeds that of the service.
	slowCost = 0.4
	// fullLoad is the load of the chosen upstream from which a retryable request makes an early trial at one with an open
	// breaker. nonRetryableFullLoad is the same for other requests. It is higher because most trials fail, while a request that
	// waits in a short queue is served.
	fullLoad             = 0.9
	nonRetryableFullLoad = 1.5
	// overloadedLoad is the load from which a retryable request would wait too long at the chosen upstream.
	overloadedLoad = 1.75
	// failureScoreCost is added to the load of an upstream for each unit of its failure score, for a non-retryable request.
	failureScoreCost = 1.5
	// slownessHalfLife is the half-life of the cost of a slow upstream.
	slownessHalfLife = 3 * time.Second
)

// Load is the load that an upstream reports about itself, in requests.
type Load struct {
	Running, Waiting, Slots int
}

// Outcome is the information that an attempt yields about its upstream.
type Outcome struct {
	// Load is the reported load; nil if none was reported.
	Load *Load
	// Shed is true if the upstream rejected the request because it is full.
	Shed bool
	// Took is the duration of a successful response; 0 for other outcomes.
	Took time.Duration
	// Answered is true for a complete response, and Rejected for one that may be a failure of the upstream although its status does
	// not state that.
	Answered, Rejected bool
	// Signal is what the upstream has asked of this host in its response.
	Signal signals.Signal
}

// Choice is a chosen upstream.
type Choice struct {
	Upstream settings.Upstream
	// Trial is true if the breaker of the upstream is open and this attempt is a half-open trial.
	Trial bool
	// Floor is true if the upstream was chosen because it must receive a request soon.
	Floor bool
	// Load is the expected load on which the choice was based; 0 if it was not based on load.
	Load float64
	// Candidates is the number of upstreams that could be chosen.
	Candidates int
}

type state struct {
	inFlight     int
	load         float64 // reported share of the slots in use, above 1 if requests were waiting
	loadAt       time.Time
	shedAt       time.Time
	meanDuration float64 // in seconds
	durationAt   time.Time
	signals      signals.State
	rejected     rejectedShare
}

// Pool holds the state that one host keeps about the upstreams of one service. It is safe for concurrent use.
type Pool struct {
	dataCentre string

	mu           sync.Mutex
	random       *rand.Rand
	states       map[settings.UpstreamID]*state
	meanDuration float64 // of the service, in seconds
	// durationSamples counts successful responses.
	durationSamples int
	rejected        float64 // share of rejected responses of the service
}

// New returns an empty Pool for a host in the data centre.
func New(dataCentre string, random *rand.Rand) *Pool {
	return &Pool{dataCentre: dataCentre, random: random, states: make(map[settings.UpstreamID]*state)}
}

// Breakers gives access to the circuit breakers of upstreams. breaker.Set implements it.
type Breakers interface {
	State(now time.Time, id settings.UpstreamID, retryable bool) breaker.State
	FailureScore(now time.Time, id settings.UpstreamID) float64
	EarlyTrialAllowed(now time.Time, id settings.UpstreamID) bool
	MayHaveRecovered(now time.Time, id settings.UpstreamID) bool
	Hangs(id settings.UpstreamID) bool
}

// Request holds the properties of a request that Pick depends on.
type Request struct {
	// Exclude lists the upstreams to which the request was already sent.
	Exclude []settings.UpstreamID
	// Retryable requests may be sent to an upstream that is likely unhealthy, because they can be retried elsewhere.
	Retryable bool
	// Idempotent requests may run more than once, but need not be Retryable. They make trials when less than the floor of the
	// service is in use.
	Idempotent bool
	// Retry is true for a request that has already failed at an upstream. It makes no trial.
	Retry bool
	// Hedge is true for a second attempt while another one still runs. It is made only at an upstream with spare capacity.
	Hedge bool
	// Floor is the minimum share of the upstreams that open breakers should leave in use. Below it, and when those in use are
	// full, non-retryable requests also make trials at upstreams that may have recovered.
	Floor float64
}

// Pick chooses an upstream and counts the attempt as in flight until Done is called. It returns false if no upstream can be
// used.
func (p *Pool) Pick(now time.Time, upstreams []settings.Upstream, request Request, breakers Breakers) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	view := p.classify(now, upstreams, request, breakers)
	if request.Idempotent && !request.Retryable && view.belowFloor(request.Floor) {
		request.Retryable = true
		view = p.classify(now, upstreams, request, breakers)
	}
	switch {
	case request.Hedge:
		return p.pickHedge(now, &view, breakers)
	case view.due != nil && !request.Retry:
		return take(*view.due, Choice{Trial: true, Candidates: view.usable}), true
	case len(view.candidates) > 0:
		return p.pickHealthy(now, &view, request, breakers), true
	default:
		return p.pickUnhealthy(&view, request)
	}
}

// pickHedge chooses an upstream with spare capacity.
func (p *Pool) pickHedge(now time.Time, view *classification, breakers Breakers) (Choice, bool) {
	if len(view.candidates) == 0 {
		return Choice{}, false
	}
	chosen, load := p.choose(now, view.candidates, breakers)
	if load >= spareCapacityLoad {
		return Choice{}, false
	}
	return take(chosen, Choice{Load: load, Candidates: len(view.candidates)}), true
}

// pickRecovered returns an upstream that may have recovered. The choice is random, which makes hosts try different ones.
func (p *Pool) pickRecovered(now time.Time, open []candidate, breakers Breakers) (candidate, bool) {
	var recovered []candidate
	for _, c := range open {
		if breakers.MayHaveRecovered(now, c.upstream.ID) {
			recovered = append(recovered, c)
		}
	}
	if len(recovered) == 0 {
		return candidate{}, false
	}
	return recovered[p.random.IntN(len(recovered))], true
}

// pickHealthy chooses among upstreams with closed breakers. If the best of them is full it may choose one with an open breaker.
func (p *Pool) pickHealthy(now time.Time, view *classification, request Request, breakers Breakers) Choice {
	var scores Breakers
	if !request.Retryable {
		scores = breakers
	}
	chosen, load := p.choose(now, view.candidates, scores)
	choice := Choice{Load: load, Candidates: len(view.candidates)}
	if request.Retry || load < fullLoad {
		return take(chosen, choice)
	}
	var trial candidate
	var found bool
	switch {
	case request.Retryable || load >= nonRetryableFullLoad:
		trial, found = earlyTrial(now, view.open, breakers)
	case view.belowFloor(request.Floor):
		trial, found = p.pickRecovered(now, view.open, breakers)
	}
	if found {
		return take(trial, Choice{Trial: true, Load: load, Candidates: view.usable})
	}
	if request.Retryable && load >= overloadedLoad {
		// An unhealthy upstream serves some requests, and requests that fail there quickly can be retried. A full one rejects them.
		responsive := slices.DeleteFunc(view.open, func(c candidate) bool { return breakers.Hangs(c.upstream.ID) })
		if len(responsive) > 0 {
			return take(p.lowerScoreOfTwo(responsive), Choice{Load: load, Candidates: view.usable})
		}
	}
	return take(chosen, choice)
}

// pickUnhealthy chooses when no upstream with a closed breaker is left to try. If every upstream of the service seems unhealthy,
// the failure scores may be wrong and any request is sent. Otherwise only retryable requests are sent.
func (p *Pool) pickUnhealthy(view *classification, request Request) (Choice, bool) {
	open := view.open
	if view.due != nil {
		open = append(open, *view.due)
	}
	if len(open) == 0 || (view.closed > 0 && !request.Retryable) {
		return Choice{}, false
	}
	return take(p.lowerScoreOfTwo(open), Choice{Candidates: len(open)}), true
}

// lowerScoreOfTwo returns the one of two random candidates with the lower failure score.
func (p *Pool) lowerScoreOfTwo(candidates []candidate) candidate {
	first := candidates[p.random.IntN(len(candidates))]
	second := candidates[p.random.IntN(len(candidates))]
	if second.score < first.score {
		return second
	}
	return first
}

// classification groups the upstreams of a service by the state of their breakers.
type classification struct {
	// usable counts the upstreams that are not leaving and accept requests, and closed those of them with a closed breaker. Both include
	// excluded upstreams.
	usable, closed int
	// due is an upstream whose trial is due, candidates have closed breakers and open has those with open breakers. None
	// of them is excluded.
	due        *candidate
	candidates []candidate
	open       []candidate
}

// belowFloor reports whether open breakers leave less than the floor in use.
func (s *classification) belowFloor(floor float64) bool {
	return float64(s.closed) < floor*float64(s.usable)
}

func (p *Pool) classify(now time.Time, upstreams []settings.Upstream, request Request, breakers Breakers) classification {
	var view classification
	for i := range upstreams {
		u := &upstreams[i]
		if u.Leaving || !p.accepts(now, u) {
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
			c.score = breakers.FailureScore(now, u.ID)
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

// take counts an attempt at the candidate as in flight and completes the choice.
func take(c candidate, choice Choice) Choice {
	choice.Upstream = *c.upstream
	c.state.inFlight++
	return choice
}

type candidate struct {
	upstream *settings.Upstream
	state    *state
	score    float64
}

// earlyTrial returns the upstream with the lowest failure score among those that allow a trial before their cooldown ends.
func earlyTrial(now time.Time, open []candidate, breakers Breakers) (candidate, bool) {
	best := -1
	for i := range open {
		if breakers.EarlyTrialAllowed(now, open[i].upstream.ID) && (best < 0 || open[i].score < open[best].score) {
			best = i
		}
	}
	if best < 0 {
		return candidate{}, false
	}
	return open[best], true
}

// choose returns the best of some local candidates drawn at random. If it has no spare capacity, the best of some remote
// candidates is returned instead, provided that it is better by more than remoteCost. scores is nil if failure scores do not
// count.
func (p *Pool) choose(now time.Time, candidates []candidate, scores Breakers) (candidate, float64) {
	var local, remote []candidate
	for _, c := range candidates {
		if c.upstream.DataCentre == p.dataCentre {
			local = append(local, c)
		} else {
			remote = append(remote, c)
		}
	}
	best, load := p.bestOfSample(now, local, scores)
	if load < spareCapacityLoad {
		return best, load
	}
	bestRemote, remoteLoad := p.bestOfSample(now, remote, scores)
	if remoteLoad+remoteCost < load {
		return bestRemote, remoteLoad
	}
	return best, load
}

// bestOfSample returns the best of sampledCandidates random candidates and its load. It changes the order of candidates.
func (p *Pool) bestOfSample(now time.Time, candidates []candidate, scores Breakers) (candidate, float64) {
	var best candidate
	lowest := math.Inf(1)
	for i := range min(sampledCandidates, len(candidates)) {
		j := i + p.random.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
		load := p.load(now, candidates[i])
		if scores != nil {
			load += failureScoreCost * scores.FailureScore(now, candidates[i].upstream.ID)
		}
		if load < lowest {
			best, lowest = candidates[i], load
		}
	}
	return best, lowest
}

// load returns the expected share of the slots of an upstream in use, with the costs added in the same unit.
func (p *Pool) load(now time.Time, c candidate) float64 {
	s := c.state
	load := float64(s.inFlight) / float64(max(1, c.upstream.Slots))
	if !s.loadAt.IsZero() {
		load += s.load * decay(now.Sub(s.loadAt), loadHalfLife)
	}
	if now.Before(c.upstream.WarmUntil) {
		load += warmUpCost
	}
	if !s.shedAt.IsZero() && now.Sub(s.shedAt) < shedPeriod {
		load += shedCost
	}
	if p.meanDuration > 0 && s.meanDuration > p.meanDuration {
		load += slowCost * (s.meanDuration/p.meanDuration - 1) * decay(now.Sub(s.durationAt), slownessHalfLife)
	}
	return load + p.rejectedCost(now, s)
}

func decay(age, halfLife time.Duration) float64 { return math.Exp2(-float64(age) / float64(halfLife)) }

// Begin counts an attempt as in flight that was not chosen by Pick, until Done is called.
func (p *Pool) Begin(id settings.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(id).inFlight++
}

// Done ends an attempt that Pick or Begin started. It returns the signals of the upstream that are new.
func (p *Pool) Done(now time.Time, id settings.UpstreamID, outcome Outcome) signals.Signal {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(id)
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
	if outcome.Answered {
		p.observeRejected(now, s, outcome.Rejected)
	}
	return s.signals.Add(now, outcome.Signal)
}

func (p *Pool) observe(now time.Time, s *state, took float64) {
	s.meanDuration = movingAverage(s.meanDuration, took, durationWeight)
	s.durationAt = now
	p.durationSamples++
	p.meanDuration = movingAverage(p.meanDuration, took, durationWeight/4)
}

func movingAverage(mean, sample, weight float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + weight*(sample-mean)
}

// minDurationSamples is the minimum number of successful responses for which MeanDuration returns a value.
const minDurationSamples = 5

// LoadReport is the load of an upstream, as exchanged between hosts.
type LoadReport struct {
	Upstream settings.UpstreamID
	// Load is the share of the slots in use, above 1 if requests wait.
	Load float64
}

// Receive applies a report of another host.
func (p *Pool) Receive(now time.Time, report LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(report.Upstream)
	s.load, s.loadAt = report.Load, now
}

// ReportedLoad returns the load that the upstream last reported as a share of its slots, weighted by its age. It is 0 if there
// is no report.
func (p *Pool) ReportedLoad(now time.Time, id settings.UpstreamID) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[id]
	if s == nil || s.loadAt.IsZero() {
		return 0
	}
	return s.load * decay(now.Sub(s.loadAt), loadHalfLife)
}

// minReportedLoad is the load from which a report is sent to other hosts.
const minReportedLoad = 1.0

// LoadReportFor returns the report of a load for other hosts. It returns false if load is nil or too low to be reported.
func LoadReportFor(id settings.UpstreamID, load *Load) (LoadReport, bool) {
	if load == nil || load.share() < minReportedLoad {
		return LoadReport{}, false
	}
	return LoadReport{Upstream: id, Load: load.share()}, true
}

// share returns the share of the slots in use, above 1 if requests wait.
func (l *Load) share() float64 { return float64(l.Running+l.Waiting) / float64(max(1, l.Slots)) }

// MeanDuration returns the mean duration of successful responses of the service; 0 if there were too few of them.
func (p *Pool) MeanDuration() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.durationSamples < minDurationSamples {
		return 0
	}
	return time.Duration(p.meanDuration * float64(time.Second))
}

// Keep drops the state of upstreams for which keep is false and that have no request in flight. The signals of an upstream outlast its
// absence, because its entry may come back.
func (p *Pool) Keep(now time.Time, keep func(settings.UpstreamID) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.states {
		if s.inFlight == 0 && !keep(id) && !s.signals.Pending(now) {
			delete(p.states, id)
		}
	}
}
