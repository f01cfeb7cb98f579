package relay

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/bronzeyard/bronzeyard/gateway/durations"
	"github.com/bronzeyard/bronzeyard/gateway/pipeline"
	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/gateway/quota"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

// Headers are the names of the headers between callers, hosts and upstreams, in their canonical form.
type Headers struct {
	// RequestID carries the caller's id of the request.
	RequestID string
	// Timeout carries the time that is left, in milliseconds.
	Timeout string
	// Customer tells an upstream for whom the request is.
	Customer string
	// Instance names the only upstream that may run the request.
	Instance string
	// NotRun marks answers to requests that the upstream did not run.
	NotRun string
	// Load carries an upstream's load: running, waiting, slots.
	Load string
	// KeyScheme precedes the key in the Authorization header.
	KeyScheme string
}

// Attempt is an upstream that was chosen for an attempt. Done must be called exactly once.
type Attempt struct {
	Upstream settings.Upstream
	// Trial is true if the attempt tests an upstream whose breaker is open.
	Trial bool
	// Load is the load of the upstream as expected by the choice, in shares of its slots.
	Load float64
	// Age is the age of the list of upstreams that the choice was made from.
	Age time.Duration
	// HedgeAfter is the time without an answer after which a repeatable request is also sent elsewhere, and Usual the time in
	// which most good answers come; 0 if unknown.
	HedgeAfter, Usual time.Duration
	Done              func(Result)
}

// Upstreams chooses upstreams.
type Upstreams interface {
	// Pick chooses an upstream for a request; false if there is none.
	Pick(service settings.ServiceName, route durations.Route, request placement.Request) (Attempt, bool)
	// Arrived counts a request for a service.
	Arrived(service settings.ServiceName)
	// TryRetry takes a token of the service's retry budget.
	TryRetry(service settings.ServiceName) bool
	// MayRetry reports whether TryRetry would get a token.
	MayRetry(service settings.ServiceName) bool
	// RefusedFor is when a service that has refused a request for lack of room is likely to have some.
	RefusedFor(service settings.ServiceName) time.Duration
}

// Limiter decides whether a customer is within its rate and burst.
type Limiter interface {
	Admit(now time.Time, id settings.CustomerID, limit quota.Limit) quota.Decision
}

// Options configure a Relay. All fields are required.
type Options struct {
	// Snapshot returns the settings in force; nil if none are known.
	Snapshot func() *settings.Snapshot
	// SettingsAge is the time since the settings in force were last confirmed.
	SettingsAge func() time.Duration
	Upstreams   Upstreams
	Limiter     Limiter
	Forwarder   *forward.Forwarder
	Headers     Headers
	// Observe is called once for each request. It must not block.
	Observe func(*Event)
	// LimitOf returns the limit that a customer is held to.
	LimitOf func(*settings.Customer) quota.Limit
	// Draw returns a random number from 0 up to 1 for splits.
	Draw func() float64
}

// Relay is the request path. It is safe for concurrent use.
type Relay struct{ options Options }

// New returns a Relay.
func New(options Options) *Relay { return &Relay{options: options} }

// exchange is the state of one request.
type exchange struct {
	*Relay
	request  *pipeline.Request
	ctx      context.Context // ends at the deadline, and when the caller goes away
	snapshot *settings.Snapshot
	route    *settings.Route
	policy   settings.Policy
	customer *settings.Customer
	service  settings.ServiceName
	id       string
	target   string
	deadline time.Time
	outgoing *forward.Request
	tried    []settings.UpstreamID
	sent     int  // attempts that reached an upstream
	mayRun   bool // an upstream may have run the request
	event    Event
}

// Serve answers one request. It implements pipeline.Handler.
func (r *Relay) Serve(ctx context.Context, request *pipeline.Request) *pipeline.Response {
	x := &exchange{Relay: r, request: request}
	x.id = requestID(request.HTTP.Header.Get(r.options.Headers.RequestID))
	x.event.RequestID, x.event.Method = x.id, request.HTTP.Method
	response := x.serve(ctx)
	x.event.Status = response.Status
	x.event.Total = time.Since(request.ReadAt)
	x.event.CallerGone = ctx.Err() != nil
	r.options.Observe(&x.event)
	return response
}

func (x *exchange) serve(ctx context.Context) *pipeline.Response {
	if refusal := x.admit(); refusal != nil {
		return x.refuse(refusal)
	}
	bounded, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	x.ctx = bounded
	x.options.Upstreams.Arrived(x.service)
	if x.policy.Idempotent {
		return x.runIdempotent()
	}
	return x.runOnce()
}

