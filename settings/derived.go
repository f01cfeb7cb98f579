package settings

import (
	"strings"
	"sync"
)

// derivedState is computed once from a tree. Apply reuses in the new tree what the edits leave unchanged. At the design
// target, computing everything again for each change would take 3% of a core.
type derivedState struct {
	mu sync.Mutex
	// valid is true once Validate has found no error.
	valid bool
	// keys is the key index of a valid tree.
	keys *keyIndex
	// scope is the part of the tree that Validate has to check; nil for the whole tree.
	scope *validationScope
	// routingTables are the effective services and routes by data centre.
	routingTables map[string]*routingTable
}

// validationScope describes what has been edited since the tree was last valid.
type validationScope struct {
	// customers are the edited customers as they were in the valid tree, by id; nil if they did not exist.
	customers map[string]*CustomerSpec
	// services are the names of the edited services.
	services map[string]bool
	// routesChanged is true if routes may have been added or changed.
	routesChanged bool
	// policyChanged is true if the fleet's policy was edited.
	policyChanged bool
	// keys is the key index of the valid tree.
	keys *keyIndex
}

// NewTree returns an empty tree. Unlike new(Tree), it can hold derived state.
func NewTree() *Tree { return &Tree{derived: new(derivedState)} }

// afterEdits returns the derived state that the tree after the edits can reuse from the tree before.
func (d *derivedState) afterEdits(before, after *Tree, edits []Edit) *derivedState {
	state := new(derivedState)
	if d == nil {
		return state
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.valid {
		return state
	}
	state.scope = newValidationScope(before, edits, d.keys)
	state.routingTables = updateRoutingTables(d.routingTables, after, edits)
	return state
}

// newValidationScope returns nil if the edits may affect the whole tree.
func newValidationScope(before *Tree, edits []Edit, keys *keyIndex) *validationScope {
	s := &validationScope{customers: make(map[string]*CustomerSpec), services: make(map[string]bool), keys: keys}
	for i := range edits {
		names := strings.Split(edits[i].Path, "/")
		switch {
		case names[0] == "policy":
			s.policyChanged = true
		case names[0] == "customers" && len(names) > 1:
			s.customers[names[1]] = before.Customers[names[1]]
		case names[0] == "services" && len(names) > 1:
			s.services[names[1]] = true
			s.routesChanged = s.routesChanged || len(names) == 2 || names[2] == "routes"
		default:
			return nil
		}
	}
	return s
}

// updateRoutingTables keeps the tables if the edits only affect customers, and replaces the upstreams of the edited services
// if the edits affect nothing else. Otherwise it returns nil.
func updateRoutingTables(tables map[string]*routingTable, after *Tree, edits []Edit) map[string]*routingTable {
	changed := make(map[string]bool)
	for i := range edits {
		names := strings.Split(edits[i].Path, "/")
		if names[0] == "customers" {
			continue
		}
		if names[0] != "services" || len(names) < 3 || names[2] != "upstreams" {
			return nil
		}
		changed[names[1]] = true
	}
	updated := make(map[string]*routingTable, len(tables))
	for dataCentre, table := range tables {
		updated[dataCentre] = table.withUpstreams(after, changed)
	}
	return updated
}

// routingTable holds the effective services and routes at one data centre.
type routingTable struct {
	routes   *routeIndex
	services map[ServiceName]*Service
}

func (p *routingTable) withUpstreams(tree *Tree, changed map[string]bool) *routingTable {
	if len(changed) == 0 {
		return p
	}
	updated := &routingTable{routes: p.routes, services: make(map[ServiceName]*Service, len(p.services))}
	for name, service := range p.services {
		if changed[string(name)] {
			service = &Service{Name: name, Policy: service.Policy, Upstreams: effectiveUpstreams(tree.Services[string(name)].Upstreams)}
		}
		updated.services[name] = service
	}
	return updated
}

// routingTable returns the effective services and routes at a data centre and keeps them for the next call.
func (t *Tree) routingTable(dataCentre string) *routingTable {
	if t.derived == nil {
		return t.newRoutingTable(dataCentre)
	}
	t.derived.mu.Lock()
	defer t.derived.mu.Unlock()
	table := t.derived.routingTables[dataCentre]
	if table == nil {
		table = t.newRoutingTable(dataCentre)
		if t.derived.routingTables == nil {
			t.derived.routingTables = make(map[string]*routingTable)
		}
		t.derived.routingTables[dataCentre] = table
	}
	return table
}

// keyIndex returns the index of the keys. It computes the index if Validate has not done so.
func (t *Tree) keyIndex() *keyIndex {
	if t.derived != nil {
		t.derived.mu.Lock()
		keys := t.derived.keys
		t.derived.mu.Unlock()
		if keys != nil {
			return keys
		}
	}
	keys, _ := newKeyIndex(t.Customers)
	return keys
}
