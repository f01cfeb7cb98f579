package proxy

import (
	"context"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet/idempotency"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

// Snapshots provides the settings in force. Current returns nil as long as no settings are known.
type Snapshots interface {
	Current() *settings.Snapshot
}

// Lease tells whether this host may act on what it knows. Active is called at each moment of use. Routes that are open to
// all are served without a lease.
type Lease interface {
	Active() bool
}

// LimitDecision is the answer of a Limiter.
type LimitDecision struct {
	Allowed bool
	// Kind is the reason of a refusal: RateLimited, LimitUnavailable, HostInactive or Misdirected. Default RateLimited.
	Kind errkind.Kind
	// RetryAfter is when a token is due; 0 if nothing is known.
	RetryAfter time.Duration
}

// Limiter takes one token of the customer's rate and burst. It may wait shortly for a token.
type Limiter interface {
	Admit(ctx context.Context, customer settings.CustomerID) LimitDecision
}

// Outcome is what an attempt says about its upstream.
type Outcome int

// The outcomes of an attempt.
const (
	// OutcomeOK is a whole answer that is neither a failure nor shed load. Whether it was slow is for the Selector.
	OutcomeOK Outcome = iota + 1
	// OutcomeFailed is no connection, a broken or wrong answer, a timeout, or status 500, 502, 503 or 504.
	OutcomeFailed
	// OutcomeShed is a status by which the upstream declares that it sheds load.
	OutcomeShed
	// OutcomeCancelled is an attempt that ended for a reason on the caller's side; it is no evidence.
	OutcomeCancelled
)

// Result reports on an attempt.
type Result struct {
	Outcome Outcome
	// Status is the status of the answer, 0 if there was none.
	Status int
	// FirstByte is the time from the start of the attempt to the header of the answer, 0 if there was none.
	TimeToFirstByte time.Duration
	// Total is the duration of the attempt.
	Duration time.Duration
	// Load is the load that the upstream reported, between 0 and 1, if LoadKnown.
	Load      float64
	LoadKnown bool
	// Draining is true if the answer carries the upstream's drain sign.
	Draining bool
	// Connected is false if no connection to the upstream was obtained.
	Connected bool
	// Reused is true if the connection had carried earlier requests, so that a timeout may be the connection's fault.
	Reused bool
}

// Attempt is a chosen upstream. Done must be called exactly once.
type Selection struct {
	Upstream settings.Upstream
	Done     func(Result)
}

// Selector chooses upstreams. Pick does not block. exclude lists the upstreams that the request has tried; they are not
// returned. Errors are *errkind.Error; others count as NoUpstream.
type Selector interface {
	Pick(service *settings.Service, policy *settings.Policy, exclude []settings.UpstreamID) (Selection, error)
}

// Queue hands out slots of a service on this host, fair between customers. customer is nil on open routes. The deadline
// of ctx is the request's deadline. Errors are *errkind.Error; others count as Overloaded.
type Queue interface {
	Acquire(ctx context.Context, service *settings.Service, customer *settings.Customer) (release func(), err error)
}

// RetryBudget bounds retries and hedges of a service to a share of its recent successes.
type RetryBudget interface {
	OnSuccess(service settings.ServiceName)
	TakeRetryToken(service settings.ServiceName) bool
}

// Operations makes non-idempotent operations run at most once. *idempotency.Operations implements it. Errors are
// *errkind.Error; others count as OutcomeUnknown.
type Operations interface {
	Begin(ctx context.Context, operation idempotency.Operation) (idempotency.Claim, error)
}

var _ Operations = (*idempotency.Operations)(nil)
