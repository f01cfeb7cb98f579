package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// DialFunc opens a connection to an address before the context ends.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Options configure a Transport.
type Options struct {
	// Self is the identity stated in calls; see Transport.SetIdentity.
	Self fleet.Identity
	// Listen is the address that Serve listens on, as IP address and port. Unused if Listener is set.
	Listen string
	// Listener is the listener on which Serve accepts connections. Serve closes it. Default: a TCP listener at Listen.
	Listener net.Listener
	// TLS holds the host's certificate, RootCAs and ClientCAs. Both sides must present a certificate. If TLS is nil,
	// connections are plain text, which is for tests on loopback only.
	TLS *tls.Config
	// Dial opens outbound connections, without TLS. Default: net.Dialer.
	Dial DialFunc
	// DialTimeout is the timeout for dialling, including the TLS handshake. Default 1 s.
	DialTimeout time.Duration
	// KeepAlive is the interval of keepalives on each session. Default 10 s.
	KeepAlive time.Duration
	// StaleSessionTimeout is how long a session must have been without inbound traffic for a timed-out call to close it.
	// Default 600 ms, two heartbeats.
	StaleSessionTimeout time.Duration
	// MaxMessageBytes limits the length of one request or response. Default 8 MiB.
	MaxMessageBytes int64
	// MaxInboundBytes limits the total length of all requests that are being read or handled. Default 64 MiB.
	MaxInboundBytes int64
	// MaxSessions limits the number of inbound sessions. Default 256.
	MaxSessions int
	// MaxCallsPerSession limits the concurrent calls of one inbound session. Default 256.
	MaxCallsPerSession int
	// MaxCallTimeout limits the remaining time that a caller states. Default 60 s.
	MaxCallTimeout time.Duration
	// Logger receives one line per rejected inbound session. Default: none.
	Logger *zerolog.Logger
}

// Defaults and limits that are not configurable.
const (
	defaultDialTimeout         = time.Second
	defaultKeepAlive           = 10 * time.Second
	defaultStaleSessionTimeout = 600 * time.Millisecond
	defaultMaxMessageBytes     = 8 << 20
	defaultMaxInboundBytes     = 64 << 20
	defaultMaxSessions         = 256
	defaultMaxCallsPerSession  = 256
	defaultMaxCallTimeout      = 60 * time.Second

	// maxHeaderBytes limits the header of a call. A header has about 60 bytes plus the error text.
	maxHeaderBytes = 4 << 10
	// maxErrorBytes limits the error text in a response. Longer texts are truncated.
	maxErrorBytes = 1 << 10
	// readTimeout is the timeout for the first byte on a new stream, and again for the rest of each request.
	readTimeout = 10 * time.Second
	// handshakeTimeout is the timeout for the TLS handshake of an inbound connection.
	handshakeTimeout = 5 * time.Second
	// idleTimeout is the time without calls after which an outbound session is closed when a call to a new address is made.
	idleTimeout = 2 * time.Minute
)

func (o *Options) setDefaults() {
	if o.Dial == nil {
		dialer := &net.Dialer{}
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	if o.Logger == nil {
		nop := zerolog.Nop()
		o.Logger = &nop
	}
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.KeepAlive, defaultKeepAlive)
	setDefault(&o.StaleSessionTimeout, defaultStaleSessionTimeout)
	setDefault(&o.MaxMessageBytes, defaultMaxMessageBytes)
	setDefault(&o.MaxInboundBytes, defaultMaxInboundBytes)
	setDefault(&o.MaxSessions, defaultMaxSessions)
	setDefault(&o.MaxCallsPerSession, defaultMaxCallsPerSession)
	setDefault(&o.MaxCallTimeout, defaultMaxCallTimeout)
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

func (o *Options) validate() error {
	if o.Self.ID == "" {
		return errors.New("peer: Options.Self.ID is empty")
	}
	if o.MaxMessageBytes > o.MaxInboundBytes {
		return fmt.Errorf("peer: MaxMessageBytes %d exceeds MaxInboundBytes %d", o.MaxMessageBytes, o.MaxInboundBytes)
	}
	if o.TLS != nil && (o.TLS.ClientCAs == nil || o.TLS.RootCAs == nil) {
		return errors.New("peer: Options.TLS must have RootCAs and ClientCAs")
	}
	return nil
}
