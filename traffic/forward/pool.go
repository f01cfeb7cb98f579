package forward

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzeyard/bronzeyard/storage/cleanclose"
)

// unusedPoolTimeout is how long the transport of an upstream is kept after its last request.
const unusedPoolTimeout = time.Minute

// pools holds one transport per upstream. The connections to one upstream can then be closed without affecting those to
// others.
type pools struct {
	options   Options
	byAddress sync.Map // string -> *pool
	sweepMu   sync.Mutex
	dialed    *atomic.Uint64
	index     *idleIndex
}

type pool struct {
	transport *http.Transport
	lastUsed  atomic.Int64 // in Unix seconds
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
	entry := &pool{transport: newTransport(p.options, false, p.dialed, p.index)}
	entry.lastUsed.Store(now)
	found, loaded := p.byAddress.LoadOrStore(address, entry)
	if !loaded {
		p.sweep(now)
	}
	return found.(*pool).transport
}

// sweep removes the transports of upstreams that have not been used for unusedPoolTimeout. It runs only when a transport is
// created for a new upstream.
func (p *pools) sweep(now int64) {
	if !p.sweepMu.TryLock() {
		return
	}
	defer p.sweepMu.Unlock()
	p.byAddress.Range(func(address, value any) bool {
		entry := value.(*pool)
		if now-entry.lastUsed.Load() > int64(unusedPoolTimeout/time.Second) {
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

// bufferBytes is the size of the read buffer and of the write buffer of a connection. It equals the default of net/http and is
// set explicitly because these buffers dominate the memory use when many connections are open.
const bufferBytes = 4 << 10

// newTransport returns a transport. dialed counts its connections, which gives each of them its number, and index holds the idle ones.
func newTransport(options Options, disableKeepAlives bool, dialed *atomic.Uint64, index *idleIndex) *http.Transport {
	dialer := &net.Dialer{Timeout: options.ConnectTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: cleanclose.New(conn), number: dialed.Add(1), index: index}, nil
		},
		DisableKeepAlives:      disableKeepAlives,
		DisableCompression:     true,
		IdleConnTimeout:        options.IdleConnTimeout,
		MaxIdleConnsPerHost:    options.MaxIdlePerUpstream,
		MaxResponseHeaderBytes: math.MaxInt64, // each countedConn has a limit for each response
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}
}

// randomSerial returns a random first attempt number, so that two hosts do not use the same attempt ids.
func randomSerial() uint64 { return rand.Uint64() >> 16 }
