package load

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/google/uuid"
)

// Customer is a customer that offers load.
type Customer struct {
	Name string
	// Key is the customer's API key.
	Key string
	// Rate is the offered load in requests per second.
	Rate float64
}

// Route is a kind of request, with its share of all requests.
type Route struct {
	Method string
	Path   string
	// Share is the relative weight of this route. The sum over all routes may be any positive number.
	Share      float64
	Idempotent bool
}

// plannedRequest is one request that will be sent.
type plannedRequest struct {
	customer  *Customer
	route     *Route
	operation string
}

// planner chooses requests at random with a fixed seed.
type planner struct {
	rng         *rand.Rand
	customers   []Customer
	routes      []Route
	repeatShare float64
	recent      []plannedRequest
}

// A repeated request is chosen from the last maxRecentOperations operations without the repeatLag newest ones.
const (
	maxRecentOperations = 64
	repeatLag           = 8
)

func (p *planner) next() plannedRequest {
	if len(p.recent) > repeatLag && p.rng.Float64() < p.repeatShare {
		return p.recent[p.rng.IntN(len(p.recent)-repeatLag)]
	}
	request := plannedRequest{
		customer: pickWeighted(p.rng, p.customers, func(c *Customer) float64 { return c.Rate }),
		route:    pickWeighted(p.rng, p.routes, func(r *Route) float64 { return r.Share }),
	}
	if !request.route.Idempotent {
		request.operation = newOperationID()
		p.recent = append(p.recent, request)
		if len(p.recent) > maxRecentOperations {
			p.recent = p.recent[1:]
		}
	}
	return request
}

// newOperationID returns a UUID version 7 with the current time.
func newOperationID() string { return uuid.Must(uuid.NewV7()).String() }

// pickWeighted returns a random element, with probabilities proportional to the weights.
func pickWeighted[T any](rng *rand.Rand, all []T, weight func(*T) float64) *T {
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

func (p *plannedRequest) header() http.Header {
	header := http.Header{}
	header.Set(customerHeader, p.customer.Name)
	header.Set("Authorization", "Bearer "+p.customer.Key)
	if p.operation != "" {
		header.Set("Idempotency-Key", p.operation)
		header.Set("Content-Type", "application/json")
	}
	return header
}

func (p *plannedRequest) body() []byte {
	if p.operation == "" {
		return nil
	}
	return fmt.Appendf(nil, `{"operation":%q}`, p.operation)
}

// totalRate returns the offered load of all customers, in requests per second.
func totalRate(customers []Customer) float64 {
	var total float64
	for i := range customers {
		total += customers[i].Rate
	}
	return total
}

// requestInterval returns the time between two requests at the given rate per second.
func requestInterval(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }
