package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/fleet/idempotency"
	"github.com/bronzeyard/bronzeyard/fleet/membership"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
	"github.com/bronzeyard/bronzeyard/fleet/ratelimit"
	"github.com/bronzeyard/bronzeyard/host/config"
	"github.com/bronzeyard/bronzeyard/host/metrics"
	"github.com/bronzeyard/bronzeyard/host/settingsync"
	"github.com/bronzeyard/bronzeyard/settings/store"
	"github.com/bronzeyard/bronzeyard/storage"
	"github.com/bronzeyard/bronzeyard/traffic/proxy"
)

// Options of a Host. All fields without a default are required.
type Options struct {
	Config  *config.Config
	Table   storage.Table
	Objects storage.ObjectStore
	// HostList is the platform's list of hosts. Default no list.
	HostList storage.HostList
	// Clock is the host's clock. Default clock.System.
	Clock clock.Clock
	// Dial opens connections to other hosts. Default net.Dialer.
	Dial peer.DialFunc
	// Logger receives changes of state. Default no logging.
	Logger zerolog.Logger
}

// Host is one host of the fleet.
type Host struct {
	options Options
	config  *config.Config

	store      *store.Store
	sync       *settingsync.Syncer
	snapshots  *snapshots
	transport  *peer.Transport
	membership *membership.Runtime
	limiter    *ratelimit.Limiter
	operations *idempotency.Operations
	services   *services
	prober     *http.Client
	metrics    *metrics.Metrics
	handler    *proxy.Handler

	callerListener net.Listener
	adminListener  net.Listener
	callerServer   *http.Server
	adminServer    *http.Server

	leaveOnce sync.Once
	leaving   chan struct{} // closed when the host begins to leave the fleet
	left      chan struct{} // closed when Leave has ended, with or without an error, and Run may return
}

// New builds a host and opens its listeners. The host serves requests once Run is called.
func New(ctx context.Context, options Options) (*Host, error) {
	if options.Clock == nil {
		options.Clock = clock.System{}
	}
	h := &Host{
		options: options, config: options.Config, prober: newProber(),
		leaving: make(chan struct{}), left: make(chan struct{}),
	}
	provisions := []func(context.Context) error{
		h.provisionPeers, h.provisionSettings, h.provisionMembership, h.provisionTraffic, h.provisionAdmin,
	}
	for _, provision := range provisions {
		if err := provision(ctx); err != nil {
			return nil, errors.Join(err, h.Cleanup())
		}
	}
	return h, nil
}

// Run serves until ctx ends or Leave has ended. If ctx ends, the host stops at once without leaving the fleet, as in a
// crash.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return h.transport.Serve(ctx) })
	if err := h.sync.Start(ctx); err != nil {
		// The host continues: it can still receive settings from another host, or from the platform once that responds.
		h.options.Logger.Warn().Err(err).Msg("settings could not be loaded at the start")
	}
	defer h.snapshots.watch(h.store)()
	for _, run := range []func(context.Context){h.sync.Run, h.limiter.Run, h.services.leaving.run} {
		group.Go(func() error { run(ctx); return nil })
	}
	group.Go(func() error { return h.membership.Run(ctx) })
	group.Go(func() error { return h.operations.Run(ctx) })
	group.Go(func() error { return h.services.ejections.Run(ctx) })
	group.Go(func() error { return serve(ctx, h.callerServer, h.callerListener) })
	group.Go(func() error { return serve(ctx, h.adminServer, h.adminListener) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-h.left:
			cancel()
		}
		return nil
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// serve serves until ctx ends and then closes the server at once. Leave shuts the server down gracefully before that.
func serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ctx.Done()
	return nil
}

// Ready reports whether the host has settings, holds its activity lease and is not leaving.
func (h *Host) Ready() bool { return h.snapshots.Current() != nil && h.Active() && !h.isLeaving() }

// Active implements proxy.Lease. It reports whether the host's activity lease is valid.
func (h *Host) Active() bool { return h.membership.View().ActiveAt(h.options.Clock.Now()) }

// CallerAddress returns the address of the listener for callers.
func (h *Host) CallerAddress() string { return h.callerListener.Addr().String() }

// AdminAddress returns the address of the listener for operators.
func (h *Host) AdminAddress() string { return h.adminListener.Addr().String() }

// Cleanup closes the resources that New opened. It must be called after Run has returned.
func (h *Host) Cleanup() error {
	var errs []error
	if h.transport != nil {
		errs = append(errs, h.transport.Close())
	}
	for _, listener := range []net.Listener{h.callerListener, h.adminListener} {
		if listener != nil {
			_ = listener.Close() // closed already if Run served it
		}
	}
	if h.metrics != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		errs = append(errs, h.metrics.Close(ctx))
	}
	return errors.Join(errs...)
}

// onView notifies the modules that depend on the membership of a new view.
func (h *Host) onView(before, after *fleet.View) {
	h.limiter.OnView(before, after)
	h.operations.OnView(before, after)
	h.services.onView(before, after)
	h.services.ejections.OnView(before, after)
}
