package fleetbench

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/emulator/deployment"
	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/addresses"
	"github.com/bronzeyard/bronzeyard/fleet/ratelimit"
)

type customer struct {
	name   string
	limits ratelimit.Limits
}

// customers are the 8 customers of the load, a few of them large. The burst is one second of the rate, at least 10 requests.
var customers = []customer{
	{"parks", ratelimit.Limits{Rate: 900, Burst: 900}},
	{"nursery", ratelimit.Limits{Rate: 600, Burst: 600}},
	{"council", ratelimit.Limits{Rate: 400, Burst: 400}},
	{"school", ratelimit.Limits{Rate: 120, Burst: 120}},
	{"museum", ratelimit.Limits{Rate: 60, Burst: 60}},
	{"library", ratelimit.Limits{Rate: 30, Burst: 30}},
	{"market", ratelimit.Limits{Rate: 15, Burst: 15}},
	{"station", ratelimit.Limits{Rate: 6, Burst: 10}},
}

// offeredLoad is the demand of a customer within its limit as a fraction of its rate.
const offeredLoad = 0.8

// moveInterval is how often the callers of a customer move to other hosts in the scenario "moving".
const moveInterval = 3 * time.Second

// scenario is one combination of load and loss of hosts.
type scenario struct {
	name string
	// onShuffleShard sends a customer's requests to its shuffle shard; otherwise they go to all hosts. moving sends them to
	// a set of hosts that changes every moveInterval.
	onShuffleShard, moving bool
	// overloadedCount is the number of customers that offer five times their rate.
	overloadedCount int
	// lostHosts returns the indexes of the hosts that are lost after a third of the duration. Nil if none is lost.
	lostHosts func(r *run) []int
	// tableDown makes the table unavailable: the epoch cannot be changed and keeps the lost hosts.
	tableDown bool
	// Targets in per cent, 0 if there is none.
	wrongfulTarget, worstShareTarget float64
}

var scenarios = []scenario{
	{name: "spread over all hosts", wrongfulTarget: 0.1, worstShareTarget: 99},
	{name: "on the home set", onShuffleShard: true, wrongfulTarget: 0.1, worstShareTarget: 99},
	{name: "moving", moving: true},
	{name: "loss of the owner, spread", lostHosts: largestCustomerOwner, wrongfulTarget: 1},
	{name: "loss of the owner, home set", onShuffleShard: true, lostHosts: largestCustomerOwner, wrongfulTarget: 1},
	{name: "loss of a small customer's owner, home set", onShuffleShard: true, lostHosts: smallestCustomerOwner, wrongfulTarget: 1},
	{name: "loss of one host, home set", onShuffleShard: true, lostHosts: firstShardHost, wrongfulTarget: 1},
	{
		name: "loss of the owner, table down", onShuffleShard: true, lostHosts: largestCustomerOwner, tableDown: true,
		wrongfulTarget: 1,
	},
	{name: "loss of one host, table down", onShuffleShard: true, lostHosts: firstShardHost, tableDown: true},
	{name: "loss of a data centre", onShuffleShard: true, lostHosts: firstDataCentreHosts},
	{name: "two customers at five times their rate", overloadedCount: 2, worstShareTarget: 95},
	{name: "two customers at five times their rate, home set", onShuffleShard: true, overloadedCount: 2, worstShareTarget: 95},
}

// largestCustomerOwner returns the host that owns the largest customer.
func largestCustomerOwner(r *run) []int { return r.ownerOf(customers[0].name) }

// smallestCustomerOwner returns the host that owns the smallest customer, whose holders may have no slices.
func smallestCustomerOwner(r *run) []int { return r.ownerOf(customers[len(customers)-1].name) }

func (r *run) ownerOf(customer string) []int {
	owner, _ := r.epoch.Owner("rate/" + customer)
	return []int{slices.IndexFunc(r.epoch.Members, func(m fleet.Member) bool { return m.ID == owner.ID })}
}

func firstDataCentreHosts(r *run) []int {
	var lost []int
	for i, m := range r.epoch.Members {
		if m.DataCentre == r.deployment.DataCentres[0] {
			lost = append(lost, i)
		}
	}
	return lost
}

// arrival is one request of the open-loop load.
type arrival struct {
	// at is the time since the start.
	at       time.Duration
	customer int
	host     int
}

// run is one run of a scenario.
type run struct {
	scenario   *scenario
	deployment *deployment.Deployment
	epoch      fleet.Epoch
	duration   time.Duration
	lostHosts  []int
	lostAt     time.Duration
	random     *rand.Rand
}

// arrivals generates the complete load in order of arrival.
func (r *run) arrivals() []arrival {
	var all []arrival
	for i := range customers {
		rate := customers[i].limits.Rate * offeredLoad
		if i >= 1 && i <= r.scenario.overloadedCount {
			rate = customers[i].limits.Rate * 5
		}
		at := time.Duration(0)
		for {
			at += time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
			if at >= r.duration {
				break
			}
			all = append(all, arrival{at: at, customer: i, host: r.hostFor(i, at)})
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

// hostFor chooses the host of a request at random. After a loss, callers use the rest of their addresses, or any host if
// none of them is left.
func (r *run) hostFor(customer int, at time.Duration) int {
	candidates := r.addressesOf(customer, at)
	if r.lostHosts != nil && at >= r.lostAt {
		isLost := func(host int) bool { return slices.Contains(r.lostHosts, host) }
		candidates = slices.DeleteFunc(candidates, isLost)
		if len(candidates) == 0 {
			candidates = slices.DeleteFunc(r.allHosts(), isLost)
		}
	}
	return candidates[r.random.IntN(len(candidates))]
}

func (r *run) allHosts() []int {
	hosts := make([]int, len(r.epoch.Members))
	for i := range hosts {
		hosts[i] = i
	}
	return hosts
}

func (r *run) addressesOf(customer int, at time.Duration) []int {
	if r.scenario.moving {
		// Each customer uses three adjacent hosts. Every moveInterval the first one moves on by five.
		first := customer + 5*int(at/moveInterval)
		n := len(r.epoch.Members)
		return []int{first % n, (first + 1) % n, (first + 2) % n}
	}
	if !r.scenario.onShuffleShard {
		return r.allHosts()
	}
	dataCentre := r.deployment.DataCentres[customer%len(r.deployment.DataCentres)]
	response := addresses.Compute(&r.epoch, nil, customers[customer].name, dataCentre, addresses.Options{})
	var hosts []int
	for _, address := range response.Addresses {
		hosts = append(hosts, slices.IndexFunc(r.epoch.Members, func(m fleet.Member) bool { return m.CallerAddress == address.Address }))
	}
	return hosts
}

// firstShardHost returns the first host in the shuffle shard of the largest customer.
func firstShardHost(r *run) []int { return r.addressesOf(0, 0)[:1] }
