package capacitybench

import (
	"context"
	"errors"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bronzeyard/bronzeyard/emulator/deployment"
	"github.com/bronzeyard/bronzeyard/emulator/local"
)

// Options configure a run.
type Options struct {
	Deployment *deployment.Deployment
	// Hosts are the fleet sizes to measure. Default 3, 8 and 16.
	Hosts []int
	// Duration of each measurement. Default 3.6 s.
	Duration time.Duration
	// SettleTime is the time for which a layer runs before it is measured. Default 500 ms.
	SettleTime time.Duration
}

// Point is the cost of the control plane per host at one size.
type Point struct {
	// Layer is empty for whole hosts without traffic. Unit and Count describe the load of a layer.
	Layer string `json:"layer,omitempty"`
	Unit  string `json:"unit,omitempty"`
	Count int    `json:"count,omitempty"`
	Hosts int    `json:"hosts"`
	// ProcessorPercent is in per cent of a core.
	ProcessorPercent float64 `json:"processor_percent"`
	// PeerBytes is the number of bytes per second sent and received on links between hosts, without the headers of TCP and IP.
	PeerBytes float64 `json:"peer_bytes_per_second"`
	// PeerWrites is the number of writes per second to links between hosts.
	PeerWrites float64 `json:"peer_writes_per_second"`
	// HeapKiB is the live heap in KiB.
	HeapKiB    float64 `json:"heap_kib"`
	Goroutines float64 `json:"goroutines"`
	// TableReads and TableWrites are per second.
	TableReads  float64 `json:"table_reads_per_second"`
	TableWrites float64 `json:"table_writes_per_second"`
}

// Report is the result of a run.
type Report struct {
	// Points are measurements of whole hosts, Layers those of single layers.
	Points []Point `json:"points"`
	Layers []Point `json:"layers"`
	// Decisions are durations of decisions on the request path that no other benchmark measures.
	Decisions []Decision `json:"decisions"`
	Memory    []Memory   `json:"memory"`
}

const (
	defaultDuration   = 3600 * time.Millisecond // three times the longest interval that is measured
	defaultSettleTime = 500 * time.Millisecond
	hostSettleTime    = 1500 * time.Millisecond
	readyTimeout      = 30 * time.Second
	maxStartAttempts  = 20
	startRetryDelay   = 200 * time.Millisecond
)

// Run measures memory, decisions, whole hosts and layers at each size. It returns an error if hosts do not start or become
// ready, if a layer fails, or if operations are rejected.
func Run(ctx context.Context, options Options) (Report, error) {
	if len(options.Hosts) == 0 {
		options.Hosts = []int{3, 8, 16}
	}
	if options.Duration == 0 {
		options.Duration = defaultDuration
	}
	if options.SettleTime == 0 {
		options.SettleTime = defaultSettleTime
	}
	memory, err := measureMemory()
	if err != nil {
		return Report{}, err
	}
	report := Report{Decisions: timeDecisions(), Memory: memory}
	for _, hosts := range options.Hosts {
		point, err := measureHosts(ctx, &options, hosts)
		if err != nil {
			return report, err
		}
		report.Points = append(report.Points, point)
	}
	for _, l := range layers() {
		for _, count := range l.counts {
			point, err := measureLayer(ctx, &options, &l, count)
			if err != nil {
				return report, err
			}
			report.Layers = append(report.Layers, point)
		}
	}
	return report, nil
}

// sample holds the cumulative resource use of the process and its links at one time.
type sample struct {
	at          time.Time
	processor   time.Duration
	bytes       int64
	writes      int64
	tableReads  int
	tableWrites int
}

// measureHosts measures whole hosts. It retries if another process bound a port between its selection and its use.
func measureHosts(ctx context.Context, options *Options, hosts int) (Point, error) {
	for attempt := 1; ; attempt++ {
		point, err := measureHostsOnce(ctx, options, hosts)
		if attempt == maxStartAttempts || !errors.Is(err, syscall.EADDRINUSE) {
			return point, err
		}
		sleep(ctx, startRetryDelay)
	}
}

func measureHostsOnce(ctx context.Context, options *Options, hosts int) (Point, error) {
	before := liveHeap()
	counter := &linkCounter{}
	fleet, err := local.Start(ctx, local.Options{Deployment: options.Deployment, Hosts: hosts, Dial: counter.dial})
	if err != nil {
		return Point{}, err
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := fleet.WaitReady(ready); err != nil {
		return Point{}, errors.Join(err, fleet.Close())
	}
	sleep(ctx, hostSettleTime)
	begin := takeSample(fleet, counter)
	// Hosts read the table once a second. With a fraction of a second, one read too many or too few could be counted.
	sleep(ctx, options.Duration.Round(time.Second))
	end := takeSample(fleet, counter)
	point := perHost(hosts, begin, end)
	point.HeapKiB = kib(liveHeap()-before, hosts)
	point.Goroutines = goroutines(hosts)
	return point, fleet.Close()
}

func perHost(hosts int, begin, end sample) Point {
	seconds := end.at.Sub(begin.at).Seconds()
	rate := func(delta float64) float64 { return delta / seconds / float64(hosts) }
	return Point{
		Hosts:            hosts,
		ProcessorPercent: 100 * rate((end.processor - begin.processor).Seconds()),
		PeerBytes:        rate(float64(end.bytes - begin.bytes)),
		PeerWrites:       rate(float64(end.writes - begin.writes)),
		TableReads:       rate(float64(end.tableReads - begin.tableReads)),
		TableWrites:      rate(float64(end.tableWrites - begin.tableWrites)),
	}
}

func takeSample(fleet *local.Fleet, counter *linkCounter) sample {
	s := takeLinkSample(counter)
	s.tableReads, s.tableWrites = fleet.Table.Counts()
	return s
}

func takeLinkSample(counter *linkCounter) sample {
	return sample{
		at: time.Now(), processor: processorTime(), bytes: counter.bytes.Load(), writes: counter.writes.Load(),
	}
}

func kib(bytes int64, hosts int) float64 { return float64(bytes) / 1024 / float64(hosts) }

func goroutines(hosts int) float64 { return float64(runtime.NumGoroutine()) / float64(hosts) }

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic("capacitybench: getrusage: " + err.Error())
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func liveHeap() int64 {
	runtime.GC()
	runtime.GC() // the first one only moves the contents of pools to their victim caches, the second one frees them
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// linkCounter counts the traffic of links in both directions, at the end that dialled. Each link is dialled by one host.
// The sum over all links counts every byte once as sent and once as received, and the mean per host includes both ends.
type linkCounter struct {
	bytes  atomic.Int64
	writes atomic.Int64
}

func (c *linkCounter) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, counter: c}, nil
}

// endsPerLink counts each byte for its sender and for its receiver.
const endsPerLink = 2

type countingConn struct {
	net.Conn
	counter *linkCounter
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(endsPerLink * int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(endsPerLink * int64(n))
	c.counter.writes.Add(1)
	return n, err
}
