package proxy

import (
	"context"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet/idempotency"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

// Snapshots provides the active settings. Current returns nil until settings have been loaded.
type Snapshots interface {
	Current() *settings.Snapshot
}

// Lease reports whether this host holds its activity lease and may therefore act on its settings. Active is called each
// time the lease is needed. Open routes are served without a lease.
type Lease interface {
	Active() bool
}

// LimitDecision is the result of Limiter.Admit.
type LimitDecision struct {
	Allowed bool
	// Kind is the reason for a rejection: RateLimited, LimitUnavailable, HostInactive or Misdirected. Default RateLimited.
	Kind errkind.Kind
	// RetryAfter is the time until a token is available; 0 if unknown.
	RetryAfter time.Duration
}

// Limiter enforces the rates and bursts of customers. Admit takes one token; it may wait briefly for one.
type Limiter interface {
	Admit(ctx context.Context, customer settings.CustomerID) LimitDecision
}

// Outcome classifies an attempt as evidence about the health of its upstream.
type Outcome int

// The outcomes of an attempt.
const (
	// OutcomeOK is a complete response that indicates neither a failure nor load shedding. The Selector decides whether it
	// was slow.
	OutcomeOK Outcome = iota + 1
	// OutcomeFailed is a failed connection, an incomplete or invalid response, a timeout, or status 500, 502, 503 or 504.
	OutcomeFailed
	// OutcomeShed is a status by which the upstream declares that it sheds load or did not run the request.
	OutcomeShed
	// OutcomeCancelled is an attempt that ended for a reason on the caller's side. It is no evidence about the upstream.
	OutcomeCancelled
)

// Result describes a finished attempt.
type Result struct {
	Outcome Outcome
	// Status is the HTTP status of the response, 0 if there was none.
	Status int
	// TimeToFirstByte is the time from the start of the attempt to the response header, 0 if there was none.
	TimeToFirstByte time.Duration
	// Duration is the time from the start to the end of the attempt.
	Duration time.Duration
	// Load is the load that the upstream reported, between 0 and 1. It is valid only if LoadKnown is true.
	Load      float64
	LoadKnown bool
	// Draining is true if the response carries the upstream's drain sign.
	Draining bool
	// Connected is false if no connection to the upstream was obtained.
	Connected bool
	// Reused is true if the connection had carried earlier requests. A timeout may then be caused by the connection.
	Reused bool
}

// Selection is the upstream chosen for an attempt. Done must be called exactly once, at the end of the attempt.
type Selection struct {
	Upstream settings.Upstream
	Done     func(Result)
}

// Selector chooses upstreams. Pick does not block and never returns an upstream in exclude, which lists the upstreams that
// the request has already tried. Errors are of type *errkind.Error; any other error is treated as NoUpstream.
type Selector interface {
	Pick(service *settings.Service, policy *settings.Policy, exclude []settings.UpstreamID) (Selection, error)
}

// Queue limits the concurrent requests to a service on this host and shares the slots fairly between customers. customer
// is nil on open routes. The deadline of ctx is the request's deadline. Errors are of type *errkind.Error; any other error
// is treated as Overloaded.
type Queue interface {
	Acquire(ctx context.Context, service *settings.Service, customer *settings.Customer) (release func(), err error)
}

// RetryBudget limits the retries and hedges of a service to a fraction of its recent successes. TakeRetryToken takes one
// token and returns false if none is left.
type RetryBudget interface {
	OnSuccess(service settings.ServiceName)
	TakeRetryToken(service settings.ServiceName) bool
}

// Operations ensures that each non-idempotent operation runs at most once. *idempotency.Operations implements it. Errors
// are of type *errkind.Error; any other error is treated as OutcomeUnknown.
type Operations interface {
	Begin(ctx context.Context, operation idempotency.Operation) (idempotency.Claim, error)
}

var _ Operations = (*idempotency.Operations)(nil)
