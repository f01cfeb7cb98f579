package settings

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"
)

// DefaultPolicy returns the policy of a route for which no level sets any value. Idempotent is determined by the method.
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

// policySource is the policy that is set at one level, and its path.
type policySource struct {
	path   string
	policy *PolicySpec
}

// overlay overrides the values of p that spec sets.
func overlay(p *Policy, spec *PolicySpec) {
	if spec == nil {
		return
	}
	override(&p.Timeout, (*time.Duration)(spec.Timeout))
	override(&p.Idempotent, spec.Idempotent)
	override(&p.OperationID, spec.OperationID)
	override(&p.Claims, spec.Claims)
	override(&p.ClaimsSince, spec.ClaimsSince)
	override(&p.Open, spec.Open)
	override(&p.MaxRequestBytes, (*int64)(spec.MaxRequestBytes))
	override(&p.MaxAttempts, spec.MaxAttempts)
	override(&p.HedgeAfter, (*time.Duration)(spec.HedgeAfter))
	override(&p.QueueLength, spec.QueueLength)
	override(&p.Floor, spec.Floor)
	override(&p.ShedStatuses, spec.ShedStatuses)
	override(&p.NotRunStatuses, spec.NotRunStatuses)
	override(&p.LoadHeader, spec.LoadHeader)
	override(&p.DrainHeader, spec.DrainHeader)
	override(&p.HealthPath, spec.HealthPath)
}

func override[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}

// Snapshot computes the effective settings at a data centre. The data centre may be undeclared, in which case only the
// fleet, service and route levels apply. The tree must be valid.
func (t *Tree) Snapshot(revision uint64, dataCentre string) (*Snapshot, error) {
	return &Snapshot{Revision: revision, routing: t.routingTable(dataCentre), customers: t.Customers, keys: t.keyIndex()}, nil
}

// newRoutingTable computes the effective services and routes at a data centre.
func (t *Tree) newRoutingTable(dataCentre string) *routingTable {
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
	return newRoutingTable(routes, services)
}

func effectiveService(name ServiceName, spec *ServiceSpec, base Policy, dataCentre string, t *Tree) (Service, []Route) {
	policy := base
	overlay(&policy, spec.Policy)
	if at := spec.DataCentres[dataCentre]; at != nil {
		overlay(&policy, at.Policy)
	}
	idempotentSet := slices.ContainsFunc(t.serviceSources(string(name), dataCentre), setsIdempotent)
	routes := make([]Route, 0, len(spec.Routes))
	for routeName, route := range spec.Routes {
		effective := Route{
			Name: routeName, Service: name, Host: route.Host, PathPrefix: route.PathPrefix, Methods: route.Methods,
			Policy: policy, IdempotentSet: idempotentSet || setsIdempotent(policySource{policy: route.Policy}),
		}
		overlay(&effective.Policy, route.Policy)
		routes = append(routes, effective)
	}
	return Service{Name: name, Upstreams: effectiveUpstreams(spec.Upstreams), Policy: policy}, routes
}

func setsIdempotent(p policySource) bool { return p.policy != nil && p.policy.Idempotent != nil }

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

