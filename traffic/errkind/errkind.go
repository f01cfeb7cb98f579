// Package errkind defines the closed list of error kinds that a host returns itself, and the table that maps each kind to
// its response.
//
// Write writes every response that does not come from an upstream. Its header Bronzeyard-Outcome states whether the request
// was executed: "not-run" means that no upstream ran it, "unknown" that an upstream may have run it.
package errkind

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Kind is one kind of error.
type Kind string

// Outcome is what is known about the execution of the request.
type Outcome string

// The outcomes of a request to which the host itself responds.
const (
	// NotRun means that no upstream has run the request, in this attempt or an earlier one with the same operation id.
	NotRun Outcome = "not-run"
	// Unknown means that an upstream may have run the request.
	Unknown Outcome = "unknown"
)

// Headers of error responses.
const (
	OutcomeHeader   = "Bronzeyard-Outcome"
	KindHeader      = "Bronzeyard-Error"
	RequestIDHeader = "X-Request-Id"
)

// The closed list of kinds.
const (
	RouteNotFound      Kind = "route_not_found"
	KeyMissing         Kind = "key_missing"
	KeyInvalid         Kind = "key_invalid"
	RateLimited        Kind = "rate_limited"
	LimitUnavailable   Kind = "limit_unavailable"
	HostInactive       Kind = "host_inactive"
	Misdirected        Kind = "misdirected"
	Overloaded         Kind = "overloaded"
	DeadlineNotRun     Kind = "deadline_not_run"
	NoUpstream         Kind = "no_upstream"
	UpstreamRefused    Kind = "upstream_refused"
	UpstreamFailed     Kind = "upstream_failed"
	UpstreamTimeout    Kind = "upstream_timeout"
	OutcomeUnknown     Kind = "outcome_unknown"
	OperationIDMissing Kind = "operation_id_missing"
	OperationIDInvalid Kind = "operation_id_invalid"
	OperationIDExpired Kind = "operation_id_expired"
	OperationMismatch  Kind = "operation_mismatch"
	OperationRunning   Kind = "operation_running"
	OperationNotOwned  Kind = "operation_owner_unavailable"
	ClaimsUnavailable  Kind = "claims_unavailable"
	ResultBodyLost     Kind = "outcome_known_body_lost"
	RequestTooLarge    Kind = "request_too_large"
	RequestMalformed   Kind = "request_malformed"
	HeaderTooLarge     Kind = "header_too_large"
	RequestTimeout     Kind = "request_timeout"
	ShuttingDown       Kind = "shutting_down"
	Internal           Kind = "internal"
)

// Response is the response to a request that failed with a kind.
type Response struct {
	Status  int
	Outcome Outcome
	// Retryable is true if the caller may send the same request again, with the same operation id if it has one.
	Retryable bool
	// Message is the human-readable description.
	Message string
}

// ResponseFor returns the response of a kind. Unknown kinds get the response of Internal.
func ResponseFor(kind Kind) Response {
	response, ok := responses[kind]
	if !ok {
		return responses[Internal]
	}
	return response
}

// Kinds returns all kinds in the order of the documentation.
func Kinds() []Kind { return kinds }

var kinds = []Kind{
	RouteNotFound, KeyMissing, KeyInvalid, RateLimited, LimitUnavailable, HostInactive, Misdirected, Overloaded,
	DeadlineNotRun, NoUpstream, UpstreamRefused, UpstreamFailed, UpstreamTimeout, OutcomeUnknown, OperationIDMissing,
	OperationIDInvalid, OperationIDExpired, OperationMismatch, OperationRunning, OperationNotOwned, ClaimsUnavailable,
	ResultBodyLost, RequestTooLarge, RequestMalformed, HeaderTooLarge, RequestTimeout, ShuttingDown, Internal,
}

