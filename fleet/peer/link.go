package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// trackedConn counts the reads that returned data. The count distinguishes a stale connection from a slow handler.
type trackedConn struct {
	net.Conn
	reads atomic.Uint64
	// lastRead is the time of the last such read, in nanoseconds since the Unix epoch.
	lastRead atomic.Int64
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads.Add(1)
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// session is one outbound yamux session.
type session struct {
	*yamux.Session
	conn      *trackedConn
	certNames certNames
	idle      idleStreams
}

// staleSince reports whether nothing has arrived since the read count was the given one, and for at least the given time.
func (s *session) staleSince(reads uint64, atLeast time.Duration) bool {
	return s.conn.reads.Load() == reads && time.Since(time.Unix(0, s.conn.lastRead.Load())) >= atLeast
}

// link is the outbound connection to one address. It has at most one open session.
type link struct {
	transport *Transport
	address   string

	mu         sync.Mutex
	closed     bool
	current    *session
	dial       *dial
	lastUsedAt time.Time
}

// dial is an attempt to connect, which all waiting calls share.
type dial struct {
	done    chan struct{}
	session *session
	err     error
}

var errClosed = errors.New("peer: transport is closed")

// link returns the link to the address. When it adds a link, it closes links without recent calls.
func (t *Transport) link(address string) (*link, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, errClosed
	}
	l, ok := t.links[address]
	if !ok {
		t.closeIdle()
		l = &link{transport: t, address: address, lastUsedAt: time.Now()}
		t.links[address] = l
	}
	return l, nil
}

// closeIdle closes links that have had no call for idleTimeout. The caller must hold t.mu.
func (t *Transport) closeIdle() {
	for address, l := range t.links {
		l.mu.Lock()
		idle := time.Since(l.lastUsedAt) > idleTimeout
		l.mu.Unlock()
		if idle {
			delete(t.links, address)
			go l.close()
		}
	}
}

// session returns the open session, or dials and waits for a new one.
func (l *link) session(ctx context.Context) (*session, error) {
	l.mu.Lock()
	l.lastUsedAt = time.Now()
	if l.closed {
		l.mu.Unlock()
		return nil, errClosed
	}
	if l.current != nil && !l.current.IsClosed() {
		defer l.mu.Unlock()
		return l.current, nil
	}
	d := l.dial
	if d == nil {
		d = &dial{done: make(chan struct{})}
		l.dial = d
		go l.connect(d)
	}
	l.mu.Unlock()
	select {
	case <-d.done:
		return d.session, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *link) connect(d *dial) {
	ctx, cancel := context.WithTimeout(l.transport.ctx, l.transport.options.DialTimeout)
	defer cancel()
	d.session, d.err = l.transport.open(ctx, l.address)
	l.mu.Lock()
	l.dial = nil
	switch {
	case d.err != nil:
	case l.closed:
		_ = d.session.Close()
		d.session, d.err = nil, errClosed
	default:
		l.current = d.session
	}
	l.mu.Unlock()
	close(d.done)
}

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	s := l.current
	l.current = nil
	l.mu.Unlock()
	if s != nil {
		_ = s.Close()
	}
}

// open dials an address and returns a session on the new connection, after the TLS handshake if TLS is set.
func (t *Transport) open(ctx context.Context, address string) (*session, error) {
	t.stats.dials.Add(1)
	conn, err := t.options.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn, err = t.secure(ctx, conn)
	if err != nil {
		return nil, err
	}
	counted := &trackedConn{Conn: conn}
	counted.lastRead.Store(time.Now().UnixNano())
	muxed, err := yamux.Client(counted, t.yamuxConfig())
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return &session{Session: muxed, conn: counted, certNames: certNamesOf(conn)}, nil
}

func (t *Transport) secure(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if t.clientTLS == nil {
		return conn, nil
	}
	secured := tls.Client(conn, t.clientTLS)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return secured, nil
}
