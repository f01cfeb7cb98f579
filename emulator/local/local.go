package local

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/bronzeyard/bronzeyard/emulator/deployment"
	"github.com/bronzeyard/bronzeyard/emulator/upstream"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
	"github.com/bronzeyard/bronzeyard/host"
	"github.com/bronzeyard/bronzeyard/host/config"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/settings/store"
	"github.com/bronzeyard/bronzeyard/storage/memory"
)

// Options configures a local deployment.
type Options struct {
	Deployment *deployment.Deployment
	// Hosts is the number of hosts, 1 to 16. Default 3.
	Hosts int
	// ServiceTime is the median service time of the upstreams. Default 5 ms.
	ServiceTime time.Duration
	Seed        uint64
	// Dial opens connections between hosts. Default net.Dialer.
	Dial peer.DialFunc
	// HostDial returns the function with which the named host opens connections to other hosts. Default Dial for every host.
	HostDial func(hostID string) peer.DialFunc
	// Configure changes the configuration of each host that Start starts. It is not called for hosts started later with
	// StartHost. Default none.
	Configure func(*config.Config)
	Logger    zerolog.Logger
}

// OperatorToken is the bearer token of the operator "local". It is for loopback only.
const OperatorToken = "local-operator-token"

// Limits of a local deployment.
const (
	MaxHosts     = 16
	defaultHosts = 3
)

// Fleet is a running local deployment.
type Fleet struct {
	Options   Options
	Table     *memory.Table
	Objects   *memory.ObjectStore
	Upstreams map[string][]*upstream.Server

	nodes []*Node
}

// Node is one host of a local deployment with its configuration.
type Node struct {
	Host   *host.Host
	Config *config.Config

	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// Start starts the platform, the upstreams and the hosts. If it fails, it stops what it started.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	if options.Hosts == 0 {
		options.Hosts = defaultHosts
	}
	if options.Hosts < 1 || options.Hosts > MaxHosts {
		return nil, fmt.Errorf("local: 1 to %d hosts can run, not %d", MaxHosts, options.Hosts)
	}
	f := &Fleet{
		Options: options, Table: memory.NewTable(), Objects: memory.NewObjectStore(),
		Upstreams: make(map[string][]*upstream.Server),
	}
	for _, start := range []func(context.Context) error{f.startUpstreams, f.applySettings, f.startHosts} {
		if err := start(ctx); err != nil {
			return nil, errors.Join(err, f.Close())
		}
	}
	return f, nil
}

func (f *Fleet) startUpstreams(context.Context) error {
	var err error
	f.Upstreams, err = StartUpstreams(f.Options.Deployment, f.Options.ServiceTime, f.Options.Seed)
	return err
}

// StartUpstreams starts the emulated upstreams of a deployment and returns them by service. A service time of 0 selects
// the default of upstream.Options. If one fails to start, those already started are returned together with the error.
func StartUpstreams(
	d *deployment.Deployment, serviceTime time.Duration, seed uint64,
) (map[string][]*upstream.Server, error) {
	servers := make(map[string][]*upstream.Server)
	for s := range d.Services {
		for i := range d.Services[s].Upstreams {
			server, err := upstream.Start("127.0.0.1:0", upstream.Options{
				ID: fmt.Sprintf("%s-%02d", d.Services[s].Name, i+1), Slots: d.Slots, Connections: d.Connections,
				ServiceTime: serviceTime, Seed: seed + uint64(100*s+i),
			})
			if err != nil {
				return servers, err
			}
			servers[d.Services[s].Name] = append(servers[d.Services[s].Name], server)
		}
	}
	return servers, nil
}

func (f *Fleet) applySettings(ctx context.Context) error {
	edits, err := settings.Diff(&settings.Tree{}, Tree(f.Options.Deployment, f.Upstreams))
	if err != nil {
		return err
	}
	st := store.New(store.Options{Table: f.Table, Objects: f.Objects})
	_, err = st.Apply(ctx, store.Change{ID: "local-settings", Operator: "local", Edits: edits})
	return err
}

func (f *Fleet) startHosts(ctx context.Context) error {
	configs, err := Configs(ctx, f.Options.Deployment, f.Options.Hosts)
	if err != nil {
		return err
	}
	for _, c := range configs {
		if f.Options.Configure != nil {
			f.Options.Configure(c)
		}
		if _, err := f.StartHost(ctx, c); err != nil {
			return err
		}
	}
	return nil
}

// Configs returns configurations for the hosts of a deployment on free loopback addresses. The section about the platform is
// left empty.
func Configs(ctx context.Context, d *deployment.Deployment, hosts int) ([]*config.Config, error) {
	token := sha256.Sum256([]byte(OperatorToken))
	configs := make([]*config.Config, hosts)
	var seeds []string
	for i := range configs {
		id, dataCentre := hostID(d, i)
		addresses, err := freeAddresses(ctx)
		if err != nil {
			return nil, err
		}
		c := &config.Config{
			HostID: id, DataCentre: dataCentre, Cell: config.DefaultCell, Capacity: 1, LogLevel: "info",
			Caller: config.Listener{Listen: addresses[0]}, Peer: config.Listener{Listen: addresses[1]},
			DrainTime: config.Duration(config.DefaultDrainTime),
		}
		c.Admin.Listen = addresses[2]
		c.Admin.Operators = []config.Operator{{Name: "local", TokenSHA256: hex.EncodeToString(token[:])}}
		seeds = append(seeds, c.Peer.Listen)
		configs[i] = c
	}
	for _, c := range configs {
		c.Seeds = seeds
	}
	return configs, nil
}