var responses = map[Kind]Response{
	RouteNotFound:      {404, NotRun, false, "no route matches the host, method and path"},
	KeyMissing:         {401, NotRun, false, "the route needs a customer's key"},
	KeyInvalid:         {401, NotRun, false, "the key is unknown or was withdrawn"},
	RateLimited:        {429, NotRun, true, "the customer's rate and burst are used up"},
	LimitUnavailable:   {503, NotRun, true, "this host has no share of the customer's rate and cannot reach its owner"},
	HostInactive:       {503, NotRun, true, "this host holds no activity lease; use another address"},
	Misdirected:        {421, NotRun, true, "the customer is served elsewhere; ask for addresses again"},
	Overloaded:         {503, NotRun, true, "too many requests wait for this service"},
	DeadlineNotRun:     {504, NotRun, true, "the deadline passed before the request was sent to an upstream"},
	NoUpstream:         {503, NotRun, true, "no upstream of the service takes requests"},
	UpstreamRefused:    {503, NotRun, true, "the upstream declared that it did not run the request"},
	UpstreamFailed:     {502, Unknown, true, "no attempt at an upstream of this idempotent route succeeded"},
	UpstreamTimeout:    {504, Unknown, true, "no upstream of this idempotent route answered before the deadline"},
	OutcomeUnknown:     {502, Unknown, false, "the operation may have run; find out before starting a new one"},
	OperationIDMissing: {400, NotRun, false, "the route needs an Idempotency-Key header with a UUID version 7"},
	OperationIDInvalid: {400, NotRun, false, "the Idempotency-Key is not a UUID version 7 or its time is in the future"},
	OperationIDExpired: {410, Unknown, false, "the Idempotency-Key is older than the window in which repeats are recognised"},
	OperationMismatch:  {422, Unknown, false, "the Idempotency-Key was used with a different request"},
	OperationRunning:   {409, Unknown, true, "the operation with this Idempotency-Key is still running"},
	OperationNotOwned:  {503, Unknown, true, "the owner of the operation cannot be reached; repeat with the same Idempotency-Key"},
	ClaimsUnavailable:  {503, Unknown, true, "the claim cannot be written to the table now; repeat with the same Idempotency-Key"},
	ResultBodyLost:     {410, Unknown, false, "the operation ran; its answer was too large to be kept"},
	RequestTooLarge:    {413, NotRun, false, "the request exceeds a size limit"},
	RequestMalformed:   {400, NotRun, false, "the request is malformed"},
	HeaderTooLarge:     {431, NotRun, false, "the header exceeds the size limit"},
	RequestTimeout:     {408, NotRun, true, "the request did not arrive in time"},
	ShuttingDown:       {503, NotRun, true, "this host is shutting down; use another address"},
	Internal:           {500, Unknown, false, "the host failed"},
}

// Error is an error with a kind.
type Error struct {
	Kind Kind
	// RetryAfter is the time to wait before a retry; 0 if unknown.
	RetryAfter time.Duration
	// Outcome overrides the outcome of the kind where less is known than the kind states, for example about an earlier
	// attempt with the same operation id. Default the outcome of the kind.
	Outcome Outcome
	// Cause is for logs and tests. It is never sent to callers.
	Cause error
}

// New returns an error of the given kind.
func New(kind Kind, cause error) *Error { return &Error{Kind: kind, Cause: cause} }

// StatedOutcome returns the outcome that the response states: Outcome if it is set, else the outcome of the kind.
func (e *Error) StatedOutcome() Outcome {
	if e.Outcome != "" {
		return e.Outcome
	}
	return ResponseFor(e.Kind).Outcome
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return string(e.Kind)
	}
	return string(e.Kind) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Body is the JSON body of an error response.
type Body struct {
	Error     Kind    `json:"error"`
	Message   string  `json:"message"`
	Outcome   Outcome `json:"outcome"`
	Retryable bool    `json:"retryable"`
	RequestID string  `json:"request_id"`
}

// Write writes the response of the error's kind. Retry-After is in whole seconds.
func Write(w http.ResponseWriter, requestID string, e *Error) {
	status, header, body := Render(requestID, e, time.Second)
	for name, values := range header {
		w.Header()[name] = values
	}
	w.WriteHeader(status)
	// A write error means that the caller has disconnected; there is nobody left to report it to.
	_, _ = w.Write(body)
}

// Render returns the response of the error's kind. Retry-After is rounded up to a multiple of precision. Fractions of a
// second are an extension that only some callers support.
func Render(requestID string, e *Error, precision time.Duration) (status int, header http.Header, body []byte) {
	response := ResponseFor(e.Kind)
	response.Outcome = e.StatedOutcome()
	header = make(http.Header)
	header.Set("Content-Type", "application/json")
	header.Set(OutcomeHeader, string(response.Outcome))
	header.Set(KindHeader, string(e.Kind))
	header.Set(RequestIDHeader, requestID)
	if e.RetryAfter > 0 {
		steps := math.Ceil(float64(e.RetryAfter) / float64(precision))
		header.Set("Retry-After", strconv.FormatFloat(steps*precision.Seconds(), 'f', -1, 64))
	}
	body, err := json.Marshal(Body{
		Error: e.Kind, Message: response.Message, Outcome: response.Outcome, Retryable: response.Retryable, RequestID: requestID,
	})
	if err != nil {
		body = nil // unreachable: strings and booleans can always be encoded
	}
	return response.Status, header, append(body, '\n')
}
