package host

import (
	"context"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/gorilla/mux"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/ejection"
	"github.com/bronzeyard/bronzeyard/fleet/idempotency"
	"github.com/bronzeyard/bronzeyard/fleet/membership"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
	"github.com/bronzeyard/bronzeyard/fleet/ratelimit"
	"github.com/bronzeyard/bronzeyard/host/admin"
	"github.com/bronzeyard/bronzeyard/host/config"
	"github.com/bronzeyard/bronzeyard/host/metrics"
	"github.com/bronzeyard/bronzeyard/host/settingsync"
	"github.com/bronzeyard/bronzeyard/host/tlsconfig"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/settings/store"
	"github.com/bronzeyard/bronzeyard/traffic/proxy"
)

// Limits of the HTTP servers.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// self returns this host as a member of the fleet.
func (h *Host) self() fleet.Member {
	return fleet.Member{
		ID: fleet.HostID(h.config.HostID), PeerAddress: h.config.Peer.Address(), CallerAddress: h.config.Caller.Address(),
		DataCentre: h.config.DataCentre, Capacity: h.config.Capacity, State: fleet.Active,
	}
}

func (h *Host) provisionPeers(context.Context) error {
	tlsConfig, err := tlsconfig.Mutual(h.config.Peer.TLS)
	if err != nil {
		return fmt.Errorf("peer.tls: %w", err)
	}
	h.transport, err = peer.New(peer.Options{
		Self: fleet.Identity{ID: fleet.HostID(h.config.HostID)}, Listen: h.config.Peer.Listen,
		TLS: tlsConfig, Dial: h.options.Dial, Logger: &h.options.Logger,
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

func (h *Host) provisionMembership(context.Context) error {
	var err error
	h.membership, err = membership.New(membership.Options{
		Table: h.options.Table, Cell: h.config.Cell, Self: h.self(), Seeds: h.config.Seeds,
		Caller: h.transport, Registrar: h.transport, Clock: h.options.Clock,
		AppliedRevision: h.sync.Applied, OnNewerRevision: h.sync.ObserveRevision, OnView: h.onView,
		HostList: h.options.HostList, Logger: h.options.Logger,
	})
	if err != nil {
		return err
	}
	h.transport.SetIdentity(h.membership.View().Self)
	h.limiter = ratelimit.New(ratelimit.Options{
		Views: h.membership, Caller: h.transport, Registrar: h.transport, Clock: h.options.Clock,
		Limits: h.limits, Logger: h.options.Logger,
	})
	h.operations = idempotency.New(idempotency.Options{
		Views: h.membership, Caller: h.transport, Registrar: h.transport, Clock: h.options.Clock,
		ClockOffset: h.membership.ClockOffset, Table: h.options.Table, Cell: h.config.Cell,
		Logger: h.options.Logger,
	})
	h.services = newServices(h.config.DataCentre)
	h.services.leaving = &leavingList{list: h.options.HostList, logger: h.options.Logger}
	h.services.ejections = ejection.NewService(ejection.Options{
		Views: h.membership, Caller: h.transport, Registrar: h.transport, Clock: h.options.Clock,
		Services: h.snapshots.services, Probe: h.probe, Draining: h.services.draining, Logger: h.options.Logger,
	})
	return nil
}

// limits returns a customer's rate and burst in the active settings.
func (h *Host) limits(customer string) (rate, burst float64, ok bool) {
	snapshot := h.snapshots.Current()
	if snapshot == nil {
		return 0, 0, false
	}
	c, ok := snapshot.Customer(settings.CustomerID(customer))
	if !ok {
		return 0, 0, false
	}
	return c.Rate, c.Burst, true
}

func (h *Host) provisionTraffic(ctx context.Context) error {
	var err error
	if h.metrics, err = metrics.New(); err != nil {
		return err
	}
	h.snapshots.observers = []func(_, _ *settings.Snapshot){
		h.services.onSettings,
		func(_, _ *settings.Snapshot) { h.limiter.OnLimitsChanged() },
	}
	h.handler = proxy.New(proxy.Options{
		Snapshots: h.snapshots, Lease: h, Limiter: limiter{h.limiter}, Selector: h.services, Queue: h.services,
		RetryBudget: h.services, Operations: h.operations,
	})
	router := mux.NewRouter()
	router.SkipClean(true) // package proxy validates paths itself
	router.Path(addressPath).Methods(http.MethodGet).HandlerFunc(h.serveAddresses)
	router.PathPrefix("/").Handler(h.handler)
	h.callerServer = newServer(h.metrics.Middleware(h.closeWhileLeaving(router)))
	h.callerListener, err = listen(ctx, &h.config.Caller)
	return err
}

func (h *Host) provisionAdmin(ctx context.Context) error {
	operators, err := operators(h.config.Admin.Operators)
	if err != nil {
		return err
	}
	if err := h.metrics.AddGauges(h.gauges()); err != nil {
		return err
	}
	operatorAPI := admin.New(admin.Options{
		Settings: h.store, Fleet: h, Operators: operators, DataCentre: h.config.DataCentre, Clock: h.options.Clock,
		Logger: h.options.Logger,
	})
	router := mux.NewRouter()
	router.Path("/metrics").Handler(h.metrics.Handler())
	router.Path("/healthz").HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Path("/readyz").HandlerFunc(h.serveReadiness)
	router.PathPrefix("/debug/pprof/").Handler(operatorAPI.Restrict(profiles()))
	router.PathPrefix("/").Handler(operatorAPI)
	h.adminServer = newServer(router)
	h.adminListener, err = listen(ctx, &h.config.Admin.Listener)
	return err
}

// profiles serves the runtime profiles of the process.
func profiles() http.Handler {
	handler := http.NewServeMux()
	handler.HandleFunc("/debug/pprof/", pprof.Index)
	handler.HandleFunc("/debug/pprof/profile", pprof.Profile)
	return handler
}

// operators converts the configured operators for the admin API.
func operators(configured []config.Operator) ([]admin.Operator, error) {
	all := make([]admin.Operator, len(configured))
	for i, operator := range configured {
		all[i].Name = operator.Name
		if _, err := hex.Decode(all[i].TokenHash[:], []byte(operator.TokenSHA256)); err != nil {
			return nil, fmt.Errorf("admin.operators[%d].token_sha256: %w", i, err)
		}
	}
	return all, nil
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// listen opens a TCP listener, with TLS if it is configured.
func listen(ctx context.Context, l *config.Listener) (net.Listener, error) {
	tlsConfig, err := tlsconfig.Server(l.TLS)
	if err != nil {
		return nil, err
	}
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", l.Listen)
	if err != nil || tlsConfig == nil {
		return listener, err
	}
	return tls.NewListener(listener, tlsConfig), nil
}

// limiter adapts ratelimit.Limiter to proxy.Limiter.
type limiter struct{ *ratelimit.Limiter }

// Admit implements proxy.Limiter.
func (l limiter) Admit(ctx context.Context, customer settings.CustomerID) proxy.LimitDecision {
	decision := l.Limiter.Admit(ctx, string(customer))
	return proxy.LimitDecision{Allowed: decision.Allowed, Kind: rateLimitKind(decision.Reason), RetryAfter: decision.RetryAfter}
}
