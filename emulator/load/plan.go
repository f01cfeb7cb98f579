package load

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/google/uuid"
)

// Customer is a customer of the plan.
type Customer struct {
	Name string
	Key  string
	// Rate is the offered load in requests per second.
	Rate float64
}

// Route is one kind of request of the plan.
type Route struct {
	Method string
	Path   string
	// Share of the requests; shares of all routes sum to any positive number.
	Share      float64
	Idempotent bool
}

// planned is one request of the plan.
type planned struct {
	customer  *Customer
	route     *Route
	operation string
}

// planner draws requests with a fixed seed.
type planner struct {
	rng         *rand.Rand
	customers   []Customer
	routes      []Route
	repeatShare float64
	recent      []planned
}

const (
	recentOperations = 64
	repeatLag        = 8
)

func (p *planner) next() planned {
	if len(p.recent) > repeatLag && p.rng.Float64() < p.repeatShare {
		return p.recent[p.rng.IntN(len(p.recent)-repeatLag)]
	}
	request := planned{
		customer: pick(p.rng, p.customers, func(c *Customer) float64 { return c.Rate }),
		route:    pick(p.rng, p.routes, func(r *Route) float64 { return r.Share }),
	}
	if !request.route.Idempotent {
		request.operation = newOperationID()
		p.recent = append(p.recent, request)
		if len(p.recent) > recentOperations {
			p.recent = p.recent[1:]
		}
	}
	return request
}

// newOperationID returns a UUID version 7, whose time is the current time.
func newOperationID() string { return uuid.Must(uuid.NewV7()).String() }

func pick[T any](rng *rand.Rand, all []T, weight func(*T) float64) *T {
	var total float64
	for i := range all {
		total += weight(&all[i])
	}
	point := rng.Float64() * total
	for i := range all {
		point -= weight(&all[i])
		if point <= 0 {
			return &all[i]
		}
	}
	return &all[len(all)-1]
}

func (p *planned) header() http.Header {
	header := http.Header{}
	header.Set(customerHeader, p.customer.Name)
	header.Set("Authorization", "Bearer "+p.customer.Key)
	if p.operation != "" {
		header.Set("Idempotency-Key", p.operation)
		header.Set("Content-Type", "application/json")
	}
	return header
}

func (p *planned) body() []byte {
	if p.operation == "" {
		return nil
	}
	return fmt.Appendf(nil, `{"operation":%q}`, p.operation)
}

// totalRate is the offered load in requests per second.
func totalRate(customers []Customer) float64 {
	var total float64
	for i := range customers {
		total += customers[i].Rate
	}
	return total
}

// interval is the time between two requests at the given rate.
func interval(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }
