package gateway

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/addressing"
	"github.com/bronzeyard/bronzeyard/gateway/gossip"
	"github.com/bronzeyard/bronzeyard/gateway/pipeline"
)

const (
	// weightInterval is the interval at which this host measures its traffic and checks whether hosts are weighted and whether it has too
	// many callers.
	weightInterval = addressing.HandoverWindow / 2
	// messageOverheadBytes is the mean size of the request line or status line and of the header of a message.
	messageOverheadBytes = 512
)

// addressWeights supplies the capacities of hosts for address responses. The counts are updated by requests, and the other fields by one
// goroutine.
type addressWeights struct {
	// disabled is set if responses list all live hosts.
	disabled                        bool
	requests, bytes, heldByteMillis atomic.Int64
	// traffic is the mean traffic of this host; nil before the first measurement.
	traffic atomic.Pointer[addressing.Traffic]
	listed  atomic.Pointer[listedAddresses]
	// served is the number of requests in each second of the last addressing.HandoverWindow.
	served atomic.Pointer[[2]int]
}

// listedAddresses describes the responses to callers of this host's data centre.
type listedAddresses struct {
	weighted bool
	// weight is the share of this host in the capacity of its data centre, 0 if hosts are not weighted.
	weight float64
	count  int
}

// measure calls serve and counts the request. The link carries the bodies in both directions: a request comes from the caller and goes
// to an upstream, and a response the other way.
func (w *addressWeights) measure(request *pipeline.Request, serve func() *pipeline.Response) *pipeline.Response {
	startedAt, size := time.Now(), int64(len(request.Body))
	response := serve()
	size += int64(len(response.Body)) + 2*messageOverheadBytes
	w.requests.Add(1)
	w.bytes.Add(size)
	w.heldByteMillis.Add(size * time.Since(startedAt).Milliseconds())
	return response
}

// hosts returns the live hosts of a data centre that are not leaving, with their capacities. It returns none if the response must list
// other hosts, because weights are not in use, there are too few or this host may be isolated.
func (w *addressWeights) hosts(now time.Time, known []gossip.Host, dataCentre string, inTouch bool) []addressing.Host {
	if w.disabled || mayBeIsolated(now, known, inTouch) {
		return nil
	}
	var traffic addressing.Traffic
	if measured := w.traffic.Load(); measured != nil {
		traffic = *measured
	} else {
		traffic = (&addressing.Meter{}).Traffic()
	}
	var local []addressing.Host
	for i := range known {
		host := &known[i]
		if host.Leaving || host.DataCentre != dataCentre || !isHeard(now, host) {
			continue
		}
		resources := addressing.Resources{
			ProcessorShare: host.ProcessorShare, LinkMbps: host.LinkMbps, BufferBytes: float64(host.MemoryBytes) / bufferDivisor,
		}
		local = append(local, addressing.Host{
			ID: host.ID, Address: host.CallerAddress, Capacity: addressing.Capacity(resources, traffic),
		})
	}
	if len(local) < minLocalHosts {
		return nil
	}
	return local
}

// report returns the number of requests that this host has served in the last 2 s. They are reported while hosts are weighted.
func (w *addressWeights) report() (requests int, report bool) {
	listed, served := w.listed.Load(), w.served.Load()
	if listed == nil || !listed.weighted || served == nil {
		return 0, false
	}
	return served[0] + served[1], true
}

// loads returns the loads of those of the weighted hosts that have reported them, and of this one.
func (w *addressWeights) loads(weighted []addressing.Host, known []gossip.Host, self string) []addressing.Load {
	served := make(map[string]int, len(weighted))
	for i := range known {
		if known[i].Counted {
			served[known[i].ID] = known[i].Served
		}
	}
	if own, ok := w.report(); ok {
		served[self] = own
	}
	loads := make([]addressing.Load, 0, len(weighted))
	for i := range weighted {
		if n, ok := served[weighted[i].ID]; ok {
			loads = append(loads, addressing.Load{Host: weighted[i], Served: n})
		}
	}
	return loads
}

func (w *addressWeights) gauges() (weight float64, count int) {
	if listed := w.listed.Load(); listed != nil {
		return listed.weight, listed.count
	}
	return 0, 0
}

// weightSampler measures the traffic of this host. Its control loop is the only user.
type weightSampler struct {
	meter                           addressing.Meter
	requests, bytes, heldByteMillis int64
	processorTime                   time.Duration
}

// sample adds what the requests have taken since the previous call.
func (s *weightSampler) sample(now time.Time, w *addressWeights, processorTime time.Duration) {
	requests, bytes, held := w.requests.Load(), w.bytes.Load(), w.heldByteMillis.Load()
	s.meter.Add(now, addressing.Sample{
		Requests: float64(requests - s.requests), Bytes: float64(bytes - s.bytes),
		HeldByteSeconds: float64(held-s.heldByteMillis) / float64(time.Second/time.Millisecond), ProcessorTime: processorTime - s.processorTime,
	})
	last := [2]int{0, int(requests - s.requests)}
	if before := w.served.Load(); before != nil {
		last[0] = before[1]
	}
	w.served.Store(&last)
	s.requests, s.bytes, s.heldByteMillis, s.processorTime = requests, bytes, held, processorTime
	traffic := s.meter.Traffic()
	w.traffic.Store(&traffic)
}

// runAddressWeights measures the traffic and reports whether hosts are weighted, until ctx ends.
func (g *Gateway) runAddressWeights(ctx context.Context) {
	ticker := time.NewTicker(weightInterval)
	defer ticker.Stop()
	sampler := weightSampler{processorTime: processorTime()}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			sampler.sample(now, &g.weights, processorTime())
			g.updateListed(now)
		}
	}
}

// updateListed updates the gauges, logs when weighting starts or ends for the data centre of this host, and hands callers over.
func (g *Gateway) updateListed(now time.Time) {
	hosts, inTouch, dataCentre := g.knownHosts(now), g.inTouch(now), g.options.DataCentre
	weighted := g.weights.hosts(now, hosts, dataCentre, inTouch)
	listed := &listedAddresses{}
	if listed.weighted = addressing.Uneven(weighted); listed.weighted {
		listed.weight, listed.count = addressing.Share(weighted, g.options.HostID), addressing.Length(weighted, MaxAddresses)
	} else {
		listed.count = min(MaxAddresses, len(addressesOf(now, hosts, dataCentre, inTouch)))
	}
	before := g.weights.listed.Swap(listed)
	wasWeighted := before != nil && before.weighted
	if listed.weighted != wasWeighted {
		g.log.weightingChanged(listed.weighted, listed.weight, listed.count)
	}
	closing := 0
	if listed.weighted && g.Ready() {
		loads := g.weights.loads(weighted, hosts, g.options.HostID)
		closing = addressing.Handover(loads, g.options.HostID, *g.weights.served.Load(), int(g.server.Connections()))
	}
	g.server.HandOver(closing)
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0 // unreachable: the arguments are valid
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
