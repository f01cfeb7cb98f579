package capacitybench

import (
	"fmt"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/addresses"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/loadbalancer"
)

// Decision is the duration of one decision at one size.
type Decision struct {
	Name  string `json:"name"`
	Unit  string `json:"unit"`
	Count int    `json:"count"`
	// Microseconds is the processor time of one decision, including garbage collection.
	Microseconds float64 `json:"microseconds"`
}

func timeDecisions() []Decision {
	var all []Decision
	for _, hosts := range []int{4, 8, 16} {
		all = append(all, timeDecision("address answer", "hosts of the cell", hosts, addressResponse(hosts)))
		all = append(all, timeDecision("owner of a customer", "hosts of the cell", hosts, owner(hosts)))
	}
	for _, upstreams := range []int{5, 20, 80} {
		all = append(all, timeDecision("choice of an upstream", "upstreams of the service", upstreams, pick(upstreams)))
	}
	for _, hosts := range []int{100, 400, 1600} {
		all = append(all, timeDecision("subset of one upstream", "hosts that send to it", hosts, subset(hosts)))
	}
	return all
}

// decisionTime is the processor time for which each decision is repeated.
const decisionTime = 200 * time.Millisecond

func timeDecision(name, unit string, count int, run func(i int)) Decision {
	const batch = 100
	n, start := 0, processorTime()
	for processorTime()-start < decisionTime {
		for range batch {
			run(n)
			n++
		}
	}
	elapsed := processorTime() - start
	return Decision{
		Name: name, Unit: unit, Count: count,
		Microseconds: float64(elapsed) / float64(n) / float64(time.Microsecond),
	}
}

func epochOfSize(hosts int) *fleet.Epoch {
	list := make([]string, hosts)
	for i := range list {
		list[i] = fmt.Sprintf("192.0.2.%d:7000", i+1)
	}
	epoch := epochOf(list)
	return &epoch
}

func addressResponse(hosts int) func(int) {
	epoch := epochOfSize(hosts)
	return func(i int) {
		addresses.Compute(epoch, nil, fmt.Sprintf("customer-%d", i), "dc-1", addresses.Options{})
	}
}

func owner(hosts int) func(int) {
	epoch := epochOfSize(hosts)
	return func(i int) { epoch.Owner(fmt.Sprintf("customer-%d", i)) }
}

func upstreamsOf(n int) []settings.Upstream {
	all := make([]settings.Upstream, n)
	for i := range all {
		all[i] = settings.Upstream{ID: settings.UpstreamID(fmt.Sprintf("upstream-%d", i)), Slots: 6, Connections: 360}
	}
	return all
}

func pick(upstreams int) func(int) {
	balancer := loadbalancer.New(loadbalancer.Options{Seed: 1})
	now := time.Now()
	self := loadbalancer.Host{ID: hostID(0)}
	balancer.Update(now, loadbalancer.Config{Upstreams: upstreamsOf(upstreams), Self: self})
	return func(int) {
		chosen, err := balancer.Pick(now, nil, nil)
		if err != nil {
			panic(err)
		}
		balancer.Done(now, chosen.ID, loadbalancer.Result{OK: true})
	}
}

func subset(count int) func(int) {
	hosts := make([]loadbalancer.Host, count)
	for i := range hosts {
		hosts[i].ID = hostID(i)
	}
	upstream := upstreamsOf(1)[0]
	return func(int) { loadbalancer.Subset(upstream, hosts) }
}
