package settings

import (
	"strings"
	"sync"
)

// derived is what is computed from a tree once and handed on to the trees that Apply makes from it, as far as the edits
// left it unchanged. At the design target, computing it anew for each change would take 3% of a core.
type derivedState struct {
	mu sync.Mutex
	// valid is true once Validate has found no fault.
	valid bool
	// keys is the index of a valid tree.
	keys *keyIndex
	// scope is what Validate has to look at; nil for everything.
	scope *validationScope
	// parts are the effective services and routes by data centre.
	routingTables map[string]*routingTable
}

// scope is what the edits since a valid tree have touched.
type validationScope struct {
	// customers are the touched ones as they were in the valid tree, nil if they did not exist.
	customers map[string]*CustomerSpec
	// services are the names of the touched ones.
	services map[string]bool
	// collisions says whether routes may have been added or changed.
	routesChanged bool
	// policy says whether the fleet's branch was touched.
	policyChanged bool
	// keys is the index of the valid tree.
	keys *keyIndex
}

// NewTree returns an empty tree. Unlike new(Tree), it can hold what is derived from it.
func NewTree() *Tree { return &Tree{derived: new(derivedState)} }

// next returns what the tree after the edits can take over from the tree before.
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

// newScope returns nil if the edits may affect any branch.
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

// nextParts keeps the parts if no edit affects services, and exchanges upstreams if the edits affect nothing else.
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

// servicePart is the effective services and routes at one data centre.
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

// part returns the effective services and routes at a data centre.
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

// keyIndex returns the index of the keys.
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
