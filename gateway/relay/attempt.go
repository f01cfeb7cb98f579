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
	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

// attempt is one attempt at one upstream.
type attempt struct {
	selection Selection
	start     time.Time
	timeLimit time.Duration
	cancel    context.CancelFunc
	response  *forward.Response // complete
	outcome   Outcome
	cause     error
	hedge     bool // started while another attempt ran
}

// pick chooses an upstream to which the request was not sent yet, while no other attempt runs.
func (x *exchange) pick() (Selection, error) {
	request := x.pickRequest()
	request.NeedsToken = x.needsToken
	ctx := x.ctx
	if shutdown, ok := x.options.Shutdown(); ok && !x.mayHaveRun {
		// A request that gets a slot later is not sent any more.
		bounded, cancel := context.WithDeadline(ctx, shutdown.PassOnUntil)
		defer cancel()
		ctx = bounded
	}
	return x.options.Upstreams.Pick(ctx, request)
}

// pickHedge chooses an upstream for a second attempt while another one runs. spareOnly is true if it must have spare capacity.
func (x *exchange) pickHedge(spareOnly bool) (Selection, error) {
	request := x.pickRequest()
	request.NeedsToken, request.Concurrent, request.Hedge = true, true, spareOnly
	return x.options.Upstreams.Pick(x.ctx, request)
}

func (x *exchange) pickRequest() *PickRequest {
	request := &PickRequest{
		Service: x.service, Route: durations.Route{Name: x.route.Name, Target: x.policy.TargetLatency},
		Request:  placement.Request{Exclude: x.tried, Idempotent: x.policy.Idempotent, Retry: len(x.tried) > 0},
		MayRetry: x.policy.Idempotent && len(x.tried)+1 < x.maxAttempts(),
		Priority: dispatch.Priority{Customer: x.policy.Priority, Route: x.policy.Priority}, Deadline: x.deadline,
	}
	if x.customer != nil {
		request.Customer, request.Weight = x.customer.ID, x.customer.Weight
		if x.customer.Priority != nil {
			request.Priority.Customer = *x.customer.Priority
		}
	}
	if x.policy.TargetLatency > 0 {
		request.Target = x.request.ReadAt.Add(x.policy.TargetLatency)
	}
	return request
}

// start prepares an attempt and marks its upstream as tried.
func (x *exchange) start(selection Selection, cancel context.CancelFunc) *attempt {
	x.tried = append(x.tried, selection.Upstream.ID)
	now := time.Now()
	return &attempt{selection: selection, start: now, timeLimit: x.deadline.Sub(now), cancel: cancel}
}

// send sends the request and reads the whole response. It may run concurrently with other attempts, so it accesses no state
// of the exchange that they change.
func (a *attempt) send(ctx context.Context, x *exchange) {
	target := forward.Target{
		Address: a.selection.Upstream.Address, Service: string(x.service),
		Header: map[string]string{x.options.Headers.Instance: string(a.selection.Upstream.ID)},
		// A trial on a pooled connection would test only the connection: upstreams that drop idle ones would stay out of use.
		NewConnection: a.selection.Trial,
		AwaitsMemory:  a.selection.AwaitsMemory,
	}
	response, err := x.options.Forwarder.Do(ctx, x.outgoing, target)
	if err != nil {
		a.fail(err)
		return
	}
	if !response.Complete {
		response.Close()
		a.outcome, a.cause = Broken, errResponseTooLarge
		return
	}
	if x.isContradictory(response) {
		response.Close()
		a.outcome, a.cause = Broken, errContradictory
		return
	}
	a.response = response
	a.outcome = x.classify(response)
}

var (
	errResponseTooLarge = errors.New("the response body is larger than this host buffers")
	errContradictory    = errors.New("the response states that the request was not run, but it is a success or is signed")
)

func (a *attempt) fail(err error) {
	a.cause = err
	var failure *forward.AttemptError
	if !errors.As(err, &failure) {
		a.outcome = Broken
		return
	}
	switch {
	case failure.Kind == forward.Cancelled:
		a.outcome = Cancelled
	case failure.Kind == forward.NoMemory && !failure.Sent:
		a.outcome = NotPassedOn
	case failure.Kind == forward.NoMemory:
		a.outcome = NoMemory
	case !failure.Connected:
		a.outcome = NotConnected
	case failure.Kind == forward.TimedOut:
		a.outcome = TimedOut
	case !failure.Sent:
		a.outcome = NotSent
	default:
		a.outcome = Broken
	}
}

