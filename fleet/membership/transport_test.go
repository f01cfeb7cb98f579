package membership

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
	"github.com/bronzeyard/bronzeyard/storage"
	"github.com/bronzeyard/bronzeyard/storage/memory"
)

// transportHost is a Runtime on a real transport over loopback.
type transportHost struct {
	runtime   *Runtime
	transport *peer.Transport
	stop      context.CancelFunc
	sent      atomic.Int64
}

// TestOverTransport guards against a mismatch between the Runtime and the real transport: three hosts must join over loopback in
// real time, and one that ends must be excluded.
func TestOverTransport(t *testing.T) {
	table, changed := memory.NewTable(), make(chan struct{}, 1)
	var tasks errgroup.Group
	hosts := make([]*transportHost, 3)
	for i := range hosts {
		hosts[i] = startTransportHost(t, fmt.Sprint("w", i), table, changed, &tasks)
	}
	await(t, changed, hosts, 3)
	measureSentBytes(t, hosts)
	hosts[2].end()
	await(t, changed, hosts[:2], 2)
	hosts[0].end()
	hosts[1].end()
	if err := tasks.Wait(); err != nil {
		t.Fatal(err)
	}
}

func startTransportHost(
	t *testing.T, name string, table storage.Table, changed chan struct{}, tasks *errgroup.Group,
) *transportHost {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &transportHost{}
	self := fleet.Member{
		ID: fleet.HostID(name), Incarnation: 1, Capacity: 1, PeerAddress: listener.Addr().String(), DataCentre: "dc",
	}
	h.transport, err = peer.New(peer.Options{Self: self.Identity(), Listener: &sentListener{listener, &h.sent}, Dial: h.dial})
	if err != nil {
		t.Fatal(err)
	}
	h.runtime, err = New(Options{
		Table: table, Cell: "test", Self: self, Caller: h.transport, Registrar: h.transport, Clock: clock.System{},
		AppliedRevision: func() uint64 { return 0 },
		OnView:          func(*fleet.View, *fleet.View) { notify(changed) },
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	tasks.Go(func() error { return h.transport.Serve(ctx) })
	tasks.Go(func() error { return h.runtime.Run(ctx) })
	return h
}

// end stops the host as a crash does.
func (h *transportHost) end() {
	h.stop()
	_ = h.transport.Close()
}

// await waits until all hosts are active members of an epoch of count members.
func await(t *testing.T, changed <-chan struct{}, hosts []*transportHost, count int) {
	t.Helper()
	limit := time.After(30 * time.Second)
	for !complete(hosts, count) {
		select {
		case <-changed:
		case <-limit:
			t.Fatalf("no epoch of %d active members within 30 s: %+v", count, hosts[0].runtime.Status())
		}
	}
}

func complete(hosts []*transportHost, count int) bool {
	for _, h := range hosts {
		v := h.runtime.View()
		if v.Learner || len(v.Epoch.Members) != count || !v.ActiveAt(clock.System{}.Now()) {
			return false
		}
	}
	return true
}

// measureSentBytes logs the number of bytes that a host sends, without TLS.
func measureSentBytes(t *testing.T, hosts []*transportHost) {
	if !*measureLarge {
		return
	}
	const duration = 10 * time.Second
	before := hosts[0].sent.Load()
	<-time.After(duration)
	sent := float64(hosts[0].sent.Load() - before)
	exchanges := float64(2*(len(hosts)-1)) * float64(duration) / float64(300*time.Millisecond)
	t.Logf("a host of %d sends %.0f bytes per second, which is %.0f bytes for each exchange that it starts or responds to",
		len(hosts), sent/duration.Seconds(), sent/exchanges)
}

func (h *transportHost) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	return &sentConn{conn, &h.sent}, err
}

// sentListener and sentConn count the bytes that a host sends.
type sentListener struct {
	net.Listener
	sent *atomic.Int64
}

func (l *sentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &sentConn{conn, l.sent}, nil
}

type sentConn struct {
	net.Conn
	sent *atomic.Int64
}

func (c *sentConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}
