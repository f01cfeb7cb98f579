package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/floor"
	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/gateway/relay"
	"github.com/bronzeyard/bronzeyard/settings"
)

// setLiveHosts sets the hosts among which the home hosts of upstreams are chosen: the live ones that are not leaving, and this one.
func (r *router) setLiveHosts(hosts []floor.Host) {
	slices.SortFunc(hosts, func(a, b floor.Host) int { return cmp.Compare(a.ID, b.ID) })
	if current := r.fleet.Load(); current == nil || !current.Matches(hosts) {
		r.fleet.Store(floor.NewFleet(hosts))
	}
}

// pickForFloor chooses an upstream that must receive a request soon, for a first attempt while many attempts of the service fail. It
// returns false if there is none, if dispatchers assign the slots of the service, or if the operator has set no floor.
func (r *router) pickForFloor(
	now time.Time, s *serviceState, picked *relay.PickRequest, request placement.Request, all []settings.Upstream,
) (placement.Choice, bool) {
	fleet := r.fleet.Load()
	if fleet == nil || request.Floor <= 0 || request.Retry || picked.Concurrent {
		return placement.Choice{}, false
	}
	if picked.MayRetry {
		s.floor.RecordRetryable(now)
	}
	if !s.floor.InDanger(now) || r.usesDispatchers(picked.Service) {
		return placement.Choice{}, false
	}
	due := r.withoutCold(now, picked.Service, s.floor.Due(now, all, fleet))
	if len(due) == 0 {
		return placement.Choice{}, false
	}
	recovered := func(id settings.UpstreamID) bool { return r.breakers.TrialAllowed(now, id, floor.RecoveredAfter) }
	belowFloor := s.pool.InUse(now, all, r.breakers, recovered) < request.Floor
	after, trials := s.floor.TrialAfter(now, request.Retryable || (request.Idempotent && belowFloor), belowFloor)
	return s.pool.PickDue(now, due, request, r.breakers, func(id settings.UpstreamID) bool {
		return trials && r.breakers.TrialAllowed(now, id, after)
	})
}

// withoutCold returns the upstreams without those that are warming up, whose requests are limited. It modifies the slice.
func (r *router) withoutCold(now time.Time, service settings.ServiceName, upstreams []settings.Upstream) []settings.Upstream {
	limit := r.warmUpLimit(service)
	if !limit.Active() || !r.mayBeCold(now, &limit) {
		return upstreams
	}
	return slices.DeleteFunc(upstreams, func(u settings.Upstream) bool { return r.coldUntil(&u, &limit).After(now) })
}

// recordForFloor counts the result of an attempt. Failed trials that were made for the floor do not count: an upstream that stays
// unhealthy would keep them going.
func (s *serviceState) recordForFloor(now time.Time, choice *placement.Choice, outcome relay.Outcome) {
	if choice.Floor && choice.Trial {
		return
	}
	switch outcome {
	case relay.Answered:
		s.floor.Record(now, false)
	case relay.FailedStatus, relay.Broken, relay.NotSent, relay.NotConnected, relay.TimedOut:
		s.floor.Record(now, true)
	default: // no evidence about the upstream
	}
}
