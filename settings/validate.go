package settings

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Limits of single values.
const (
	maxTimeout      = time.Hour
	maxRequestBytes = 1 << 30
	maxAttempts     = 10
	maxQueueLength  = 100_000
	maxSlots        = 100_000
	maxRate         = 1e9
	maxURLPathBytes = 1024
	minStatus       = 400
	maxStatus       = 599
)

// level is the level of the tree at which a policy is set.
type level int

const (
	fleetLevel level = iota
	dataCentreLevel
	serviceLevel
	serviceDataCentreLevel
	routeLevel
)

type validator struct {
	errs []FieldError
}

func (v *validator) add(path, format string, args ...any) {
	v.errs = append(v.errs, FieldError{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (v *validator) require(holds bool, path, format string, args ...any) {
	if !holds {
		v.add(path, format, args...)
	}
}

// Validate returns an *InvalidError with all field errors of the tree, sorted by path, or nil. After Apply on a valid tree it
// checks only what the edits may have affected. A tree that was found valid must not be changed.
func (t *Tree) Validate() error {
	d := t.derived
	if d == nil {
		d = new(derivedState)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.valid {
		return nil
	}
	v := new(validator)
	var keys *keyIndex
	if d.scope == nil {
		keys = v.validateAll(t)
	} else {
		keys = v.validateScope(t, d.scope)
	}
	if len(v.errs) > 0 {
		return v.invalidError()
	}
	d.valid, d.scope, d.keys = true, nil, keys
	return nil
}

func (v *validator) invalidError() error {
	slices.SortFunc(v.errs, func(a, b FieldError) int {
		return cmp.Or(strings.Compare(a.Path, b.Path), strings.Compare(a.Reason, b.Reason))
	})
	return &InvalidError{FieldErrors: v.errs}
}

func (v *validator) validateAll(t *Tree) *keyIndex {
	v.policy(t.Policy, "policy", fleetLevel)
	v.dataCentres(t.DataCentres, "data_centres", dataCentreLevel)
	for name := range t.Services {
		v.service(t, name)
	}
	v.totals(t)
	v.routeCollisions(t)
	for id := range t.Customers {
		v.customer(t, id)
	}
	keys, collisions := newKeyIndex(t.Customers)
	v.keyCollisions(collisions)
	return keys
}

func (v *validator) validateScope(t *Tree, s *validationScope) *keyIndex {
	if s.policyChanged {
		v.policy(t.Policy, "policy", fleetLevel)
	}
	for name := range s.services {
		v.service(t, name)
	}
	if s.routesChanged {
		v.routeCollisions(t)
	}
	v.totals(t)
	for id := range s.customers {
		v.customer(t, id)
	}
	keys, collisions := s.keys.withChanges(s.customers, t.Customers)
	v.keyCollisions(collisions)
	return keys
}

func (v *validator) dataCentres(dataCentres map[string]*DataCentreSpec, path string, at level) {
	for name, spec := range dataCentres {
		childPath := path + "/" + name
		v.require(IsName(name), childPath, "%q is not a valid name", name)
		if spec == nil {
			v.add(childPath, "must not be null")
			continue
		}
		v.policy(spec.Policy, childPath+"/policy", at)
	}
}

// service checks a service and everything below it, if the service exists.
func (v *validator) service(t *Tree, name string) {
	service, found := t.Services[name]
	if !found {
		return
	}
	path := "services/" + name
	v.require(IsName(name), path, "%q is not a valid name", name)
	if service == nil {
		v.add(path, "must not be null")
		return
	}
	v.policy(service.Policy, path+"/policy", serviceLevel)
	v.dataCentres(service.DataCentres, path+"/data_centres", serviceDataCentreLevel)
	for dataCentre := range service.DataCentres {
		v.require(t.DataCentres[dataCentre] != nil, path+"/data_centres/"+dataCentre, "the data centre is not declared in data_centres")
	}
	v.upstreams(t, service.Upstreams, path+"/upstreams")
	v.routes(service.Routes, path+"/routes")
}

func (v *validator) totals(t *Tree) {
	upstreams, routes := 0, 0
	for _, service := range t.Services {
		if service != nil {
			upstreams += len(service.Upstreams)
			routes += len(service.Routes)
		}
	}
	v.require(len(t.Services) <= MaxServices, "services", "%d services, at most %d are allowed", len(t.Services), MaxServices)
	v.require(upstreams <= MaxUpstreams, "services", "%d upstreams, at most %d are allowed", upstreams, MaxUpstreams)
	v.require(routes <= MaxRoutes, "services", "%d routes, at most %d are allowed", routes, MaxRoutes)
	v.require(len(t.Customers) <= MaxCustomers, "customers", "%d customers, at most %d are allowed", len(t.Customers), MaxCustomers)
}

// routeCollisions reports routes with the same host, path prefix and method.
func (v *validator) routeCollisions(t *Tree) {
	routes := make(map[routeKey]string)
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		service := t.Services[name]
		if service == nil {
			continue
		}
		for _, routeName := range slices.Sorted(maps.Keys(service.Routes)) {
			if route := service.Routes[routeName]; route != nil {
				v.checkRouteUnique(route, "services/"+name+"/routes/"+routeName, routes)
			}
		}
	}
}

func (v *validator) upstreams(t *Tree, upstreams map[string]*UpstreamSpec, path string) {
	byAddress := make(map[string]string, len(upstreams))
	for _, id := range slices.Sorted(maps.Keys(upstreams)) {
		upstream, childPath := upstreams[id], path+"/"+id
		v.require(IsName(id), childPath, "%q is not a valid name", id)
		if upstream == nil {
			v.add(childPath, "must not be null")
			continue
		}
		address, err := netip.ParseAddrPort(upstream.Address)
		v.require(err == nil && address.Port() != 0, childPath+"/address", "%q is not an IP address and port", upstream.Address)
		if other, found := byAddress[address.String()]; found && err == nil {
			v.add(childPath+"/address", "%s is also the address of upstream %q", upstream.Address, other)
		}
		byAddress[address.String()] = id
		v.require(t.DataCentres[upstream.DataCentre] != nil, childPath+"/data_centre", "%q is not declared in data_centres", upstream.DataCentre)
		v.require(upstream.Slots >= 1 && upstream.Slots <= maxSlots, childPath+"/slots",
			"%d is not in the range 1 to %d", upstream.Slots, maxSlots)
		v.require(upstream.Connections >= 1 && upstream.Connections <= maxSlots, childPath+"/connections",
			"%d is not in the range 1 to %d", upstream.Connections, maxSlots)
	}
}

// routeKey identifies the requests that a route matches. It must be unique.
type routeKey struct{ host, prefix, method string }

func (v *validator) routes(routes map[string]*RouteSpec, path string) {
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		route, childPath := routes[name], path+"/"+name
		v.require(IsName(name), childPath, "%q is not a valid name", name)
		if route == nil {
			v.add(childPath, "must not be null")
			continue
		}
		v.require(route.Host == "" || isHostName(route.Host), childPath+"/host", "%q is not a host name in lower case", route.Host)
		v.require(isPathPrefix(route.PathPrefix), childPath+"/path_prefix",
			"%q does not start with \"/\" or has an empty, \".\" or \"..\" segment, \"?\" or \"#\"", route.PathPrefix)
		v.require(len(route.Methods) <= MaxMethods, childPath+"/methods", "at most %d methods are allowed", MaxMethods)
		v.policy(route.Policy, childPath+"/policy", routeLevel)
		for _, method := range route.Methods {
			v.require(isMethod(method), childPath+"/methods", "%q is not an HTTP method in capital letters", method)
		}
	}
}

func (v *validator) checkRouteUnique(route *RouteSpec, path string, routes map[routeKey]string) {
	key := routeKey{host: route.Host, prefix: trimTrailingSlashes(route.PathPrefix)}
	if len(route.Methods) == 0 {
		v.checkUnique(key, path, routes)
	}
	for _, method := range route.Methods {
		key.method = method
		v.checkUnique(key, path, routes)
	}
}

func (v *validator) checkUnique(key routeKey, path string, routes map[routeKey]string) {
	if other, found := routes[key]; found {
		v.add(path, "has the same host, path prefix and method as %s", other)
		return
	}
	routes[key] = path
}

func isMethod(text string) bool {
	return text != "" && len(text) <= MaxNameBytes && strings.Trim(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") == ""
}

func isHostName(text string) bool {
	return len(text) <= 253 && strings.Trim(text, "abcdefghijklmnopqrstuvwxyz0123456789.-") == ""
}

func isPathPrefix(text string) bool {
	if !strings.HasPrefix(text, "/") || len(text) > maxURLPathBytes || strings.ContainsAny(text, "?#\\ \r\n\t\x00") {
		return false
	}
	for segment := range strings.SplitSeq(strings.Trim(text, "/"), "/") {
		if segment == "." || segment == ".." || segment == "" && strings.Trim(text, "/") != "" {
			return false
		}
	}
	return !strings.HasPrefix(text, "//") && !strings.HasSuffix(text, "//")
}

func (v *validator) keyCollisions(collisions []keyCollision) {
	for _, c := range collisions {
		v.add("customers/"+c.second+"/keys", "the hash of a key has the same first 8 bytes as the hash of a key of customer %q", c.first)
	}
}

// customer checks a customer, if it exists.
func (v *validator) customer(t *Tree, id string) {
	customer, found := t.Customers[id]
	switch {
	case !found:
	case customer == nil:
		v.add("customers/"+id, "must not be null")
	case !IsName(id) || customer.invalidField() != "":
		v.customerFields(id, customer)
	}
}

// invalidField returns the name of the first invalid field of the customer, or "". It allocates nothing for a valid
// customer.
func (c *CustomerSpec) invalidField() string {
	switch {
	case !(c.Rate > 0 && c.Rate <= maxRate):
		return "rate"
	case !(c.Burst >= 1 && c.Burst <= maxRate):
		return "burst"
	case !(c.Weight >= 0 && c.Weight <= maxRate):
		return "weight"
	case len(c.Keys) > MaxKeysPerCustomer:
		return "keys"
	}
	for i := range c.Keys {
		if !IsName(c.Keys[i].ID) || c.Keys[i].Hash == (KeyHash{}) {
			return "key"
		}
	}
	return ""
}

func (v *validator) customerFields(id string, c *CustomerSpec) {
	path := "customers/" + id
	v.require(IsName(id), path, "%q is not a valid name", id)
	v.require(c.Rate > 0 && c.Rate <= maxRate, path+"/rate", "%g/s must be more than 0/s and at most %g/s", float64(c.Rate), maxRate)
	v.require(c.Burst >= 1 && c.Burst <= maxRate, path+"/burst", "%g is not in the range 1 to %g", c.Burst, maxRate)
	v.require(c.Weight >= 0 && c.Weight <= maxRate, path+"/weight", "%g is not in the range 0 to %g", c.Weight, maxRate)
	v.require(len(c.Keys) <= MaxKeysPerCustomer, path+"/keys", "%d keys, at most %d are allowed", len(c.Keys), MaxKeysPerCustomer)
	for i := range c.Keys {
		childPath := path + "/keys/" + c.Keys[i].ID
		v.require(IsName(c.Keys[i].ID), childPath, "%q is not a valid name", c.Keys[i].ID)
		v.require(c.Keys[i].Hash != (KeyHash{}), childPath+"/hash", "is missing")
	}
}

func (v *validator) policy(spec *PolicySpec, path string, at level) {
	if spec == nil {
		return
	}
	v.allowedLevels(spec, path, at)
	inRange(v, spec.Timeout, path+"/timeout", 0, Duration(maxTimeout))
	inRange(v, spec.MaxRequestBytes, path+"/max_request_bytes", 0, maxRequestBytes)
	inRange(v, spec.MaxAttempts, path+"/max_attempts", 0, maxAttempts)
	inRange(v, spec.HedgeAfter, path+"/hedge_after", -1, Duration(maxTimeout))
	inRange(v, spec.QueueLength, path+"/queue_length", -1, maxQueueLength)
	if f := spec.Floor; f != nil {
		v.require(!math.IsNaN(*f) && *f >= 0 && *f <= 1, path+"/floor", "%g is not in the range 0 to 1", *f)
	}
	if m := spec.OperationID; m != nil {
		v.require(*m == OperationIDRequired || *m == OperationIDOptional, path+"/operation_id", "%q is not \"required\" or \"optional\"", *m)
	}
	if m := spec.Claims; m != nil {
		v.require(*m == ClaimsInMemory || *m == ClaimsInTable || *m == ClaimsAuto, path+"/claims",
			"%q is not \"memory\", \"table\" or \"auto\"", *m)
		v.require(*m == ClaimsInMemory || spec.ClaimsSince != nil, path+"/claims_since", "is required with claims %q: a time "+
			"in RFC 3339, not before the change is active", *m)
	}
	v.statuses(spec.ShedStatuses, path+"/shed_statuses")
	v.statuses(spec.NotRunStatuses, path+"/not_run_statuses")
	v.header(spec.LoadHeader, path+"/load_header")
	v.header(spec.DrainHeader, path+"/drain_header")
	if spec.HealthPath != nil {
		v.require(isPathPrefix(*spec.HealthPath), path+"/health_path", "%q is not an absolute path", *spec.HealthPath)
	}
}

// allowedLevels rejects values that are set at a level to which they do not apply.
func (v *validator) allowedLevels(spec *PolicySpec, path string, at level) {
	if spec.Floor != nil {
		v.require(at == fleetLevel || at == serviceLevel, path+"/floor",
			"must have one value per service in the whole fleet; set it on the service or at the fleet level")
	}
	perService := []struct {
		set  bool
		name string
	}{
		{spec.QueueLength != nil, "queue_length"},
		{spec.ShedStatuses != nil, "shed_statuses"},
		{spec.LoadHeader != nil, "load_header"},
		{spec.DrainHeader != nil, "drain_header"},
		{spec.HealthPath != nil, "health_path"},
	}
	for _, value := range perService {
		v.require(!value.set || at != routeLevel, path+"/"+value.name, "applies to a whole service; set it on the service")
	}
}

// inRange requires a value that is more than lower and at most upper, if it is set.
func inRange[T ~int | ~int64](v *validator, value *T, path string, lower, upper T) {
	if value != nil {
		v.require(*value > lower && *value <= upper, path, "%v is not in the allowed range up to %v", displayValue(*value), displayValue(upper))
	}
}

// displayValue returns a value that is formatted with its unit.
func displayValue(value any) any {
	if d, ok := value.(Duration); ok {
		return time.Duration(d)
	}
	return value
}

func (v *validator) statuses(statuses *[]int, path string) {
	if statuses == nil {
		return
	}
	v.require(len(*statuses) <= MaxStatuses, path, "at most %d statuses are allowed", MaxStatuses)
	for _, status := range *statuses {
		v.require(status >= minStatus && status <= maxStatus, path, "%d is not in the range %d to %d", status, minStatus, maxStatus)
	}
}

func (v *validator) header(name *string, path string) {
	if name != nil {
		v.require(IsName(*name), path, "%q is not a header name", *name)
	}
}
