package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
)

const (
	// equalLoad is the difference up to which loads count as equal, because the load of an upstream with a few slots has coarse steps.
	equalLoad = 0.25
	// connectedLoad is the same for an upstream to which the asking host has an idle connection. It is one request at an upstream with 2
	// slots.
	connectedLoad = 0.5
	// maxUnused is the time without a request after which an upstream gets the next one. Otherwise an upstream with a constant cost, or
	// one of a service without idempotent requests at low load, would get none. Every upstream must get a request each 2 s.
	maxUnused = 1500 * time.Millisecond
	// maxUnprobed is the time without a request at some upstream after which idempotent first attempts ignore idle connections, so that
	// they find out whether upstreams are healthy.
	maxUnprobed = 500 * time.Millisecond
	// spareClosedShare is the share of upstreams with closed breakers, and spareSlotShare the share of their slots that is not in use,
	// from which on non-idempotent requests make no trials: about half of these break, and the service does without the upstream.
	spareClosedShare = 0.6
	spareSlotShare   = 0.4
	// floorFailureShare is the share of failed requests from which open breakers must leave the floor in use. The floor counts from a tenth
	// on, and a dispatcher sees only the requests of its data centre.
	floorFailureShare = 0.08
	// floorMargin is the part of the way from the floor to all healthy upstreams that must be in use. The dispatcher cannot tell which
	// upstreams are healthy, and those of which the floor is computed may be few.
	floorMargin = 0.5
	// recoveryTime is the time without a request after which an upstream with an open breaker may have recovered. The floor counts an
	// upstream 2 s after its recovery and requires a request in each 2 s: a trial after 3 s is in time, and an earlier one fails more often.
	recoveryTime = 3 * time.Second
	// retryablePause is the time without requests that can make trials early after which non-idempotent requests make trials.
	retryablePause = 2 * time.Second
)

// choose returns the upstream for a request; nil if none is free. extra is the number of requests that an upstream may have beyond its
// slots.
func (d *Dispatcher) choose(now time.Time, request *Request, extra int) *upstream {
	for {
		u := d.chooseCached(now, request, extra, true)
		if u == nil && len(request.Unreachable) > 0 {
			u = d.chooseCached(now, request, extra, false)
		}
		if u == nil || d.options.Breakers.TrialState(now, u.ID, false) == breaker.Closed {
			return u
		}
		d.refreshAll(now) // the breaker has opened since the last refresh
	}
}

// isCandidate reports whether a request may be sent to an upstream now. reachable is true if the asking host must be able to connect to it.
func isCandidate(u *upstream, request *Request, extra int, reachable bool) bool {
	if reachable && request.isUnreachable(u) {
		return false
	}
	return u.closed && u.isFree(extra) && !slices.Contains(request.Exclude, u.ID)
}

func (d *Dispatcher) chooseCached(now time.Time, request *Request, extra int, reachable bool) *upstream {
	var unused *upstream
	unprobed := false
	lowest := math.Inf(1)
	for _, u := range d.upstreams {
		if !isCandidate(u, request, extra, reachable) {
			continue
		}
		lowest = min(lowest, d.costFor(u, request))
		unprobed = unprobed || now.Sub(u.usedAt) >= maxUnprobed
		if now.Sub(u.usedAt) >= maxUnused && (unused == nil || u.usedAt.Before(unused.usedAt)) {
			unused = u
		}
	}
	if unused != nil && d.durations.mean > 0 {
		return unused
	}
	usesConnected := len(request.Connected) > 0 && (!unprobed || !probes(request))
	var best choice
	equals := 0
	for _, u := range d.upstreams {
		if !isCandidate(u, request, extra, reachable) {
			continue
		}
		c := choice{u, usesConnected && request.isConnected(u)}
		if cost := d.costFor(u, request); cost > lowest+c.tolerance(cost) {
			continue
		}
		switch order := compareChoices(c, best, probes(request)); {
		case order < 0:
			best, equals = c, 1
		case order == 0:
			equals++
			if d.options.Random.IntN(equals) == 0 {
				best = c
			}
		}
	}
	return best.upstream
}

// choice is an upstream that a request may be given. connected is true if the request uses the idle connection of its host.
type choice struct {
	*upstream
	connected bool
}

// tolerance returns the difference to the lowest cost up to which the costs count as equal. A connection makes up for a higher load, but not
// for a cold, slow, shedding or recently failed upstream.
func (c choice) tolerance(cost float64) float64 {
	if c.connected && cost-c.load() <= equalLoad {
		return connectedLoad
	}
	return equalLoad
}

