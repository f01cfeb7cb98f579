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
	"github.com/bronzeyard/bronzeyard/gateway/hedge"
	"github.com/bronzeyard/bronzeyard/gateway/pipeline"
	"github.com/bronzeyard/bronzeyard/gateway/quota"
	"github.com/bronzeyard/bronzeyard/gateway/relay"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

// Options configure a Gateway.
type Options struct {
	// HostID identifies this host, and DataCentre is the data centre it runs in.
	HostID     string
	DataCentre string
	// CallerAddress is the IP address and port that serves callers, and GossipAddress the one that receives datagrams. Port 0 in
	// GossipAddress selects any free port.
	CallerAddress string
	GossipAddress string
	// MemoryBytes is the memory of the host, a fraction of which bounds the buffered messages; 0 means that it is unknown and a
	// default bound applies. Connections is the maximum number of open caller connections; 0 means the default of package pipeline.
	MemoryBytes int64
	Connections int64
	// ProcessorShare is the number of processors that the host may use; 0 if not known.
	ProcessorShare float64
	// LinkMbps is the bandwidth of the host's link in Mbit/s; 0 if not known.
	LinkMbps float64

	// HostsPerSlot is the number of hosts per slot of an upstream from which dispatchers assign the slots, if routes of one service have
	// different priorities; 0 means 12. All hosts must have the same.
	HostsPerSlot float64
	// HedgeLimit limits hedged attempts to a share of the requests of each service over the whole fleet. All hosts must have the same
	// limit. The zero value sets none.
	HedgeLimit hedge.Limit
	// WeightAddresses makes address responses weight uneven hosts by their capacity. All hosts should have the same.
	WeightAddresses bool
	// StartWait is the time after its start for which a host holds requests that it cannot serve yet; 0 means that it rejects them.
	StartWait time.Duration

	Configurations ConfigurationSource
	Upstreams      UpstreamSource
	Hosts          HostStore
	Headers        relay.Headers
	Bounds         Bounds
	Logger         zerolog.Logger
	// Observe is called for each finished request. It must not block. Optional.
	Observe func(*relay.Event)
}

// Gateway is one host of the fleet. Create it with New and call Run.
type Gateway struct {
	options     Options
	logger      zerolog.Logger
	incarnation uint64
	bounds      atomic.Pointer[Bounds]
	current     atomic.Pointer[activeConfiguration]
	lag         versionLag
	// scheduledReadAt is the start of this host's newest scheduled read of the upstreams, in Unix nanoseconds.
	scheduledReadAt atomic.Int64
	// compressed is the active configuration as served to other hosts. It holds nil if the configuration is too large.
	compressed atomic.Pointer[[]byte]
	leaving    atomic.Bool
	// stopSignal is nil until this process is asked to shut down, and stopGrace is the grace period in nanoseconds from then on.
	stopSignal atomic.Pointer[stopSignal]
	stopGrace  atomic.Int64
	// storeUnavailable is set while reads of the configuration fail. longPolling is set while this host is one of those that
	// long-poll the store for a new configuration.
	storeUnavailable, longPolling atomic.Bool
	// storeEra is the newest era of the store that this host knows.
	storeEra atomic.Uint64
	// states holds the parts of this host's state as they were last served to other hosts.
	states stateCache
	// hostsLoaded is set once this host's record is in the store and those of the other hosts have been read.
	hostsLoaded atomic.Bool
	// readsEvacuations is set before the start if the reads of the configuration return the evacuated data centres.
	readsEvacuations bool

	router         *router
	limiter        *quota.Limiter
	forwarder      *forward.Forwarder
	budget         *forward.BufferBudget
	server         *pipeline.Server
	node           *gossip.Node
	listener       net.Listener
	packets        net.PacketConn
	settingsServer *http.Server
	// settingsListener serves the configuration to other hosts.
	settingsListener net.Listener
	log              *decisionLog
	weights          addressWeights
	startWait        *startWait

	// rereadConfiguration makes the syncer check whether the configuration must be read, and rereadHosts makes it read the records
	// of the hosts.
	rereadConfiguration chan struct{}
	rereadHosts         chan struct{}
	// rereadAfterPause makes the syncer read because this process was paused. The last pause ended at pauseEndedAt.
	rereadAfterPause struct{ configuration, upstreams chan struct{} }
	pauseEndedAt     atomic.Pointer[time.Time]
	// lastDelay is the last time for which the control loop did not run although it was due; nil if there was none.
	lastDelay atomic.Pointer[loopDelay]
	// configurationAsOf is the time up to which the active configuration is known to contain all changes.
	configurationAsOf atomic.Pointer[time.Time]
	// registryUpdates carries reads of the upstreams that other hosts have reported.
	registryUpdates chan registryUpdate
}

