package ejection

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/ejection/ejectionpb"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
	"github.com/bronzeyard/bronzeyard/settings"
)

func newReport() proto.Message { return &ejectionpb.Report{} }

// report sends the digests of all services, in one call to each host that runs arbiters of them. It skips hosts to which a
// call is still in flight.
func (s *Service) report(ctx context.Context, view *fleet.View) {
	reports := make(map[string]*ejectionpb.Report)
	now := s.options.Clock.Now()
	for name, l := range s.services {
		owner, ok := view.Epoch.Owner(ownerKey(name))
		if !ok || s.inFlight[owner.PeerAddress] {
			continue
		}
		var draining []settings.UpstreamID
		if s.options.Draining != nil {
			draining = s.options.Draining(name)
		}
		digest := l.reporter.Digest(now, l.detector.Counts, draining)
		digest.Service = string(name)
		if owner.Identity() == view.Self {
			s.processLocally(view, now, name, digest)
			continue
		}
		report := reports[owner.PeerAddress]
		if report == nil {
			report = &ejectionpb.Report{Epoch: view.Epoch.Number}
			reports[owner.PeerAddress] = report
		}
		report.Digests = append(report.Digests, digest)
	}
	for address, report := range reports {
		s.inFlight[address] = true
		s.tasks.Go(func() { s.call(ctx, now, address, report) })
	}
}

// processLocally processes the digest of a service whose arbiter runs on this host, without a call.
func (s *Service) processLocally(view *fleet.View, now time.Time, name settings.ServiceName, digest *ejectionpb.Digest) {
	if arbiter := s.arbiter(view, now, name); arbiter != nil {
		s.apply(name, now, view.Epoch.Number, arbiter.ProcessDigest(now, view.Self, digest))
	}
}

func (s *Service) call(ctx context.Context, sentAt time.Time, address string, report *ejectionpb.Report) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	grants := &ejectionpb.Grants{}
	err := s.options.Caller.Call(ctx, address, Method, report, grants)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, address)
	if err != nil {
		return
	}
	for _, grant := range grants.GetGrants() {
		s.apply(settings.ServiceName(grant.GetService()), sentAt, report.GetEpoch(), grant)
	}
}

func (s *Service) apply(name settings.ServiceName, sentAt time.Time, epoch uint64, grant *ejectionpb.Grant) {
	l := s.services[name]
	if l != nil && l.reporter.Apply(sentAt, epoch, grant) {
		l.set.Store(l.reporter.Set(s.options.Clock.Now(), l.settings))
	}
}

// handle serves the report of another host.
func (s *Service) handle(_ context.Context, from fleet.Identity, req proto.Message) (proto.Message, error) {
	report, ok := req.(*ejectionpb.Report)
	if !ok {
		return nil, fmt.Errorf("%w: unexpected message %T", peer.ErrRejected, req)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// Read the view only after the lock is held, because it may have changed while this call waited for the lock.
	view := s.options.Views.View()
	s.enterEpoch(view)
	if report.GetEpoch() != view.Epoch.Number {
		return nil, fmt.Errorf("%w: host is in epoch %d, sender in epoch %d", peer.ErrNotOwner, view.Epoch.Number, report.GetEpoch())
	}
	now := s.options.Clock.Now()
	if !view.ActiveAt(now) {
		return nil, peer.ErrInactive
	}
	grants := &ejectionpb.Grants{}
	for _, digest := range report.GetDigests() {
		name := settings.ServiceName(digest.GetService())
		arbiter := s.arbiter(view, now, name)
		if arbiter == nil {
			continue
		}
		if grant := arbiter.ProcessDigest(now, from, digest); grant != nil {
			grant.Service = digest.GetService()
			grants.Grants = append(grants.Grants, grant)
		}
	}
	return grants, nil
}

// arbiter returns this host's arbiter of a service and creates it if there is none. It returns nil if the host is not the
// owner of the service, holds no activity lease or does not know the service.
func (s *Service) arbiter(view *fleet.View, now time.Time, name settings.ServiceName) *Arbiter {
	l := s.services[name]
	if l == nil || !view.Owns(ownerKey(name)) || !view.ActiveAt(now) {
		return nil
	}
	arbiter := s.arbiters[name]
	if arbiter == nil {
		takeoverAt := view.LearnedAt.Add(previousArbiterTimeout)
		if takeoverAt.Before(view.TakeoverAt) {
			takeoverAt = view.TakeoverAt
		}
		arbiter = NewArbiter(now, takeoverAt, s.options.Arbiter)
		arbiter.SetService(l.settings)
		s.arbiters[name] = arbiter
	}
	return arbiter
}
