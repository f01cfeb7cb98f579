package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/durations"
	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

// attempt is one attempt at one upstream.
type attempt struct {
	chosen  Attempt
	start   time.Time
	granted time.Duration
	cancel  context.CancelFunc
	answer  *forward.Response // whole
	outcome Outcome
	cause   error
}

// pick chooses an upstream that the request has not tried. beside is true while another attempt runs.
func (x *exchange) pick(beside bool) (Attempt, bool) {
	route := durations.Route{Name: x.route.Name, Target: x.policy.TargetLatency}
	return x.options.Upstreams.Pick(x.service, route, placement.Request{
		Exclude: x.tried, Repeatable: x.repeatable(), Idempotent: x.policy.Idempotent, Again: len(x.tried) > 0,
		Beside: beside,
	})
}

// repeatable reports whether the next attempt may fail without harm: the request can be sent again, to a further upstream,
// and the retry budget allows it.
func (x *exchange) repeatable() bool {
	return x.policy.Idempotent && len(x.tried)+1 < x.maxAttempts() && x.options.Upstreams.MayRetry(x.service)
}

// start prepares an attempt.
func (x *exchange) start(chosen Attempt, cancel context.CancelFunc) *attempt {
	x.tried = append(x.tried, chosen.Upstream.ID)
	now := time.Now()
	return &attempt{chosen: chosen, start: now, granted: x.deadline.Sub(now), cancel: cancel}
}

// do sends the request and reads the whole answer. It touches nothing of the exchange that other attempts change.
func (a *attempt) do(ctx context.Context, x *exchange) {
	target := forward.Target{
		Address: a.chosen.Upstream.Address,
		Header:  map[string]string{x.options.Headers.Instance: string(a.chosen.Upstream.ID)},
		// A trial on an old connection tests the connection: upstreams that forget idle ones would stay out of use.
		NewConnection: a.chosen.Trial,
	}
	answer, err := x.options.Forwarder.Do(ctx, x.outgoing, target)
	if err != nil {
		a.fail(err)
		return
	}
	if !answer.Complete {
		answer.Close()
		a.outcome, a.cause = Broken, errTooLarge
		return
	}
	a.answer = answer
	a.outcome = x.judge(answer)
}

var errTooLarge = errors.New("the answer is larger than this host buffers")

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

// judge classifies an answer.
func (x *exchange) judge(answer *forward.Response) Outcome {
	switch {
	case answer.Status == http.StatusMisdirectedRequest:
		return WrongInstance
	case answer.Header.Get(x.options.Headers.NotRun) != "":
		return NotRun
	case answer.Status >= http.StatusInternalServerError:
		return FailedStatus
	default:
		return Answered
	}
}

// ran reports whether the upstream may have run the request.
func (a *attempt) ran() bool {
	switch a.outcome {
	case NotRun, WrongInstance, NotConnected, NotSent:
		return false
	default:
		return true
	}
}

// arrived reports whether the attempt counts as an arrival at an upstream.
func (a *attempt) arrived() bool { return a.outcome != NotConnected && a.outcome != NotSent }

// end reports the attempt and notes it in the event.
func (a *attempt) end(x *exchange) {
	a.cancel()
	x.mayRun = x.mayRun || a.ran()
	if a.arrived() {
		x.sent++
	}
	result := Result{Outcome: a.outcome, Took: time.Since(a.start), Granted: a.granted}
	note := AttemptEvent{
		Upstream: a.chosen.Upstream.ID, DataCentre: a.chosen.Upstream.DataCentre, Outcome: a.outcome, Took: result.Took, Trial: a.chosen.Trial,
		Load: a.chosen.Load, Age: a.chosen.Age, Cause: a.cause,
	}
	if a.answer != nil {
		result.Status, result.Reused = a.answer.Status, a.answer.Reused
		result.Load = parseLoad(a.answer.Header.Get(x.options.Headers.Load))
		note.Status, note.Reused = a.answer.Status, a.answer.Reused
		a.answer.Close() // the body stays in memory; its share of the budget is given back
	}
	var failure *forward.AttemptError
	if errors.As(a.cause, &failure) {
		result.Reused, note.Reused = failure.Reused, failure.Reused
	}
	x.event.Attempts = append(x.event.Attempts, note)
	a.chosen.Done(result)
}

// parseLoad reads "running,waiting,slots"; nil if the text is something else.
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

// maxAttempts is the number of upstreams to which the request may be sent.
func (x *exchange) maxAttempts() int { return max(1, x.policy.MaxAttempts) }

// maxUnsent bounds the attempts of a request that reach no upstream.
const maxUnsent = 4
