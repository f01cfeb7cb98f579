package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/dispatch"
	"github.com/bronzeyard/bronzeyard/gateway/durations"
	"github.com/bronzeyard/bronzeyard/gateway/pipeline"
	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/gateway/quota"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
	"github.com/bronzeyard/bronzeyard/traffic/requestid"
)

// Headers are the names of the headers between callers, hosts and upstreams, in their canonical form.
type Headers struct {
	// RequestID carries the id that the caller has given the request.
	RequestID string
	// Timeout carries the remaining time in milliseconds.
	Timeout string
	// Customer carries the id of the customer to upstreams.
	Customer string
	// Instance names the only upstream that may run the request.
	Instance string
	// NotRun marks responses to requests that the upstream did not run.
	NotRun string
	// Signature marks responses to requests that the upstream has run.
	Signature string
	// Load carries the load of an upstream as "running,waiting,slots".
	Load string
	// Leaving marks the responses of an upstream that leaves, with the value "1".
	Leaving string
	// KeyScheme precedes the key in the Authorization header.
	KeyScheme string
}

// Selection is an upstream that was chosen for an attempt. Done must be called exactly once.
type Selection struct {
	Upstream settings.Upstream
	// Trial is true if the attempt is a half-open trial of an upstream whose breaker is open.
	Trial bool
	// Floor is true if the upstream was chosen because it must receive a request soon, while many requests of the service fail.
	Floor bool
	// Load is the expected load of the upstream at the time of the choice, as a share of its slots.
	Load float64
	// RegistryAge is the age of the list of upstreams from which this one was chosen.
	RegistryAge time.Duration
	// HedgeAfter is the time without a response after which an idempotent request is also sent to another upstream.
	// TypicalDuration is the time within which most successful responses arrive. Both are 0 if unknown.
	HedgeAfter, TypicalDuration time.Duration
	// Dispatcher is the host that was asked for a slot, and DispatchWait the time until it granted one or was given up; empty without a
	// dispatcher. Fallback is the reason for which this host chose the upstream itself although a dispatcher is responsible.
	Dispatcher   string
	DispatchWait time.Duration
	Fallback     string
	// AwaitsMemory is called if the response of the upstream begins to wait for memory of this host. Optional.
	AwaitsMemory func()
	Done         func(Result)
}

// PickRequest describes an attempt that needs an upstream.
type PickRequest struct {
	Service settings.ServiceName
	Route   durations.Route
	// Request holds what the choice depends on, except for Retryable, which Pick sets.
	placement.Request
	// MayRetry is true if the limits of the request allow a further attempt after this one. It is Retryable if the retry budget of the
	// service has a token too.
	MayRetry bool
	// NeedsToken is true if the attempt needs a token of the retry budget. Concurrent is true if another attempt of the request runs:
	// the token is taken only if there is an upstream, and Pick does not wait for a slot.
	NeedsToken, Concurrent bool
	// Customer, Weight and Priority determine the order in which requests get a slot, and so does Target, which is the end of the
	// target latency; zero if there is none. Deadline is the end of the time limit.
	Customer         settings.CustomerID
	Weight           float64
	Priority         dispatch.Priority
	Deadline, Target time.Time
}

// Errors of Upstreams.Pick.
var (
	ErrNoUpstream    = errors.New("no further upstream of the service is available")
	ErrNoRetryBudget = errors.New("the retry budget of the service is exhausted")
)

// RejectedError is the error of Upstreams.Pick for a request that cannot be served within its time limit.
type RejectedError struct {
	// RetryAfter is the time after which the service is likely to have capacity.
	RetryAfter time.Duration
	// Dispatcher is the host that has rejected the request.
	Dispatcher string
}

// Error implements error.
func (r *RejectedError) Error() string {
	return "the dispatcher " + r.Dispatcher + " expects no free slot within the time limit of the request"
}

