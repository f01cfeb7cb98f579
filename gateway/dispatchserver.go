package gateway

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/gateway/dispatch"
	"github.com/bronzeyard/bronzeyard/gateway/evacuation"
	"github.com/bronzeyard/bronzeyard/gateway/gossip"
	"github.com/bronzeyard/bronzeyard/gateway/registry"
	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// dispatchTick is the interval at which dispatchers handle the time that has passed.
	dispatchTick = 20 * time.Millisecond
	// dispatcherIdleTime is the time without asks after which a dispatcher is dropped.
	dispatcherIdleTime = 10 * time.Second
	// askerPeriod is the time for which a host in another data centre gets notices about the upstreams of a dispatcher that it has asked.
	askerPeriod = 10 * time.Second
	// replyPeriod is the time after the deadline of a request for which its last reply is kept, because a late ask may repeat it.
	replyPeriod = 200 * time.Millisecond
	// purgeInterval is the interval at which requests whose end was not reported are dropped. There may be thousands of requests.
	purgeInterval = time.Second
)

// dispatchServer runs the dispatchers of this host. A dispatcher is created for the first ask, also if this host does not consider itself
// the one to be asked.
type dispatchServer struct {
	router  *router
	members *memberList
	send    func(host string, m *gossip.DispatchMessage) bool

	mu          sync.Mutex
	dispatchers map[gossip.DispatcherID]*dispatcher
	closed      bool
	// dropped holds the counts of the dispatchers that were dropped.
	dropped map[gossip.DispatcherID]dispatch.Stats
	// newSlots returns a new dispatcher. It is replaced in tests.
	newSlots func(dispatch.Options) slotAssigner
}

// slotAssigner assigns the slots of the upstreams of a service in a data centre. dispatch.Dispatcher implements it.
type slotAssigner interface {
	SetUpstreams(now time.Time, upstreams []settings.Upstream)
	Ask(now time.Time, request dispatch.Request) []dispatch.Reply
	Withdraw(now time.Time, id dispatch.RequestID) []dispatch.Reply
	Release(now time.Time, release dispatch.Release) []dispatch.Reply
	Tick(now time.Time) []dispatch.Reply
	Stats(now time.Time) dispatch.Stats
}

// dispatcher is a dispatcher that runs on this host: the assignment of the slots and the state of the messages about it.
type dispatcher struct {
	id     gossip.DispatcherID
	budget *dispatcherBudget // guarded by mu, like slots

	mu    sync.Mutex
	slots slotAssigner
	// view and evacuated are those from which upstreams were taken.
	view      *registry.View
	evacuated *evacuation.View
	upstreams []settings.Upstream
	// updatedAt is the time of the last check for changed upstreams. Without a new view they change only when a warm-up ends.
	updatedAt time.Time
	lastAsk   time.Time
	dropped   bool // it gets no further ticks
	purgedAt  time.Time
	// requests are those that wait or have a slot.
	requests map[dispatch.RequestID]*dispatchedRequest
	// askers maps the hosts of other data centres to the time of their last ask.
	askers map[string]time.Time
}

// dispatchedRequest is a request that waits or has a slot.
type dispatchedRequest struct {
	deadline time.Time
	reply    dispatch.Reply // the last one; its Kind is 0 if there was none
	// incarnation is that of the granted upstream.
	incarnation int64
}

func newDispatchServer(r *router, members *memberList, send func(string, *gossip.DispatchMessage) bool) *dispatchServer {
	return &dispatchServer{
		router: r, members: members, send: send, dispatchers: make(map[gossip.DispatcherID]*dispatcher),
		dropped:  make(map[gossip.DispatcherID]dispatch.Stats),
		newSlots: func(options dispatch.Options) slotAssigner { return dispatch.New(options) },
	}
}

// outbox collects what is sent to other hosts, so that a host gets one message and nothing is sent while a lock is held.
type outbox map[string]*gossip.DispatchMessage

func (o outbox) to(host string) *gossip.DispatchMessage {
	m := o[host]
	if m == nil {
		m = &gossip.DispatchMessage{}
		o[host] = m
	}
	return m
}

func (s *dispatchServer) flush(out outbox) {
	for host, m := range out {
		s.send(host, m)
	}
}

