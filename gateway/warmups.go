package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/gateway/gossip"
	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/gateway/registry"
	"github.com/bronzeyard/bronzeyard/gateway/relay"
	"github.com/bronzeyard/bronzeyard/gateway/warmup"
	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// minWarmUpChange is the change of the end of a warm-up that is logged and reported to other hosts. The end is computed from the
	// time that is left, which upstreams write now and then.
	minWarmUpChange = 500 * time.Millisecond
	// warmUpSends is the number of heartbeats that report a change. Datagrams may be lost.
	warmUpSends = 3
)

// warmUps limits requests to cold upstreams, and holds what is to be reported about them to the other hosts.
type warmUps struct {
	limiter *warmup.Limiter
	// ofService returns the warm-up of the upstreams of a service as configured; its Rate is 0 if it has none.
	ofService func(settings.ServiceName) WarmUp

	mu sync.Mutex
	// pending holds the reports to be sent.
	pending map[settings.UpstreamID]*pendingWarmUp
}

type pendingWarmUp struct {
	gossip.WarmUp

	sends int // that are left
}

func newWarmUps(self string) *warmUps {
	return &warmUps{
		limiter: warmup.New(self), ofService: func(settings.ServiceName) WarmUp { return WarmUp{} },
		pending: make(map[settings.UpstreamID]*pendingWarmUp),
	}
}

// setMembers sets the other hosts that were heard lately.
func (w *warmUps) setMembers(now time.Time, hosts []gossip.Host) {
	members := make([]warmup.Member, len(hosts))
	for i := range hosts {
		members[i] = warmup.Member{ID: hosts[i].ID, Leaving: hosts[i].Leaving}
	}
	w.limiter.SetMembers(now, members)
}

// queue adds a statement that this host has read to the next reports.
func (w *warmUps) queue(report gossip.WarmUp) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending[report.Upstream] = &pendingWarmUp{WarmUp: report, sends: warmUpSends}
}

// takeReports returns the reports for a heartbeat.
func (w *warmUps) takeReports() []gossip.WarmUp {
	w.mu.Lock()
	defer w.mu.Unlock()
	reports := make([]gossip.WarmUp, 0, len(w.pending))
	for id, report := range w.pending {
		reports = append(reports, report.WarmUp)
		if report.sends--; report.sends <= 0 {
			delete(w.pending, id)
		}
	}
	return reports
}

// warmUpOf returns the warm-up of the upstreams of a service in the active configuration.
func (g *Gateway) warmUpOf(service settings.ServiceName) WarmUp {
	if current := g.current.Load(); current != nil {
		return current.WarmUps[service]
	}
	return WarmUp{}
}

// observeWarmUps processes what entries of upstreams state about their warm-up at a time. from is the host that has read them, empty for
// this one. What this host has read itself is reported to the others: a warm-up may begin at any moment, and hosts that do not read the
// entries would not learn of it.
func (g *Gateway) observeWarmUps(statedAt time.Time, entries []registry.Entry, from string) {
	for i := range entries {
		u := &entries[i].Upstream
		limit := g.router.warmUpLimit(entries[i].Service)
		statement := gossip.WarmUp{Upstream: u.ID, Until: u.WarmUntil, StatedAt: statedAt}
		if !limit.Active() {
			if u.WarmUntil.After(statedAt) { // a host may read the entries before the configuration
				g.router.warmUps.limiter.Observe(statedAt, u.ID, u.WarmUntil)
			}
			continue
		}
		if g.observeWarmUp(u, &limit, statement, from) && from == "" {
			g.router.warmUps.queue(statement)
		}
	}
}

// receiveWarmUps processes the reports of another host.
func (g *Gateway) receiveWarmUps(from string, reports []gossip.WarmUp) {
	view := g.router.registry.View()
	for _, report := range reports {
		service, _ := view.ServiceOf(report.Upstream)
		limit := g.router.warmUpLimit(service)
		upstreams := view.Upstreams(service)
		i := slices.IndexFunc(upstreams, func(u settings.Upstream) bool { return u.ID == report.Upstream })
		if limit.Active() && i >= 0 {
			g.observeWarmUp(&upstreams[i], &limit, report, from)
		}
	}
}

// observeWarmUp records a statement, and logs and reports whether it has changed the end of the upstream's warm-up.
func (g *Gateway) observeWarmUp(u *settings.Upstream, limit *warmup.Limit, statement gossip.WarmUp, from string) (changed bool) {
	now := time.Now()
	before := g.router.coldUntil(u, limit)
	g.router.warmUps.limiter.Observe(statement.StatedAt, u.ID, statement.Until)
	after := g.router.coldUntil(u, limit)
	leftBefore, left := max(0, before.Sub(now)), max(0, after.Sub(now))
	if (left - leftBefore).Abs() < minWarmUpChange {
		return false
	}
	g.log.upstreamCold(u.ID, left, from)
	return true
}