// isContradictory reports whether a response states that the request was not run although it is a success or is signed, as only
// responses to requests that have run are. The beginning of an additional response, sent before the response, can lead to that.
func (x *exchange) isContradictory(response *forward.Response) bool {
	signed := response.Header.Get(x.options.Headers.Signature) != ""
	return x.statesNotRun(response) && (signed || response.Status < http.StatusBadRequest)
}

func (x *exchange) statesNotRun(response *forward.Response) bool {
	return response.Header.Get(x.options.Headers.NotRun) != ""
}

// classify returns the outcome of an attempt with a complete response.
func (x *exchange) classify(response *forward.Response) Outcome {
	misdirected := response.Status == http.StatusMisdirectedRequest
	switch {
	case misdirected && x.statesNotRun(response):
		return WrongInstance
	case x.statesNotRun(response):
		return NotRun
	case misdirected, response.Status >= http.StatusInternalServerError:
		return FailedStatus
	default:
		return Answered
	}
}

// mayHaveRun reports whether the upstream may have run the request.
func (a *attempt) mayHaveRun() bool {
	switch a.outcome {
	case NotRun, WrongInstance, NotConnected, NotSent, NotPassedOn:
		return false
	default:
		return true
	}
}

// reachedUpstream reports whether the attempt counts as sent to an upstream.
func (a *attempt) reachedUpstream() bool {
	return a.outcome != NotConnected && a.outcome != NotSent && a.outcome != NotPassedOn
}

// end reports the result of the attempt and adds it to the event of the request.
func (a *attempt) end(x *exchange) {
	a.cancel()
	x.mayHaveRun = x.mayHaveRun || a.mayHaveRun()
	x.memoryScarce = a.outcome == NotPassedOn
	if a.reachedUpstream() {
		x.sent++
	}
	result := Result{Outcome: a.outcome, Took: time.Since(a.start), TimeLimit: a.timeLimit}
	event := AttemptEvent{
		Upstream: a.selection.Upstream.ID, Address: a.selection.Upstream.Address, DataCentre: a.selection.Upstream.DataCentre,
		Outcome: a.outcome, Took: result.Took, Trial: a.selection.Trial, Floor: a.selection.Floor, Load: a.selection.Load,
		RegistryAge: a.selection.RegistryAge, Cause: a.cause,
		Dispatcher: a.selection.Dispatcher, DispatchWait: a.selection.DispatchWait, Fallback: a.selection.Fallback, Hedge: a.hedge,
	}
	if a.response != nil {
		result.Status, result.Reused = a.response.Status, a.response.Reused
		result.Signed = a.response.Header.Get(x.options.Headers.Signature) != ""
		result.Took -= a.response.MemoryWait
		result.Load = parseLoad(a.response.Header.Get(x.options.Headers.Load))
		result.Leaving, result.Backoff = parseSignals(a.response.Header, a.response.Status, x.options.Headers.Leaving)
		event.Status, event.Reused, event.Connection = a.response.Status, a.response.Reused, a.response.Connection
		x.responses = append(x.responses, a.response)
	}
	var failure *forward.AttemptError
	if errors.As(a.cause, &failure) {
		result.Reused, event.Reused, event.Connection = failure.Reused, failure.Reused, failure.Connection
	}
	x.event.Attempts = append(x.event.Attempts, event)
	a.selection.Done(result)
}

// parseLoad parses a load of the form "running,waiting,slots". It returns nil if the text has another form.
func parseLoad(text string) *placement.Load {
	fields := strings.Split(text, ",")
	if len(fields) != 3 {
		return nil
	}
	var numbers [3]int
	for i, field := range fields {
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || n < 0 {
			return nil
		}
		numbers[i] = n
	}
	return &placement.Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}
}

// maxAttempts returns the maximum number of upstreams to which the request may be sent.
func (x *exchange) maxAttempts() int { return max(1, x.policy.MaxAttempts) }

// maxUnsent is the maximum number of attempts of a request that reach no upstream.
const maxUnsent = 4