// receive processes the asks, releases, withdrawals and overdue updates of a host. Asks that may have waited in the socket are dropped,
// because the host has placed those requests itself by now.
func (s *dispatchServer) receive(now time.Time, m *gossip.DispatchMessage) {
	out := make(outbox)
	for i := range m.Releases {
		s.release(now, &m.Releases[i], out)
	}
	for _, w := range m.Withdrawals {
		if d := s.find(w.DispatcherID); d != nil {
			d.withdraw(s, now, w.ID, out)
		}
	}
	if !m.Stale {
		for i := range m.Asks {
			s.ask(now, m.Host, &m.Asks[i], out)
		}
	}
	for _, report := range m.Overdue {
		s.overdue(now, report, out)
	}
	for _, notice := range m.Notices {
		s.router.receiveNotice(now, m.Host, notice)
	}
	s.flush(out)
}

func (s *dispatchServer) find(id gossip.DispatcherID) *dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatchers[id]
}

// findOrCreate returns a dispatcher; nil if the data centre has no upstream of the service.
func (s *dispatchServer) findOrCreate(now time.Time, id gossip.DispatcherID) *dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.dispatchers[id]
	if d != nil {
		return d
	}
	if s.closed || len(s.router.upstreamsOf(now, s.router.registry.View(), id)) == 0 {
		return nil
	}
	r := s.router
	budget := newDispatcherBudget(r.bounds)
	d = &dispatcher{
		budget: budget,
		id:     id, lastAsk: now, requests: make(map[dispatch.RequestID]*dispatchedRequest), askers: make(map[string]time.Time),
		slots: s.newSlots(dispatch.Options{
			Breakers:      r.breakers,
			TakeToken:     budget.take,
			HasToken:      budget.has,
			Floor:         func() float64 { return r.bounds().Floor },
			EntryLifetime: func() time.Duration { return r.bounds().entryLifetime() },
			Random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}),
	}
	if len(s.dispatchers) == 0 {
		time.AfterFunc(dispatchTick, s.tick)
	}
	d.update(now, s)
	s.dispatchers[id] = d
	return d
}

// upstreamsOf returns the upstreams whose slots a dispatcher assigns.
func (r *router) upstreamsOf(now time.Time, view *registry.View, id gossip.DispatcherID) []settings.Upstream {
	var upstreams []settings.Upstream
	for _, u := range r.dispatchable(now, view, id.Service) {
		if u.DataCentre == id.DataCentre {
			upstreams = append(upstreams, u)
		}
	}
	return upstreams
}

// dataCentresOf returns the number of data centres with upstreams of a service.
func dataCentresOf(view *registry.View, service settings.ServiceName) int {
	found := make(map[string]bool)
	for _, u := range view.Upstreams(service) {
		found[u.DataCentre] = true
	}
	return len(found)
}

