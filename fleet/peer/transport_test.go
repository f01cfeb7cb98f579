package peer

import (
	"bufio"
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"math/big"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/peer/peerpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startServer serves a transport with the method "echo" on loopback and returns it with its address.
func startServer(t *testing.T, options Options) (*Transport, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	options.Listener = listener
	if options.Self.ID == "" {
		options.Self = fleet.Identity{ID: "server", Incarnation: 1}
	}
	transport, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	transport.Handle("echo", func() proto.Message { return &wrapperspb.StringValue{} }, handleEcho)
	served := make(chan error, 1)
	go func() { served <- transport.Serve(t.Context()) }()
	t.Cleanup(func() {
		_ = transport.Close()
		if err := <-served; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return transport, listener.Addr().String()
}

// handleEcho returns the caller's host id and the text of the request. Some texts make it fail instead.
func handleEcho(ctx context.Context, from fleet.Identity, req proto.Message) (proto.Message, error) {
	switch text := req.(*wrapperspb.StringValue).GetValue(); text {
	case "inactive":
		return nil, ErrInactive
	case "not owner":
		return nil, ErrNotOwner
	case "fails":
		return nil, errors.New("broken")
	case "unfinished":
		return nil, context.DeadlineExceeded
	case "hangs":
		<-ctx.Done()
		return nil, ctx.Err()
	case "large":
		return wrapperspb.String(strings.Repeat("x", 2000)), nil
	default:
		return wrapperspb.String(string(from.ID) + ":" + text), nil
	}
}

func newClient(t *testing.T, options Options) *Transport {
	t.Helper()
	options.Self = fleet.Identity{ID: "client", Incarnation: 2}
	transport, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = transport.Close() })
	return transport
}

func callEcho(t *testing.T, c *Transport, address, text string, timeout time.Duration) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	resp := &wrapperspb.StringValue{}
	err := c.Call(ctx, address, "echo", wrapperspb.String(text), resp)
	return resp.GetValue(), err
}

// TestOutcomes guards against an outcome that is reported as another one. ErrNotSent for a call that was handled would let an
// operation run twice.
func TestOutcomes(t *testing.T) {
	const limit = 1000
	_, address := startServer(t, Options{MaxMessageBytes: limit})
	c := newClient(t, Options{MaxMessageBytes: 4 * limit})
	cases := []struct {
		text string
		want error
	}{
		{"x", nil},
		{"inactive", ErrInactive},
		{"not owner", ErrNotOwner},
		{"fails", ErrRejected},
		{"unfinished", ErrNoResponse},
		{"large", ErrRejected},
		{strings.Repeat("y", 2*limit), ErrRejected},
		{strings.Repeat("y", 5*limit), ErrNotSent},
		{"hangs", ErrNoResponse},
		{"x", nil},
	}
	for _, test := range cases {
		timeout := 30 * time.Second
		if test.text == "hangs" {
			timeout = 50 * time.Millisecond
		}
		response, err := callEcho(t, c, address, test.text, timeout)
		if !errors.Is(err, test.want) || (err == nil) != (test.want == nil) {
			t.Errorf("%.20s: error %v, want %v", test.text, err, test.want)
		}
		if err == nil && response != "client:x" {
			t.Errorf("response %q, want client:x", response)
		}
	}
	if err := c.Call(t.Context(), address, "echo", wrapperspb.String("x"), &wrapperspb.StringValue{}); !errors.Is(err, ErrNotSent) {
		t.Errorf("call without a deadline: error %v, want ErrNotSent", err)
	}
	if _, err := callEcho(t, c, "127.0.0.1:1", "x", 30*time.Second); !errors.Is(err, ErrNotSent) {
		t.Errorf("call to a closed port: error %v, want ErrNotSent", err)
	}
}

// blackholeConn drops all data in both directions, without closing, while blackholed is set.
type blackholeConn struct {
	net.Conn
	blackholed *atomic.Bool
	closed     chan struct{}
}

func (c *blackholeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.blackholed.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *blackholeConn) Close() error {
	close(c.closed)
	return c.Conn.Close()
}

