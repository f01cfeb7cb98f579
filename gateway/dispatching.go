package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/gateway/dispatch"
	"github.com/bronzeyard/bronzeyard/gateway/dispatchclient"
	"github.com/bronzeyard/bronzeyard/gateway/gossip"
	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/gateway/relay"
	"github.com/bronzeyard/bronzeyard/settings"
)

// unusableUpstream is the reason of a fallback for a granted upstream that this host does not know, or knows to be leaving, evacuated or
// cold, or to ask for no requests.
const unusableUpstream dispatchclient.Fallback = "unusable_upstream"

// dispatchers connects the router to the dispatchers of the fleet. It also runs those of this host.
type dispatchers struct {
	client  *dispatchclient.Client
	members *memberList
	server  *dispatchServer

	mu     sync.Mutex
	counts map[settings.ServiceName]*DispatchCounts
}

// DispatchCounts counts, since the start of the process, how attempts of this host got an upstream while dispatchers are in use.
type DispatchCounts struct {
	// Asks counts the attempts for which a slot was asked for. Grants, Rejections and Fallbacks by reason are the results; attempts
	// without one of these have ended while they waited.
	Asks, Grants, Rejections int64
	Fallbacks                map[dispatchclient.Fallback]int64
}

func newDispatchers(r *router, hosts func() []dispatchclient.Candidate, send func(string, *gossip.DispatchMessage) bool) *dispatchers {
	d := &dispatchers{members: &memberList{read: hosts}, counts: make(map[settings.ServiceName]*DispatchCounts)}
	deliver := func(host string, m *gossip.DispatchMessage) bool {
		if host != r.self {
			return send(host, m)
		}
		m.Host = host
		d.receive(time.Now(), m)
		return true
	}
	d.client = dispatchclient.New(dispatchclient.Options{Self: r.self, DataCentre: r.dataCentre, Send: deliver})
	d.server = newDispatchServer(r, d.members, deliver)
	return d
}

// receive processes a message of a host, which may be this one.
func (d *dispatchers) receive(now time.Time, m *gossip.DispatchMessage) {
	d.client.Deliver(now, m.Host, m.Replies)
	d.server.receive(now, m)
}

func (d *dispatchers) count(service settings.ServiceName, result *dispatchclient.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.counts[service]
	if counts == nil {
		counts = &DispatchCounts{Fallbacks: make(map[dispatchclient.Fallback]int64)}
		d.counts[service] = counts
	}
	counts.Asks++
	switch {
	case result.Grant != nil:
		counts.Grants++
	case result.Rejected:
		counts.Rejections++
	case result.Fallback != "":
		counts.Fallbacks[result.Fallback]++
	}
}

// DispatchCounts returns the counts of the attempts of this host by service.
func (g *Gateway) DispatchCounts() map[settings.ServiceName]DispatchCounts {
	d := g.router.dispatchers
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := make(map[settings.ServiceName]DispatchCounts, len(d.counts))
	for service, c := range d.counts {
		copied := *c
		copied.Fallbacks = maps.Clone(c.Fallbacks)
		counts[service] = copied
	}
	return counts
}

// DispatcherStats returns the state of the dispatchers of this host, and the counts of those that are no longer in use.
func (g *Gateway) DispatcherStats() map[gossip.DispatcherID]dispatch.Stats {
	return g.router.dispatchers.server.stats(time.Now())
}

// pickDispatched asks the dispatchers of a service for a slot. If they do not reply, this host chooses an upstream itself.
func (r *router) pickDispatched(ctx context.Context, request *relay.PickRequest) (relay.Selection, error) {
	if selection, ok := r.placeCold(request); ok {
		return selection, nil
	}
	attempt := r.attemptOf(request)
	if attempt == nil { // there are no upstreams
		return r.place(request)
	}
	result := r.acquire(ctx, attempt)
	defer r.dispatchers.count(request.Service, &result)
	switch {
	case result.Grant != nil:
		selection, ok := r.granted(request, result.Grant)
		if ok {
			selection.Dispatcher, selection.DispatchWait = result.Dispatcher, result.Wait
			return selection, nil
		}
		result.Grant, result.Fallback = nil, unusableUpstream
		placed := *request
		placed.NeedsToken = false // the dispatcher has taken the token
		request = &placed
	case result.Rejected:
		return relay.Selection{}, &relay.RejectedError{RetryAfter: result.RetryAfter, Dispatcher: result.Dispatcher}
	case result.Ended:
		return relay.Selection{}, ctx.Err()
	case request.Concurrent && result.Fallback == dispatchclient.NoSlot:
		result.Fallback = "" // a second attempt is made only at an upstream with a free slot
		return relay.Selection{}, relay.ErrNoUpstream
	}
	selection, err := r.place(request)
	selection.Dispatcher, selection.DispatchWait = result.Dispatcher, result.Wait
	selection.Fallback = string(result.Fallback)
	return selection, err
}

// acquire asks for a slot. If the home data centre has no upstream to which the request could be sent, and no other one has a free slot,
// the request waits in another one: it must not be sent to a full upstream ahead of those that wait for it.
func (r *router) acquire(ctx context.Context, attempt *dispatchclient.Attempt) dispatchclient.Result {
	result := r.dispatchers.client.Acquire(ctx, attempt)
	if attempt.Request.Hedge {
		return result
	}
	for _, place := range attempt.Others {
		if result.Fallback != dispatchclient.NoSlot {
			break
		}
		next := *attempt
		next.Home, next.Others = place, nil
		waited := result.Wait
		result = r.dispatchers.client.Acquire(ctx, &next)
		result.Wait += waited
	}
	return result
}

