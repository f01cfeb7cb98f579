package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
	"github.com/bronzeyard/bronzeyard/traffic/requestid"
)

// Options configures a Handler. All fields of interface type are required.
type Options struct {
	Snapshots   Snapshots
	Lease       Lease
	Limiter     Limiter
	Selector    Selector
	Queue       Queue
	RetryBudget RetryBudget
	Operations  Operations
	// Forwarder sends requests to upstreams. Default forward.New(forward.Options{}).
	Forwarder *forward.Forwarder
	// Observe is called once for each finished request. It must not block. Default none.
	Observe func(Event)
	// FirstByteTimeout bounds the time from the start of an attempt of an idempotent request to its response header. If it
	// is 0, only the request's deadline applies.
	FirstByteTimeout time.Duration
	// MaxReplayBody is the largest body in bytes that is buffered, so that an idempotent request can be retried. Longer
	// bodies are streamed to a single attempt. Default 64 KiB.
	MaxReplayBody int64
}

// Event describes a finished request.
type Event struct {
	RequestID string
	Service   settings.ServiceName
	Route     string
	// Customer is empty on open routes and for requests without a valid key.
	Customer settings.CustomerID
	// Status is the status sent to the caller; 0 if the connection was aborted or closed by the caller.
	Status int
	// Kind is the error kind of a response that the host generated; empty if an upstream's response was forwarded.
	Kind errkind.Kind
	// Cause is the error that led to Kind, for logs.
	Cause error
	// Attempts counts attempts including hedges.
	Attempts int
	Hedges   int
	Replayed bool
	// Duration is the time from the arrival of the request to the end of the response.
	Duration time.Duration
	// UpstreamLatency is the time to the first byte of the attempt whose response was forwarded.
	UpstreamLatency time.Duration
}

const defaultMaxReplayBody = 64 << 10

// Handler is the request path. It is safe for concurrent use.
type Handler struct {
	options  Options
	inflight inflight
}

// New returns a Handler.
func New(options Options) *Handler {
	if options.Forwarder == nil {
		options.Forwarder = forward.New(forward.Options{})
	}
	if options.MaxReplayBody == 0 {
		options.MaxReplayBody = defaultMaxReplayBody
	}
	if options.Observe == nil {
		options.Observe = func(Event) {}
	}
	return &Handler{options: options}
}

// InFlight returns the number of requests in flight, including those whose caller has disconnected.
func (h *Handler) InFlight() int { return h.inflight.count() }

// Drain rejects new requests with kind shutting_down and waits until no request is in flight. It returns the error of ctx
// if ctx ends first.
func (h *Handler) Drain(ctx context.Context) error { return h.inflight.drain(ctx) }

// CloseIdle closes the idle connections to upstreams.
func (h *Handler) CloseIdle() { h.options.Forwarder.CloseIdle() }

// exchange is the state of one request.
type exchange struct {
	h             *Handler
	w             http.ResponseWriter
	r             *http.Request
	id            string
	start         time.Time
	deadline      time.Time
	ctx           context.Context // ends at the deadline, and when the caller disconnects
	cancel        context.CancelFunc
	keys          []string
	route         *settings.Route
	policy        settings.Policy
	customer      *settings.Customer // nil on open routes
	request       *forward.Request
	body          *streamedBody // the caller's body if it is streamed, else nil
	bodyRead      bool          // the caller's body was read completely before the first attempt
	claimDecided  bool          // Operations.Begin has returned
	tried         []settings.UpstreamID
	reservedBytes int64 // bytes reserved in the buffer budget
	event         Event
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{h: h, w: w, r: r, start: time.Now(), cancel: func() {}}
	x.id = requestID(r)
	x.event.RequestID = x.id
	if !h.inflight.enter() {
		w.Header().Set("Connection", "close")
		x.reject(errkind.New(errkind.ShuttingDown, nil))
		return
	}
	defer h.inflight.leave()
	defer func() { x.cancel() }()
	if err := x.admit(); err != nil {
		x.reject(err)
		return
	}
	x.run()
}

// admit validates and authorizes the request. It applies the customer's rate limit unless an operation must be claimed first.
func (x *exchange) admit() *errkind.Error {
	if err := validateRequest(x.r); err != nil {
		return errkind.New(errkind.RequestMalformed, err)
	}
	snapshot := x.h.options.Snapshots.Current()
	if snapshot == nil {
		return errkind.New(errkind.HostInactive, nil)
	}
	if err := x.resolve(snapshot); err != nil {
		return err
	}
	if err := x.setDeadline(); err != nil {
		return err
	}
	if x.hasOperationID() {
		// The operation is claimed before the rate limit applies: a rejection by the rate limit may state "not run" only if
		// no earlier attempt ran.
		return nil
	}
	return x.takeRateToken()
}

// takeRateToken takes one token of the customer's rate and burst. Open routes need no token.
func (x *exchange) takeRateToken() *errkind.Error {
	if x.customer == nil {
		return nil
	}
	decision := x.h.options.Limiter.Admit(x.ctx, x.customer.ID)
	if decision.Allowed {
		return nil
	}
	if decision.Kind == "" {
		decision.Kind = errkind.RateLimited
	}
	return &errkind.Error{Kind: decision.Kind, RetryAfter: decision.RetryAfter}
}

