package gateway

import (
	"github.com/bronzeyard/bronzeyard/gateway/registry"
	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// defaultHostsPerSlot is the default of Options.HostsPerSlot. From this number on, a host sees so few of the requests at an upstream
	// that its own count does not tell a free slot from a full one.
	defaultHostsPerSlot = 12.0
	// maxAssignedSlots is the number of slots of an upstream up to which they are assigned. An upstream with more slots serves one
	// request too many without much delay.
	maxAssignedSlots = 4
)

// slotCount is the largest number of slots of an upstream of a service, as of a view.
type slotCount struct {
	view  *registry.View
	slots int
}

// slotsOf returns the largest number of slots of an upstream of the service.
func (s *serviceState) slotsOf(view *registry.View, service settings.ServiceName) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots.view != view {
		s.slots = slotCount{view: view}
		for _, u := range view.Upstreams(service) {
			s.slots.slots = max(s.slots.slots, u.Slots)
		}
	}
	return s.slots.slots
}

// usesDispatchers reports whether dispatchers assign the slots of a service: requests of different priorities compete for upstreams with
// few slots, and the hosts outnumber the slots of each.
func (r *router) usesDispatchers(service settings.ServiceName) bool {
	if r.dispatching == nil || !r.dispatching() {
		return false
	}
	slots := r.service(service).slotsOf(r.registry.View(), service)
	return slots > 0 && slots <= maxAssignedSlots && float64(r.hostCount()) >= r.hostsPerSlot*float64(slots)
}