// defaultLimits apply to connections that are accepted before there is a configuration.
var defaultLimits = pipeline.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

const (
	// idleConnTimeout is how long an idle connection to an upstream is kept open.
	idleConnTimeout = 8 * time.Second
	// connectTimeout bounds connecting to an upstream. When it expires, another upstream is tried.
	connectTimeout = 300 * time.Millisecond
	// maxBufferedResponse is the size of the largest response that is forwarded, in bytes.
	maxBufferedResponse = 16 << 20
	// defaultMaxBufferedBytes bounds the total size of buffered messages if the memory of the host is unknown.
	defaultMaxBufferedBytes = 64 << 20
	// bufferDivisor divides the memory of the host to obtain the bound on the total size of buffered messages.
	bufferDivisor = 4
)

// New returns a Gateway that has opened its sockets but does not serve yet. It returns an error if a socket cannot be opened.
func New(ctx context.Context, options Options) (*Gateway, error) {
	if options.Observe == nil {
		options.Observe = func(*relay.Event) {}
	}
	g := &Gateway{
		options: options, logger: options.Logger, incarnation: rand.Uint64(), limiter: quota.New(),
		rereadConfiguration: make(chan struct{}, 1), rereadHosts: make(chan struct{}, 1),
		registryUpdates: make(chan registryUpdate, 1), log: newDecisionLog(options.Logger),
		startWait: newStartWait(time.Now(), options.StartWait),
	}
	g.rereadAfterPause.configuration, g.rereadAfterPause.upstreams = make(chan struct{}, 1), make(chan struct{}, 1)
	g.weights.disabled = !options.WeightAddresses
	g.bounds.Store(&options.Bounds)
	g.router = newRouter(options.DataCentre, g.boundsNow, options.HostID)
	if options.HostsPerSlot > 0 {
		g.router.hostsPerSlot = options.HostsPerSlot
	}
	buffers := int64(defaultMaxBufferedBytes)
	if options.MemoryBytes > 0 {
		buffers = options.MemoryBytes / bufferDivisor
	}
	budget := forward.NewBufferBudget(buffers)
	g.budget = budget
	g.forwarder = forward.New(forward.Options{
		HeaderNames:         forward.HeaderNames{RequestID: options.Headers.RequestID, Timeout: options.Headers.Timeout},
		AllowCloseDelimited: true, RequireRequestID: true, ConnectTimeout: connectTimeout, IdleConnTimeout: idleConnTimeout,
		MaxBufferedResponse: maxBufferedResponse, Budget: budget, AwaitMemory: true,
	})
	handler := relay.New(relay.Options{
		Snapshot: g.snapshot, SettingsAge: g.settingsAge, Upstreams: g.router, Limiter: g.limiter,
		Forwarder: g.forwarder, Headers: options.Headers, Observe: g.observe, Random: rand.Float64,
		LimitOf: g.limitOfCustomer, Shutdown: g.shutdown, Hedging: newHedging(options.HedgeLimit, g.router),
	})
	serve := func(ctx context.Context, request *pipeline.Request) *pipeline.Response {
		g.awaitStart(ctx, request)
		g.awaitFreshState(ctx)
		return g.weights.measure(request, func() *pipeline.Response { return handler.Serve(ctx, request) })
	}
	g.server = pipeline.New(pipeline.Options{
		Handler: serve, Limits: g.limits, Reject: g.reject, Budget: budget, MaxConnections: options.Connections,
		ResponseWritten: g.responseWritten,
	})
	if err := g.listen(ctx); err != nil {
		return g, err
	}
	g.followEvacuations()
	g.router.warmUps.ofService = g.warmUpOf
	return g, nil
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
	g.listener, g.packets = listener, packets
	address, err := netip.ParseAddrPort(packets.LocalAddr().String())
	if err != nil {
		return errors.Join(err, listener.Close(), packets.Close())
	}
	if g.settingsListener, err = config.Listen(ctx, "tcp", g.options.GossipAddress); err != nil {
		return errors.Join(err, listener.Close(), packets.Close())
	}
	key := gossip.NewKey()
	g.settingsServer = newSettingsServer(key, g.compressedConfiguration, g.encodedState)
	g.node = gossip.New(gossip.Options{
		Self: gossip.Record{
			ID: g.options.HostID, Incarnation: g.incarnation, Address: address.String(),
			CallerAddress: g.options.CallerAddress, DataCentre: g.options.DataCentre, Key: key,
			SettingsAddress: g.settingsListener.Addr().String(), ProcessorShare: g.options.ProcessorShare,
			LinkMbps: g.options.LinkMbps, MemoryBytes: g.options.MemoryBytes,
		},
		StoreUnavailable: g.storeUnavailable.Load, HostFound: g.hostFound, Evacuations: g.evacuationState, WarmUps: g.router.warmUps.takeReports,
		Served: g.weights.report,
		Conn:   packets, Registry: g.registryState, Configuration: g.configurationState, Usage: g.limiter.NextReport,
		RetryUsage: g.router.retries.NextReport, Receive: g.receive,
		UnknownHost: func(string) { notify(g.rereadHosts) },
		LoopDelayed: g.loopDelayed,
		ReceiveDispatch: func(now time.Time, m *gossip.DispatchMessage) {
			g.router.dispatchers.receive(now, m)
		},
		HubFailed: func(host string) {
			g.logger.Warn().Str("event", "hub_failed").Str("host_id", host).Send()
		},
		HostReturned: func(host string) { g.logger.Info().Str("event", "host_heard").Str("host_id", host).Send() },
	})
	g.router.queueNotices, g.router.queueLocalNotices, g.router.queueLoad = g.node.QueueNotices, g.node.QueueLocalNotices, g.node.QueueLoad
	g.router.dispatching, g.router.idleAddresses = g.usesDispatchers, g.forwarder.IdleAddresses
	g.router.dispatchers = newDispatchers(g.router, g.candidates, g.node.SendDispatch)
	g.router.onBreakerChange, g.router.onConnectionLost = g.log.breakerChanged, g.log.connectionLost
	g.router.onSignal, g.router.onMisdirected = g.log.upstreamSignals, g.log.upstreamMisdirected
	return nil
}

