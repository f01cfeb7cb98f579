package forward

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// idleLossMemory is the time for which a loss on an idle connection limits the use of others.
	idleLossMemory = time.Minute
	// minIdleLoss is the time without a request above which the loss of a connection may be caused by that. Upstreams have been seen to
	// drop connections after 0.2 s to 0.3 s.
	minIdleLoss = 100 * time.Millisecond
	// idleTrustFraction is the fraction of the shortest time that led to a loss for which connections are trusted. The upstream may
	// drop them much earlier than that, and a new connection costs far less than a request that may have run.
	idleTrustFraction = 0.25
	// unhealthyPeriod is the time before and after a break of a connection in use for which breaks of idle connections to the same
	// upstream are no evidence that it drops idle ones.
	unhealthyPeriod = 5 * time.Second
	// maxIdleLosses bounds the losses that are remembered for a service.
	maxIdleLosses = 32
)

// idleLoss is an idle connection that broke when it was used again, before any byte of a response.
type idleLoss struct {
	address string
	at      time.Time
	idle    time.Duration
}

// idleTrust learns from losses for how long an idle connection to an upstream may be trusted. Some upstreams drop idle connections
// without notice, so the next request on such a connection is lost. Its zero value is ready for use. It is safe for concurrent use.
type idleTrust struct {
	// activeUntil is the end of idleLossMemory after the newest loss, in Unix nanoseconds. Without losses nothing is recorded.
	activeUntil atomic.Int64

	mu     sync.Mutex
	losses map[string][]idleLoss // by service
	// brokeAt holds the time of the last break of a connection in use, and survived the longest idle time after which a connection
	// still worked, both by the address of the upstream.
	brokeAt  map[string]time.Time
	survived map[string]idleLoss
	// breaks compares the breaks of idle connections with those of others, by service.
	breaks map[string]*breakRates
}

const (
	// breakHalfLife is the half-life of the counts of breakRates.
	breakHalfLife = 20 * time.Second
	// minBreakRatio and minBreakExcess are by how much more often idle connections must break than others. Unhealthy upstreams break both,
	// and without this comparison most requests opened a new connection.
	minBreakRatio  = 2
	minBreakExcess = 0.05
	// priorRequests is the number of requests on other connections that are assumed to have been served before the first one.
	priorRequests = 5
)

// breakRates counts, with decay, the requests on idle connections and on others, and how many of them broke.
type breakRates struct {
	idle, idleBroke, other, otherBroke float64
	at                                 time.Time
}

func (r *breakRates) add(now time.Time, idle, broke bool) {
	if !r.at.IsZero() {
		factor := math.Exp2(-float64(now.Sub(r.at)) / float64(breakHalfLife))
		r.idle, r.idleBroke, r.other, r.otherBroke = r.idle*factor, r.idleBroke*factor, r.other*factor, r.otherBroke*factor
	}
	r.at = now
	lost := 0.0
	if broke {
		lost = 1
	}
	if idle {
		r.idle, r.idleBroke = r.idle+1, r.idleBroke+lost
	} else {
		r.other, r.otherBroke = r.other+1, r.otherBroke+lost
	}
}

// idleBreaksMore reports whether idle connections break more often than others do.
func (r *breakRates) idleBreaksMore() bool {
	if r == nil || r.idle == 0 {
		return true // not known
	}
	other := r.otherBroke / (r.other + priorRequests)
	return r.idleBroke/r.idle > minBreakRatio*other+minBreakExcess
}

// count adds a request to the counts of its service.
func (t *idleTrust) count(now time.Time, service string, idle time.Duration, broke bool) {
	if t.breaks == nil {
		t.breaks = make(map[string]*breakRates)
	}
	r := t.breaks[service]
	if r == nil {
		r = &breakRates{}
		t.breaks[service] = r
	}
	r.add(now, idle >= minIdleLoss, broke)
}

// active reports whether there was a loss within idleLossMemory.
func (t *idleTrust) active(now time.Time) bool { return now.UnixNano() < t.activeUntil.Load() }

// broke records the break of a connection, before any byte of a response, that had carried no request for some time; 0 if it was new.
func (t *idleTrust) broke(now time.Time, service, address string, idle time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.losses == nil {
		t.losses, t.brokeAt, t.survived = make(map[string][]idleLoss), make(map[string]time.Time), make(map[string]idleLoss)
	}
	t.forget(now)
	t.count(now, service, idle, true)
	if idle < minIdleLoss {
		t.brokeAt[address] = now
		t.losses[service] = slices.DeleteFunc(t.losses[service], func(loss idleLoss) bool {
			return loss.address == address && now.Sub(loss.at) < unhealthyPeriod
		})
		return
	}
	if now.Sub(t.brokeAt[address]) < unhealthyPeriod {
		return
	}
	if known := t.survived[address]; known.idle >= idle {
		delete(t.survived, address)
	}
	losses := append(t.losses[service], idleLoss{address: address, at: now, idle: idle})
	t.losses[service] = losses[max(0, len(losses)-maxIdleLosses):]
	t.activeUntil.Store(now.Add(idleLossMemory).UnixNano())
}

// worked records a response on a connection that had carried no request for some time.
func (t *idleTrust) worked(now time.Time, service, address string, idle time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count(now, service, idle, false)
	if !t.active(now) {
		return
	}
	if known := t.survived[address]; idle > known.idle || now.Sub(known.at) >= idleLossMemory {
		t.survived[address] = idleLoss{address: address, at: now, idle: idle}
	}
}

// trusts reports whether a connection to an upstream may be used after it has carried no request for some time. Losses at any upstream
// of the service count, unless a connection to this one was still usable after as long.
func (t *idleTrust) trusts(now time.Time, service, address string, idle time.Duration) bool {
	if !t.active(now) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var shortest, own time.Duration
	for _, loss := range t.losses[service] {
		if now.Sub(loss.at) >= idleLossMemory {
			continue
		}
		if shortest == 0 || loss.idle < shortest {
			shortest = loss.idle
		}
		if loss.address == address && (own == 0 || loss.idle < own) {
			own = loss.idle
		}
	}
	if shortest == 0 || !t.breaks[service].idleBreaksMore() {
		return true
	}
	survived := t.survived[address]
	if now.Sub(survived.at) < idleLossMemory && idle <= survived.idle && (own == 0 || survived.idle < own) {
		return true
	}
	if own > 0 {
		shortest = own
	}
	return idle <= time.Duration(idleTrustFraction*float64(shortest))
}

// forget drops what is older than idleLossMemory.
func (t *idleTrust) forget(now time.Time) {
	for service, losses := range t.losses {
		losses = slices.DeleteFunc(losses, func(loss idleLoss) bool { return now.Sub(loss.at) >= idleLossMemory })
		if t.losses[service] = losses; len(losses) == 0 {
			delete(t.losses, service)
		}
	}
	for address, at := range t.brokeAt {
		if now.Sub(at) >= unhealthyPeriod {
			delete(t.brokeAt, address)
		}
	}
	for address, survived := range t.survived {
		if now.Sub(survived.at) >= idleLossMemory {
			delete(t.survived, address)
		}
	}
}
