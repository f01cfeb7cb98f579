package gateway

import (
	"context"
	"errors"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/bronzeyard/bronzeyard/gateway/confsync"
	"github.com/bronzeyard/bronzeyard/gateway/gossip"
	"github.com/bronzeyard/bronzeyard/gateway/pipeline"
	"github.com/bronzeyard/bronzeyard/gateway/quota"
	"github.com/bronzeyard/bronzeyard/gateway/relay"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

// Options configure a Gateway.
type Options struct {
	// HostID and DataCentre name this host.
	HostID     string
	DataCentre string
	// CallerAddress serves callers and GossipAddress receives datagrams; IP numbers and ports. A GossipAddress with port 0
	// uses any free port.
	CallerAddress string
	GossipAddress string
	// MemoryBytes bounds the memory of buffered bodies; Connections bounds the callers' open connections. 0 means the
	// defaults of the packages that use them.
	MemoryBytes int64
	Connections int64

	Configurations ConfigurationSource
	Upstreams      UpstreamSource
	Hosts          HostStore
	Headers        relay.Headers
	Bounds         Bounds
	Logger         zerolog.Logger
	// Observe is called for each finished request. It must not block. Default none.
	Observe func(*relay.Event)
}

// Gateway is one host. Create it with New and call Run.
type Gateway struct {
	options     Options
	logger      zerolog.Logger
	incarnation uint64
	bounds      atomic.Pointer[Bounds]
	current     atomic.Pointer[inForce]
	newer       newerVersion
	// turnRead is the start of this host's newest read of the upstreams in its turn, in Unix nanoseconds.
	turnRead atomic.Int64
	// packed is the configuration in force in the form in which other hosts get it; nil if it is too large.
	packed  atomic.Pointer[[]byte]
	leaving atomic.Bool
	// storeAway is set while reads of the configuration fail, and atStore while this host waits at the store for a new one.
	storeAway, atStore atomic.Bool
	// hostsKnown is set when the records of the other hosts were read first.
	hostsKnown atomic.Bool

	router         *router
	limiter        *quota.Limiter
	forwarder      *forward.Forwarder
	server         *pipeline.Server
	node           *gossip.Node
	listener       net.Listener
	settingsServer *http.Server
	// settingsListener serves the configuration to other hosts.
	settingsListener net.Listener
	log              *decisionLog

	// rereadConfiguration and rereadHosts ask the followers to read now.
	rereadConfiguration chan struct{}
	rereadHosts         chan struct{}
	// rereadAfterPause asks the followers to read because this process was paused, until pausedUntil the last time.
	rereadAfterPause struct{ configuration, upstreams chan struct{} }
	pausedUntil      atomic.Pointer[time.Time]
	// configurationAsOf is the time up to which the configuration in force is known to hold all changes.
	configurationAsOf atomic.Pointer[time.Time]
	// registryNews carries what other hosts have read of the upstreams.
	registryNews chan registryNews
}

// defaultLimits hold for connections that arrive before there is a configuration.
var defaultLimits = pipeline.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

const (
	// pooledIdle is for how long an idle connection to an upstream is kept.
	pooledIdle = 8 * time.Second
	// connectTimeout bounds the time for a connection to an upstream. Another upstream is tried after it.
	connectTimeout = 300 * time.Millisecond
	// bufferedAnswer is the largest answer that is passed on, in bytes.
	bufferedAnswer = 16 << 20
	// defaultBufferBytes bounds all buffered bodies together where the memory of the host is not known.
	defaultBufferBytes = 64 << 20
	// bufferPart is the part of the host's memory that may hold buffered bodies.
	bufferPart = 4
)

// New returns a Gateway that listens but does not serve yet.
func New(ctx context.Context, options Options) (*Gateway, error) {
	if options.Observe == nil {
		options.Observe = func(*relay.Event) {}
	}
	g := &Gateway{
		options: options, logger: options.Logger, incarnation: rand.Uint64(), limiter: quota.New(),
		rereadConfiguration: make(chan struct{}, 1), rereadHosts: make(chan struct{}, 1),
		registryNews: make(chan registryNews, 1), log: newDecisionLog(options.Logger),
	}
	g.rereadAfterPause.configuration, g.rereadAfterPause.upstreams = make(chan struct{}, 1), make(chan struct{}, 1)
	g.bounds.Store(&options.Bounds)
	g.router = newRouter(options.DataCentre, g.boundsNow, options.HostID)
	buffers := int64(defaultBufferBytes)
	if options.MemoryBytes > 0 {
		buffers = options.MemoryBytes / bufferPart
	}
	budget := forward.NewBufferBudget(buffers)
	g.forwarder = forward.New(forward.Options{
		HeaderNames:         forward.HeaderNames{RequestID: options.Headers.RequestID, Timeout: options.Headers.Timeout},
		AllowCloseDelimited: true, ConnectTimeout: connectTimeout, IdleConnTimeout: pooledIdle,
		MaxBufferedResponse: bufferedAnswer, Budget: budget,
	})
	handler := relay.New(relay.Options{
		Snapshot: g.snapshot, SettingsAge: g.settingsAge, Upstreams: g.router, Limiter: g.limiter,
		Forwarder: g.forwarder, Headers: options.Headers, Observe: g.observe, Draw: rand.Float64,
		LimitOf: g.limitOfCustomer,
	})
	serve := func(ctx context.Context, request *pipeline.Request) *pipeline.Response {
		g.awaitFresh(ctx)
		return handler.Serve(ctx, request)
	}
	g.server = pipeline.New(pipeline.Options{
		Handler: serve, Limits: g.limits, Refuse: refuse, Budget: budget, MaxConnections: options.Connections,
		Written: g.answerWritten,
	})
	return g, g.listen(ctx)
}

// listen opens the sockets.
func (g *Gateway) listen(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", g.options.CallerAddress)
	if err != nil {
		return err
	}
	packets, err := config.ListenPacket(ctx, "udp", g.options.GossipAddress)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	g.listener = listener
	address, err := netip.ParseAddrPort(packets.LocalAddr().String())
	if err != nil {
		return errors.Join(err, listener.Close(), packets.Close())
	}
	if g.settingsListener, err = config.Listen(ctx, "tcp", g.options.GossipAddress); err != nil {
		return errors.Join(err, listener.Close(), packets.Close())
	}
	key := gossip.NewKey()
	g.settingsServer = newSettingsServer(key, g.packedConfiguration)
	g.node = gossip.New(gossip.Options{
		Self: gossip.Record{
			ID: g.options.HostID, Incarnation: g.incarnation, Address: address.String(),
			CallerAddress: g.options.CallerAddress, DataCentre: g.options.DataCentre, Key: key,
			SettingsAddress: g.settingsListener.Addr().String(),
		},
		StoreAway: g.storeAway.Load, Found: g.hostFound,
		Conn: packets, Registry: g.registryState, Configuration: g.configurationState, Uses: g.limiter.Uses,
		Retries: g.router.retries.Uses, Receive: g.receive,
		Unknown: func(string) { poke(g.rereadHosts) },
		Late:    g.processLate,
		HubFailed: func(host string) {
			g.logger.Warn().Str("event", "hub_failed").Str("host_id", host).Send()
		},
		Returned: func(host string) { g.logger.Info().Str("event", "host_heard").Str("host_id", host).Send() },
	})
	g.router.tell, g.router.tellNear, g.router.tellLoad = g.node.Tell, g.node.TellNear, g.node.TellLoad
	g.router.changed, g.router.connectionsLost = g.log.breakerChanged, g.log.connectionLost
	return nil
}

// Run serves until ctx ends, then leaves: it answers the requests in flight and takes those of callers that still hold its
// address, and returns before the grace of Bounds.StopGrace ends.
func (g *Gateway) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g.logger.Info().Str("event", "start").Str("callers", g.options.CallerAddress).
		Uint64("incarnation", g.incarnation).Send()
	followers := newFollowers(g)
	go followers.configuration(running)
	go followers.upstreams(running)
	go followers.hosts(running)
	go g.node.Run(running)
	go g.log.run(running)
	go g.serveSettings()
	defer func() { _ = g.settingsServer.Close() }()
	served := make(chan error, 1)
	go func() { served <- g.server.Serve(running, g.listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	return g.leave(served)
}

// settingsHeaderTimeout bounds the time in which another host sends its question.
const settingsHeaderTimeout = time.Second

func newSettingsServer(key []byte, packed func() []byte) *http.Server {
	router := mux.NewRouter()
	router.Path(confsync.Path).Methods(http.MethodGet).Handler(confsync.NewHandler(key, packed))
	return &http.Server{
		Handler: router, ReadHeaderTimeout: settingsHeaderTimeout, IdleTimeout: settingsHeaderTimeout,
		ErrorLog: log.New(io.Discard, "", 0), // the asking host logs what fails
	}
}

func (g *Gateway) packedConfiguration() []byte {
	if packed := g.packed.Load(); packed != nil {
		return *packed
	}
	return nil
}

func (g *Gateway) serveSettings() {
	if err := g.settingsServer.Serve(g.settingsListener); !errors.Is(err, http.ErrServerClosed) {
		g.logger.Error().Str("event", "settings_server_ended").Err(err).Send()
	}
}

// SetBounds puts new bounds in force.
func (g *Gateway) SetBounds(bounds Bounds) {
	g.bounds.Store(&bounds)
	g.logger.Info().Str("event", "reload").Send()
}

func (g *Gateway) boundsNow() Bounds { return *g.bounds.Load() }

// Ready reports whether callers may be sent to this host: it knows its settings, the other hosts and the upstreams, and does
// not leave.
func (g *Gateway) Ready() bool {
	return g.snapshot() != nil && !g.router.registry.View().ReadAt.IsZero() && !g.leaving.Load()
}

// Status is the state of a host, for metrics.
type Status struct {
	Ready                bool
	ConfigurationVersion uint64
	ConfigurationAge     time.Duration
	Upstreams            int
	RegistryAge          time.Duration
	HostsHeard           int
	Hosts                int
	InFlight             int64
	Connections          int64
	DatagramsSent        int64
	DatagramsRejected    int64
	DatagramsRepeated    int64
	LogLinesSkipped      int64
}

// Status returns the state of the host.
func (g *Gateway) Status() Status {
	now := time.Now()
	view, hosts := g.router.registry.View(), g.node.Hosts(now)
	status := Status{
		Ready: g.Ready(), ConfigurationVersion: g.version(), ConfigurationAge: g.settingsAge(), Upstreams: view.Len(),
		Hosts: len(hosts) + 1, InFlight: g.server.InFlight(), Connections: g.server.Connections(),
		LogLinesSkipped: g.log.skipped.Load(),
	}
	if !view.ReadAt.IsZero() {
		status.RegistryAge = now.Sub(view.ReadAt)
	}
	for i := range hosts {
		if hosts[i].Alive(now) {
			status.HostsHeard++
		}
	}
	status.DatagramsSent, status.DatagramsRejected, status.DatagramsRepeated = g.node.Counters()
	return status
}

// hostsWait is for how long a host that has a configuration waits to learn of the other hosts before it serves.
const hostsWait = time.Second

// snapshot returns the settings in force; nil until there are some and the other hosts are known. A host that takes itself
// for the only one would admit each customer's whole rate and burst.
func (g *Gateway) snapshot() *settings.Snapshot {
	current := g.current.Load()
	if current == nil || (!g.hostsKnown.Load() && time.Since(current.since) < hostsWait) {
		return nil
	}
	return current.Snapshot
}

func (g *Gateway) version() uint64 {
	if current := g.current.Load(); current != nil {
		return current.Version()
	}
	return 0
}

func (g *Gateway) settingsAge() time.Duration {
	_, age := g.configurationState()
	return age
}

// configurationState returns the version in force and its age; 0 if there is none.
func (g *Gateway) configurationState() (version uint64, age time.Duration) {
	if current := g.current.Load(); current != nil {
		return current.Version(), time.Since(current.confirmedAt())
	}
	return 0, 0
}

func (g *Gateway) limits() pipeline.Limits {
	if current := g.current.Load(); current != nil {
		return current.Limits
	}
	return defaultLimits
}

// refuse answers requests that cannot be read.
func refuse(refusal pipeline.Refusal) *pipeline.Response {
	kind := errkind.RequestMalformed
	switch refusal {
	case pipeline.HeaderTooLarge:
		kind = errkind.HeaderTooLarge
	case pipeline.BodyTooLarge:
		kind = errkind.RequestTooLarge
	case pipeline.HeaderTimedOut, pipeline.BodyTimedOut:
		kind = errkind.RequestTimeout
	case pipeline.NoMemory:
		kind = errkind.Overloaded
	case pipeline.Malformed:
	}
	status, header, body := errkind.Render("", errkind.New(kind, nil), time.Second)
	return &pipeline.Response{Status: status, Header: header, Body: body}
}

// receive takes a message of another host.
func (g *Gateway) receive(now time.Time, m *gossip.Message) {
	if !m.Old {
		g.receiveState(now, m)
	}
	for _, notice := range m.Notices {
		g.router.hear(now, m.Host, notice)
	}
	for _, report := range m.Loads {
		g.router.hearLoad(now, report)
	}
	g.limiter.Heard(now, m.Host, m.Uses, g.limitOf)
	g.router.retries.Heard(now, m.Host, m.Retries, g.router.retryLimit)
}

// receiveState takes what another host says of its own state.
func (g *Gateway) receiveState(now time.Time, m *gossip.Message) {
	if current := g.current.Load(); current != nil && m.ConfigurationAge > 0 && m.Configuration == current.Version() {
		current.confirm(now.Add(-m.ConfigurationAge))
	}
	if version := g.version(); m.Configuration > version {
		g.newer.heard(g.logger, now, m.Host, m.Configuration, version)
		poke(g.rereadConfiguration)
	}
	if m.Registry.Digest != 0 {
		g.hearRegistry(registryNews{RegistryState: m.Registry, readAt: now.Add(-m.Registry.Age), from: m.Host})
	}
}

func (g *Gateway) limitOf(id settings.CustomerID) (quota.Limit, bool) {
	snapshot := g.snapshot()
	if snapshot == nil {
		return quota.Limit{}, false
	}
	customer, ok := snapshot.Customer(id)
	if !ok {
		return quota.Limit{}, false
	}
	return g.limitOfCustomer(customer), true
}

// toleranceShare is the share of the limits' tolerance that is used. The rest is for what hosts admit before they have
// heard of each other.
const toleranceShare = 0.25

func (g *Gateway) limitOfCustomer(customer *settings.Customer) quota.Limit {
	tolerance := toleranceShare * g.boundsNow().LimitTolerance
	return quota.Limit{Rate: customer.Rate, Burst: customer.Burst, Tolerance: tolerance}
}

// observe logs a finished request.
func (g *Gateway) observe(event *relay.Event) {
	if current := g.current.Load(); current != nil {
		event.RouteSince = current.broughtBy[event.Route]
	}
	g.log.request(event)
	g.options.Observe(event)
}

// answerWritten logs answers that were written late or not at all.
func (g *Gateway) answerWritten(request *pipeline.Request, after time.Duration, err error) {
	g.log.written(request.HTTP.Header.Get(g.options.Headers.RequestID), after, err)
}

// poke asks a follower to read now; a request that is already waiting is enough.
func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