// Run serves until ctx ends and then shuts down gracefully. It finishes the requests in flight, accepts those of callers that
// still have its address cached, and returns before Bounds.ShutdownGrace has elapsed.
func (g *Gateway) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	g.logger.Info().Str("event", "start").Str("callers", g.options.CallerAddress).
		Uint64("incarnation", g.incarnation).Stringer("hedge_limit", g.options.HedgeLimit).
		Dur("start_wait_ms", g.options.StartWait).Send()
	syncer := newSyncer(g)
	go syncer.run(running)
	go g.startWait.run(running, g.canServe)
	nodeEnded := make(chan struct{})
	go func() {
		defer close(nodeEnded)
		g.node.Run(running)
	}()
	defer func() {
		stop()
		<-nodeEnded // its address can be used again
	}()
	go g.log.run(running)
	go g.serveSettings()
	go g.runAddressWeights(running)
	defer g.router.dispatchers.server.close()
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

// settingsHeaderTimeout bounds the time in which another host sends the header of its request.
const settingsHeaderTimeout = time.Second

func newSettingsServer(
	key []byte, compressed func() []byte, state func(string) ([]byte, time.Duration),
) *http.Server {
	router := mux.NewRouter()
	router.Path(confsync.StatePath).Methods(http.MethodGet).Handler(confsync.NewStateHandler(key, state))
	router.Path(confsync.Path).Methods(http.MethodGet).Handler(confsync.NewHandler(key, compressed))
	return &http.Server{
		Handler: router, ReadHeaderTimeout: settingsHeaderTimeout, IdleTimeout: settingsHeaderTimeout,
		ReadTimeout: settingsHeaderTimeout, WriteTimeout: settingsHeaderTimeout, MaxHeaderBytes: confsync.MaxHeaderBytes,
		ErrorLog: log.New(io.Discard, "", 0), // the requesting host logs failures
	}
}

func (g *Gateway) compressedConfiguration() []byte {
	if compressed := g.compressed.Load(); compressed != nil {
		return *compressed
	}
	return nil
}

