package relay

import (
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

// Event describes a finished request.
type Event struct {
	RequestID string
	Method    string
	Route     string
	// RouteSince is the version of the settings that brought the route, as far as this process has seen it.
	RouteSince uint64
	Service    settings.ServiceName
	Customer   settings.CustomerID
	// Status is what the caller gets, and Kind the kind of the host's own answer, empty for an upstream's.
	Status int
	Kind   errkind.Kind
	// Cause is the error behind Kind.
	Cause      error
	RetryAfter time.Duration
	TimeLimit  time.Duration
	Total      time.Duration
	Attempts   []AttemptEvent
	// CallerGone is true if the caller went away before the answer.
	CallerGone bool
	// Settings is the revision of the settings that decided, and SettingsAge the time since they were confirmed.
	Settings    uint64
	SettingsAge time.Duration
	// Tokens and HostsHeard are the state of the customer's limit that decided.
	Tokens    float64
	LiveHosts int
}

// AttemptEvent describes one attempt.
type AttemptEvent struct {
	Upstream   settings.UpstreamID
	DataCentre string
	Outcome    Outcome
	Status     int
	Took       time.Duration
	Trial      bool
	Load       float64
	// Age is the age of the list of upstreams that the choice was made from.
	RegistryAge time.Duration
	Reused      bool
	Cause       error
}

// Outcome says how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// Answered is a whole answer that is no failure.
	Answered Outcome = iota + 1
	// FailedStatus is an answer with a status of failure; the request has run or may have run.
	FailedStatus
	// NotRun is an answer that states that the upstream did not run the request.
	NotRun
	// WrongInstance is an answer of another upstream at the same address, which did not run the request.
	WrongInstance
	// NotConnected means that no connection was obtained.
	NotConnected
	// NotSent means that the connection broke before a byte of the request was written.
	NotSent
	// Broken is a connection that broke, or an answer that is not whole or not the request's.
	Broken
	// TimedOut is an attempt that was still open at its deadline.
	TimedOut
	// Cancelled is an attempt that ended because another one answered or the caller went away.
	Cancelled
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	names := [...]string{
		"invalid", "answered", "failed_status", "not_run", "wrong_instance", "not_connected", "not_sent", "broken",
		"timed_out", "cancelled",
	}
	if o < 0 || int(o) >= len(names) {
		return names[0]
	}
	return names[o]
}

// Result reports on an attempt.
type Result struct {
	Outcome Outcome
	Status  int
	// Load is nil if the upstream reported none.
	Load *placement.Load
	Took time.Duration
	// Granted is the time that the attempt was given.
	TimeLimit time.Duration
	// Reused is true if the connection had carried earlier requests.
	Reused bool
}
