package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/gateway/quota"
	"github.com/bronzeyard/bronzeyard/gateway/relay"
	"github.com/bronzeyard/bronzeyard/settings"
)

// The size of the large deployments.
const (
	benchHosts     = 48
	benchUpstreams = 148
	benchOpen      = 40
	benchCustomers = 80
)

// BenchmarkPick measures a choice among the upstreams of a service with many open breakers.
func BenchmarkPick(b *testing.B) {
	now := time.Now()
	breakers := breaker.New("host-0")
	var hosts []string
	for i := range benchHosts {
		hosts = append(hosts, fmt.Sprint("host-", i))
	}
	breakers.SetHosts(hosts)
	var upstreams []settings.Upstream
	for i := range benchUpstreams {
		id := settings.UpstreamID(fmt.Sprint("i-", i))
		upstreams = append(upstreams, settings.Upstream{ID: id, Slots: 6, DataCentre: fmt.Sprint("dc-", i%3)})
		if i < benchOpen {
			breakers.Report(now, id, breaker.Broken)
		}
	}
	pool := placement.New("dc-0", rand.New(rand.NewPCG(1, 2)))
	for b.Loop() {
		choice, _ := pool.Pick(now, upstreams, placement.Request{}, breakers)
		pool.Done(now, choice.Upstream.ID, placement.Outcome{})
	}
}

// BenchmarkApplyReport measures the processing of another host's usage report on 16 customers that all hosts serve.
func BenchmarkApplyReport(b *testing.B) {
	now := time.Now()
	limiter := quota.New()
	limit := quota.Limit{Rate: 30, Burst: 30, Tolerance: 5}
	limitOf := func(settings.CustomerID) (quota.Limit, bool) { return limit, true }
	var others []string
	for i := range benchHosts - 1 {
		others = append(others, fmt.Sprint("host-", i))
	}
	limiter.SetHosts(others)
	uses := make([]quota.Usage, 16)
	count := uint64(0)
	for n := 0; b.Loop(); n++ {
		now = now.Add(time.Millisecond)
		count++
		for i := range uses {
			uses[i] = quota.Usage{Customer: settings.CustomerID(fmt.Sprint("c-", (n+i)%benchCustomers)), Admitted: count, Requested: count}
		}
		limiter.ApplyReport(now, others[n%len(others)], uses, limitOf)
	}
}

// byteCounter counts what is written.
type byteCounter struct{ n int }

func (c *byteCounter) Write(p []byte) (int, error) {
	c.n += len(p)
	return len(p), nil
}

// BenchmarkDecisionLog measures the cost of a line about a successful request with one attempt, and of a line that is skipped
// because the rate limit is exhausted.
func BenchmarkDecisionLog(b *testing.B) {
	event := &relay.Event{
		RequestID: "9c41d07be2a35f68", Method: "POST", Route: "r-tappkzy", Service: "nyle42b", Customer: "tilo262", Status: 200,
		TimeLimit: 2500 * time.Millisecond, Total: 480 * time.Millisecond, Settings: 12, SettingsAge: 7690 * time.Millisecond,
		Tokens: 23.4, LiveHosts: 14,
		Attempts: []relay.AttemptEvent{{
			Upstream: "i-4e28191d9e", Outcome: relay.Answered, Status: 200, Took: 478 * time.Millisecond, Load: 0.67,
			RegistryAge: 783 * time.Millisecond, Reused: true,
		}},
	}
	for name, lines := range map[string]rate.Limit{"written": rate.Inf, "skipped": 0} {
		b.Run(name, func(b *testing.B) {
			output := &byteCounter{}
			log := newDecisionLog(zerolog.New(output).With().Timestamp().Str("host", "edge-luzon-a-4").Logger())
			log.successes.SetLimit(lines)
			b.ReportAllocs()
			for b.Loop() {
				log.request(event)
			}
			b.ReportMetric(float64(output.n)/float64(b.N), "bytes/line")
		})
	}
}
