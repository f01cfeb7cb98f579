// Package deployment describes the two deployments that the project is built for: data centres, services with their
// upstreams, and customers.
package deployment

import (
	"fmt"
	"time"
)

// Deployment is the system of one organisation.
type Deployment struct {
	Name        string
	DataCentres []string
	// Hosts is the number of hosts.
	Hosts int
	// DataCentreDelay is the one-way delay between two data centres, CallerDelay that between a caller and a host.
	DataCentreDelay, CallerDelay time.Duration
	Services                     []Service
	Customers                    []Customer
	// Slots and Connections are the limits of each upstream.
	Slots, Connections int
}

// Service is a service of a deployment with its number of upstreams.
type Service struct {
	Name       string
	Upstreams  int
	Idempotent bool
	Method     string
	// Share is the fraction of requests that go to this service.
	Share float64
}

// Customer is a customer of a deployment. Rate is in requests per second, Burst in requests.
type Customer struct {
	Name        string
	Rate, Burst float64
}

// customerLimits are rate and burst of the eight customers that each deployment has: a few large ones and several small.
var customerLimits = []Customer{
	{Rate: 80, Burst: 160},
	{Rate: 60, Burst: 120},
	{Rate: 40, Burst: 80},
	{Rate: 10, Burst: 30},
	{Rate: 10, Burst: 30},
	{Rate: 5, Burst: 20},
	{Rate: 5, Burst: 20},
	{Rate: 2, Burst: 10},
}

func customers(prefix string) []Customer {
	all := make([]Customer, len(customerLimits))
	for i, limits := range customerLimits {
		all[i] = Customer{Name: fmt.Sprintf("%s-%d", prefix, i+1), Rate: limits.Rate, Burst: limits.Burst}
	}
	return all
}

// Merrimack returns the deployment of the Merrimack Falls Boarding Desk Gateway.
func Merrimack() *Deployment {
	return &Deployment{
		Name:            "merrimack",
		DataCentres:     []string{"mv-north", "mv-mill", "mv-hall"},
		Hosts:           14,
		DataCentreDelay: 500 * time.Microsecond,
		CallerDelay:     time.Millisecond,
		Services: []Service{
			{Name: "logbook", Upstreams: 6, Idempotent: true, Method: "GET", Share: 0.5},
			{Name: "intake", Upstreams: 13, Idempotent: false, Method: "POST", Share: 0.1},
			{Name: "benchcards", Upstreams: 12, Idempotent: true, Method: "GET", Share: 0.4},
		},
		Customers:   customers("desk"),
		Slots:       6,
		Connections: 360,
	}
}

// Daan returns the deployment of the Daan Procession Marshals Gateway.
func Daan() *Deployment {
	return &Deployment{
		Name:            "daan",
		DataCentres:     []string{"luzon-a", "luzon-b", "luzon-c"},
		Hosts:           16,
		DataCentreDelay: 1500 * time.Microsecond,
		CallerDelay:     3 * time.Millisecond,
		Services: []Service{
			{Name: "rutas", Upstreams: 6, Idempotent: true, Method: "GET", Share: 0.5},
			{Name: "kanto", Upstreams: 10, Idempotent: false, Method: "POST", Share: 0.1},
			{Name: "talaan", Upstreams: 10, Idempotent: true, Method: "GET", Share: 0.4},
		},
		Customers:   customers("parish"),
		Slots:       4,
		Connections: 330,
	}
}

// ByName returns the deployment with the given name, "merrimack" or "daan", and an error for any other name.
func ByName(name string) (*Deployment, error) {
	switch name {
	case "merrimack":
		return Merrimack(), nil
	case "daan":
		return Daan(), nil
	default:
		return nil, fmt.Errorf("deployment %q does not exist; choose merrimack or daan", name)
	}
}