func (g *Gateway) serveSettings() {
	if err := g.settingsServer.Serve(g.settingsListener); !errors.Is(err, http.ErrServerClosed) {
		g.logger.Error().Str("event", "settings_server_ended").Err(err).Send()
	}
}

// SetBounds replaces the bounds.
func (g *Gateway) SetBounds(bounds Bounds) {
	g.bounds.Store(&bounds)
	g.limitStopGrace()
	g.logger.Info().Str("event", "reload").Send()
}

func (g *Gateway) boundsNow() Bounds { return *g.bounds.Load() }

// Ready reports whether callers may be sent to this host. It must have its settings and the upstreams, must have read the records
// of the other hosts or waited maxHostsWait for them, and must not be leaving.
func (g *Gateway) Ready() bool {
	return g.snapshot() != nil && !g.router.registry.View().ReadAt.IsZero() && !g.leaving.Load()
}

// maxHostsWait is how long a host that has a configuration waits for the records of the other hosts before it serves.
const maxHostsWait = time.Second

// snapshot returns the active settings. It returns nil until there are settings and the other hosts are known, or maxHostsWait has
// elapsed since the first settings. Without the records of the other hosts, it admits an equal share of each customer's limit if
// others report the size of the fleet, and rejects the requests of customers with a limit otherwise.
func (g *Gateway) snapshot() *settings.Snapshot {
	current := g.current.Load()
	if current == nil || g.awaitsEvacuations() || (!g.hostsLoaded.Load() && time.Since(current.firstActiveAt) < maxHostsWait) {
		return nil
	}
	return current.Snapshot
}

// usesDispatchers reports whether the active configuration requires dispatchers.
func (g *Gateway) usesDispatchers() bool {
	current := g.current.Load()
	return current != nil && current.dispatchers
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

// configurationState returns the active version and the time since it was confirmed; 0 if there is none.
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

// receive processes a message of another host.
func (g *Gateway) receive(now time.Time, m *gossip.Message) {
	g.receiveEvacuations(now, m.Host, m.Evacuations)
	g.receiveWarmUps(m.Host, m.WarmUps)
	if !m.Stale {
		g.receiveState(now, m)
	}
	for _, notice := range m.Notices {
		g.router.receiveNotice(now, m.Host, notice)
	}
	for _, report := range m.Loads {
		g.router.receiveLoad(now, report)
	}
	g.limiter.ApplyReport(now, m.Host, m.Usage, g.limitOf)
	g.router.retries.ApplyReport(now, m.Host, m.RetryUsage, g.router.retryLimit)
}

// receiveState processes the state that another host reports about itself.
func (g *Gateway) receiveState(now time.Time, m *gossip.Message) {
	if current := g.current.Load(); current != nil && m.ConfigurationAge > 0 && m.Configuration == current.Version() {
		current.confirm(now.Add(-m.ConfigurationAge))
	}
	if version := g.version(); m.Configuration > version {
		g.lag.observe(g.logger, now, m.Host, m.Configuration, version)
		notify(g.rereadConfiguration)
	}
	g.noteEra(m.StoreEra)
	if m.Registry.Digest != 0 && !g.updatesMayBeStale(now) {
		g.receiveRegistryUpdate(registryUpdate{RegistryState: m.Registry, readAt: now.Add(-m.Registry.Age), from: m.Host})
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

// toleranceShare is the share of Bounds.LimitTolerance that is used. The rest is reserved for requests that hosts admit before
// they have received each other's counts.
const toleranceShare = 0.25

func (g *Gateway) limitOfCustomer(customer *settings.Customer) quota.Limit {
	tolerance := toleranceShare * g.boundsNow().LimitTolerance
	return quota.Limit{Rate: customer.Rate, Burst: customer.Burst, Tolerance: tolerance}
}

// observe logs a finished request.
func (g *Gateway) observe(event *relay.Event) {
	if current := g.current.Load(); current != nil {
		event.RouteSince = current.routeVersions[event.Route]
	}
	g.log.request(event)
	g.options.Observe(event)
}

// responseWritten logs a response that was written late or not at all.
func (g *Gateway) responseWritten(request *pipeline.Request, after time.Duration, err error) {
	g.log.responseWritten(request.HTTP.Header.Get(g.options.Headers.RequestID), after, err)
}

// notify sends a signal on a channel of capacity 1. It does not block: a signal that is already pending is enough.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