// attemptOf returns the attempt for which a slot is asked for; nil if the service has no upstreams. It waits in the local data centre,
// or in the one with the most slots if there is no upstream in the local one.
func (r *router) attemptOf(request *relay.PickRequest) *dispatchclient.Attempt {
	slots := make(map[string]int)
	upstreams := r.dispatchable(time.Now(), r.registry.View(), request.Service)
	for i := range upstreams {
		if u := &upstreams[i]; !u.Leaving {
			slots[u.DataCentre] += max(1, u.Slots)
		}
	}
	if len(slots) == 0 {
		return nil
	}
	home := r.dataCentre
	if slots[home] == 0 {
		for dataCentre, n := range slots {
			if n > slots[home] || (n == slots[home] && dataCentre < home) {
				home = dataCentre
			}
		}
	}
	unreachable := unreachableHints(time.Now(), &r.service(request.Service).unreachable, upstreams)
	connected := connectedHints(r.idleAddresses(string(request.Service), request.Idempotent, maxIdleAddresses), upstreams)
	place := func(dataCentre string) dispatchclient.Place {
		id := gossip.DispatcherID{Service: request.Service, DataCentre: dataCentre}
		return dispatchclient.Place{
			DataCentre: dataCentre, Dispatchers: r.dispatchers.members.ranked(time.Now(), id),
			Connected: connected[dataCentre], Unreachable: unreachable[dataCentre],
		}
	}
	attempt := &dispatchclient.Attempt{Service: request.Service, Home: place(home), Request: dispatch.Request{
		Customer: request.Customer, Weight: request.Weight, Priority: request.Priority, Deadline: request.Deadline,
		Target: request.Target, Idempotent: request.Idempotent, Retryable: request.MayRetry, NeedsToken: request.NeedsToken,
		Hedge: request.Concurrent, Exclude: request.Exclude, Rejected: r.service(request.Service).rejected.take(time.Now()),
	}}
	for dataCentre := range slots {
		if dataCentre != home {
			attempt.Others = append(attempt.Others, place(dataCentre))
		}
	}
	return attempt
}

// granted returns the Selection for a grant. It returns false, and returns the grant, if the upstream cannot be used.
func (r *router) granted(request *relay.PickRequest, grant *dispatchclient.Grant) (relay.Selection, bool) {
	now := time.Now()
	view := r.registry.View()
	upstream, known := view.Upstream(grant.Upstream())
	s := r.service(request.Service)
	asked := s.pool.Signals(now, &upstream)
	if !known || upstream.Leaving || asked.Leaving || asked.Backoff > 0 || !r.isDispatchable(now, request.Service, &upstream) {
		// A dispatcher that has taken over does not know what upstreams have asked for.
		r.dispatchers.client.Release(grant, dispatch.Release{Outcome: dispatch.Unused, Leaving: asked.Leaving, Backoff: asked.Backoff})
		return relay.Selection{}, false
	}
	s.pool.Begin(upstream.ID)
	monitor := newMonitor(s, request.Route, upstream.ID, now, func(id settings.UpstreamID, update breaker.OverdueUpdate) {
		r.dispatchers.client.ReportOverdue(grant, gossip.OverdueReport{Upstream: id, Update: update})
	})
	done := func(result relay.Result) {
		shown := s.evidenceOf(time.Now(), &result)
		monitor.end(result.Outcome, result.Took, shown.typical)
		r.recordGranted(s, grant, &upstream, &result, shown)
	}
	choice := placement.Choice{Upstream: upstream, Trial: grant.Trial(), Load: grant.Load()}
	return r.selection(s, request, choice, view, monitor, done), true
}

// recordGranted processes the result of a granted attempt. The host of the dispatcher feeds its circuit breakers with it.
func (r *router) recordGranted(
	s *serviceState, grant *dispatchclient.Grant, upstream *settings.Upstream, result *relay.Result, shown evidence,
) {
	r.recordInPool(s, upstream, result, shown)
	release := dispatch.Release{
		Outcome: releaseOutcome(result, shown), Load: result.Load, Leaving: result.Leaving, Backoff: result.Backoff,
	}
	switch release.Outcome {
	case dispatch.Served:
		release.Took = result.Took
	case dispatch.Misdirected:
		if r.registry.Misdirected(upstream) {
			r.onMisdirected(upstream)
		}
	case dispatch.Broken:
		r.checkLocalLoss(upstream.ID, func(local bool) {
			if local {
				release.Outcome = dispatch.Unused
			}
			r.dispatchers.client.Release(grant, release)
		})
		return
	default:
	}
	r.dispatchers.client.Release(grant, release)
}

// evidentOutcome returns what the dispatcher is told about a complete response.
func evidentOutcome(shown evidence) dispatch.Outcome {
	switch shown.sample {
	case breaker.Good:
		return dispatch.Served
	case breaker.Responded:
		return dispatch.Responded
	case breaker.ErrorStatus:
		return dispatch.Failed
	default:
		return dispatch.TimedOut // no evidence, as a time-out of this host
	}
}

// releaseOutcome returns what the dispatcher is told about an attempt.
func releaseOutcome(result *relay.Result, shown evidence) dispatch.Outcome {
	switch result.Outcome {
	case relay.Answered, relay.FailedStatus:
		return evidentOutcome(shown)
	case relay.NotRun:
		return dispatch.Shed
	case relay.Broken, relay.NotSent:
		return dispatch.Broken
	case relay.NotConnected:
		return dispatch.Unreachable
	case relay.WrongInstance:
		return dispatch.Misdirected
	case relay.TimedOut:
		return dispatch.TimedOut
	default: // Cancelled, NoMemory and NotPassedOn
		return dispatch.Unused
	}
}
