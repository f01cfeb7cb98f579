package capacitybench

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bronzeyard/bronzeyard/emulator/deployment"
	"github.com/bronzeyard/bronzeyard/emulator/local"
)

// Options of a run.
type Options struct {
	Deployment *deployment.Deployment
	// Hosts are the sizes to measure. Default 3, 8 and 16.
	Hosts []int
	// Duration of each measurement. Default 10 s.
	Duration time.Duration
}

// Point is the cost of control at one size, for each host.
type Point struct {
	Hosts int `json:"hosts"`
	// ProcessorPercent is in per cent of a core.
	ProcessorPercent float64 `json:"processor_percent"`
	// PeerBytes are the bytes on links between hosts, per second, sent and received, without the headers of TCP and IP.
	PeerBytes float64 `json:"peer_bytes_per_second"`
	// PeerWrites are the writes to links between hosts, per second.
	PeerWrites float64 `json:"peer_writes_per_second"`
	// HeapKiB is the live heap.
	HeapKiB    float64 `json:"heap_kib"`
	Goroutines float64 `json:"goroutines"`
	// TableReads and TableWrites are per second.
	TableReads  float64 `json:"table_reads_per_second"`
	TableWrites float64 `json:"table_writes_per_second"`
}

// Report is the result of a run.
type Report struct {
	Points []Point `json:"points"`
}

const (
	defaultDuration = 10 * time.Second
	settleTime      = 3 * time.Second
	readyTimeout    = 30 * time.Second
)

// Run measures each size.
func Run(ctx context.Context, options Options) (Report, error) {
	if len(options.Hosts) == 0 {
		options.Hosts = []int{3, 8, 16}
	}
	if options.Duration == 0 {
		options.Duration = defaultDuration
	}
	var report Report
	for _, hosts := range options.Hosts {
		point, err := measure(ctx, &options, hosts)
		if err != nil {
			return report, err
		}
		report.Points = append(report.Points, point)
	}
	return report, nil
}

// sample is what the process and its links have used so far.
type sample struct {
	at        time.Time
	processor time.Duration
	bytes     int64
	writes    int64
	reads     int
	stored    int
}

func measure(ctx context.Context, options *Options, hosts int) (Point, error) {
	before := heap()
	counter := &linkCounter{}
	fleet, err := local.Start(ctx, local.Options{Deployment: options.Deployment, Hosts: hosts, Dial: counter.dial})
	if err != nil {
		return Point{}, err
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := fleet.WaitReady(ready); err != nil {
		return Point{}, err
	}
	wait(ctx, settleTime)
	begin := take(fleet, counter)
	wait(ctx, options.Duration)
	end := take(fleet, counter)
	point := perHost(hosts, begin, end)
	point.HeapKiB = float64(heap()-before) / 1024 / float64(hosts)
	point.Goroutines = float64(runtime.NumGoroutine()) / float64(hosts)
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
		TableReads:       rate(float64(end.reads - begin.reads)),
		TableWrites:      rate(float64(end.stored - begin.stored)),
	}
}

func take(fleet *local.Fleet, counter *linkCounter) sample {
	reads, writes := fleet.Table.Counts()
	return sample{
		at: time.Now(), processor: processorTime(), bytes: counter.bytes.Load(), writes: counter.writes.Load(),
		reads: reads, stored: writes,
	}
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic("capacitybench: getrusage: " + err.Error())
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// linkCounter counts the traffic of links at the dialling end, in both directions. Each link is dialled by one host, so
// the sum over all links counts every byte once as sent and once as received, and the mean per host counts both ends.
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
	return &countedConn{Conn: conn, counter: c}, nil
}

// bothEnds counts a byte for its sender and for its receiver.
const bothEnds = 2

type countedConn struct {
	net.Conn
	counter *linkCounter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(bothEnds * int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(bothEnds * int64(n))
	c.counter.writes.Add(1)
	return n, err
}