// TestStaleSessionIsReplaced guards against a connection that drops all data and makes every later call fail.
func TestStaleSessionIsReplaced(t *testing.T) {
	_, address := startServer(t, Options{})
	var dials atomic.Int32
	var blackholed atomic.Bool
	c := newClient(t, Options{
		StaleSessionTimeout: time.Millisecond,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if dials.Add(1) > 1 {
				return conn, err
			}
			return &blackholeConn{Conn: conn, blackholed: &blackholed, closed: make(chan struct{})}, err
		},
	})
	if _, err := callEcho(t, c, address, "x", 30*time.Second); err != nil {
		t.Fatal(err)
	}
	blackholed.Store(true)
	if _, err := callEcho(t, c, address, "x", 100*time.Millisecond); !errors.Is(err, ErrNoResponse) {
		t.Fatalf("call on a stale session: %v, want ErrNoResponse", err)
	}
	l, err := c.link(address)
	if err != nil {
		t.Fatal(err)
	}
	<-l.current.CloseChan()
	if _, err := callEcho(t, c, address, "x", 30*time.Second); err != nil || dials.Load() != 2 {
		t.Fatalf("call after the stale session: error %v with %d dials, want success with 2", err, dials.Load())
	}
	if s := c.Stats(); s.Calls != 3 || s.NoResponse != 1 || s.Dials != 2 || s.StaleSessions != 1 {
		t.Fatalf("counts %+v, want 3 calls, 1 without a response, 2 dials, 1 stale session", s)
	}
}

// authority issues certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         ed25519.PrivateKey
	pool        *x509.CertPool
}

func newAuthority(t testing.TB) *authority {
	t.Helper()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(time.Hour),
	}
	public, key, _ := ed25519.GenerateKey(rand.Reader)
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, _ := x509.ParseCertificate(der)
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	return &authority{certificate: certificate, key: key, pool: pool}
}

// config returns a TLS configuration with a certificate for the given names that trusts the authority.
func (a *authority) config(t testing.TB, name string, dnsNames ...string) *tls.Config {
	t.Helper()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, DNSNames: dnsNames,
		NotAfter:    time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	public, key, _ := ed25519.GenerateKey(rand.Reader)
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, public, a.key)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      a.pool, ClientCAs: a.pool,
	}
}

// TestIdentity guards against a host that states the id of another host.
func TestIdentity(t *testing.T) {
	trusted, other := newAuthority(t), newAuthority(t)
	cases := []struct {
		name           string
		server, client *tls.Config
		want           error
	}{
		{"both have their own names", trusted.config(t, "server"), trusted.config(t, "client"), nil},
		{"DNS name", trusted.config(t, "x", "server"), trusted.config(t, "y", "client"), nil},
		{"caller has another name", trusted.config(t, "server"), trusted.config(t, "server"), ErrRejected},
		{"callee has another name", trusted.config(t, "client"), trusted.config(t, "client"), ErrNoResponse},
		{"callee of another authority", other.config(t, "server"), trusted.config(t, "client"), ErrNotSent},
		{"caller of another authority", trusted.config(t, "server"), foreignClient(t, trusted, other), ErrNoResponse},
		{"caller without TLS", trusted.config(t, "server"), nil, ErrNoResponse},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, address := startServer(t, Options{TLS: test.server})
			_, err := callEcho(t, newClient(t, Options{TLS: test.client}), address, "x", 30*time.Second)
			failed := errors.Is(err, ErrNoResponse) || errors.Is(err, ErrNotSent)
			if !errors.Is(err, test.want) && (!errors.Is(test.want, ErrNoResponse) || !failed) {
				t.Fatalf("error %v, want %v", err, test.want)
			}
			if (err == nil) != (test.want == nil) {
				t.Fatalf("error %v, want %v", err, test.want)
			}
		})
	}
}

// foreignClient returns the TLS configuration of a client that trusts one authority and has a certificate of the other.
func foreignClient(t *testing.T, trusted, other *authority) *tls.Config {
	t.Helper()
	config := other.config(t, "client")
	config.RootCAs = trusted.pool
	return config
}

// FuzzReadRequest guards against a panic or a large allocation on malicious input.
func FuzzReadRequest(f *testing.F) {
	body, _ := proto.Marshal(wrapperspb.String("x"))
	frame, _ := encode(&peerpb.RequestHeader{Method: "echo", HostId: "a", BodyBytes: uint64(len(body))}, body)
	f.Add(frame)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	const limit = 1 << 10
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReader(bytes.NewReader(data))
		header, err := readRequestHeader(r, limit)
		if err != nil {
			return
		}
		if header.GetBodyBytes() > limit {
			t.Fatalf("header with a body of %d bytes was accepted", header.GetBodyBytes())
		}
		_ = readBody(r, header.GetBodyBytes(), &wrapperspb.StringValue{})
	})
}
