package settings

import (
	"strings"
	"sync"
)

// derived is what is computed from a tree once and handed on to the trees that Apply makes from it, as far as the edits
// left it unchanged. At the design target, computing it anew for each change would take 3% of a core.
type derived struct {
	mu sync.Mutex
	// valid is true once Validate has found no fault.
	valid bool
	// keys is the index of a valid tree.
	keys *keyIndex
	// scope is what Validate has to look at; nil for everything.
	scope *scope
	// parts are the effective services and routes by data centre.
	parts map[string]*servicePart
}

// scope is what the edits since a valid tree have touched.
type scope struct {
	// customers are the touched ones as they were in the valid tree, nil if they did not exist.
	customers map[string]*CustomerSpec
	// services are the names of the touched ones.
	services map[string]bool
	// collisions says whether routes may have been added or changed.
	collisions bool
	// policy says whether the fleet's branch was touched.
	policy bool
	// keys is the index of the valid tree.
	keys *keyIndex
}

// NewTree returns an empty tree. Unlike new(Tree), it can hold what is derived from it.
func NewTree() *Tree { return &Tree{derived: new(derived)} }

// next returns what the tree after the edits can take over from the tree before.
func (d *derived) next(before, after *Tree, edits []Edit) *derived {
	fresh := new(derived)
	if d == nil {
		return fresh
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.valid {
		return fresh
	}
	fresh.scope = newScope(before, edits, d.keys)
	fresh.parts = nextParts(d.parts, after, edits)
	return fresh
}

// newScope returns nil if the edits may affect any branch.
func newScope(before *Tree, edits []Edit, keys *keyIndex) *scope {
	s := &scope{customers: make(map[string]*CustomerSpec), services: make(map[string]bool), keys: keys}
	for i := range edits {
		names := strings.Split(edits[i].Path, "/")
		switch {
		case names[0] == "policy":
			s.policy = true
		case names[0] == "customers" && len(names) > 1:
			s.customers[names[1]] = before.Customers[names[1]]
		case names[0] == "services" && len(names) > 1:
			s.services[names[1]] = true
			s.collisions = s.collisions || len(names) == 2 || names[2] == "routes"
		default:
			return nil
		}
	}
	return s
}

// nextParts keeps the parts if no edit affects services, and exchanges upstreams if the edits affect nothing else.
func nextParts(parts map[string]*servicePart, after *Tree, edits []Edit) map[string]*servicePart {
	touched := make(map[string]bool)
	for i := range edits {
		names := strings.Split(edits[i].Path, "/")
		if names[0] == "customers" {
			continue
		}
		if names[0] != "services" || len(names) < 3 || names[2] != "upstreams" {
			return nil
		}
		touched[names[1]] = true
	}
	fresh := make(map[string]*servicePart, len(parts))
	for dataCentre, part := range parts {
		fresh[dataCentre] = part.withUpstreams(after, touched)
	}
	return fresh
}

// servicePart is the effective services and routes at one data centre.
type servicePart struct {
	routes   *routeIndex
	services map[ServiceName]*Service
}

func (p *servicePart) withUpstreams(tree *Tree, touched map[string]bool) *servicePart {
	if len(touched) == 0 {
		return p
	}
	fresh := &servicePart{routes: p.routes, services: make(map[ServiceName]*Service, len(p.services))}
	for name, service := range p.services {
		if touched[string(name)] {
			service = &Service{Name: name, Policy: service.Policy, Upstreams: effectiveUpstreams(tree.Services[string(name)].Upstreams)}
		}
		fresh.services[name] = service
	}
	return fresh
}

// part returns the effective services and routes at a data centre.
func (t *Tree) part(dataCentre string) *servicePart {
	if t.derived == nil {
		return t.newPart(dataCentre)
	}
	t.derived.mu.Lock()
	defer t.derived.mu.Unlock()
	part := t.derived.parts[dataCentre]
	if part == nil {
		part = t.newPart(dataCentre)
		if t.derived.parts == nil {
			t.derived.parts = make(map[string]*servicePart)
		}
		t.derived.parts[dataCentre] = part
	}
	return part
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