// effectiveCustomer returns the effective customer. Its result is cached and shared between goroutines.
func (c *CustomerSpec) effectiveCustomer(id CustomerID) *Customer {
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

// serviceSources returns the policies that apply to a service at a data centre, in ascending order of precedence. If the
// service does not exist, they are those of the fleet and the data centre.
func (t *Tree) serviceSources(service, dataCentre string) []policySource {
	sources := []policySource{{path: "policy", policy: t.Policy}}
	if at := t.DataCentres[dataCentre]; at != nil {
		sources = append(sources, policySource{path: "data_centres/" + dataCentre + "/policy", policy: at.Policy})
	}
	if spec := t.Services[service]; spec != nil {
		path := "services/" + service
		sources = append(sources, policySource{path: path + "/policy", policy: spec.Policy})
		if at := spec.DataCentres[dataCentre]; at != nil {
			sources = append(sources, policySource{path: path + "/data_centres/" + dataCentre + "/policy", policy: at.Policy})
		}
	}
	return sources
}

// EffectiveValue is one effective policy value and the level that sets it.
type EffectiveValue struct {
	// Field is the member's name in a policy.
	Field string `json:"field"`
	// Value is encoded as JSON, with its unit.
	Value json.RawMessage `json:"value"`
	// Branch is the path of the policy that sets the value. If there is none, it is BranchMethod for idempotent and
	// BranchDefault for other fields.
	Branch string `json:"branch"`
	// Overridden are the paths of the policies of lower precedence that also set a value, the highest precedence first.
	Overridden []string `json:"overridden,omitempty"`
}

// Values of EffectiveValue.Branch for values that are not set in the tree.
const (
	BranchDefault = "default"
	BranchMethod  = "method"
)

// Explain returns each effective policy value at a path for a data centre, and the path of the policy that sets it. The
// path is "" (the fleet), "data_centres/NAME", "services/NAME", "services/NAME/data_centres/NAME" or
// "services/NAME/routes/NAME"; a data centre in the path takes precedence over the argument. Explain returns an
// *InvalidError for a path that does not exist.
func (t *Tree) Explain(path, dataCentre string) ([]EffectiveValue, error) {
	sources, err := t.policySources(strings.Trim(path, "/"), dataCentre)
	if err != nil {
		return nil, err
	}
	defaults := policySpecOf(DefaultPolicy())
	var explained []EffectiveValue
	for i := range reflect.TypeFor[PolicySpec]().NumField() {
		field, err := explainField(i, sources, defaults)
		if err != nil {
			return nil, err
		}
		explained = append(explained, field)
	}
	return explained, nil
}

func explainField(index int, sources []policySource, defaults *PolicySpec) (EffectiveValue, error) {
	name, _, _ := strings.Cut(reflect.TypeFor[PolicySpec]().Field(index).Tag.Get("json"), ",")
	explained := EffectiveValue{Field: name, Branch: BranchDefault}
	value := reflect.ValueOf(defaults).Elem().Field(index)
	decidedByMethod := name == "idempotent"
	if decidedByMethod {
		explained.Branch = BranchMethod
	}
	for _, source := range sources {
		if source.policy == nil || reflect.ValueOf(source.policy).Elem().Field(index).IsNil() {
			continue
		}
		if explained.Branch != BranchDefault && explained.Branch != BranchMethod {
			explained.Overridden = slices.Insert(explained.Overridden, 0, explained.Branch)
		}
		explained.Branch = source.path
		value = reflect.ValueOf(source.policy).Elem().Field(index)
	}
	if value.IsNil() && decidedByMethod {
		explained.Value = json.RawMessage(`"by method"`)
		return explained, nil
	}
	encoded, err := json.Marshal(value.Interface())
	explained.Value = encoded
	return explained, err
}

// policySpecOf returns a spec that sets every value of a policy that has a default.
func policySpecOf(p Policy) *PolicySpec {
	empty := []int{}
	spec := &PolicySpec{
		Timeout: (*Duration)(&p.Timeout), OperationID: &p.OperationID, Claims: &p.Claims, Open: &p.Open,
		MaxRequestBytes: (*Bytes)(&p.MaxRequestBytes), MaxAttempts: &p.MaxAttempts, HedgeAfter: (*Duration)(&p.HedgeAfter),
		QueueLength: &p.QueueLength, Floor: &p.Floor, ShedStatuses: &p.ShedStatuses, NotRunStatuses: &empty,
		LoadHeader: &p.LoadHeader, DrainHeader: &p.DrainHeader, HealthPath: &p.HealthPath,
	}
	return spec
}

func (t *Tree) policySources(path, dataCentre string) ([]policySource, error) {
	var names []string
	if path != "" {
		parsed, err := ParsePath(path)
		if err != nil {
			return nil, err
		}
		names = parsed
	}
	matches := func(collections ...string) bool {
		if len(names) != 2*len(collections) {
			return false
		}
		for i, part := range collections {
			if names[2*i] != part {
				return false
			}
		}
		return true
	}
	switch {
	case len(names) == 0:
		return t.serviceSources("", dataCentre), nil
	case matches("data_centres") && t.DataCentres[names[1]] != nil:
		return t.serviceSources("", names[1]), nil
	case matches("services") && t.Services[names[1]] != nil:
		return t.serviceSources(names[1], dataCentre), nil
	case matches("services", "data_centres") && t.Services[names[1]] != nil && t.DataCentres[names[3]] != nil:
		return t.serviceSources(names[1], names[3]), nil
	case matches("services", "routes") && t.Services[names[1]] != nil && t.Services[names[1]].Routes[names[3]] != nil:
		route := policySource{path: path + "/policy", policy: t.Services[names[1]].Routes[names[3]].Policy}
		return append(t.serviceSources(names[1], dataCentre), route), nil
	default:
		return nil, invalid(path, "is not the path of an existing data centre, service or route")
	}
}