// resolve finds the route, authenticates the customer and builds the request for the upstream.
func (x *exchange) resolve(snapshot *settings.Snapshot) *errkind.Error {
	route, ok := snapshot.Route(hostName(x.r.Host), x.r.Method, x.r.URL.Path)
	if !ok {
		return x.orHostInactive(errkind.RouteNotFound)
	}
	x.route, x.policy = route, route.PolicyFor(x.r.Method)
	x.event.Service, x.event.Route = route.Service, route.Name
	x.keys = forward.PresentedKeys(x.r)
	if !x.policy.Open {
		customer, err := customerOf(snapshot, x.keys)
		if err != nil {
			return x.orHostInactive(err.Kind)
		}
		if !x.h.options.Lease.Active() {
			return errkind.New(errkind.HostInactive, nil)
		}
		x.customer = customer
		x.event.Customer = customer.ID
	}
	if forward.ContainsKey(x.r.URL.Path, x.keys) || forward.ContainsKey(x.r.Host, x.keys) {
		return errkind.New(errkind.RequestMalformed, errKeyInPath)
	}
	x.request = forward.NewRequest(x.r, x.id, x.keys, x.policy.Idempotent)
	return nil
}

// orHostInactive returns an error of the kind, or of kind HostInactive if the activity lease has expired: the route or key
// may be newer than this host's settings.
func (x *exchange) orHostInactive(kind errkind.Kind) *errkind.Error {
	if !x.h.options.Lease.Active() {
		kind = errkind.HostInactive
	}
	return errkind.New(kind, nil)
}

// customerOf returns the customer of the presented key. Requests with several different keys are rejected, because any
// choice between them could charge the wrong customer.
func customerOf(snapshot *settings.Snapshot, keys []string) (*settings.Customer, *errkind.Error) {
	switch len(keys) {
	case 0:
		return nil, errkind.New(errkind.KeyMissing, nil)
	case 1:
	default:
		return nil, errkind.New(errkind.KeyInvalid, errMultipleKeys)
	}
	customer, ok := snapshot.CustomerForKey(keys[0])
	if !ok {
		return nil, errkind.New(errkind.KeyInvalid, nil)
	}
	return customer, nil
}

// recheck repeats the checks whose result can change while a request waits. It returns the service as the active settings
// define it now.
func (x *exchange) recheck() (*settings.Service, *errkind.Error) {
	snapshot := x.h.options.Snapshots.Current()
	if snapshot == nil || (x.customer != nil && !x.h.options.Lease.Active()) {
		return nil, errkind.New(errkind.HostInactive, nil)
	}
	if x.customer != nil {
		customer, err := customerOf(snapshot, x.keys)
		if err != nil {
			return nil, err
		}
		if customer.ID != x.customer.ID {
			return nil, errkind.New(errkind.KeyInvalid, errKeyReassigned)
		}
	}
	service, ok := snapshot.Service(x.route.Service)
	if !ok {
		return nil, errkind.New(errkind.NoUpstream, errServiceRemoved)
	}
	return service, nil
}

// setDeadline sets the deadline from the route's timeout, which the caller can shorten.
func (x *exchange) setDeadline() *errkind.Error {
	timeout := x.policy.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	shorter, ok, err := callerTimeout(x.r.Header)
	if err != nil {
		return errkind.New(errkind.RequestMalformed, err)
	}
	if ok {
		timeout = min(timeout, shorter)
	}
	x.deadline = x.start.Add(timeout)
	x.ctx, x.cancel = context.WithDeadline(x.r.Context(), x.deadline)
	return nil
}

// hasOperationID reports whether the request must claim an operation before it may run.
func (x *exchange) hasOperationID() bool {
	return !x.policy.Idempotent && x.r.Header.Get(OperationIDHeader) != ""
}

// reject responds with an error that the host generates.
func (x *exchange) reject(e *errkind.Error) {
	if e.Outcome == "" && errkind.ResponseFor(e.Kind).Outcome == errkind.NotRun && x.mayRepeatOperation() {
		e = &errkind.Error{Kind: e.Kind, RetryAfter: e.RetryAfter, Outcome: errkind.Unknown, Cause: e.Cause}
	}
	x.event.Kind, x.event.Cause = e.Kind, e.Cause
	x.event.Status = errkind.ResponseFor(e.Kind).Status
	x.closeIfUnread()
	errkind.Write(x.w, x.id, e)
	x.reportEvent()
}

// mayRepeatOperation reports whether the request may repeat an operation that ran earlier. Until Operations.Begin
// has returned, a rejection of such a request must not state that the operation did not run.
func (x *exchange) mayRepeatOperation() bool {
	idempotent := settings.IsIdempotentMethod(x.r.Method)
	if x.route != nil {
		idempotent = x.policy.Idempotent
	}
	return !idempotent && !x.claimDecided && x.r.Header.Get(OperationIDHeader) != ""
}

func (x *exchange) reportEvent() {
	x.event.Duration = time.Since(x.start)
	x.h.options.Observe(x.event)
}

// asKind returns the *errkind.Error in err's chain, or a new one of the fallback kind.
func asKind(err error, fallback errkind.Kind) *errkind.Error {
	var known *errkind.Error
	if errors.As(err, &known) {
		return known
	}
	return errkind.New(fallback, err)
}

// requestID returns the id that the caller sent. An id with the caller's key is replaced, because the key must reach neither an upstream nor
// a log.
func requestID(r *http.Request) string {
	id := r.Header.Get(errkind.RequestIDHeader)
	if forward.ContainsKey(id, forward.PresentedKeys(r)) {
		id = ""
	}
	return requestid.OrNew(id)
}
