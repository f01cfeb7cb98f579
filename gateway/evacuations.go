package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/evacuation"
	"github.com/bronzeyard/bronzeyard/gateway/registry"
	"github.com/bronzeyard/bronzeyard/settings"
)

// EvacuationSource is a ConfigurationSource whose reads also return the evacuated data centres. No further call to the store is made
// for them.
type EvacuationSource interface {
	ConfigurationSource
	// ObserveEvacuations sets the function that receives the evacuated data centres of each successful read, before the read returns. It
	// is called before the first read. The function does not block.
	ObserveEvacuations(observe func(*evacuation.Read))
}

// followEvacuations makes the reads of the configuration update the evacuated data centres.
func (g *Gateway) followEvacuations() {
	source, ok := g.options.Configurations.(EvacuationSource)
	if !ok {
		return
	}
	g.readsEvacuations = true
	source.ObserveEvacuations(func(read *evacuation.Read) {
		transitions := g.router.evacuations.Apply(time.Now(), read)
		g.logEvacuations(transitions, read.Version, "")
		if len(transitions) > 0 {
			g.node.Announce() // hosts that do not poll the store learn it from this one
		}
	})
}

// awaitsEvacuations reports whether this host must not serve yet, because it does not know which data centres are evacuated.
func (g *Gateway) awaitsEvacuations() bool {
	return g.readsEvacuations && !g.router.evacuations.Known()
}

// receiveEvacuations applies the set of another host. As sets are absolute and versioned, those of datagrams that were delayed are
// applied too.
func (g *Gateway) receiveEvacuations(now time.Time, from string, state *evacuation.State) {
	if state == nil || !g.readsEvacuations {
		return
	}
	g.logEvacuations(g.router.evacuations.Receive(now, *state), state.Version, from)
}

// evacuationState returns the set to send to the other hosts, nil if it is not known.
func (g *Gateway) evacuationState(now time.Time) *evacuation.State {
	expired := g.router.evacuations.Expire(now)
	state, known := g.router.evacuations.Report()
	g.logEvacuations(expired, state.Version, "")
	if !known {
		return nil
	}
	return &state
}

// logEvacuations logs evacuations that begin or end at this host. from is the host that has reported them, empty for a read of the
// store by this host.
func (g *Gateway) logEvacuations(transitions []evacuation.Transition, version evacuation.Version, from string) {
	for _, transition := range transitions {
		event := "evacuation_ended"
		if transition.Evacuated {
			event = "evacuation_in_force"
		}
		line := g.logger.Info().Str("event", event).Str("data_centre", transition.DataCentre).Uint64("era", version.Era).
			Uint64("store_version", version.Position)
		if from != "" {
			line = line.Str("from", from)
		}
		line.Send()
	}
}

// availableUpstreams caches the upstreams of a service outside the evacuated data centres. The result keeps its identity while nothing
// changes, on which placement.Subset depends.
type availableUpstreams struct {
	mu     sync.Mutex
	view   *evacuation.View
	source []settings.Upstream
	chosen []settings.Upstream
}

// available returns the upstreams of a service that may receive requests: those outside the evacuated data centres.
func (r *router) available(s *serviceState, view *registry.View, service settings.ServiceName) []settings.Upstream {
	all, evacuated := view.Upstreams(service), r.evacuations.View()
	if len(all) == 0 || len(evacuated.DataCentres) == 0 || r.bounds().MaxEvacuationDelay <= 0 {
		return all
	}
	a := &s.available
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.view != evacuated || len(a.source) != len(all) || &a.source[0] != &all[0] {
		a.view, a.source = evacuated, all
		a.chosen = slices.DeleteFunc(slices.Clone(all), func(u settings.Upstream) bool { return evacuated.Contains(u.DataCentre) })
	}
	return a.chosen
}

// dispatchable returns the upstreams of a service whose slots dispatchers assign: those outside the evacuated data centres that are not
// cold. Requests to cold upstreams are limited by the hosts that send them, so that two dispatchers cannot exceed the limit.
func (r *router) dispatchable(now time.Time, view *registry.View, service settings.ServiceName) []settings.Upstream {
	all := r.available(r.service(service), view, service)
	limit := r.warmUpLimit(service)
	if !limit.Active() || !r.mayBeCold(now, &limit) {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(u settings.Upstream) bool { return r.coldUntil(&u, &limit).After(now) })
}

// isDispatchable reports whether a request may be sent to an upstream that a dispatcher has granted.
func (r *router) isDispatchable(now time.Time, service settings.ServiceName, u *settings.Upstream) bool {
	if r.bounds().MaxEvacuationDelay > 0 && r.evacuations.View().Contains(u.DataCentre) {
		return false
	}
	limit := r.warmUpLimit(service)
	return !limit.Active() || !r.mayBeCold(now, &limit) || !r.coldUntil(u, &limit).After(now)
}
