package host

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
	"github.com/bronzeyard/bronzeyard/host/config"
	"github.com/bronzeyard/bronzeyard/host/metrics"
	"github.com/bronzeyard/bronzeyard/host/settingsync"
	"github.com/bronzeyard/bronzeyard/host/tlsconfig"
	"github.com/bronzeyard/bronzeyard/platform"
	"github.com/bronzeyard/bronzeyard/settings/store"
	"github.com/bronzeyard/bronzeyard/traffic/proxy"
)

// Options of a Host. All fields without a default are required.
type Options struct {
	Config  *config.Config
	Table   platform.Table
	Objects platform.ObjectStore
	// Clock is the host's clock. Default clock.System.
	Clock clock.Clock
	// Logger gets changes of state. Default none.
	Logger zerolog.Logger
}

// Host is one host of the fleet.
type Host struct {
	options   Options
	config    *config.Config
	store     *store.Store
	sync      *settingsync.Syncer
	snapshots *snapshots
	transport *peer.Transport
	metrics   *metrics.Metrics
	handler   *proxy.Handler
	caller    net.Listener
}

// New builds a host and opens its listeners.
func New(ctx context.Context, options Options) (*Host, error) {
	if options.Clock == nil {
		options.Clock = clock.System{}
	}
	h := &Host{options: options, config: options.Config}
	for _, provision := range []func(context.Context) error{h.provisionPeers, h.provisionSettings, h.provisionTraffic} {
		if err := provision(ctx); err != nil {
			return nil, errors.Join(err, h.Cleanup())
		}
	}
	return h, nil
}

func (h *Host) provisionPeers(context.Context) error {
	tlsConfig, err := tlsconfig.Mutual(h.config.Peer.TLS)
	if err != nil {
		return fmt.Errorf("peer.tls: %w", err)
	}
	h.transport, err = peer.New(peer.Options{
		Self: fleet.Identity{ID: fleet.HostID(h.config.HostID), Incarnation: 1}, Listen: h.config.Peer.Listen,
		TLS: tlsConfig, Logger: &h.options.Logger,
	})
	return err
}

func (h *Host) provisionSettings(context.Context) error {
	h.store = store.New(store.Options{
		Table: h.options.Table, Objects: h.options.Objects, Clock: h.options.Clock, Logger: h.options.Logger,
	})
	h.sync = settingsync.New(settingsync.Options{
		Store: h.store, Caller: h.transport, Registrar: h.transport, Seeds: h.config.Seeds, Logger: h.options.Logger,
	})
	h.snapshots = &snapshots{dataCentre: h.config.DataCentre, logger: h.options.Logger}
	return nil
}

func (h *Host) provisionTraffic(ctx context.Context) error {
	var err error
	if h.metrics, err = metrics.New(); err != nil {
		return err
	}
	h.handler = proxy.New(proxy.Options{
		Snapshots: h.snapshots, Lease: alwaysActive{}, Limiter: openLimiter{}, Selector: &roundRobin{},
		Queue: openQueue{}, Retries: noRetries{},
	})
	h.caller, err = listen(ctx, h.config.Caller.Listen)
	return err
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
}

// CallerAddress returns the address on which callers are served.
func (h *Host) CallerAddress() string { return h.caller.Addr().String() }

// Run serves until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	if err := h.sync.Start(ctx); err != nil {
		return err
	}
	defer h.snapshots.watch(h.store)()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return h.transport.Serve(ctx) })
	group.Go(func() error { h.sync.Run(ctx); return nil })
	group.Go(func() error { return h.serveCallers(ctx) })
	return group.Wait()
}

func (h *Host) serveCallers(ctx context.Context) error {
	router := mux.NewRouter()
	router.PathPrefix("/").Handler(h.metrics.Middleware(h.handler))
	server := &http.Server{Handler: router, ReadHeaderTimeout: 10 * time.Second}
	stopped := context.AfterFunc(ctx, func() {
		grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownGrace)
		defer cancel()
		_ = server.Shutdown(grace)
	})
	defer stopped()
	if err := server.Serve(h.caller); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Cleanup closes what New opened. It must be called after Run.
func (h *Host) Cleanup() error {
	var errs []error
	if h.transport != nil {
		errs = append(errs, h.transport.Close())
	}
	if h.caller != nil {
		_ = h.caller.Close()
	}
	return errors.Join(errs...)
}

// Ready reports whether the host has settings and may act on them.
func (h *Host) Ready() bool { return h.snapshots.Current() != nil }