// compareChoices returns a negative value if a is preferable to b, whose upstream may be nil, and 0 if there is no difference.
func compareChoices(a, b choice, probe bool) int {
	switch {
	case b.upstream == nil || (a.connected && !b.connected):
		return -1
	case b.connected && !a.connected:
		return 1
	default:
		return compareGood(a.upstream, b.upstream, probe)
	}
}

// probes reports whether a request is used to find out whether an upstream is healthy. Retries are not, because a retry that fails is
// often the last attempt.
func probes(request *Request) bool { return request.Idempotent && !request.NeedsToken }

// compareGood returns a negative value if the last good response of a makes it preferable to b, and 0 if there is no difference.
func compareGood(a, b *upstream, probe bool) int {
	if probe {
		return a.goodAt.Compare(b.goodAt)
	}
	return b.goodAt.Compare(a.goodAt)
}

// costFor returns the load of an upstream with all costs.
func (d *Dispatcher) costFor(u *upstream, request *Request) float64 {
	cost := u.load() + u.cost
	if !probes(request) {
		cost += u.score
	}
	return cost
}

// isTrialCandidate reports whether a request is an idempotent first attempt.
func isTrialCandidate(request *Request) bool {
	return request.Idempotent && !request.NeedsToken && len(request.Exclude) == 0
}

// trialFor returns an upstream at which the request makes a half-open trial; nil if none is due. Of several, it returns the one whose
// last trial is the oldest.
func (d *Dispatcher) trialFor(now time.Time, request *Request) *upstream {
	if request.NeedsToken || len(request.Exclude) > 0 || d.closed == d.usable {
		return nil
	}
	retryable := request.Retryable && request.Idempotent && d.options.HasToken(now)
	if !request.Idempotent && (now.Sub(d.retryableAt) < retryablePause || d.hasSpareCapacity()) {
		return d.trialForFloor(now, request)
	}
	index := 0
	if retryable {
		index = 1
	}
	var due *upstream
	for _, u := range d.upstreams {
		if u.state[index] != breaker.TrialDue || !mayTry(u, request) || (due != nil && !u.trialAt.Before(due.trialAt)) {
			continue
		}
		// The state may have changed since the last refresh.
		if d.options.Breakers.TrialState(now, u.ID, retryable) == breaker.TrialDue {
			due = u
		}
	}
	if due == nil {
		due = d.trialForFloor(now, request)
	}
	return due
}

// mayTry reports whether a request may make a half-open trial at an upstream if one is due. A trial at an upstream that the asking host
// cannot reach would show the state of a link, and would keep other hosts from making one.
func mayTry(u *upstream, request *Request) bool {
	return u.usable && !u.trial && u.isFree(0) && !request.isUnreachable(u)
}

// hasSpareCapacity reports whether the service can do without the upstreams with open breakers.
func (d *Dispatcher) hasSpareCapacity() bool {
	if d.line.Len() > 0 || float64(d.closed) < spareClosedShare*float64(d.usable) {
		return false
	}
	slots, inUse := 0, 0.0
	for _, u := range d.upstreams {
		if u.closed {
			slots += u.Slots
			inUse += u.inFlight()
		}
	}
	return inUse < (1-spareSlotShare)*float64(slots)
}

// trialForFloor returns the upstream with an open breaker that has been without a request for the longest time, if open breakers leave
// too few of the probably healthy upstreams in use although many requests fail. Otherwise it returns nil, because a trial of a
// non-idempotent request may cost its caller an unknown outcome.
func (d *Dispatcher) trialForFloor(now time.Time, request *Request) *upstream {
	if d.failures.share(now) < floorFailureShare {
		return nil
	}
	inUse, healthy := 0, 0
	var longest *upstream
	for _, u := range d.upstreams {
		switch {
		case !u.usable:
		case u.closed:
			inUse++
			healthy++
		case u.mayHaveRecovered(now):
			healthy++
			if mayTry(u, request) && (longest == nil || u.usedAt.Before(longest.usedAt)) {
				longest = u
			}
		}
	}
	floor := d.options.Floor()
	if floor <= 0 || float64(inUse) >= (floor+(1-floor)*floorMargin)*float64(healthy) {
		return nil
	}
	return longest
}

// mayHaveRecovered reports whether the upstream has had no request for recoveryTime, or for maxUnused since its last good response.
func (u *upstream) mayHaveRecovered(now time.Time) bool {
	idle := now.Sub(u.usedAt)
	responded := !u.goodAt.Before(u.usedAt)
	return idle >= recoveryTime || (responded && idle >= maxUnused)
}
