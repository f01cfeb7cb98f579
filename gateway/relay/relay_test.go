package relay

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/pipeline"
	"github.com/bronzeyard/bronzeyard/gateway/quota"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

const (
	service      = settings.ServiceName("bookings")
	key          = "secret-key-of-the-customer"
	responseText = "the whole answer"
	signature    = "X-Signature"
)

var testHeaders = Headers{
	RequestID: "X-Request-Id", Timeout: "X-Time-Left", Customer: "X-Customer", Instance: "X-Instance",
	NotRun: "X-Not-Run", Signature: signature, Load: "X-Load", KeyScheme: "Bearer",
}

// inOrder implements Upstreams. It chooses the first upstream that is not excluded.
type inOrder struct {
	upstreams []*testUpstream
	budget    int
	retries   int
	// replaced, if not empty, is the id of an earlier upstream at the address of the first one. It is chosen before all others.
	replaced string
	// rejectRetries is the number of retry tokens that are refused first. trial makes attempts at the first upstream
	// half-open trials. full leaves no spare capacity for hedged attempts.
	rejectRetries int
	trial, full   bool
}

func (o *inOrder) Pick(_ context.Context, request *PickRequest) (Selection, error) {
	if request.NeedsToken && !request.Concurrent && !o.takeRetryToken() {
		return Selection{}, ErrNoRetryBudget
	}
	selection, ok := o.pick(request)
	if !ok {
		return Selection{}, ErrNoUpstream
	}
	if request.Concurrent && !o.takeRetryToken() {
		return Selection{}, ErrNoRetryBudget
	}
	return selection, nil
}

func (o *inOrder) pick(request *PickRequest) (Selection, bool) {
	if o.full && request.Hedge {
		return Selection{}, false
	}
	if replaced := settings.UpstreamID(o.replaced); replaced != "" && !slices.Contains(request.Exclude, replaced) {
		return Selection{
			Upstream: settings.Upstream{ID: replaced, Address: o.upstreams[0].listener.Addr().String()}, Done: func(Result) {},
		}, true
	}
	for i, u := range o.upstreams {
		if !slices.Contains(request.Exclude, settings.UpstreamID(u.id)) {
			return Selection{
				Upstream: settings.Upstream{ID: settings.UpstreamID(u.id), Address: u.listener.Addr().String()}, Done: func(Result) {},
				HedgeAfter: 100 * time.Millisecond, Trial: o.trial && i == 0,
			}, true
		}
	}
	return Selection{}, false
}

func (o *inOrder) CountRequest(settings.ServiceName)             {}
func (o *inOrder) CountRejected(settings.ServiceName)            {}
func (o *inOrder) RetryAfter(settings.ServiceName) time.Duration { return 300 * time.Millisecond }

func (o *inOrder) takeRetryToken() bool {
	if o.rejectRetries > 0 {
		o.rejectRetries--
		return false
	}
	o.retries++
	return o.retries <= o.budget
}

// fixture is a relay in front of two upstreams.
type fixture struct {
	t             *testing.T
	relay         *Relay
	first, second *testUpstream
	choice        *inOrder
	limiter       *quota.Limiter
	limit         quota.Limit
	events        []Event
	atMostOnce    []sentRequest
	sent          int
	// upload is the body of POST requests.
	upload string
}

const largeBudget = 1 << 20

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureWithLimit(t, testTimeLimit)
}

// newFixtureWithLimit returns a fixture whose requests have the given time limit.
func newFixtureWithLimit(t *testing.T, limit time.Duration) *fixture {
	t.Helper()
	r := &fixture{t: t, limiter: quota.New(), upload: "a booking"}
	r.limiter.SetHosts(nil)
	t.Cleanup(r.expectAtMostOnce) // runs after the upstreams have stopped, because their cleanups are added later
	r.first, r.second = newUpstream(t, "first"), newUpstream(t, "second")
	r.choice = &inOrder{upstreams: []*testUpstream{r.first, r.second}, budget: largeBudget}
	snapshot := settings.NewSnapshot(7, []settings.Route{{
		Name: "r", Service: service, PathPrefix: "/", Policy: settings.Policy{Timeout: limit, MaxAttempts: 2},
	}}, nil, []settings.Customer{{ID: "customer", Keys: []settings.Key{{ID: "1", Hash: settings.HashKey(key)}}}})
	forwarder := forward.New(forward.Options{
		HeaderNames:         forward.HeaderNames{RequestID: testHeaders.RequestID, Timeout: testHeaders.Timeout},
		AllowCloseDelimited: true, RequireRequestID: true,
	})
	r.relay = New(Options{
		Snapshot: func() *settings.Snapshot { return snapshot }, SettingsAge: func() time.Duration { return 0 },
		Upstreams: r.choice, Limiter: r.limiter, Forwarder: forwarder, Headers: testHeaders,
		Observe: func(e *Event) { r.events = append(r.events, *e) },
		LimitOf: func(*settings.Customer) quota.Limit { return r.limit }, Random: func() float64 { return 0 },
	})
	return r
}