func (s *dispatchServer) ask(now time.Time, host string, ask *gossip.DispatchAsk, out outbox) {
	request := ask.Request
	if !now.Before(request.Deadline) {
		return
	}
	d := s.findOrCreate(now, ask.DispatcherID)
	if d == nil && s.router.registry.View().ReadAt.IsZero() {
		return // this host has just started; without a reply, the successor is asked
	}
	if d == nil {
		full := dispatch.Reply{ID: request.ID, Kind: dispatch.Full}
		out.to(host).Replies = append(out.to(host).Replies, gossip.DispatchReply{DispatcherID: ask.DispatcherID, Reply: full})
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dropped {
		return // since findOrCreate; the asking host gets no reply and places the request itself
	}
	d.lastAsk = now
	if s.members.dataCentre(now, host) != s.router.dataCentre {
		d.askers[host] = now
	}
	if known := d.requests[request.ID]; known != nil {
		if known.reply.Kind != 0 {
			out.to(host).Replies = append(out.to(host).Replies, gossip.DispatchReply{DispatcherID: d.id, Reply: known.reply})
		}
		return
	}
	d.update(now, s)
	d.requests[request.ID] = &dispatchedRequest{deadline: request.Deadline}
	replies := d.slots.Ask(now, request)
	// A further attempt after one that reached no upstream needs no token either. A request that gets Full may wait in another data centre.
	isFull := func(reply dispatch.Reply) bool { return reply.ID == request.ID && reply.Kind == dispatch.Full }
	if !request.NeedsToken && !request.Remote && len(request.Exclude) == 0 && !slices.ContainsFunc(replies, isFull) {
		d.budget.countRequest(now)
	}
	d.reply(s, now, replies, out)
}

// update passes the upstreams to the dispatcher if they have changed.
func (d *dispatcher) update(now time.Time, s *dispatchServer) {
	r := s.router
	d.budget.slackShare = r.slackShareOf(now, s.members, d.id)
	view, evacuated := r.registry.View(), r.evacuations.View()
	limit := r.warmUpLimit(d.id.Service)
	if view == d.view && evacuated == d.evacuated && (!limit.Active() || now.Sub(d.updatedAt) < dispatchTick) {
		return
	}
	upstreams := r.upstreamsOf(now, view, d.id)
	d.budget.dataCentres = dataCentresOf(view, d.id.Service)
	if d.view == nil || !slices.Equal(upstreams, d.upstreams) {
		d.slots.SetUpstreams(now, upstreams)
	}
	d.view, d.evacuated, d.upstreams, d.updatedAt = view, evacuated, upstreams, now
}

// reply records replies and adds them to what is sent. It begins the trials that they grant.
func (d *dispatcher) reply(s *dispatchServer, now time.Time, replies []dispatch.Reply, out outbox) {
	for _, reply := range replies {
		switch reply.Kind {
		case dispatch.Granted, dispatch.Queued:
			if known := d.requests[reply.ID]; known != nil {
				known.reply = reply
				if u, ok := d.view.Upstream(reply.Upstream); ok && reply.Kind == dispatch.Granted {
					known.incarnation = u.Incarnation
				}
			}
		default:
			delete(d.requests, reply.ID)
		}
		if reply.Kind == dispatch.Granted && reply.Trial {
			d.notify(s, now, s.router.breakers.BeginTrial(now, reply.Upstream), out)
		}
		m := out.to(reply.ID.Host)
		m.Replies = append(m.Replies, gossip.DispatchReply{DispatcherID: d.id, Reply: reply})
	}
}

// notify sends notices to the hosts that may send requests to the upstream themselves: those of the local data centre, and the hosts in
// other ones that have asked this dispatcher lately.
func (d *dispatcher) notify(s *dispatchServer, now time.Time, notices []breaker.Notice, out outbox) {
	if len(notices) == 0 {
		return
	}
	s.router.queueLocalNotices(notices)
	for host, askedAt := range d.askers {
		if now.Sub(askedAt) <= askerPeriod {
			m := out.to(host)
			m.Notices = append(m.Notices, notices...)
		} else {
			delete(d.askers, host)
		}
	}
}

func (d *dispatcher) withdraw(s *dispatchServer, now time.Time, id dispatch.RequestID, out outbox) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.requests, id)
	d.reply(s, now, d.slots.Withdraw(now, id), out)
}

