package settings

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"
)

// DefaultPolicy returns the policy of a route for which no branch states anything. Idempotent is left to the method.
func DefaultPolicy() Policy {
	return Policy{
		Timeout:         5 * time.Second,
		OperationID:     OperationIDRequired,
		Claims:          ClaimsInMemory,
		MaxRequestBytes: 1 << 20,
		MaxAttempts:     3,
		QueueLength:     64,
		Floor:           0.5,
		ShedStatuses:    []int{503},
		LoadHeader:      "X-Load",
		DrainHeader:     "X-Draining",
		HealthPath:      "/healthz",
	}
}

// place is a branch and its path.
type place struct {
	path   string
	branch *PolicySpec
}

// overlay replaces what the branch states.
func overlay(p *Policy, b *PolicySpec) {
	if b == nil {
		return
	}
	replace(&p.Timeout, (*time.Duration)(b.Timeout))
	replace(&p.Idempotent, b.Idempotent)
	replace(&p.OperationID, b.OperationID)
	replace(&p.Claims, b.Claims)
	replace(&p.ClaimsSince, b.ClaimsSince)
	replace(&p.Open, b.Open)
	replace(&p.MaxRequestBytes, (*int64)(b.MaxRequestBytes))
	replace(&p.MaxAttempts, b.MaxAttempts)
	replace(&p.HedgeAfter, (*time.Duration)(b.HedgeAfter))
	replace(&p.QueueLength, b.QueueLength)
	replace(&p.Floor, b.Floor)
	replace(&p.ShedStatuses, b.ShedStatuses)
	replace(&p.NotRunStatuses, b.NotRunStatuses)
	replace(&p.LoadHeader, b.LoadHeader)
	replace(&p.DrainHeader, b.DrainHeader)
	replace(&p.HealthPath, b.HealthPath)
}

func replace[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}

// Snapshot computes the effective settings at a data centre. The data centre may be undeclared, in which case only the
// fleet, service and route levels apply. The tree must be valid.
func (t *Tree) Snapshot(revision uint64, dataCentre string) (*Snapshot, error) {
	return &Snapshot{Revision: revision, part: t.part(dataCentre), customers: t.Customers, keys: t.keyIndex()}, nil
}

// newPart computes the effective services and routes.
func (t *Tree) newPart(dataCentre string) *servicePart {
	base := DefaultPolicy()
	overlay(&base, t.Policy)
	if at := t.DataCentres[dataCentre]; at != nil {
		overlay(&base, at.Policy)
	}
	var routes []Route
	services := make([]Service, 0, len(t.Services))
	for name, spec := range t.Services {
		service, serviceRoutes := effectiveService(ServiceName(name), spec, base, dataCentre, t)
		services = append(services, service)
		routes = append(routes, serviceRoutes...)
	}
	return newServicePart(routes, services)
}

func effectiveService(name ServiceName, spec *ServiceSpec, base Policy, dataCentre string, t *Tree) (Service, []Route) {
	policy := base
	overlay(&policy, spec.Policy)
	if at := spec.DataCentres[dataCentre]; at != nil {
		overlay(&policy, at.Policy)
	}
	idempotentSet := slices.ContainsFunc(t.servicePlaces(string(name), dataCentre), statesIdempotent)
	routes := make([]Route, 0, len(spec.Routes))
	for routeName, route := range spec.Routes {
		effective := Route{
			Name: routeName, Service: name, Host: route.Host, PathPrefix: route.PathPrefix, Methods: route.Methods,
			Policy: policy, IdempotentSet: idempotentSet || statesIdempotent(place{branch: route.Policy}),
		}
		overlay(&effective.Policy, route.Policy)
		routes = append(routes, effective)
	}
	return Service{Name: name, Upstreams: effectiveUpstreams(spec.Upstreams), Policy: policy}, routes
}

func statesIdempotent(p place) bool { return p.branch != nil && p.branch.Idempotent != nil }

func effectiveUpstreams(specs map[string]*UpstreamSpec) []Upstream {
	upstreams := make([]Upstream, 0, len(specs))
	for _, id := range slices.Sorted(maps.Keys(specs)) {
		spec := specs[id]
		upstreams = append(upstreams, Upstream{
			ID: UpstreamID(id), Address: spec.Address, DataCentre: spec.DataCentre,
			Slots: spec.Slots, Connections: spec.Connections, Leaving: spec.Leaving,
		})
	}
	return upstreams
}

// customer returns the effective customer.
func (c *CustomerSpec) customer(id CustomerID) *Customer {
	if cached := c.effective.Load(); cached != nil && cached.ID == id {
		return cached
	}
	customer := &Customer{ID: id, Rate: float64(c.Rate), Burst: c.Burst, Weight: c.Weight}
	if customer.Weight == 0 {
		customer.Weight = 1
	}
	for i := range c.Keys {
		if key := &c.Keys[i]; key.Withdrawn == 0 {
			customer.Keys = append(customer.Keys, Key{ID: key.ID, Hash: key.Hash})
		}
	}
	if !c.effective.CompareAndSwap(nil, customer) {
		if cached := c.effective.Load(); cached.ID == id {
			return cached
		}
	}
	return customer
}

