package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"time"
)

// CustomerID identifies a customer.
type CustomerID string

// ServiceName identifies a service.
type ServiceName string

// UpstreamID identifies an upstream within its service.
type UpstreamID string

// OperationIDMode determines whether requests of a non-idempotent route need an operation id.
type OperationIDMode string

// The modes of operation ids.
const (
	OperationIDRequired OperationIDMode = "required"
	OperationIDOptional OperationIDMode = "optional"
)

// ClaimMode determines where the claim of an operation is kept.
type ClaimMode string

// The modes of claims.
const (
	// ClaimsInMemory keeps claims in the memory of the slot's owner.
	ClaimsInMemory ClaimMode = "memory"
	// ClaimsInTable also writes claims and results to the platform's table.
	ClaimsInTable ClaimMode = "table"
	// ClaimsAuto is like ClaimsInTable while the table responds, and like ClaimsInMemory during an outage of the table.
	ClaimsAuto ClaimMode = "auto"
)

// Policy is the effective policy of a route at one data centre, after inheritance.
type Policy struct {
	// Timeout is the deadline of a request. Default 5 s.
	Timeout time.Duration
	// Idempotent is true if a request may be sent to upstreams more than once. The default depends on the method.
	Idempotent bool
	// OperationID applies to non-idempotent routes. Default required.
	OperationID OperationIDMode
	// Claims applies to non-idempotent routes. Default memory.
	Claims ClaimMode
	// ClaimsSince is the time from which every claim of the route is in the table. It must not be earlier than the time when
	// claims "table" or "auto" became active on all hosts. For older operations whose owner has failed, the outcome is
	// reported as unknown, because they may have been claimed in memory. Required at each level that sets one of these modes.
	ClaimsSince Time
	// Open is true for a route whose requests need no key and count against no customer. Default false.
	Open bool
	// MaxRequestBytes limits the request body. Default 1 MiB.
	MaxRequestBytes int64
	// MaxAttempts limits the attempts of a request. A non-idempotent request is attempted again only if no connection was
	// obtained. Default 3.
	MaxAttempts int
	// HedgeAfter is the time after which a second attempt of an idempotent request starts; 0 disables hedging. Default 0.
	HedgeAfter time.Duration
	// QueueLength limits the requests that wait for a slot of the service on one host. Default 64.
	QueueLength int
	// Floor is the minimum share of the service's upstreams that ejection leaves in use. Default 0.5.
	Floor float64
	// ShedStatuses are the response statuses by which an upstream indicates that it sheds load. Default 503.
	ShedStatuses []int
	// NotRunStatuses are the response statuses by which an upstream indicates that it did not run the request. Default none.
	NotRunStatuses []int
	// LoadHeader is the response header in which upstreams report their load between 0 and 1. Default "X-Load".
	LoadHeader string
	// DrainHeader is the response header by which an upstream announces that it is leaving. Default "X-Draining".
	DrainHeader string
	// HealthPath is the path of the upstream's health endpoint. Default "/healthz".
	HealthPath string
	// Priority ranks requests when a service is short of slots; 0 is the highest. Default 0.
	Priority int
	// TargetLatency is the time within which a response has its full value to the caller; 0 if the route sets none.
	TargetLatency time.Duration
}

// ServiceShare is the share of a route's requests that goes to one service.
type ServiceShare struct {
	Service ServiceName
	// Weight is relative to the sum of the route's weights.
	Weight float64
}

// Route is an effective route.
type Route struct {
	// Name is unique within its service.
	Name    string
	Service ServiceName
	// Host is the caller-facing host name; empty matches every host.
	Host       string
	PathPrefix string
	// Subtree is true for a route that does not match the prefix itself without its trailing slash. Default false.
	Subtree bool
	// Split divides the route's requests between services by weight. If it is empty, all requests go to Service.
	Split []ServiceShare
	// Methods are the methods that the route matches; empty for every method.
	Methods []string
	// Policy is the effective policy. Policy.Idempotent only applies if IdempotentSet is true; see PolicyFor.
	Policy Policy
	// IdempotentSet is true if idempotent is set explicitly at a level that applies to the route.
	IdempotentSet bool
}

// PolicyFor returns the route's policy for a request method. If idempotent is not set at any level, the method determines it.
func (r *Route) PolicyFor(method string) Policy {
	policy := r.Policy
	if !r.IdempotentSet {
		policy.Idempotent = IsIdempotentMethod(method)
	}
	return policy
}

// IsIdempotentMethod reports whether RFC 9110 defines the method as idempotent.
func IsIdempotentMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE":
		return true
	default:
		return false
	}
}

// Upstream is one server of a service.
type Upstream struct {
	ID UpstreamID
	// Address is an IP address and port.
	Address    string
	DataCentre string
	// Slots is the number of requests that the upstream serves concurrently.
	Slots int
	// Connections is the number of connections that the upstream accepts from the whole fleet.
	Connections int
	// WarmUntil is the time when the upstream reaches its full speed after its start; zero if it already has.
	WarmUntil time.Time
	// Leaving is true for an upstream that receives no new requests because it is being removed.
	Leaving bool
	// Incarnation identifies the process of the upstream, which may start again under the same ID; 0 if not known.
	Incarnation int64
	// Predecessor is that of this process.
	Predecessor Predecessor
}

