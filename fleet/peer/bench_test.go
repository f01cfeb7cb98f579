package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// BenchmarkCall measures one call with TLS over loopback, and the bytes that it sends and receives.
func BenchmarkCall(b *testing.B) {
	issuer := newAuthority(b)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server, err := New(Options{Self: fleet.Identity{ID: "server"}, Listener: listener, TLS: issuer.config(b, "server")})
	if err != nil {
		b.Fatal(err)
	}
	server.Handle("echo", func() proto.Message { return &wrapperspb.StringValue{} }, handleEcho)
	go func() { _ = server.Serve(b.Context()) }()
	var wire atomic.Int64
	caller, err := New(Options{
		Self: fleet.Identity{ID: "client"}, TLS: issuer.config(b, "client"),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			return &measuredConn{Conn: conn, bytes: &wire}, err
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	defer func() { _ = caller.Close() }()
	b.ReportAllocs()
	for b.Loop() {
		ctx, cancel := context.WithTimeout(b.Context(), 10*time.Second)
		if err := caller.Call(ctx, listener.Addr().String(), "echo", wrapperspb.String("x"), &wrapperspb.StringValue{}); err != nil {
			b.Fatal(err)
		}
		cancel()
	}
	b.ReportMetric(float64(wire.Load())/float64(b.N), "wire-B/op")
}

// measuredConn counts the bytes in both directions, including TLS but not the TCP and IP headers.
type measuredConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *measuredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *measuredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
