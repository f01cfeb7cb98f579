package capacitybench

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
)

// rig is a set of hosts that run one layer of the fleet over real links. Epoch and lease are fixed: the measured cost of the
// layer does not include that of membership.
type rig struct {
	nodes   []*rigNode
	counter *linkCounter
	// rejected counts operations that were not granted. A measurement is valid only if it stays 0.
	rejected atomic.Int64
	// ready reports whether the settle time may begin. Nil if it may begin at once.
	ready func() bool
}

type rigNode struct {
	transport *peer.Transport
	view      *fleet.View
}

// View implements fleet.ViewSource.
func (n *rigNode) View() *fleet.View { return n.view }

// layerRun runs a layer under its load until ctx ends.
type layerRun func(ctx context.Context) error

// layer is one layer of the fleet under a load of a given size.
type layer struct {
	name string
	// unit is the unit of counts, the sizes of the load.
	unit   string
	counts []int
	build  func(r *rig, count int) layerRun
	// hosts returns the number of hosts for a size. Default layerHosts.
	hosts func(count int) int
}

// layers returns the layers to measure, at sizes around the design target (docs/CAPACITY.md).
func layers() []layer {
	countIsHosts := func(count int) int { return count }
	sixteen := func(int) int { return maxCellSize }
	return []layer{
		{"membership", "hosts of the cell", []int{4, 8, 16}, membershipSizeLayer, countIsHosts},
		{"membership by interval", "ms between heartbeats", []int{300, 600, 1200}, heartbeatIntervalLayer, sixteen},
		{"rate limits", "customers with 1 request/s at each of 3 hosts", []int{100, 400, 1600}, customersLayer, nil},
		{"rate limits by demand", "requests/s of each of 100 customers at each of 3 hosts", []int{1, 4, 16}, demandLayer, nil},
		{"rate limits at the owner", "customers with 3 requests/s at their owner", []int{100, 400, 1600}, ownersLayer, nil},
		{"ejection", "services with 20 upstreams with 10 requests/s each", []int{2, 8, 32}, ejectionLayer, nil},
		{"operations", "operations/s of the cell", []int{50, 200, 800}, operationsLayer, nil},
	}
}

// maxCellSize is the maximum number of members of a cell.
const maxCellSize = 16

func newRig(ctx context.Context, hosts int) (*rig, error) {
	r := &rig{counter: &linkCounter{}}
	addresses := make([]string, hosts)
	for i := range hosts {
		var config net.ListenConfig
		listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Join(err, r.close())
		}
		addresses[i] = listener.Addr().String()
		transport, err := peer.New(peer.Options{
			Self: fleet.Identity{ID: hostID(i), Incarnation: 1}, Listener: listener, Dial: r.counter.dial,
		})
		if err != nil {
			return nil, errors.Join(err, listener.Close(), r.close())
		}
		r.nodes = append(r.nodes, &rigNode{transport: transport})
	}
	epoch, now := epochOf(addresses), clock.System{}.Now()
	for i, node := range r.nodes {
		node.view = &fleet.View{
			Self: epoch.Members[i].Identity(), Epoch: epoch, ActiveUntil: now.Add(time.Hour), TakeoverAt: now, LearnedAt: now,
		}
	}
	return r, nil
}

// owner returns the index of the host that owns the key.
func (r *rig) owner(key string) int {
	member, _ := r.nodes[0].view.Epoch.Owner(key)
	return slices.IndexFunc(r.nodes, func(n *rigNode) bool { return n.view.Self == member.Identity() })
}

func (r *rig) close() error {
	var errs []error
	for _, node := range r.nodes {
		errs = append(errs, node.transport.Close())
	}
	return errors.Join(errs...)
}

// measureLayer measures one layer at one size.
func measureLayer(ctx context.Context, options *Options, l *layer, count int) (Point, error) {
	before := liveHeap()
	hosts := layerHosts
	if l.hosts != nil {
		hosts = l.hosts(count)
	}
	r, err := newRig(ctx, hosts)
	if err != nil {
		return Point{}, err
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	group, running := errgroup.WithContext(running)
	run := l.build(r, count)
	for _, node := range r.nodes {
		group.Go(func() error { return node.transport.Serve(running) })
	}
	group.Go(func() error { return run(running) })
	for r.ready != nil && !r.ready() && running.Err() == nil {
		sleep(running, tickInterval)
	}
	sleep(running, options.SettleTime)
	begin := takeLinkSample(r.counter)
	sleep(running, options.Duration)
	end := takeLinkSample(r.counter)
	point := perHost(hosts, begin, end)
	point.Layer, point.Unit, point.Count = l.name, l.unit, count
	point.HeapKiB = kib(liveHeap()-before, hosts)
	point.Goroutines = goroutines(hosts)
	stop()
	err = errors.Join(group.Wait(), r.close())
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	if rejected := r.rejected.Load(); err == nil && rejected > 0 {
		err = fmt.Errorf("capacitybench: %d operations were rejected during the measurement of %s", rejected, l.name)
	}
	return point, err
}