// Service is an effective service.
type Service struct {
	Name ServiceName
	// Upstreams are sorted by ID.
	Upstreams []Upstream
	// Policy is the service's policy without a route's overrides.
	Policy Policy
}

// Customer is an effective customer.
type Customer struct {
	ID CustomerID
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests, at least 1.
	Burst float64
	// Weight determines the customer's share of the slots when a service is short of them. Default 1.
	Weight float64
	// Priority overrides the priority of the route if it is not nil.
	Priority *int
	// Keys are the keys that are not withdrawn.
	Keys []Key
}

// KeyHash is the SHA-256 of a caller's key.
type KeyHash [sha256.Size]byte

// Key is a granted key. The key itself is never stored.
type Key struct {
	// ID identifies the key in the audit log and in metrics.
	ID   string
	Hash KeyHash
}

// HashKey returns the hash under which a presented key is stored.
func HashKey(presented string) KeyHash { return sha256.Sum256([]byte(presented)) }

// Snapshot is the effective settings of one revision at one data centre. It is immutable and safe for concurrent use.
type Snapshot struct {
	// Revision increases by one with each change. 0 means that no settings have been loaded.
	Revision  uint64
	routing   *routingTable
	customers map[string]*CustomerSpec
	keys      *keyIndex
}

// NewSnapshot builds a snapshot from effective values. The arguments must not be changed afterwards.
func NewSnapshot(revision uint64, routes []Route, services []Service, customers []Customer) *Snapshot {
	s := &Snapshot{Revision: revision, routing: newRoutingTable(routes, services), customers: make(map[string]*CustomerSpec, len(customers))}
	for i := range customers {
		s.customers[string(customers[i].ID)] = customerSpecOf(&customers[i])
	}
	s.keys, _ = newKeyIndex(s.customers)
	return s
}

func newRoutingTable(routes []Route, services []Service) *routingTable {
	index := newRouteIndex(routes)
	table := &routingTable{routes: &index, services: make(map[ServiceName]*Service, len(services))}
	for i := range services {
		table.services[services[i].Name] = &services[i]
	}
	return table
}

func customerSpecOf(customer *Customer) *CustomerSpec {
	spec := &CustomerSpec{Rate: Rate(customer.Rate), Burst: customer.Burst, Weight: customer.Weight}
	for _, key := range customer.Keys {
		spec.Keys = append(spec.Keys, KeySpec{ID: key.ID, Hash: key.Hash})
	}
	spec.effective.Store(customer)
	return spec
}

// Route returns the route with the longest matching path prefix among those whose host and method match. A route for the
// given host takes precedence over one that matches every host.
func (s *Snapshot) Route(host, method, path string) (*Route, bool) {
	return s.routing.routes.lookup(host, method, path)
}

// Routes calls yield for each route, in no particular order.
func (s *Snapshot) Routes(yield func(*Route) bool) {
	for _, prefixes := range s.routing.routes.byHost {
		for _, routes := range prefixes {
			for _, route := range routes {
				if !yield(route) {
					return
				}
			}
		}
	}
}

// Service returns a service by name.
func (s *Snapshot) Service(name ServiceName) (*Service, bool) {
	service, ok := s.routing.services[name]
	return service, ok
}

// Services calls yield for each service, in no particular order.
func (s *Snapshot) Services(yield func(*Service) bool) {
	for _, service := range s.routing.services {
		if !yield(service) {
			return
		}
	}
}

// Customer returns a customer by id. The same pointer is returned until the customer is changed.
func (s *Snapshot) Customer(id CustomerID) (*Customer, bool) {
	spec, ok := s.customers[string(id)]
	if !ok {
		return nil, false
	}
	return spec.effectiveCustomer(id), true
}

// Customers calls yield for each customer, in no particular order. It computes the effective value of each customer, which
// stays in memory.
func (s *Snapshot) Customers(yield func(*Customer) bool) {
	for id, spec := range s.customers {
		if !yield(spec.effectiveCustomer(CustomerID(id))) {
			return
		}
	}
}

// CustomerForKey returns the customer to which the presented key was granted, unless the key was withdrawn. The lookup is by
// hash, so its duration does not depend on how much of a guessed key is correct.
func (s *Snapshot) CustomerForKey(presented string) (*Customer, bool) {
	hash := HashKey(presented)
	id, ok := s.keys.owner(&hash)
	if !ok {
		return nil, false
	}
	customer, ok := s.Customer(CustomerID(id))
	if !ok {
		return nil, false
	}
	for i := range customer.Keys {
		if subtle.ConstantTimeCompare(customer.Keys[i].Hash[:], hash[:]) == 1 {
			return customer, true
		}
	}
	return nil, false
}
