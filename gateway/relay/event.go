package relay

import (
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/hedge"
	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

// Event describes a finished request.
type Event struct {
	RequestID string
	Method    string
	Route     string
	// RouteSince is the first version of the settings in which this process saw the route.
	RouteSince uint64
	Service    settings.ServiceName
	Customer   settings.CustomerID
	// Status is the status that the caller receives. Kind is the kind of error that the host itself returned; it is empty for a
	// response of an upstream.
	Status int
	Kind   errkind.Kind
	// Cause is the error behind Kind.
	Cause      error
	RetryAfter time.Duration
	TimeLimit  time.Duration
	Total      time.Duration
	Attempts   []AttemptEvent
	// CallerGone is true if the caller disconnected before the response.
	CallerGone bool
	// Settings is the revision of the settings that were applied, and SettingsAge the time since they were last confirmed.
	Settings    uint64
	SettingsAge time.Duration
	// Tokens and LiveHosts describe the customer's rate limit when the request was admitted or rejected: the tokens that were left
	// and the number of hosts that the limiter counted.
	Tokens    float64
	LiveHosts int
	// HedgeRefused is the reason for which the first hedged attempt that was due did not start; empty if there was none.
	HedgeRefused hedge.Refusal
}

// AttemptEvent describes one attempt.
type AttemptEvent struct {
	Upstream   settings.UpstreamID
	Address    string
	DataCentre string
	Outcome    Outcome
	Status     int
	Took       time.Duration
	Trial      bool
	// Floor is that of the Selection.
	Floor bool
	// Hedge is true for an attempt that started while another one ran.
	Hedge bool
	Load  float64
	// RegistryAge is the age of the list of upstreams from which this one was chosen.
	RegistryAge time.Duration
	Reused      bool
	Connection  forward.Connection
	Cause       error
	// Dispatcher, DispatchWait and Fallback are those of the Selection.
	Dispatcher   string
	DispatchWait time.Duration
	Fallback     string
}

// Outcome is the way in which an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	// Answered is a complete response that has a status below 500 and is neither NotRun nor WrongInstance.
	Answered Outcome = iota + 1
	// FailedStatus is a response with a status of 500 or higher, or 421, that does not state "not run". The request may have run.
	FailedStatus
	// NotRun is a response which states that the upstream did not run the request.
	NotRun
	// WrongInstance is a response from another upstream at the same address, which states that it did not run the request.
	WrongInstance
	// NotConnected means that no connection could be obtained.
	NotConnected
	// NotSent means that the connection broke before a byte of the request was written.
	NotSent
	// Broken is a connection that broke, or a response that is incomplete, larger than the host buffers, contradictory, or the
	// response to another request.
	Broken
	// TimedOut is an attempt that was still running at its deadline.
	TimedOut
	// Cancelled is an attempt that ended because another one was successful or the caller disconnected.
	Cancelled
	// NoMemory means that the host had no memory for the response. The request may have run.
	NoMemory
	// NotPassedOn means that the request was not sent because the host has no memory for a response of the upstream.
	NotPassedOn
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	names := [...]string{
		"invalid", "answered", "failed_status", "not_run", "wrong_instance", "not_connected", "not_sent", "broken",
		"timed_out", "cancelled", "no_memory", "not_passed_on",
	}
	if o < 0 || int(o) >= len(names) {
		return names[0]
	}
	return names[o]
}

// Result is the result of an attempt.
type Result struct {
	Outcome Outcome
	Status  int
	// Signed is true if the response states that the upstream has run the request.
	Signed bool
	// Load is nil if the upstream reported none.
	Load *placement.Load
	// Took is the time of the attempt without that for which its response waited for memory of this host.
	Took time.Duration
	// TimeLimit is the time from the start of the attempt to its deadline.
	TimeLimit time.Duration
	// Reused is true if the connection had carried earlier requests.
	Reused bool
	// Leaving is true if the response states that the upstream leaves.
	Leaving bool
	// Backoff is the time for which an upstream that rejected the request asks to receive no requests; 0 if it does not.
	Backoff time.Duration
}