// servicePlaces returns the branches that apply to a service at a data centre, in rising precedence.
func (t *Tree) servicePlaces(service, dataCentre string) []place {
	places := []place{{path: "policy", branch: t.Policy}}
	if at := t.DataCentres[dataCentre]; at != nil {
		places = append(places, place{path: "data_centres/" + dataCentre + "/policy", branch: at.Policy})
	}
	if spec := t.Services[service]; spec != nil {
		path := "services/" + service
		places = append(places, place{path: path + "/policy", branch: spec.Policy})
		if at := spec.DataCentres[dataCentre]; at != nil {
			places = append(places, place{path: path + "/data_centres/" + dataCentre + "/policy", branch: at.Policy})
		}
	}
	return places
}

// Explained is one effective value and where it comes from.
type EffectiveValue struct {
	// Field is the member's name in a policy.
	Field string `json:"field"`
	// Value is JSON with units.
	Value json.RawMessage `json:"value"`
	// Branch is the path of the policy that states the value; "default" if none does, "method" for idempotent by default.
	Branch string `json:"branch"`
	// Overridden are the branches of lower precedence that also state a value, the nearest first.
	Overridden []string `json:"overridden,omitempty"`
}

// Branches that are not in the tree.
const (
	BranchDefault = "default"
	BranchMethod  = "method"
)

// Explain returns each effective policy value at a path for a data centre and the branch from which it comes. The path
// is "" (the fleet), "data_centres/NAME", "services/NAME", "services/NAME/data_centres/NAME" or
// "services/NAME/routes/NAME"; a data centre in the path goes before the argument. It returns an *InvalidError for a path
// that does not exist.
func (t *Tree) Explain(path, dataCentre string) ([]EffectiveValue, error) {
	places, err := t.places(strings.Trim(path, "/"), dataCentre)
	if err != nil {
		return nil, err
	}
	defaults := branchOf(DefaultPolicy())
	var explained []EffectiveValue
	for i := range reflect.TypeFor[PolicySpec]().NumField() {
		field, err := explainField(i, places, defaults)
		if err != nil {
			return nil, err
		}
		explained = append(explained, field)
	}
	return explained, nil
}

func explainField(index int, places []place, defaults *PolicySpec) (EffectiveValue, error) {
	name, _, _ := strings.Cut(reflect.TypeFor[PolicySpec]().Field(index).Tag.Get("json"), ",")
	explained := EffectiveValue{Field: name, Branch: BranchDefault}
	value := reflect.ValueOf(defaults).Elem().Field(index)
	decidedByMethod := name == "idempotent"
	if decidedByMethod {
		explained.Branch = BranchMethod
	}
	for _, p := range places {
		if p.branch == nil || reflect.ValueOf(p.branch).Elem().Field(index).IsNil() {
			continue
		}
		if explained.Branch != BranchDefault && explained.Branch != BranchMethod {
			explained.Overridden = slices.Insert(explained.Overridden, 0, explained.Branch)
		}
		explained.Branch = p.path
		value = reflect.ValueOf(p.branch).Elem().Field(index)
	}
	if value.IsNil() && decidedByMethod {
		explained.Value = json.RawMessage(`"by method"`)
		return explained, nil
	}
	encoded, err := json.Marshal(value.Interface())
	explained.Value = encoded
	return explained, err
}

// branchOf states every value of a policy that has a default.
func branchOf(p Policy) *PolicySpec {
	empty := []int{}
	b := &PolicySpec{
		Timeout: (*Duration)(&p.Timeout), OperationID: &p.OperationID, Claims: &p.Claims, Open: &p.Open,
		MaxRequestBytes: (*Bytes)(&p.MaxRequestBytes), MaxAttempts: &p.MaxAttempts, HedgeAfter: (*Duration)(&p.HedgeAfter),
		QueueLength: &p.QueueLength, Floor: &p.Floor, ShedStatuses: &p.ShedStatuses, NotRunStatuses: &empty,
		LoadHeader: &p.LoadHeader, DrainHeader: &p.DrainHeader, HealthPath: &p.HealthPath,
	}
	return b
}

func (t *Tree) places(path, dataCentre string) ([]place, error) {
	var names []string
	if path != "" {
		parsed, err := ParsePath(path)
		if err != nil {
			return nil, err
		}
		names = parsed
	}
	shape := func(parts ...string) bool {
		if len(names) != 2*len(parts) {
			return false
		}
		for i, part := range parts {
			if names[2*i] != part {
				return false
			}
		}
		return true
	}
	switch {
	case len(names) == 0:
		return t.servicePlaces("", dataCentre), nil
	case shape("data_centres") && t.DataCentres[names[1]] != nil:
		return t.servicePlaces("", names[1]), nil
	case shape("services") && t.Services[names[1]] != nil:
		return t.servicePlaces(names[1], dataCentre), nil
	case shape("services", "data_centres") && t.Services[names[1]] != nil && t.DataCentres[names[3]] != nil:
		return t.servicePlaces(names[1], names[3]), nil
	case shape("services", "routes") && t.Services[names[1]] != nil && t.Services[names[1]].Routes[names[3]] != nil:
		route := place{path: path + "/policy", branch: t.Services[names[1]].Routes[names[3]].Policy}
		return append(t.servicePlaces(names[1], dataCentre), route), nil
	default:
		return nil, invalid(path, "is no fleet, data centre, service or route that exists")
	}
}
