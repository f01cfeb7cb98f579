package capacitybench

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/fleet/ejection"
	"github.com/bronzeyard/bronzeyard/fleet/idempotency"
	"github.com/bronzeyard/bronzeyard/fleet/membership"
	"github.com/bronzeyard/bronzeyard/fleet/ratelimit"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/storage/memory"
	"github.com/bronzeyard/bronzeyard/traffic/outlier"
)

// The load of the layers.
const (
	// layerHosts is the number of hosts of each measurement of one layer.
	layerHosts = 8
	// holdersPerCustomer is the number of hosts that receive requests of a customer: the size of a shuffle shard.
	holdersPerCustomer = 3
	// upstreamsPerService is 43,000 upstreams over 2,100 services, rounded.
	upstreamsPerService = 20
	// upstreamRequestRate is the number of attempts per second to each upstream from all hosts: 450,000 attempts over 43,000
	// upstreams are 10.5.
	upstreamRequestRate = 10
	// tickInterval is the time between two bursts of runAtRate.
	tickInterval = 20 * time.Millisecond
	// defaultHeartbeatInterval is the default interval between heartbeats of membership.
	defaultHeartbeatInterval = 300 * time.Millisecond
	// operationDuration is the time from the claim of an operation to its result.
	operationDuration = 10 * time.Millisecond
	// operationTimeout is the time from the claim of an operation to its deadline.
	operationTimeout = 5 * time.Second
)

// runAtRate calls step n times per second, evenly spread over the ticks, until ctx ends.
func runAtRate(ctx context.Context, n float64, step func(i int)) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	start := time.Now()
	for i := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for due := int(n * time.Since(start).Seconds()); i < due; i++ {
			step(i)
		}
	}
}

// limiterLoad is the load on the limiters.
type limiterLoad struct {
	customers int
	// ratePerHolder is the number of requests per second of each customer to each of its hosts.
	ratePerHolder float64
	// atOwner sends all requests of a customer to the owner of its rate instead of to three hosts.
	atOwner bool
}

// rateLimitLayer runs the limiters of all hosts. Each customer's rate is twice its demand.
func rateLimitLayer(r *rig, load limiterLoad) layerRun {
	limiters := make([]*ratelimit.Limiter, len(r.nodes))
	for i, node := range r.nodes {
		limiters[i] = ratelimit.New(ratelimit.Options{
			Views: node, Caller: node.transport, Registrar: node.transport, Clock: clock.System{},
			Limits: func(string) (rate, burst float64, ok bool) {
				rate = 2 * holdersPerCustomer * load.ratePerHolder
				return rate, 2 * rate, true
			},
		})
	}
	hostFor := func(customer, holder int) int { return (customer + holder) % len(limiters) }
	if load.atOwner {
		hostFor = func(customer, _ int) int { return r.owner("rate/" + customerName(customer)) }
	}
	return func(ctx context.Context) error {
		var tasks sync.WaitGroup
		for _, limiter := range limiters {
			tasks.Go(func() { limiter.Run(ctx) })
		}
		runAtRate(ctx, float64(holdersPerCustomer*load.customers)*load.ratePerHolder, func(i int) {
			customer, holder := i%load.customers, i/load.customers%holdersPerCustomer
			tasks.Go(func() { limiters[hostFor(customer, holder)].Admit(ctx, customerName(customer)) })
		})
		tasks.Wait()
		return nil
	}
}

func customerName(i int) string { return fmt.Sprintf("customer-%d", i) }

func customersLayer(r *rig, count int) layerRun {
	return rateLimitLayer(r, limiterLoad{customers: count, ratePerHolder: 1})
}

func demandLayer(r *rig, count int) layerRun {
	return rateLimitLayer(r, limiterLoad{customers: 100, ratePerHolder: float64(count)})
}

func ownersLayer(r *rig, count int) layerRun {
	return rateLimitLayer(r, limiterLoad{customers: count, ratePerHolder: 1, atOwner: true})
}

// membershipSizeLayer runs only membership on all hosts of the rig, with the default heartbeat interval.
func membershipSizeLayer(r *rig, _ int) layerRun { return membershipLayer(r, defaultHeartbeatInterval) }

// heartbeatIntervalLayer runs only membership, with a heartbeat interval of count milliseconds.
func heartbeatIntervalLayer(r *rig, count int) layerRun {
	return membershipLayer(r, time.Duration(count)*time.Millisecond)
}