// release processes the end of a granted attempt. Its sample counts also if the dispatcher does not know the grant, because this host
// was restarted or the grant has expired.
func (s *dispatchServer) release(now time.Time, release *gossip.DispatchRelease, out outbox) {
	d := s.find(release.DispatcherID)
	if d == nil {
		if _, known := s.router.registry.View().Upstream(release.Release.Upstream); known {
			s.sample(now, release.Release.Upstream, release.Release.Outcome)
		}
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	view := s.router.registry.View()
	upstream, known := view.Upstream(release.Release.Upstream)
	if known {
		d.notify(s, now, s.sample(now, upstream.ID, release.Release.Outcome), out)
	}
	granted := d.requests[release.Release.ID]
	if release.Release.Outcome == dispatch.Misdirected && known && granted != nil && granted.incarnation == upstream.Incarnation &&
		s.router.registry.Misdirected(&upstream) {
		s.router.onMisdirected(&upstream)
	}
	delete(d.requests, release.Release.ID)
	d.update(now, s)
	d.reply(s, now, d.slots.Release(now, release.Release), out)
}

// sample feeds the circuit breaker of an upstream with the result of an attempt, and returns the notices for other hosts.
func (s *dispatchServer) sample(now time.Time, id settings.UpstreamID, outcome dispatch.Outcome) []breaker.Notice {
	var sample breaker.Sample
	switch outcome {
	case dispatch.Served:
		sample = breaker.Good
	case dispatch.Responded:
		sample = breaker.Responded
	case dispatch.Failed:
		sample = breaker.ErrorStatus
	case dispatch.Broken:
		sample = breaker.Broken
	case dispatch.Unreachable:
		sample = breaker.Unreachable
	default:
		return nil
	}
	notices, opened := s.router.breakers.Report(now, id, sample)
	for _, notice := range notices {
		if opened || notice.Kind == breaker.NoticeClosed {
			s.router.logChange(notice, "")
		}
	}
	return notices
}

// overdue applies an update about an attempt without a response.
func (s *dispatchServer) overdue(now time.Time, report gossip.OverdueReport, out outbox) {
	view := s.router.registry.View()
	upstream, known := view.Upstream(report.Upstream)
	if !known {
		return
	}
	_, notices := s.router.breakers.ReportOverdue(now, report.Upstream, report.Update)
	for _, notice := range notices {
		s.router.logChange(notice, "")
	}
	service, _ := view.ServiceOf(report.Upstream)
	if d := s.find(gossip.DispatcherID{Service: service, DataCentre: upstream.DataCentre}); d != nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.notify(s, now, notices, out)
	}
}

// tick handles the time that has passed in all dispatchers, and drops those that are no longer asked.
func (s *dispatchServer) tick() {
	now := time.Now()
	s.mu.Lock()
	all := make([]*dispatcher, 0, len(s.dispatchers))
	for _, d := range s.dispatchers {
		all = append(all, d)
	}
	s.mu.Unlock()
	out := make(outbox)
	var idle []*dispatcher
	for _, d := range all {
		if d.tick(s, now, out) {
			idle = append(idle, d)
		}
	}
	s.flush(out)
	s.drop(now, idle)
}

// tick handles the time that has passed. It reports whether the dispatcher has not been asked for dispatcherIdleTime.
func (d *dispatcher) tick(s *dispatchServer, now time.Time, out outbox) (idle bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.update(now, s)
	d.reply(s, now, d.slots.Tick(now), out)
	if now.Sub(d.purgedAt) >= purgeInterval {
		d.purgedAt = now
		maps.DeleteFunc(d.requests, func(_ dispatch.RequestID, request *dispatchedRequest) bool {
			return now.After(request.deadline.Add(replyPeriod))
		})
	}
	return now.Sub(d.lastAsk) >= dispatcherIdleTime && len(d.requests) == 0
}

// drop drops dispatchers that have still not been asked, and schedules the next tick if any is left.
func (s *dispatchServer) drop(now time.Time, idle []*dispatcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range idle {
		d.mu.Lock()
		if now.Sub(d.lastAsk) >= dispatcherIdleTime && s.dispatchers[d.id] == d {
			counts := withCounts(d.slots.Stats(now), s.dropped[d.id])
			counts.InUse, counts.Waiting, counts.Free, counts.OldestWait = 0, 0, 0, 0
			s.dropped[d.id] = counts
			d.dropped = true
			delete(s.dispatchers, d.id)
		}
		d.mu.Unlock()
	}
	if len(s.dispatchers) > 0 && !s.closed {
		time.AfterFunc(dispatchTick, s.tick)
	}
}

// close stops the ticks.
func (s *dispatchServer) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// stats returns the state of each dispatcher of this host. Its counts include those of earlier ones.
func (s *dispatchServer) stats(now time.Time) map[gossip.DispatcherID]dispatch.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := maps.Clone(s.dropped)
	for id, d := range s.dispatchers {
		d.mu.Lock()
		all[id] = withCounts(d.slots.Stats(now), all[id])
		d.mu.Unlock()
	}
	return all
}

// withCounts returns the counts of a dispatcher with those of an earlier one added. The rest is that of current.
func withCounts(current, earlier dispatch.Stats) dispatch.Stats {
	current.Grants, current.Trials = current.Grants+earlier.Grants, current.Trials+earlier.Trials
	current.Rejections, current.Expired = current.Rejections+earlier.Rejections, current.Expired+earlier.Expired
	return current
}