// Ports of local hosts lie below the ephemeral range of Linux for outbound connections (32768 and up) and below the range of
// platformtest (20000 and up). Otherwise another socket could take a port between its choice and its use.
const (
	firstPort       = 12_000
	portCount       = 8_000
	maxPortAttempts = 200
)

// portsTried counts the ports that this process has tried. No port is chosen twice, because a host may start long after its
// addresses were chosen. Each process begins at a random port.
var portsTried = newPortCounter()

func newPortCounter() *atomic.Int64 {
	count := new(atomic.Int64)
	count.Store(rand.Int64N(portCount))
	return count
}

// freeAddresses returns addresses on loopback for callers, peers and operators. All listeners stay open until the last
// address is chosen, so the addresses differ.
func freeAddresses(ctx context.Context) (addresses [3]string, err error) {
	for i := range addresses {
		listener, err := listenOnFreePort(ctx)
		if err != nil {
			return addresses, err
		}
		defer func() { _ = listener.Close() }()
		addresses[i] = listener.Addr().String()
	}
	return addresses, nil
}

// listenOnFreePort listens on the next free port of the range of local hosts.
func listenOnFreePort(ctx context.Context) (net.Listener, error) {
	var config net.ListenConfig
	var lastErr error
	for range maxPortAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+portsTried.Add(1)%portCount)
		listener, err := config.Listen(ctx, "tcp", address)
		if err == nil {
			return listener, nil
		}
		lastErr = err
	}
	return nil, fmt.Errorf("local: no free port in the range of local hosts: %w", lastErr)
}

// StartHost starts a host and adds it to the fleet. The host runs until Stop or Close, even if ctx ends earlier.
func (f *Fleet) StartHost(ctx context.Context, c *config.Config) (*Node, error) {
	logger := f.Options.Logger.With().Str("host", c.HostID).Logger()
	dial := f.Options.Dial
	if f.Options.HostDial != nil {
		dial = f.Options.HostDial(c.HostID)
	}
	h, err := host.New(ctx, host.Options{Config: c, Table: f.Table, Objects: f.Objects, Dial: dial, Logger: logger})
	if err != nil {
		return nil, err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	node := &Node{Host: h, Config: c, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(node.done)
		node.err = errors.Join(h.Run(runCtx), h.Cleanup())
	}()
	f.nodes = append(f.nodes, node)
	return node, nil
}

// Nodes returns the hosts that are started and not stopped.
func (f *Fleet) Nodes() []*Node { return append([]*Node(nil), f.nodes...) }

// CallerAddresses returns the caller addresses of the hosts that Nodes returns.
func (f *Fleet) CallerAddresses() []string {
	addresses := make([]string, len(f.nodes))
	for i, node := range f.nodes {
		addresses[i] = node.Config.Caller.Listen
	}
	return addresses
}

// Records returns the requests that all emulated upstreams received.
func (f *Fleet) Records() []upstream.Record {
	var records []upstream.Record
	for _, servers := range f.Upstreams {
		for _, server := range servers {
			records = append(records, server.Records()...)
		}
	}
	return records
}

// Stop stops a host without a graceful leave, which emulates a crash, and removes it from the fleet.
func (f *Fleet) Stop(node *Node) error {
	for i, other := range f.nodes {
		if other == node {
			f.nodes = append(f.nodes[:i:i], f.nodes[i+1:]...)
		}
	}
	node.cancel()
	<-node.done
	return node.err
}

// Close stops all hosts and upstreams.
func (f *Fleet) Close() error {
	var errs []error
	for _, node := range f.Nodes() {
		errs = append(errs, f.Stop(node))
	}
	for _, servers := range f.Upstreams {
		for _, server := range servers {
			errs = append(errs, server.Close())
		}
	}
	return errors.Join(errs...)
}

// readyPollInterval is the interval at which WaitReady polls hosts that are starting.
const readyPollInterval = 20 * time.Millisecond

// WaitReady waits until every host is ready to serve. It returns an error if ctx ends first or a host stops.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for _, node := range f.Nodes() {
		for !node.Host.Ready() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("local: host %s is not ready: %w", node.Config.HostID, ctx.Err())
			case <-node.done:
				return fmt.Errorf("local: host %s stopped before it was ready: %w", node.Config.HostID, node.err)
			case <-ticker.C:
			}
		}
	}
	return nil
}

// NewOperationID returns a new UUID version 7.
func NewOperationID() string { return uuid.Must(uuid.NewV7()).String() }