// send relays one request with a new id and returns the response and the id.
func (r *fixture) send(method string) (*pipeline.Response, string) {
	r.t.Helper()
	r.sent++
	id := fmt.Sprint("id-", r.sent)
	return r.sendWithID(method, id), id
}

// sendWithID relays one request with the given id and returns the response.
func (r *fixture) sendWithID(method, id string) *pipeline.Response {
	r.t.Helper()
	body := ""
	if method == http.MethodPost {
		body = r.upload
	}
	request, err := http.NewRequestWithContext(r.t.Context(), method, "http://a/cards/1?x=y", strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	request.RequestURI = "/cards/1?x=y"
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(testHeaders.RequestID, id)
	return r.relay.Serve(r.t.Context(), &pipeline.Request{HTTP: request, Body: []byte(body), ReadAt: time.Now()})
}

// indicatesNotRun reports whether the status states that the request has not run and will not run.
func indicatesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// expect checks a response. For a non-idempotent request, it also records the request for expectAtMostOnce.
func (r *fixture) expect(what string, idempotent bool, response *pipeline.Response, id string) {
	r.t.Helper()
	if !idempotent {
		r.atMostOnce = append(r.atMostOnce, sentRequest{
			what: what, id: id, status: response.Status, outcome: response.Header.Get(errkind.OutcomeHeader),
		})
	}
	if idempotent && response.Status != http.StatusOK {
		r.t.Errorf("%s: status %d although the second upstream is healthy", what, response.Status)
	}
	signed := response.Header.Get(signature) != ""
	if whole := string(response.Body) == responseText+" to "+id; (response.Status == http.StatusOK) != (signed && whole) {
		r.t.Errorf("%s: status %d, signed %v, body %q; want status 200 exactly for a signed and complete response",
			what, response.Status, signed, response.Body)
	}
}

// sentRequest is a non-idempotent request with the status and the stated outcome that its caller received.
type sentRequest struct {
	what, id string
	status   int
	outcome  string
}

// expectAtMostOnce checks all non-idempotent requests after the upstreams have stopped, because a request may run after its
// response.
func (r *fixture) expectAtMostOnce() {
	for _, b := range r.atMostOnce {
		runs := r.first.runsOf(b.id) + r.second.runsOf(b.id)
		if runs > 1 {
			r.t.Errorf("%s: the request ran %d times", b.what, runs)
		}
		if indicatesNotRun(b.status) && runs > 0 {
			r.t.Errorf("%s: status %d indicates that the request did not run, but it ran", b.what, b.status)
		}
		if b.outcome == string(errkind.NotRun) && runs > 0 {
			r.t.Errorf("%s: the outcome header with status %d states that the request did not run, but it ran", b.what, b.status)
		}
	}
}

// maxResponseBytes exceeds the length of any response of a testUpstream.
const maxResponseBytes = 160

// Guards against a non-idempotent request that runs twice, a rejection of one that has run, and a truncated response. The
// connection to the upstream ends at each byte of the request or of the response, by a close or by a reset, on a new connection
// and on a reused one.
func TestConnectionEndsAtEachByte(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		for _, reused := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				name := fmt.Sprintf("%s reused=%v reset=%v", method, reused, reset)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					endAtEachByte(t, method, reused, reset)
				})
			}
		}
	}
}

func endAtEachByte(t *testing.T, method string, reused, reset bool) {
	r, stalls := newFixtureWithLimit(t, time.Minute), startStallMeter(t)
	run := func(what string, f fault) {
		if reused {
			r.first.fault.Store(&noFault)
			r.send(http.MethodGet)
		}
		f.reset = reset
		r.first.fault.Store(&f)
		response, id := r.sendInTime(what, method, stalls)
		r.expect(what, method == http.MethodGet, response, id)
	}
	r.send(method)
	for n := range r.first.size.Load() {
		run(fmt.Sprint("request cut at byte ", n), fault{readLimit: int(n), writeLimit: -1})
	}
	for n := range maxResponseBytes {
		run(fmt.Sprint("response cut at byte ", n), fault{readLimit: -1, writeLimit: n})
	}
}