// Upstreams chooses upstreams and accounts for retries.
type Upstreams interface {
	// Pick chooses an upstream for an attempt of a request. It may wait until ctx ends. The error is ErrNoUpstream, ErrNoRetryBudget, a
	// *RejectedError, or that of ctx.
	Pick(ctx context.Context, request *PickRequest) (Selection, error)
	// CountRequest counts a request for a service towards its retry budget.
	CountRequest(service settings.ServiceName)
	// CountRejected counts a request for a service that the host rejects without having sent it to an upstream.
	CountRejected(service settings.ServiceName)
	// RetryAfter returns the time after which a service that lacked capacity for a request is likely to have some.
	RetryAfter(service settings.ServiceName) time.Duration
}

// Limiter decides whether a customer is within its rate and burst.
type Limiter interface {
	Admit(now time.Time, id settings.CustomerID, limit quota.Limit) quota.Decision
}

// Options configure a Relay. All fields but Hedging and Shutdown are required.
type Options struct {
	// Snapshot returns the current settings; nil if none are known.
	Snapshot func() *settings.Snapshot
	// SettingsAge returns the time since the current settings were last confirmed.
	SettingsAge func() time.Duration
	Upstreams   Upstreams
	Limiter     Limiter
	Forwarder   *forward.Forwarder
	Headers     Headers
	// Observe is called once for each request. It must not block.
	Observe func(*Event)
	// LimitOf returns the rate limit that applies to a customer.
	LimitOf func(*settings.Customer) quota.Limit
	// Random returns a random number in [0, 1). It chooses the service of a route with a split.
	Random func() float64
	// Hedging applies the operators' limit of hedged attempts. Default: no limit.
	Hedging Hedging
	// Shutdown returns the limits while the host shuts down, and false otherwise. Default false.
	Shutdown func() (Shutdown, bool)
}

// Relay is the request path. It is safe for concurrent use.
type Relay struct{ options Options }

// New returns a Relay.
func New(options Options) *Relay {
	if options.Shutdown == nil {
		options.Shutdown = func() (Shutdown, bool) { return Shutdown{}, false }
	}
	if options.Hedging == nil {
		options.Hedging = unlimitedHedging{}
	}
	return &Relay{options: options}
}

// exchange is the state of one request.
type exchange struct {
	*Relay
	request       *pipeline.Request
	ctx           context.Context // ends at the deadline, and when the caller disconnects
	snapshot      *settings.Snapshot
	route         *settings.Route
	policy        settings.Policy
	customer      *settings.Customer
	service       settings.ServiceName
	id            string
	requestTarget string
	deadline      time.Time
	outgoing      *forward.Request
	tried         []settings.UpstreamID
	sent          int  // attempts that reached an upstream
	mayHaveRun    bool // an upstream may have run the request
	// memoryScarce is true if the latest attempt was not sent because the host has no memory for a response.
	memoryScarce bool
	// needsToken is true if the next attempt needs a token of the retry budget, because an earlier one has reached an upstream.
	needsToken bool
	// responses are the complete responses of ended attempts. Their bodies count against the buffer budget until they are closed.
	responses []*forward.Response
	returned  *forward.Response // the one that the caller receives; nil if none
	event     Event
}

// Serve serves one request. It implements pipeline.Handler.
func (r *Relay) Serve(ctx context.Context, request *pipeline.Request) *pipeline.Response {
	x := &exchange{Relay: r, request: request}
	x.id = requestid.OrNew(request.HTTP.Header.Get(r.options.Headers.RequestID))
	x.event.RequestID, x.event.Method = x.id, request.HTTP.Method
	response := x.serve(ctx)
	x.closeUnused()
	x.event.Status = response.Status
	x.event.Total = time.Since(request.ReadAt)
	x.event.CallerGone = ctx.Err() != nil && !cancelledByShutdown(ctx)
	r.options.Observe(&x.event)
	return response
}

// closeUnused closes the responses that the caller does not receive.
func (x *exchange) closeUnused() {
	for _, response := range x.responses {
		if response != x.returned {
			response.Close()
		}
	}
}