func membershipLayer(r *rig, heartbeat time.Duration) layerRun {
	table := memory.NewTable()
	runtimes := make([]*membership.Runtime, len(r.nodes))
	var failed error
	for i, node := range r.nodes {
		runtime, err := membership.New(membership.Options{
			Table: table, Cell: "bench", Self: node.view.Epoch.Members[i], Caller: node.transport, Registrar: node.transport,
			AppliedRevision: func() uint64 { return 0 },
			Durations:       membership.Durations{HeartbeatInterval: heartbeat, Lease: 5 * heartbeat, SuspicionTimeout: 5 * heartbeat},
		})
		failed = errors.Join(failed, err)
		runtimes[i] = runtime
	}
	r.ready = func() bool {
		return !slices.ContainsFunc(runtimes, func(m *membership.Runtime) bool {
			return len(m.View().Epoch.Members) < len(runtimes)
		})
	}
	return func(ctx context.Context) error {
		if failed != nil {
			return failed
		}
		group, ctx := errgroup.WithContext(ctx)
		for _, runtime := range runtimes {
			group.Go(func() error { return runtime.Run(ctx) })
		}
		return group.Wait()
	}
}

// ejectionLayer runs detectors, reporters and arbiters for count services. All attempts succeed.
func ejectionLayer(r *rig, count int) layerRun {
	specs := make([]settings.Service, count)
	for s := range specs {
		specs[s].Name = settings.ServiceName(fmt.Sprintf("service-%d", s))
		specs[s].Policy.Floor = 0.5
		for u := range upstreamsPerService {
			id := settings.UpstreamID(fmt.Sprintf("service-%d-%d", s, u))
			specs[s].Upstreams = append(specs[s].Upstreams, settings.Upstream{ID: id, Slots: 6, Connections: 360})
		}
	}
	services := func(yield func(*settings.Service) bool) {
		for s := range specs {
			if !yield(&specs[s]) {
				return
			}
		}
	}
	reporters := make([]*ejection.Service, len(r.nodes))
	for i, node := range r.nodes {
		reporters[i] = ejection.NewService(ejection.Options{
			Views: node, Caller: node.transport, Registrar: node.transport, Clock: clock.System{}, Services: services,
		})
	}
	return func(ctx context.Context) error {
		group, ctx := errgroup.WithContext(ctx)
		for i, reporter := range reporters {
			reporter.OnView(nil, r.nodes[i].View())
			group.Go(func() error { return reporter.Run(ctx) })
		}
		total := count * upstreamsPerService
		runAtRate(ctx, float64(total*upstreamRequestRate), func(i int) {
			spec := &specs[i%total/upstreamsPerService]
			done := reporters[i/total%len(reporters)].Start(spec.Name, spec.Upstreams[i%upstreamsPerService].ID)
			done(outlier.OK)
		})
		return group.Wait()
	}
}

// operationsLayer claims and completes count operations per second, distributed over all hosts.
func operationsLayer(r *rig, count int) layerRun {
	operations := make([]*idempotency.Operations, len(r.nodes))
	for i, node := range r.nodes {
		operations[i] = idempotency.New(idempotency.Options{
			Views: node, Caller: node.transport, Registrar: node.transport, Clock: clock.System{},
		})
	}
	return func(ctx context.Context) error {
		group, ctx := errgroup.WithContext(ctx)
		for i, o := range operations {
			o.OnView(nil, r.nodes[i].View())
			group.Go(func() error { return o.Run(ctx) })
		}
		var tasks sync.WaitGroup
		runAtRate(ctx, float64(count), func(i int) {
			tasks.Go(func() { operate(ctx, operations[i%len(operations)], &r.rejected) })
		})
		tasks.Wait()
		return group.Wait()
	}
}

// operate runs one operation whose response has a body of 100 bytes.
func operate(ctx context.Context, o *idempotency.Operations, rejected *atomic.Int64) {
	claim, err := o.Begin(ctx, idempotency.Operation{
		Customer: "customer-1", ID: uuid.Must(uuid.NewV7()).String(), Deadline: time.Now().Add(operationTimeout),
		Claims: settings.ClaimsInMemory,
	})
	if err != nil || claim.Complete == nil {
		if ctx.Err() == nil { // an operation that is interrupted by the end of the measurement was not rejected
			rejected.Add(1)
		}
		return
	}
	sleep(ctx, operationDuration)
	claim.Complete(idempotency.Result{State: idempotency.Done, Status: 200, Body: make([]byte, 100)})
}

// epochOf returns the first epoch of the hosts at the given peer addresses.
func epochOf(addresses []string) fleet.Epoch {
	epoch := fleet.Epoch{Number: 1}
	for i, address := range addresses {
		epoch.Members = append(epoch.Members, fleet.Member{
			ID: hostID(i), Incarnation: 1, PeerAddress: address, Capacity: 1, State: fleet.Active,
		})
	}
	return epoch
}

func hostID(i int) fleet.HostID { return fleet.HostID(fmt.Sprintf("host-%02d", i+1)) }
