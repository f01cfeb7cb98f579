package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/gateway/quota"
	"github.com/bronzeyard/bronzeyard/settings"
)

// The size of the grown deployments.
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

// BenchmarkHeard measures a report of another host on 16 customers that all hosts serve.
func BenchmarkHeard(b *testing.B) {
	now := time.Now()
	limiter := quota.New()
	limit := quota.Limit{Rate: 30, Burst: 30, Tolerance: 5}
	limitOf := func(settings.CustomerID) (quota.Limit, bool) { return limit, true }
	var others []string
	for i := range benchHosts - 1 {
		others = append(others, fmt.Sprint("host-", i))
	}
	limiter.SetHosts(others)
	uses := make([]quota.Use, 16)
	count := uint64(0)
	for n := 0; b.Loop(); n++ {
		now = now.Add(time.Millisecond)
		count++
		for i := range uses {
			uses[i] = quota.Use{Customer: settings.CustomerID(fmt.Sprint("c-", (n+i)%benchCustomers)), Admitted: count, Asked: count}
		}
		limiter.Heard(now, others[n%len(others)], uses, limitOf)
	}
}
