package proxy_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/bronzeyard/bronzeyard/fleet/idempotency"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
	"github.com/bronzeyard/bronzeyard/traffic/proxy"
)

const testKey = "3mYc9Vq2bT7xRk0wLs5uHn8pZe1dGf4a"

// harness is a Handler with fakes of all its collaborators.
type harness struct {
	handler     *proxy.Handler
	snapshot    atomic.Pointer[settings.Snapshot]
	inactive    atomic.Bool
	decision    proxy.LimitDecision
	acquire     func(ctx context.Context) error
	retryTokens atomic.Int64
	operations  proxy.Operations
	budget      *forward.BufferBudget

	mu      sync.Mutex
	results []proxy.Result
	events  []proxy.Event
}

func (h *harness) Current() *settings.Snapshot { return h.snapshot.Load() }

func (h *harness) Active() bool { return !h.inactive.Load() }

func (h *harness) Admit(context.Context, settings.CustomerID) proxy.LimitDecision { return h.decision }

func (h *harness) OnSuccess(settings.ServiceName) {}

func (h *harness) TakeRetryToken(settings.ServiceName) bool { return h.retryTokens.Add(-1) >= 0 }

func (h *harness) Acquire(ctx context.Context, _ *settings.Service, _ *settings.Customer) (func(), error) {
	if h.acquire != nil {
		if err := h.acquire(ctx); err != nil {
			return nil, err
		}
	}
	return func() {}, nil
}

// Pick returns the first upstream, in the order of the settings, that the request has not tried.
func (h *harness) Pick(service *settings.Service, _ *settings.Policy, exclude []settings.UpstreamID) (proxy.Selection, error) {
	for _, upstream := range service.Upstreams {
		if slices.Contains(exclude, upstream.ID) || upstream.Leaving {
			continue
		}
		return proxy.Selection{Upstream: upstream, Done: h.done}, nil
	}
	return proxy.Selection{}, errkind.New(errkind.NoUpstream, nil)
}

func (h *harness) done(result proxy.Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.results = append(h.results, result)
}

func (h *harness) observe(event proxy.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, event)
}

func (h *harness) Begin(ctx context.Context, operation idempotency.Operation) (idempotency.Claim, error) {
	return h.operations.Begin(ctx, operation)
}

// fakeOperations grants the claim of each operation id once, and again if the operation did not run.
type fakeOperations struct {
	mu        sync.Mutex
	results   map[string]*idempotency.Result
	completed chan idempotency.Result
}

func newFakeOperations() *fakeOperations {
	return &fakeOperations{results: make(map[string]*idempotency.Result), completed: make(chan idempotency.Result, 1<<10)}
}

func (f *fakeOperations) Begin(_ context.Context, op idempotency.Operation) (idempotency.Claim, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	result, seen := f.results[op.ID]
	switch {
	case seen && result == nil:
		return idempotency.Claim{}, errkind.New(errkind.OperationRunning, nil)
	case seen && result.State == idempotency.Done:
		return idempotency.Claim{Replay: result}, nil
	case seen && result.State == idempotency.Unknown:
		return idempotency.Claim{}, errkind.New(errkind.OutcomeUnknown, nil)
	}
	f.results[op.ID] = nil
	return idempotency.Claim{Complete: func(r idempotency.Result) {
		f.mu.Lock()
		f.results[op.ID] = &r
		f.mu.Unlock()
		f.completed <- r
	}}, nil
}

// newHarness builds a Handler in front of the given upstream addresses. The routes are /open, /lookup (idempotent),
// /booking (operation id required) and /plain (operation id optional).
func newHarness(t testing.TB, options forward.Options, timeout time.Duration, addresses ...string) *harness {
	t.Helper()
	h := &harness{decision: proxy.LimitDecision{Allowed: true}, operations: newFakeOperations()}
	h.retryTokens.Store(1 << 30)
	if options.Budget == nil {
		options.Budget = forward.NewBufferBudget(64 << 20)
	}
	h.budget = options.Budget
	h.applySettings(timeout, 0, []settings.Key{{ID: "k1", Hash: settings.HashKey(testKey)}}, addresses...)
	h.handler = proxy.New(proxy.Options{
		Snapshots: h, Lease: h, Limiter: h, Selector: h, Queue: h, RetryBudget: h, Operations: h,
		Forwarder: forward.New(options), Observe: h.observe,
	})
	return h
}

// applySettings activates settings with the given timeout, hedge delay, keys and upstream addresses.
func (h *harness) applySettings(timeout, hedgeAfter time.Duration, keys []settings.Key, addresses ...string) {
	policy := settings.Policy{
		Timeout: timeout, OperationID: settings.OperationIDRequired, MaxRequestBytes: 1 << 20, MaxAttempts: 3,
		ShedStatuses: []int{503}, NotRunStatuses: []int{430}, LoadHeader: "X-Load", DrainHeader: "X-Draining",
		HedgeAfter: hedgeAfter,
	}
	route := func(name string, change func(*settings.Policy)) settings.Route {
		r := settings.Route{Name: name, Service: "s", PathPrefix: "/" + name, Policy: policy, IdempotentSet: true}
		change(&r.Policy)
		return r
	}
	routes := []settings.Route{
		route("open", func(p *settings.Policy) { p.Open, p.Idempotent = true, true }),
		route("lookup", func(p *settings.Policy) { p.Idempotent = true }),
		route("booking", func(*settings.Policy) {}),
		route("plain", func(p *settings.Policy) { p.OperationID = settings.OperationIDOptional }),
	}
	service := settings.Service{Name: "s", Policy: policy}
	for i, address := range addresses {
		id := settings.UpstreamID(string(rune('a' + i)))
		service.Upstreams = append(service.Upstreams, settings.Upstream{ID: id, Address: address, Slots: 6})
	}
	customers := []settings.Customer{{ID: "c", Rate: 1, Burst: 1, Weight: 1, Keys: keys}}
	h.snapshot.Store(settings.NewSnapshot(1, routes, []settings.Service{service}, customers))
}

func newRequest(method, target, body string, header map[string]string) *http.Request {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	if body == "" {
		r.Body = http.NoBody
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	return r
}

// newOperationID returns a new operation id.
func newOperationID() string { return uuid.Must(uuid.NewV7()).String() }

// upstreamServer starts an upstream and returns its address.
func upstreamServer(t testing.TB, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}
