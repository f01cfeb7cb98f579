package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// Transport makes and serves calls over yamux sessions. It is safe for concurrent use.
type Transport struct {
	options   Options
	self      atomic.Pointer[fleet.Identity]
	serverTLS *tls.Config
	clientTLS *tls.Config
	// inbound limits the total length of requests, and sessions the number of inbound sessions.
	inbound  *semaphore.Weighted
	sessions *semaphore.Weighted
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup

	stats stats

	mu       sync.Mutex
	closed   bool
	links    map[string]*link
	handlers map[Method]methodHandler
}

var (
	_ Caller    = (*Transport)(nil)
	_ Registrar = (*Transport)(nil)
)

// methodHandler is the handler of one method.
type methodHandler struct {
	newRequest func() proto.Message
	handle     HandlerFunc
}

// New returns a Transport. It can make calls at once and serves calls while Serve runs. The caller must close it.
func New(options Options) (*Transport, error) {
	options.setDefaults()
	if err := options.validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		options: options, ctx: ctx, cancel: cancel,
		inbound:  semaphore.NewWeighted(options.MaxInboundBytes),
		sessions: semaphore.NewWeighted(int64(options.MaxSessions)),
		links:    make(map[string]*link), handlers: make(map[Method]methodHandler),
	}
	t.SetIdentity(options.Self)
	if options.TLS != nil {
		t.serverTLS, t.clientTLS = serverConfig(options.TLS), clientConfig(options.TLS)
	}
	return t, nil
}

// SetIdentity changes the identity stated in later calls, after a host has joined as a new incarnation.
func (t *Transport) SetIdentity(self fleet.Identity) { t.self.Store(&self) }

// Handle implements Registrar.
func (t *Transport) Handle(method Method, newRequest func() proto.Message, handle HandlerFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, taken := t.handlers[method]; taken {
		panic(fmt.Sprintf("peer: method %q already has a handler", method))
	}
	t.handlers[method] = methodHandler{newRequest: newRequest, handle: handle}
}

func (t *Transport) handler(method Method) (methodHandler, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.handlers[method]
	return h, ok
}

// Close closes all sessions, ends the contexts of the running handlers and waits for them. Calls in flight fail.
func (t *Transport) Close() error {
	t.mu.Lock()
	t.closed = true
	links := t.links
	t.links = make(map[string]*link)
	t.mu.Unlock()
	t.cancel()
	for _, l := range links {
		l.close()
	}
	t.tasks.Wait()
	return nil
}

// runTask runs a task in a goroutine that Close waits for. It returns false if the transport is closed.
func (t *Transport) runTask(task func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.tasks.Go(task)
	return true
}

func (t *Transport) yamuxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = true
	config.KeepAliveInterval = t.options.KeepAlive
	// With yamux's defaults of 75 s and 5 min, the streams of calls that timed out would stay open for as long.
	config.StreamOpenTimeout = 5 * time.Second
	config.StreamCloseTimeout = 10 * time.Second
	config.ConnectionWriteTimeout = 5 * time.Second
	config.LogOutput = io.Discard
	return config
}