// Guards against a success with an empty or short body, framed as whole, when the upstream stops within the header or the body of a
// response without a length or in chunks. An orderly close ends the body of a response without a length, so that a cut after the
// header cannot be detected there.
func TestResponseWithoutLengthEndsAtEachByte(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		for _, chunked := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s chunked=%v reset=%v", method, chunked, reset), func(t *testing.T) {
					t.Parallel()
					r := newFixture(t)
					for n := range maxResponseBytes {
						f := fault{readLimit: -1, writeLimit: n, chunked: chunked, unframed: !chunked, reset: reset}
						r.first.fault.Store(&f)
						response, id := r.send(method)
						if chunked || reset || n < len(r.first.header(id, &f)) {
							r.expect(fmt.Sprint("response cut at byte ", n), method == http.MethodGet, response, id)
						}
					}
				})
			}
		}
	}
}

// Guards against non-idempotent requests that are sent to a further upstream without need, or beyond the limits, when upstreams
// reject them.
func TestRejectionsByUpstreams(t *testing.T) {
	rejects := fault{readLimit: -1, writeLimit: -1, notRun: true}
	for name, c := range map[string]struct {
		first, second fault
		budget        int
		status        int
		attempts      int
	}{
		"second upstream runs it":   {rejects, noFault, largeBudget, http.StatusOK, 2},
		"both reject":               {rejects, rejects, largeBudget, http.StatusServiceUnavailable, 2},
		"retry budget is exhausted": {rejects, noFault, 0, http.StatusServiceUnavailable, 1},
		"no response is not a rejection": {
			fault{readLimit: -1, writeLimit: -1, hang: true}, noFault, largeBudget, http.StatusGatewayTimeout, 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newFixture(t)
			r.choice.budget = c.budget
			r.first.fault.Store(&c.first)
			r.second.fault.Store(&c.second)
			response, id := r.send(http.MethodPost)
			r.expect(name, false, response, id)
			if got := len(r.events[0].Attempts); response.Status != c.status || got != c.attempts {
				t.Errorf("status %d after %d attempts, want %d after %d", response.Status, got, c.status, c.attempts)
			}
			if response.Status == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
				t.Error("the rejection has no Retry-After header")
			}
		})
	}
}

// Guards against an idempotent request that waits for a hanging upstream until its time limit ends.
func TestHangingUpstreamIsHedged(t *testing.T) {
	r := newFixture(t)
	r.first.fault.Store(&fault{readLimit: -1, writeLimit: -1, hang: true})
	begin := time.Now()
	response, id := r.send(http.MethodGet)
	r.expect("hanging upstream", true, response, id)
	if took := time.Since(begin); took > time.Second {
		t.Errorf("the response took %v", took)
	}
}

// Guards against a request that hangs until its time limit ends because the retry budget was exhausted when its hedged attempt
// was due (19 requests in one run of quiet-1 of the kubha site).
func TestHedgeWaitsForRetryBudget(t *testing.T) {
	r := newFixture(t)
	r.first.fault.Store(&fault{readLimit: -1, writeLimit: -1, hang: true})
	r.choice.rejectRetries = 3
	response, id := r.send(http.MethodGet)
	r.expect("hanging upstream, retry budget later", true, response, id)
}

// Guards against overload while upstreams hang: a request whose half-open trial hung got no second attempt, because no upstream
// had spare capacity (scale-1 of the kubha site).
func TestHangingTrialIsReplacedWithoutSpareCapacity(t *testing.T) {
	r := newFixture(t)
	r.first.fault.Store(&fault{readLimit: -1, writeLimit: -1, hang: true})
	r.choice.trial, r.choice.full = true, true
	response, id := r.send(http.MethodGet)
	r.expect("hanging trial with full upstreams", true, response, id)
}

// Guards against requests over the rate limit of their customer that are forwarded, and against rejections without a
// Retry-After header.
func TestRequestsOverTheLimitAreRejected(t *testing.T) {
	r := newFixture(t)
	r.limit = quota.Limit{Rate: 0.5, Burst: 10}
	admitted := 0
	for range 30 {
		response, id := r.send(http.MethodPost)
		r.expect("request over the limit", false, response, id)
		if response.Status == http.StatusOK {
			admitted++
			continue
		}
		if response.Status != http.StatusTooManyRequests || response.Header.Get("Retry-After") == "" {
			t.Errorf("status %d, Retry-After %q, want status 429 with a Retry-After header",
				response.Status, response.Header.Get("Retry-After"))
		}
	}
	if admitted == 0 || admitted > 11 {
		t.Errorf("%d of 30 requests were admitted with a burst of 10, want 1 to 11", admitted)
	}
}
