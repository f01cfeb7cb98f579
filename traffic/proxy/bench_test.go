package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

// BenchmarkForward measures a request over loopback, sent directly to the upstream and through the proxy. Client, proxy and
// upstream share the process, so the allocations of the proxy are the difference between the two.
func BenchmarkForward(b *testing.B) {
	body := strings.Repeat("x", 1<<10)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
	defer upstream.Close()
	h := newHarness(b, forward.Options{}, time.Minute, strings.TrimPrefix(upstream.URL, "http://"))
	front := httptest.NewServer(h.handler)
	defer front.Close()
	for _, c := range []struct{ name, url, method string }{
		{"direct", upstream.URL + "/lookup/x", http.MethodGet},
		{"proxied", front.URL + "/lookup/x", http.MethodGet},
		{"operation", front.URL + "/booking/x", http.MethodPost},
	} {
		b.Run(c.name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
			defer client.CloseIdleConnections()
			b.ReportAllocs()
			for b.Loop() {
				r, _ := http.NewRequest(c.method, c.url, http.NoBody)
				r.Header.Set("X-Api-Key", testKey)
				if c.method == http.MethodPost {
					r.Header.Set("Idempotency-Key", newOperationID())
				}
				response, err := client.Do(r)
				if err != nil {
					b.Fatal(err)
				}
				n, _ := io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if response.StatusCode != http.StatusOK || n != int64(len(body)) {
					b.Fatalf("status %d, body of %d bytes", response.StatusCode, n)
				}
				select {
				case <-h.operations.(*fakeOperations).completed:
				default:
				}
			}
		})
	}
	h.handler.CloseIdle()
}

// BenchmarkSlowBodies measures the memory of 500 callers that have sent half of a body of 64 KiB and then stop, for
// bodies that are buffered (operations) and for longer ones that are streamed (lookups, 1 MiB).
func BenchmarkSlowBodies(b *testing.B) {
	const callers = 500
	arrived := make(chan struct{}, callers)
	upstream := upstreamServer(b, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.CopyN(io.Discard, r.Body, 32<<10)
		arrived <- struct{}{}
		_, _ = io.Copy(io.Discard, r.Body)
	})
	for _, c := range []struct {
		name, target string
		length       int
	}{{"kept", "/booking/x", 64 << 10}, {"streamed", "/lookup/x", 1 << 20}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				h := newHarness(b, forward.Options{}, time.Minute, upstream)
				front := httptest.NewServer(h.handler)
				before := liveHeap()
				conns := make([]net.Conn, callers)
				for i := range conns {
					conn, err := net.Dial("tcp", front.Listener.Addr().String())
					if err != nil {
						b.Fatal(err)
					}
					conns[i] = conn
					_, _ = fmt.Fprintf(conn, "PUT %s HTTP/1.1\r\nHost: h\r\nX-Api-Key: %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
						c.target, testKey, newOperationID(), c.length, strings.Repeat("x", 32<<10))
				}
				for range conns {
					if c.name == "streamed" {
						<-arrived
					}
				}
				for c.name == "kept" && h.budget.Used() < callers*32<<10 {
					runtime.Gosched()
				}
				b.ReportMetric(float64(liveHeap()-before)/callers, "heap-B/caller")
				b.ReportMetric(float64(h.budget.Used())/callers, "budget-B/caller")
				for _, conn := range conns {
					_ = conn.Close()
				}
				front.Close()
				h.handler.CloseIdle()
			}
		})
	}
}

func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
