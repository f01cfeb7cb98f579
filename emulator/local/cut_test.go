package local_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/emulator/deployment"
	"github.com/bronzeyard/bronzeyard/emulator/local"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
)

// oneWayPartition drops the bytes that one host sends to other hosts. Its writes succeed and nothing arrives.
type oneWayPartition struct {
	active atomic.Bool

	mu      sync.Mutex
	hostID  string
	address string // at which the host accepts connections from other hosts
}

func (p *oneWayPartition) set(hostID, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostID, p.address = hostID, address
}

// dial returns the function with which the named host opens connections. Each read and write checks whether the connection
// is affected, because the addresses are known only after the start.
func (p *oneWayPartition) dial(hostID string) peer.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &partitionedConn{Conn: conn, partition: p, from: hostID, to: address}, nil
	}
}

// applies reports whether the partitioned host dialled or accepted a connection. Both are false while the partition is not
// active.
func (p *oneWayPartition) applies(from, to string) (dialled, accepted bool) {
	if !p.active.Load() {
		return false, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return from == p.hostID, to == p.address
}

type partitionedConn struct {
	net.Conn
	partition *oneWayPartition
	from, to  string
}

func (c *partitionedConn) Write(data []byte) (int, error) {
	if dialled, _ := c.partition.applies(c.from, c.to); dialled {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

func (c *partitionedConn) Read(data []byte) (int, error) {
	for {
		n, err := c.Conn.Read(data)
		if _, accepted := c.partition.applies(c.from, c.to); !accepted || err != nil {
			return n, err
		}
	}
}

const (
	limitedRate  = 20
	limitedBurst = 20
	// callersPerHost is the number of callers of each customer at each host. At all hosts together they request several
	// times the customer's rate.
	callersPerHost = 1
	callerInterval = 20 * time.Millisecond
	// servedByOthers is the number of requests that the other hosts serve before the partition ends.
	servedByOthers = 60
)

// Guards I5 under a one-way partition. Two failures are possible: a host whose messages do not arrive continues to use its
// shares of the rates after the others have redistributed them, or it never stops because it still receives from the others.
// The table is down, so the lease of the partitioned host depends on acknowledgements alone.
func TestOneWayPartitionKeepsRates(t *testing.T) {
	t.Parallel()
	d := smallDeployment(deployment.Service{Name: "logbook", Upstreams: 3, Idempotent: true})
	for i := range d.Customers {
		d.Customers[i].Rate, d.Customers[i].Burst = limitedRate, limitedBurst
	}
	partition := &oneWayPartition{}
	fleet := startFleet(t, local.Options{Deployment: d, ServiceTime: time.Millisecond, HostDial: partition.dial})
	nodes := fleet.Nodes()
	partitioned, others := nodes[0], nodes[1:]
	partition.set(partitioned.Config.HostID, partitioned.Config.Peer.Listen)
	waitFor(t, "acknowledged by all members", func() bool {
		return !slices.ContainsFunc(nodes, func(node *local.Node) bool { return !isAcknowledged(t, node, len(nodes)) })
	})
	fleet.Table.Faults.SetDown(true)
	generator := startLoad(t, nodes)
	waitFor(t, "all hosts serve", func() bool { return generator.servedByEach(nodes) })

	partition.active.Store(true)
	waitFor(t, "the partitioned host rejects requests", func() bool {
		return !partitioned.Host.Active() && generator.lastKind(partitioned) == "host_inactive"
	})
	stopped := time.Now()
	waitFor(t, "the others continue to serve", func() bool { return generator.servedSince(stopped, others) >= servedByOthers })
	if served := generator.servedSince(stopped, []*local.Node{partitioned}); served != 0 || generator.lastKind(partitioned) != "host_inactive" {
		t.Errorf("the partitioned host served %d requests after it had stopped", served)
	}
	partition.active.Store(false)
	waitFor(t, "the host serves again", func() bool { return generator.servedSince(stopped, []*local.Node{partitioned}) > 0 })
	generator.check(t, fleet)
}

// admission is one request. If it was served, it was admitted between sentAt and respondedAt.
type admission struct {
	customer, path      string
	host                *local.Node
	sentAt, respondedAt time.Time
	served              bool
}

// loadGenerator sends every host requests at several times the rates of all customers and records which were admitted.
type loadGenerator struct {
	stop    context.CancelFunc
	running sync.WaitGroup

	mu    sync.Mutex
	all   []admission
	kinds map[*local.Node]string
}

func startLoad(t *testing.T, nodes []*local.Node) *loadGenerator {
	ctx, stop := context.WithCancel(t.Context())
	g := &loadGenerator{stop: stop, kinds: make(map[*local.Node]string)}
	t.Cleanup(stop)
	for i, node := range nodes {
		for j := range callersPerHost {
			for _, customer := range []string{"desk-1", "desk-2"} {
				client := newClient(t)
				g.running.Go(func() { g.call(ctx, client, node, customer, fmt.Sprintf("/logbook/%s/%d-%d", customer, i, j)) })
			}
		}
	}
	return g
}

func (g *loadGenerator) call(ctx context.Context, client *http.Client, node *local.Node, customer, prefix string) {
	ticker := time.NewTicker(callerInterval)
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		request := admission{customer: customer, path: fmt.Sprintf("%s-%d", prefix, n), host: node, sentAt: time.Now()}
		url := "http://" + node.Config.Caller.Listen + request.path
		// A request in flight is completed, so every request that an upstream recorded is also recorded here.
		got, err := exchange(context.WithoutCancel(ctx), client, http.MethodGet, url, local.Key(customer), "")
		request.respondedAt = time.Now()
		g.record(request, got, err)
		<-ticker.C
	}
}

func (g *loadGenerator) record(request admission, got callerResponse, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.kinds[request.host] = got.kind
	request.served = err == nil && got.status == http.StatusOK
	g.all = append(g.all, request)
}

func (g *loadGenerator) lastKind(node *local.Node) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.kinds[node]
}

// servedSince returns the number of served requests that were sent to the hosts after the given time.
func (g *loadGenerator) servedSince(start time.Time, nodes []*local.Node) (count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range g.all {
		if g.all[i].served && g.all[i].sentAt.After(start) && slices.Contains(nodes, g.all[i].host) {
			count++
		}
	}
	return count
}

func (g *loadGenerator) servedByEach(nodes []*local.Node) bool {
	return !slices.ContainsFunc(nodes, func(node *local.Node) bool { return g.servedSince(time.Time{}, []*local.Node{node}) == 0 })
}

// check stops the load and checks the rate limits. For each interval from the sending of one request to the response to
// another, the requests sent and answered within it were also admitted within it. Rate and burst must cover them. Arrival
// times at the upstreams give no such bound, because requests wait between admission and arrival.
func (g *loadGenerator) check(t *testing.T, fleet *local.Fleet) {
	t.Helper()
	g.stop()
	g.running.Wait()
	seen := make(map[string]bool)
	for _, received := range fleet.Records() {
		seen[received.Target] = true
	}
	for _, customer := range []string{"desk-1", "desk-2"} {
		admitted := slices.DeleteFunc(slices.Clone(g.all), func(a admission) bool { return a.customer != customer || !seen[a.path] })
		if excess := maxExcess(admitted); excess > 0 {
			t.Errorf("%s: %.1f requests admitted beyond its rate and burst", customer, excess)
		}
		t.Logf("%s: %d requests admitted", customer, len(admitted))
	}
}

// maxExcess returns the maximum number of admissions beyond rate and burst over all intervals. It is at most 0 if the
// limit holds.
func maxExcess(admitted []admission) float64 {
	slices.SortFunc(admitted, func(a, b admission) int { return a.respondedAt.Compare(b.respondedAt) })
	excess := -float64(limitedBurst)
	for i := range admitted {
		start, count := admitted[i].sentAt, 0
		for j := range admitted {
			if admitted[j].sentAt.Before(start) {
				continue
			}
			count++
			covered := limitedBurst + limitedRate*admitted[j].respondedAt.Sub(start).Seconds()
			excess = max(excess, float64(count)-covered)
		}
	}
	return excess
}