func (x *exchange) serve(ctx context.Context) *pipeline.Response {
	if rejection := x.rejectInShutdown(); rejection != nil {
		return x.reject(rejection)
	}
	if rejection := x.admit(); rejection != nil {
		return x.reject(rejection)
	}
	bounded, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	x.ctx = bounded
	x.options.Upstreams.CountRequest(x.service)
	x.options.Hedging.CountRequest(x.service)
	if x.policy.Idempotent {
		return x.serveIdempotent()
	}
	return x.serveAtMostOnce()
}

// admit determines the route, the customer, the time limit and the service, and takes a token of the customer's rate limit.
// It returns the reason for which the request is rejected, or nil.
func (x *exchange) admit() *errkind.Error {
	x.snapshot = x.options.Snapshot()
	if x.snapshot == nil {
		return &errkind.Error{Kind: errkind.HostInactive, RetryAfter: noSettingsRetryAfter}
	}
	x.event.Settings, x.event.SettingsAge = x.snapshot.Revision, x.options.SettingsAge()
	x.requestTarget = x.request.HTTP.RequestURI
	route, ok := x.snapshot.Route(hostName(x.request.HTTP.Host), x.request.HTTP.Method, pathOf(x.requestTarget))
	if !ok {
		return errkind.New(errkind.RouteNotFound, nil)
	}
	x.route, x.policy = route, route.PolicyFor(x.request.HTTP.Method)
	x.event.Route = route.Name
	if rejection := x.identify(); rejection != nil {
		return rejection
	}
	if rejection := x.setDeadline(); rejection != nil {
		return rejection
	}
	x.service = x.pickService()
	x.event.Service = x.service
	if x.options.Forwarder.MemoryScarce() {
		return x.noMemory()
	}
	if rejection := x.takeRateToken(); rejection != nil {
		return rejection
	}
	x.outgoing = x.newOutgoing()
	return nil
}

// noSettingsRetryAfter is the time within which a host that has just started is likely to have its settings.
const noSettingsRetryAfter = 500 * time.Millisecond

// hostName returns the host name of a Host header in lower case and without the port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// pathOf returns the path of a request target without decoding it.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	if strings.HasPrefix(path, "/") {
		return path
	}
	if _, rest, ok := strings.Cut(path, "://"); ok {
		if i := strings.IndexByte(rest, '/'); i >= 0 {
			return rest[i:]
		}
	}
	return path
}

// identify determines the customer from the presented key.
func (x *exchange) identify() *errkind.Error {
	key, ok := presentedKey(x.request.HTTP.Header, x.options.Headers.KeyScheme)
	if ok {
		if customer, found := x.snapshot.CustomerForKey(key); found {
			x.customer = customer
			x.event.Customer = customer.ID
			return nil
		}
	}
	switch {
	case x.policy.Open:
		return nil
	case ok:
		return errkind.New(errkind.KeyInvalid, nil)
	default:
		return errkind.New(errkind.KeyMissing, nil)
	}
}

func presentedKey(header http.Header, scheme string) (string, bool) {
	value := strings.TrimSpace(header.Get("Authorization"))
	if len(value) <= len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) || value[len(scheme)] != ' ' {
		return "", false
	}
	return strings.TrimSpace(value[len(scheme):]), true
}

// defaultTimeout is the time limit if neither the route nor the caller sets one.
const defaultTimeout = 10 * time.Second

// setDeadline applies the shorter of the time limits of the caller and the route.
func (x *exchange) setDeadline() *errkind.Error {
	limit := defaultTimeout
	if x.policy.Timeout > 0 {
		limit = x.policy.Timeout
	}
	if text := x.request.HTTP.Header.Get(x.options.Headers.Timeout); text != "" {
		milliseconds, err := strconv.ParseInt(text, 10, 32)
		if err != nil || milliseconds <= 0 {
			return errkind.New(errkind.RequestMalformed, err)
		}
		limit = min(limit, time.Duration(milliseconds)*time.Millisecond)
	}
	x.deadline = x.request.ReadAt.Add(limit)
	x.event.TimeLimit = limit
	return nil
}

