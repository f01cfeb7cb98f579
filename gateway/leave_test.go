package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Guards against requests that a leaving host accepts so late that they do not finish within its grace period. This can happen
// if callers cache addresses for longer than half of the grace period.
func TestListenerClosesInTheFirstHalfOfTheGrace(t *testing.T) {
	const grace = time.Second
	s := newFakeStore()
	close(s.records)
	close(s.upstreams)
	g, err := New(t.Context(), Options{
		HostID: "a", DataCentre: "north", CallerAddress: "127.0.0.1:0", GossipAddress: "127.0.0.1:0",
		Configurations: s, Upstreams: s, Hosts: s, Logger: zerolog.Nop(),
		Bounds: Bounds{MaxConfigurationDelay: time.Second, MaxLeavingDelay: time.Second, ShutdownGrace: grace, MaxAddressTTL: grace},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	expectReady(t, g)
	address := g.listener.Addr().String()
	asked := time.Now()
	cancel()
	for {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			break
		}
		_ = conn.Close()
		time.Sleep(time.Millisecond)
	}
	if took := time.Since(asked); took > grace/2 {
		t.Errorf("connections were accepted until %v after the stop, want half of the grace period of %v at most", took, grace)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if took := time.Since(asked); took > grace {
		t.Errorf("the host ended %v after the stop, want the grace period of %v at most", took, grace)
	}
}
