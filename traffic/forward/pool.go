package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// unusedPool is for how long the transport of an upstream that gets no requests is kept.
const unusedPool = time.Minute

// pools holds one transport per upstream, so that the connections to one upstream can be closed without touching those
// to others.
type pools struct {
	options   Options
	byAddress sync.Map // string -> *pool
	sweeping  sync.Mutex
}

type pool struct {
	transport *http.Transport
	lastUsed  atomic.Int64 // unix seconds
}

func (p *pools) get(address string) *http.Transport {
	now := time.Now().Unix()
	if found, ok := p.byAddress.Load(address); ok {
		entry := found.(*pool)
		if entry.lastUsed.Load() != now {
			entry.lastUsed.Store(now)
		}
		return entry.transport
	}
	entry := &pool{transport: newTransport(p.options, false)}
	entry.lastUsed.Store(now)
	found, loaded := p.byAddress.LoadOrStore(address, entry)
	if !loaded {
		p.sweep(now)
	}
	return found.(*pool).transport
}

// sweep drops the transports of upstreams that are no longer used. It runs only when a new upstream appears.
func (p *pools) sweep(now int64) {
	if !p.sweeping.TryLock() {
		return
	}
	defer p.sweeping.Unlock()
	p.byAddress.Range(func(address, value any) bool {
		entry := value.(*pool)
		if now-entry.lastUsed.Load() > int64(unusedPool/time.Second) {
			p.byAddress.Delete(address)
			entry.transport.CloseIdleConnections()
		}
		return true
	})
}

func (p *pools) closeIdle() {
	p.byAddress.Range(func(_, value any) bool {
		value.(*pool).transport.CloseIdleConnections()
		return true
	})
}

// bufferBytes is the read and write buffer of a connection. The default of net/http; written down because it dominates
// the memory of many open connections.
const bufferBytes = 4 << 10

func newTransport(options Options, single bool) *http.Transport {
	dialer := &net.Dialer{Timeout: options.ConnectTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		DisableKeepAlives:      single,
		DisableCompression:     true,
		IdleConnTimeout:        options.IdleConnTimeout,
		MaxIdleConnsPerHost:    options.MaxIdlePerUpstream,
		MaxResponseHeaderBytes: 64 << 10,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}
}

// randomSerial starts the numbering of attempts, so that two hosts do not use the same attempt ids.
func randomSerial() uint64 { return rand.Uint64() >> 16 }

// sentCounter counts the bytes that were written to a connection, until it is sealed.
type sentCounter struct {
	mu     sync.Mutex
	n      int64
	sealed bool
}

var errSealed = errors.New("the request on this connection was given up before its first byte was written")

// begin counts bytes that are about to be written. It reports false on a sealed connection.
func (s *sentCounter) begin(bytes int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sealed {
		return false
	}
	s.n += int64(bytes)
	return true
}

func (s *sentCounter) count() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.n
}

// seal reports whether more than the given number of bytes was written. If not, nothing will be any more: http.Transport
// may report a failure while another goroutine is about to write the request.
func (s *sentCounter) seal(before int64) (sent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.n > before {
		return true
	}
	s.sealed = true
	return false
}

// countedConn counts what is written, to tell a request that never left this host from one that may have run.
type countedConn struct {
	net.Conn
	sent sentCounter
}

// Write implements net.Conn. Bytes count before they are written, because a failed write may have sent some.
func (c *countedConn) Write(p []byte) (int, error) {
	if !c.sent.begin(len(p)) {
		return 0, errSealed
	}
	return c.Conn.Write(p)
}
