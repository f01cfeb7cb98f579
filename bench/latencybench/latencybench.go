package latencybench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bronzeyard/bronzeyard/emulator/deployment"
	"github.com/bronzeyard/bronzeyard/emulator/local"
)

// Options configure a run.
type Options struct {
	// Deployment is run with three hosts. The rate limit of its first customer is raised so far that it rejects nothing.
	// Required.
	Deployment *deployment.Deployment
	// Rate is the number of requests per second on each of the two paths. Default 200.
	Rate int
	// Duration of the load. Default 20 s.
	Duration time.Duration
	Seed     uint64
}

// Report is the result of a run. Times are in milliseconds.
type Report struct {
	Requests int64     `json:"requests_each"`
	Failed   int       `json:"failed"`
	Direct   Quantiles `json:"direct_ms"`
	Proxied  Quantiles `json:"proxied_ms"`
	// Added holds the differences of the quantiles, proxied minus direct.
	Added Quantiles `json:"added_ms"`
}

// Quantiles are quantiles of a latency distribution.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99_9"`
}

const (
	defaultRate        = 200
	defaultDuration    = 20 * time.Second
	serviceTime        = 500 * time.Microsecond
	unlimitedRate      = 1e5
	readyTimeout       = 30 * time.Second
	maxLatency         = 10 * time.Second
	significantFigures = 3
	warmUpRequests     = 200
)

// path is one of the two paths to the upstream: direct or through a host.
type path struct {
	url, key string

	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	failed    int
}

func newPath(url, key string) *path {
	return &path{url: url, key: key, histogram: hdrhistogram.New(1, maxLatency.Microseconds(), significantFigures)}
}

// Run starts the deployment and measures both paths. It returns an error if the deployment does not start, does not become
// ready or does not shut down cleanly. Failed requests are counted in the report.
func Run(ctx context.Context, options Options) (Report, error) {
	setDefaults(&options)
	d := *options.Deployment
	d.Customers = append([]deployment.Customer(nil), d.Customers...)
	d.Customers[0].Rate, d.Customers[0].Burst = unlimitedRate, unlimitedRate
	fleet, err := local.Start(ctx, local.Options{Deployment: &d, ServiceTime: serviceTime, Seed: options.Seed})
	if err != nil {
		return Report{}, err
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := fleet.WaitReady(ready); err != nil {
		return Report{}, errors.Join(err, fleet.Close())
	}
	service := d.Services[0].Name
	direct := newPath("http://"+fleet.Upstreams[service][0].Address()+"/"+service+"/item", "")
	proxied := newPath("http://"+fleet.CallerAddresses()[0]+"/"+service+"/item", local.Key(d.Customers[0].Name))
	sendLoad(ctx, &options, direct, proxied)
	return report(direct, proxied), fleet.Close()
}

func setDefaults(o *Options) {
	if o.Rate == 0 {
		o.Rate = defaultRate
	}
	if o.Duration == 0 {
		o.Duration = defaultDuration
	}
}

// sendLoad sends requests alternately on the paths. Each is sent at its scheduled time, whether or not earlier ones have
// been answered. The first warmUpRequests are not counted.
func sendLoad(ctx context.Context, options *Options, paths ...*path) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: maxLatency}
	var tasks sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(options.Rate*len(paths)))
	defer ticker.Stop()
	total := int(options.Duration.Seconds()) * options.Rate * len(paths)
	for i := range total + warmUpRequests {
		select {
		case <-ctx.Done():
			tasks.Wait()
			return
		case <-ticker.C:
		}
		p := paths[i%len(paths)]
		tasks.Go(func() { p.send(ctx, client, i >= warmUpRequests) })
	}
	tasks.Wait()
}

func (p *path) send(ctx context.Context, client *http.Client, counted bool) {
	start := time.Now()
	err := p.exchange(ctx, client)
	latency := time.Since(start)
	if !counted {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failed++
		return
	}
	_ = p.histogram.RecordValue(min(latency, maxLatency).Microseconds()) // cannot fail: min keeps the value in range
}

func (p *path) exchange(ctx context.Context, client *http.Client) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, http.NoBody)
	if err != nil {
		return err
	}
	if p.key != "" {
		request.Header.Set("Authorization", "Bearer "+p.key)
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", response.Status)
	}
	return nil
}

func report(direct, proxied *path) Report {
	r := Report{
		Requests: min(direct.histogram.TotalCount(), proxied.histogram.TotalCount()), Failed: direct.failed + proxied.failed,
		Direct: direct.quantiles(), Proxied: proxied.quantiles(),
	}
	r.Added = Quantiles{
		P50: r.Proxied.P50 - r.Direct.P50, P99: r.Proxied.P99 - r.Direct.P99, P999: r.Proxied.P999 - r.Direct.P999,
	}
	return r
}

func (p *path) quantiles() Quantiles {
	quantile := func(percent float64) float64 { return float64(p.histogram.ValueAtQuantile(percent)) / 1000 }
	return Quantiles{P50: quantile(50), P99: quantile(99), P999: quantile(99.9)}
}