// warmUpLimit returns the limit of requests to a cold upstream of a service.
func (r *router) warmUpLimit(service settings.ServiceName) warmup.Limit {
	configured := r.warmUps.ofService(service)
	if configured.Rate <= 0 {
		return warmup.Limit{}
	}
	bounds := r.bounds()
	return warmup.Limit{
		Rate: configured.Rate, Period: configured.Period, Overshoot: bounds.WarmUpOvershoot, Slack: bounds.WarmUpSlack,
	}
}

// coldUntil returns the end of the warm-up of an upstream. It is not after now if the upstream is not cold.
func (r *router) coldUntil(u *settings.Upstream, limit *warmup.Limit) time.Time {
	return r.warmUps.limiter.ColdUntil(u.ID, limit, r.evacuations.View().ReturnedAt(u.DataCentre))
}

// pickAdmitted chooses an upstream for an attempt among those in from, and among the cold ones in all. from holds the upstreams that this
// host uses, and all also those that only other hosts use. A cold upstream is chosen only if this host may send it a request now.
func (r *router) pickAdmitted(
	now time.Time, s *serviceState, service settings.ServiceName, from, all []settings.Upstream, request placement.Request,
) (placement.Choice, bool) {
	limit := r.warmUpLimit(service)
	if !limit.Active() || !r.mayBeCold(now, &limit) {
		return s.pool.Pick(now, from, request, r.breakers)
	}
	s.coldMu.Lock() // two requests must not use the same token
	defer s.coldMu.Unlock()
	warm, cold := r.admitted(now, from, all, &limit)
	choice, ok := s.pool.Pick(now, append(warm, cold...), request, r.breakers)
	if ok && slices.ContainsFunc(cold, func(u settings.Upstream) bool { return u.ID == choice.Upstream.ID }) {
		r.warmUps.limiter.Take(now, choice.Upstream.ID, &limit)
	}
	return choice, ok
}

// mayBeCold reports whether any upstream may be cold.
func (r *router) mayBeCold(now time.Time, limit *warmup.Limit) bool {
	return r.warmUps.limiter.MayBeCold(now) || r.evacuations.View().ReturnedSince(now.Add(-limit.Period))
}

// admitted returns the upstreams in from that are not cold, and those in all that are cold and may be sent a request by this host now.
// If all upstreams in from are cold, warm holds the upstreams in all that are not.
func (r *router) admitted(now time.Time, from, all []settings.Upstream, limit *warmup.Limit) (warm, cold []settings.Upstream) {
	var others []settings.Upstream
	for i := range all {
		u := all[i]
		if until := r.coldUntil(&u, limit); until.After(now) {
			if r.warmUps.limiter.Admits(now, u.ID, limit) {
				u.WarmUntil = until
				cold = append(cold, u)
			}
			continue
		}
		others = append(others, u)
	}
	if len(from) == len(all) {
		return others, cold
	}
	for i := range from {
		if !r.coldUntil(&from[i], limit).After(now) {
			warm = append(warm, from[i])
		}
	}
	if len(warm) == 0 {
		return others, cold
	}
	return warm, cold
}

// coldUpstreams counts the upstreams that are warming up, of the services that this host has used.
func (r *router) coldUpstreams(now time.Time) (cold int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	view := r.registry.View()
	for service := range r.services {
		limit := r.warmUpLimit(service)
		if !limit.Active() {
			continue
		}
		for _, u := range view.Upstreams(service) {
			if r.coldUntil(&u, &limit).After(now) {
				cold++
			}
		}
	}
	return cold
}

// placeCold chooses a cold upstream for a first attempt if this host may send it a request now. It returns false if there is none. While
// dispatchers assign the slots of the other upstreams, cold ones would get no requests without it.
func (r *router) placeCold(picked *relay.PickRequest) (relay.Selection, bool) {
	now, limit := time.Now(), r.warmUpLimit(picked.Service)
	if picked.NeedsToken || picked.Concurrent || !limit.Active() || !r.mayBeCold(now, &limit) {
		return relay.Selection{}, false
	}
	s, view := r.service(picked.Service), r.registry.View()
	s.coldMu.Lock()
	defer s.coldMu.Unlock()
	_, cold := r.admitted(now, nil, r.available(s, view, picked.Service), &limit)
	request := picked.Request
	request.Retryable, request.Floor = picked.MayRetry && r.hasRetryToken(picked.Service), r.bounds().Floor
	cold = slices.DeleteFunc(cold, func(u settings.Upstream) bool { // without others, Pick would use those with open breakers
		return r.breakers.State(now, u.ID, request.Retryable) == breaker.Open
	})
	choice, ok := s.pool.Pick(now, cold, request, r.breakers)
	if !ok {
		return relay.Selection{}, false
	}
	r.warmUps.limiter.Take(now, choice.Upstream.ID, &limit)
	return r.placed(now, s, picked, choice, view), true
}