// pickService chooses the service of a split by weight alone. A service that is short of capacity keeps its share.
func (x *exchange) pickService() settings.ServiceName {
	total := 0.0
	for _, part := range x.route.Split {
		total += part.Weight
	}
	at := x.options.Random() * total
	for _, part := range x.route.Split {
		if at < part.Weight {
			return part.Service
		}
		at -= part.Weight
	}
	return x.route.Service
}

func (x *exchange) takeRateToken() *errkind.Error {
	if x.customer == nil {
		return nil
	}
	decision := x.options.Limiter.Admit(time.Now(), x.customer.ID, x.options.LimitOf(x.customer))
	x.event.Tokens, x.event.LiveHosts = decision.Tokens, decision.Hosts
	if decision.Allowed {
		return nil
	}
	if decision.Unavailable {
		spread := 0.5 + x.options.Random() // callers that are rejected together must not return together
		return &errkind.Error{Kind: errkind.LimitUnavailable, RetryAfter: time.Duration(spread * float64(unknownFleetRetryAfter))}
	}
	return &errkind.Error{Kind: errkind.RateLimited, RetryAfter: decision.RetryAfter}
}

// unknownFleetRetryAfter is the mean time within which a host that has just started is likely to learn the size of the fleet.
const unknownFleetRetryAfter = time.Second

// newOutgoing returns the request that is sent to upstreams. It is unchanged except for the hop-by-hop headers, the key, and
// the headers that hosts set themselves.
func (x *exchange) newOutgoing() *forward.Request {
	names := &x.options.Headers
	header := x.request.HTTP.Header.Clone()
	forward.RemoveHopByHop(header)
	for _, name := range []string{"Authorization", "Content-Length", names.RequestID, names.Timeout, names.Customer, names.Instance} {
		header.Del(name)
	}
	if x.customer != nil {
		header[names.Customer] = []string{string(x.customer.ID)}
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // prevents http.Transport from adding its own
	}
	outgoing := &forward.Request{
		Method: x.request.HTTP.Method, Host: x.request.HTTP.Host, Header: header, Buffered: x.request.Body,
		ID: x.id, Verbatim: true, Pooled: true, Idempotent: x.policy.Idempotent,
	}
	if strings.HasPrefix(x.requestTarget, "/") && !strings.HasPrefix(x.requestTarget, "//") {
		outgoing.RequestTarget = x.requestTarget
	} else {
		outgoing.Path, outgoing.RawPath = x.request.HTTP.URL.Path, x.request.HTTP.URL.RawPath
		outgoing.RawQuery = x.request.HTTP.URL.RawQuery
	}
	return outgoing
}

// RetryAfterPrecision is the precision of the stated retry delay.
const RetryAfterPrecision = 100 * time.Millisecond

// reject returns a response of the host itself for an error.
func (x *exchange) reject(e *errkind.Error) *pipeline.Response {
	x.event.Kind, x.event.Cause = e.Kind, x.causeOf(e)
	x.event.RetryAfter = e.RetryAfter
	if x.service != "" && x.sent == 0 && !x.callerGone() {
		x.options.Upstreams.CountRejected(x.service)
	}
	status, header, body := errkind.Render(x.id, e, RetryAfterPrecision)
	header.Set(x.options.Headers.RequestID, x.id)
	return &pipeline.Response{Status: status, Header: header, Body: body}
}

// callerGone reports whether the caller has disconnected.
func (x *exchange) callerGone() bool { return x.ctx != nil && errors.Is(x.ctx.Err(), context.Canceled) }

// respond returns the response of an upstream as the response to the caller. Its body counts against the buffer budget until it is
// released.
func (x *exchange) respond(response *forward.Response) *pipeline.Response {
	header := response.Header
	header.Set(x.options.Headers.RequestID, x.id)
	header.Del("Content-Length")
	x.returned = response
	return &pipeline.Response{
		Status: response.Status, Header: header, Body: response.Body, Length: response.ContentLength, Release: response.Close,
	}
}