// maxRequestID bounds an id that is taken over, in bytes.
const maxRequestID = 128

func requestID(given string) string {
	if given == "" || len(given) > maxRequestID {
		return uuid.NewString()
	}
	return given
}

// admit finds the route, the customer and the time limit, and takes a token of the customer's rate.
func (x *exchange) admit() *errkind.Error {
	x.snapshot = x.options.Snapshot()
	if x.snapshot == nil {
		return &errkind.Error{Kind: errkind.HostInactive, RetryAfter: noSettingsRetry}
	}
	x.event.Settings, x.event.SettingsAge = x.snapshot.Revision, x.options.SettingsAge()
	x.target = x.request.HTTP.RequestURI
	route, ok := x.snapshot.Route(hostName(x.request.HTTP.Host), x.request.HTTP.Method, pathOf(x.target))
	if !ok {
		return errkind.New(errkind.RouteNotFound, nil)
	}
	x.route, x.policy = route, route.PolicyFor(x.request.HTTP.Method)
	x.event.Route = route.Name
	if refusal := x.identify(); refusal != nil {
		return refusal
	}
	if refusal := x.limitTime(); refusal != nil {
		return refusal
	}
	x.service = x.draw()
	x.event.Service = x.service
	if refusal := x.takeToken(); refusal != nil {
		return refusal
	}
	x.outgoing = x.newOutgoing()
	return nil
}

// noSettingsRetry is when a host that has just started is likely to know its settings.
const noSettingsRetry = 500 * time.Millisecond

// hostName returns the host name of a Host header in lower case without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// pathOf returns the path of a request target as it was sent.
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

// identify finds the customer of the presented key.
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

// defaultTimeout is the time limit where neither the route nor the caller states one.
const defaultTimeout = 10 * time.Second

// limitTime takes the shorter of the caller's and the route's time limit.
func (x *exchange) limitTime() *errkind.Error {
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
	x.event.Limit = limit
	return nil
}

// draw chooses the service of a split by weight alone, so that a part that is short of room keeps its share.
func (x *exchange) draw() settings.ServiceName {
	total := 0.0
	for _, part := range x.route.Split {
		total += part.Weight
	}
	at := x.options.Draw() * total
	for _, part := range x.route.Split {
		if at < part.Weight {
			return part.Service
		}
		at -= part.Weight
	}
	return x.route.Service
}

func (x *exchange) takeToken() *errkind.Error {
	if x.customer == nil {
		return nil
	}
	decision := x.options.Limiter.Admit(time.Now(), x.customer.ID, x.options.LimitOf(x.customer))
	x.event.Tokens, x.event.HostsHeard = decision.Tokens, decision.Hosts
	if decision.Allowed {
		return nil
	}
	return &errkind.Error{Kind: errkind.RateLimited, RetryAfter: decision.RetryAfter}
}

// newOutgoing makes the request for upstreams: unchanged but for the headers of this connection, the key, and the headers
// that hosts set themselves.
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
		header["User-Agent"] = nil // keeps http.Transport from adding its own
	}
	outgoing := &forward.Request{
		Method: x.request.HTTP.Method, Host: x.request.HTTP.Host, Header: header, Buffered: x.request.Body,
		ID: x.id, Verbatim: true, Pooled: true, Idempotent: x.policy.Idempotent,
	}
	if strings.HasPrefix(x.target, "/") && !strings.HasPrefix(x.target, "//") {
		outgoing.RequestTarget = x.target
	} else {
		outgoing.Path, outgoing.RawPath = x.request.HTTP.URL.Path, x.request.HTTP.URL.RawPath
		outgoing.RawQuery = x.request.HTTP.URL.RawQuery
	}
	return outgoing
}

// retryPrecision is the precision in which the time to come back is stated.
const retryPrecision = 100 * time.Millisecond

// refuse makes an answer of the host itself.
func (x *exchange) refuse(e *errkind.Error) *pipeline.Response {
	x.event.Kind, x.event.Cause = e.Kind, e.Cause
	x.event.RetryAfter = e.RetryAfter
	status, header, body := errkind.Render(x.id, e, retryPrecision)
	header.Set(x.options.Headers.RequestID, x.id)
	return &pipeline.Response{Status: status, Header: header, Body: body}
}

// pass makes the answer of an upstream the caller's.
func (x *exchange) pass(answer *forward.Response) *pipeline.Response {
	header := answer.Header
	header.Set(x.options.Headers.RequestID, x.id)
	header.Del("Content-Length")
	return &pipeline.Response{Status: answer.Status, Header: header, Body: answer.Body, Length: answer.ContentLength}
}
