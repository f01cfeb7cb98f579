package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"time"
)

// CustomerID names a customer.
type CustomerID string

// ServiceName names a service.
type ServiceName string

// UpstreamID names an upstream within its service.
type UpstreamID string

// OperationIDMode says whether a non-idempotent route needs an operation id.
type OperationIDMode string

// The modes of operation ids.
const (
	OperationIDRequired OperationIDMode = "required"
	OperationIDOptional OperationIDMode = "optional"
)

// ClaimMode says where the claim of an operation is kept.
type ClaimMode string

// The modes of claims.
const (
	// ClaimsInMemory keeps claims in the memory of the slot's owner.
	ClaimsInMemory ClaimMode = "memory"
	// ClaimsInTable also writes claims and results to the platform's table.
	ClaimsInTable ClaimMode = "table"
	// ClaimsAuto is like ClaimsInTable while the table answers, and like ClaimsInMemory during an outage of the table.
	ClaimsAuto ClaimMode = "auto"
)

// Policy is the effective policy of a route at one data centre, after inheritance.
type Policy struct {
	// Timeout is the deadline of a request. Default 5 s.
	Timeout time.Duration
	// Idempotent says whether a request may be sent again. Default by method.
	Idempotent bool
	// OperationID applies to non-idempotent routes. Default required.
	OperationID OperationIDMode
	// Claims applies to non-idempotent routes. Default memory.
	Claims ClaimMode
	// ClaimsSince is the time from which every claim of the route is in the table, at the earliest when claims of "table" or
	// "auto" were in force on all hosts. Older operations of a lost owner are answered as unknown, because they may have
	// been claimed in memory. Required with these modes.
	ClaimsSince Time
	// Open routes need no key and count against no customer. Default false.
	Open bool
	// MaxRequestBytes bounds the request body. Default 1 MiB.
	MaxRequestBytes int64
	// MaxAttempts bounds the attempts of an idempotent request. Default 3.
	MaxAttempts int
	// HedgeAfter starts a second attempt of an idempotent request; 0 turns hedging off. Default 0.
	HedgeAfter time.Duration
	// QueueLength bounds the requests that wait for a slot of the service on one host. Default 64.
	QueueLength int
	// Floor is the share of the service's upstreams that ejection leaves in use. Default 0.5.
	Floor float64
	// ShedStatuses are answers by which an upstream sheds load. Default 503.
	ShedStatuses []int
	// NotRunStatuses are answers by which an upstream declares that it did not run the request. Default none.
	NotRunStatuses []int
	// LoadHeader is the response header in which upstreams report their load between 0 and 1. Default "X-Load".
	LoadHeader string
	// DrainHeader is the response header by which an upstream announces that it leaves. Default "X-Draining".
	DrainHeader string
	// HealthPath is the path of the upstream's health endpoint. Default "/healthz".
	HealthPath string
	// Priority ranks requests when a service is short of slots; 0 is the highest. Default 0.
	Priority int
	// TargetLatency is the time within which an answer is worth most. 0 states none.
	TargetLatency time.Duration
}

// ServiceShare is a part of a route's requests that goes to one service.
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
	// Subtree routes do not match the prefix itself without its trailing slash. Default false.
	Subtree bool
	// Split divides the route's requests between services by weight. If it is empty all go to Service.
	Split []ServiceShare
	// Methods is empty for every method.
	Methods []string
	// Policy is the policy for methods that are idempotent by default where the route does not say.
	Policy Policy
	// IdempotentSet is true if a branch states idempotent explicitly.
	IdempotentSet bool
}

// PolicyFor returns the route's policy for a request method: where no branch states idempotent, the method decides.
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
	// Address is an IP number and port.
	Address    string
	DataCentre string
	// Slots is how many requests the upstream serves at once.
	Slots int
	// Connections is how many connections of the whole fleet the upstream accepts.
	Connections int
	// WarmUntil is when the upstream will have reached its full speed after its start; zero if it has.
	WarmUntil time.Time
	// Leaving upstreams get no new work.
	Leaving bool
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
	// Weight is the customer's share when a service is short of slots. Default 1.
	Weight float64
	// Priority replaces the priority of the route if it is not nil.
	Priority *int
	// Keys that are not withdrawn.
	Keys []Key
}

// KeyHash is the SHA-256 of a caller's key.
type KeyHash [sha256.Size]byte

// Key is a granted key. The key itself is never stored.
type Key struct {
	// ID names the key in audit and metrics.
	ID   string
	Hash KeyHash
}

// HashKey returns the hash under which a presented key is stored.
func HashKey(presented string) KeyHash { return sha256.Sum256([]byte(presented)) }

// Snapshot is the effective settings of one revision at one data centre. It is immutable and safe for concurrent use.
type Snapshot struct {
	// Revision grows by one with each change. 0 means that no settings are known.
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

// Route returns the route with the longest matching path prefix among those whose host and method match. A route that
// names the host goes before one that matches every host.
func (s *Snapshot) Route(host, method, path string) (*Route, bool) {
	return s.routing.routes.lookup(host, method, path)
}

// Service returns a service by name.
func (s *Snapshot) Service(name ServiceName) (*Service, bool) {
	service, ok := s.routing.services[name]
	return service, ok
}

// Services calls yield for each service, in no order.
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

// Customers calls yield for each customer, in no order. It computes the effective value of each, which stays in memory.
func (s *Snapshot) Customers(yield func(*Customer) bool) {
	for id, spec := range s.customers {
		if !yield(spec.effectiveCustomer(CustomerID(id))) {
			return
		}
	}
}

// CustomerForKey returns the customer to whom the presented key was granted and who still holds it. The lookup is by
// hash, so its duration does not depend on how much of a guessed key is right.
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
