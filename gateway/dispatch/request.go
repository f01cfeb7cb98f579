package dispatch

import (
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/settings"
)

// RequestID identifies a request for a slot.
type RequestID struct {
	// Host is the host that asks.
	Host string
	// Number is used only once by a process of the host.
	Number uint64
}

// Priority is the rank of a request. The customer's priority is compared first. A lower number is more urgent.
type Priority struct{ Customer, Route int }

// Request asks for a slot of an upstream for one attempt.
type Request struct {
	ID       RequestID
	Customer settings.CustomerID
	// Weight is the share of the customer among those of the same priority. Values of 0 or less count as 1.
	Weight   float64
	Priority Priority
	// Deadline is the end of the time limit of the request, and Target the end of its target latency; zero if it has none.
	Deadline, Target time.Time
	// Idempotent requests may run more than once. Retryable ones may also be sent to a further upstream if this attempt fails.
	Idempotent, Retryable bool
	// NeedsToken is true if the attempt counts against the retry budget of the service.
	NeedsToken bool
	// Hedge is true for a second attempt while another one runs, and Remote for a request from another data centre. Both are granted
	// at once or not at all.
	Hedge, Remote bool
	// Exclude lists the upstreams to which the request was already sent.
	Exclude []settings.UpstreamID
	// Rejected is the number of requests of the service that the asking host has rejected lately and not stated before, for example because
	// a customer exceeds its limit.
	Rejected uint32
	// Connected lists the hashes of the upstreams to which the asking host has an idle connection that the request would use, at most
	// MaxHints. It is empty for hosts of earlier versions.
	Connected []uint32
	// Unreachable lists the hashes of the upstreams to which the asking host could not connect in the last seconds, at most MaxHints. It
	// is empty for hosts of earlier versions.
	Unreachable []uint32
}

// ReplyKind is the kind of a Reply.
type ReplyKind int

// Kinds of reply.
const (
	// Granted assigns a slot.
	Granted ReplyKind = iota + 1
	// Queued means that the request waits. Another reply follows.
	Queued
	// Full means that there is no slot now. The request does not wait.
	Full
	// Rejected means that the request cannot be served before its deadline, or that the queue is full.
	Rejected
)

// Reply is the answer to a Request.
type Reply struct {
	ID   RequestID
	Kind ReplyKind
	// Upstream is set with Granted. Trial is true if the attempt is a half-open trial, and Load is the load of the upstream as a
	// share of its slots.
	Upstream settings.UpstreamID
	Trial    bool
	Load     float64
	// RetryAfter is set with Rejected.
	RetryAfter time.Duration
}

// Outcome is the way in which a granted attempt ended.
type Outcome int

// Outcomes.
const (
	// Served is a complete response with a status below 500.
	Served Outcome = iota + 1
	// Failed is a response with a status of 500 or higher.
	Failed
	// Shed means that the upstream rejected the request without running it.
	Shed
	// Broken is a connection that broke, or an invalid response.
	Broken
	// Unreachable means that no connection could be obtained.
	Unreachable
	// Misdirected means that another upstream has the address.
	Misdirected
	// TimedOut means that there was no response before the deadline.
	TimedOut
	// Unused means that the request was not sent, or that the attempt was cancelled.
	Unused
	// Responded is a complete response that may be a failure of the upstream or the right response, such as status 404.
	Responded
)

// Release reports the end of a granted attempt.
type Release struct {
	ID       RequestID
	Upstream settings.UpstreamID
	Outcome  Outcome
	// Took is the duration of a response; set with Served.
	Took time.Duration
	// Load is what the upstream reported with its response; nil if nothing.
	Load *placement.Load
	// Leaving and Backoff are what the upstream asked for in its response.
	Leaving bool
	Backoff time.Duration
}

// Breakers gives access to the circuit breakers of upstreams. breaker.Set implements it.
type Breakers interface {
	// TrialState returns the state of a breaker for a request that could make a half-open trial. The host of the dispatcher makes the
	// trials of all hosts, so the turns of other hosts do not count.
	TrialState(now time.Time, id settings.UpstreamID, retryable bool) breaker.State
	FailureScore(now time.Time, id settings.UpstreamID) float64
}
