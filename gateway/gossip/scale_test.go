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

// BenchmarkFleet measures the processor time and the datagrams of a host's links, by the number of hosts in five data
// centres. Each host reports three customers' use with each heartbeat and has one notice a second.
func BenchmarkFleet(b *testing.B) {
	for _, hosts := range []int{16, 60, 177} {
		b.Run(fmt.Sprint(hosts, " hosts"), func(b *testing.B) {
			for range b.N {
				playFleet(b, hosts)
			}
		})
	}
}

func playFleet(b *testing.B, hosts int) {
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
			Retries:  func(time.Time, bool) []quota.Use { return nil },
			Registry: func(time.Time) RegistryState { return RegistryState{Digest: 99, Age: time.Second, Settled: true} },
			Uses: func(_ time.Time, urgent bool) []quota.Use {
				if urgent {
					return nil
				}
				return make([]quota.Use, 3)
			},
			Receive: func(time.Time, *Message) {}, Found: func(string) {}, Unknown: func(string) {}, Returned: func(string) {},
		})
		nodes, records = append(nodes, n), append(records, n.options.Self)
	}
	for _, n := range nodes {
		n.Update(time.Now(), records)
		go n.Run(ctx)
	}
	begin := processorTime()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-ticker.C {
		for i, n := range nodes {
			n.Tell([]breaker.Notice{{Kind: breaker.NoticeTrialStarted, Upstream: settings.UpstreamID(fmt.Sprint("i-", i))}})
		}
	}
	var sent int64
	for _, n := range nodes {
		one, _, _ := n.Counters()
		sent += one
	}
	perHost := length.Seconds() * float64(hosts)
	b.ReportMetric(1000*(processorTime()-begin).Seconds()/perHost, "ms/s-host")
	b.ReportMetric(float64(sent)/perHost, "sent/s-host")
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
