// Package deployment describes the two deployments that the project is built for, as data: data centres, services with
// their upstreams, and customers.
package deployment

import (
	"fmt"
	"time"
)

// Deployment is one organisation's system.
type Deployment struct {
	Name        string
	DataCentres []string
	// Hosts is the number of hosts.
	Hosts int
	// Between is the one-way time between two data centres, Caller between a caller and a host.
	DataCentreDelay, CallerDelay time.Duration
	Services                     []Service
	Customers                    []Customer
	// Slots and Connections are those of each upstream.
	Slots, Connections int
}

// Service is a service of a deployment.
type Service struct {
	Name       string
	Upstreams  int
	Idempotent bool
	Method     string
	// Share of the requests.
	Share float64
}

// Customer is a customer of a deployment. Rate is in requests per second, Burst in requests.
type Customer struct {
	Name        string
	Rate, Burst float64
}

// Customers of both deployments: eight, a few large.
var sizes = []Customer{
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
	all := make([]Customer, len(sizes))
	for i, size := range sizes {
		all[i] = Customer{Name: fmt.Sprintf("%s-%d", prefix, i+1), Rate: size.Rate, Burst: size.Burst}
	}
	return all
}

// Merrimack is the Merrimack Falls Boarding Desk Gateway.
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

// Daan is the Daan Procession Marshals Gateway.
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

// ByName returns a deployment by name.
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
