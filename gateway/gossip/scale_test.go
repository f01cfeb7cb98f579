package gossip

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/gateway/quota"
	"github.com/bronzeyard/bronzeyard/settings"
)

// BenchmarkFleet measures the CPU time and the packets that gossip costs each host, by the number of hosts in five data
// centres. Each host reports the usage of three customers with each heartbeat and sends one notice per second.
func BenchmarkFleet(b *testing.B) {
	for _, hosts := range []int{16, 60, 177} {
		b.Run(fmt.Sprint(hosts, " hosts"), func(b *testing.B) {
			for range b.N {
				runFleet(b, hosts)
			}
		})
	}
}

func runFleet(b *testing.B, hosts int) {
	const length = 5 * time.Second
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	var nodes []*Node
	var records []Record
	for i := range hosts {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		n := New(Options{
			Self: Record{
				ID: fmt.Sprint("edge-", i), Incarnation: 7, Address: conn.LocalAddr().String(), CallerAddress: "127.0.0.1:1",
				DataCentre: fmt.Sprint("dc-", i%5), Key: NewKey(),
			},
			Conn: conn, Configuration: func() (uint64, time.Duration) { return 12, 3 * time.Second },
			RetryUsage: func(time.Time, bool) []quota.Usage { return nil },
			Registry:   func(time.Time) RegistryState { return RegistryState{Digest: 99, Age: time.Second, Synced: true} },
			Usage: func(_ time.Time, urgentOnly bool) []quota.Usage {
				if urgentOnly {
					return nil
				}
				return make([]quota.Usage, 3)
			},
			Receive: func(time.Time, *Message) {}, HostFound: func(string) {}, UnknownHost: func(string) {}, HostReturned: func(string) {},
		})
		nodes, records = append(nodes, n), append(records, n.options.Self)
	}
	for _, n := range nodes {
		n.Update(time.Now(), records)
		go n.Run(ctx)
	}
	begin := cpuTime()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-ticker.C {
		for i, n := range nodes {
			n.QueueNotices([]breaker.Notice{{Kind: breaker.NoticeTrialStarted, Upstream: settings.UpstreamID(fmt.Sprint("i-", i))}})
		}
	}
	var sent int64
	for _, n := range nodes {
		sentByNode, _, _ := n.Counters()
		sent += sentByNode
	}
	perHost := length.Seconds() * float64(hosts)
	b.ReportMetric(1000*(cpuTime()-begin).Seconds()/perHost, "ms/s-host")
	b.ReportMetric(float64(sent)/perHost, "sent/s-host")
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
