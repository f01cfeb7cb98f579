// Package errkind is the closed list of errors that a host itself answers with, and the one table from kind to answer.
//
// Every answer that does not come from an upstream is written by Write. The header Bronzeyard-Outcome tells callers what
// became of the request: "not-run" means that no upstream ran it, "unknown" that an upstream may have run it.
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

// Outcome says what is known about the execution of the request.
type Outcome string

// The outcomes of a request that the host answers itself.
const (
	// NotRun means that no upstream has run the request, in this attempt or an earlier one with the same operation id.
	NotRun Outcome = "not-run"
	// Unknown means that an upstream may have run the request.
	Unknown Outcome = "unknown"
)

// Headers of answers.
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

// Answer is what a kind is answered with.
type Response struct {
	Status  int
	Outcome Outcome
	// Retryable says whether the caller may send the same request again, with the same operation id if it has one.
	Retryable bool
	// Message is the text for people.
	Message string
}

// Table returns the answer of a kind. Unknown kinds get the answer of Internal.
func ResponseFor(kind Kind) Response {
	answer, ok := answers[kind]
	if !ok {
		return answers[Internal]
	}
	return answer
}

// Kinds lists all kinds in the order of documentation.
func Kinds() []Kind { return kinds }

var kinds = []Kind{
	RouteNotFound, KeyMissing, KeyInvalid, RateLimited, LimitUnavailable, HostInactive, Misdirected, Overloaded,
	DeadlineNotRun, NoUpstream, UpstreamRefused, UpstreamFailed, UpstreamTimeout, OutcomeUnknown, OperationIDMissing,
	OperationIDInvalid, OperationIDExpired, OperationMismatch, OperationRunning, OperationNotOwned, ClaimsUnavailable,
	ResultBodyLost, RequestTooLarge, RequestMalformed, HeaderTooLarge, RequestTimeout, ShuttingDown, Internal,
}

var answers = map[Kind]Response{
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
	// RetryAfter is how long the caller should wait; 0 if nothing is known.
	RetryAfter time.Duration
	// Outcome replaces the outcome of the kind where less is known than the kind says, for example about an earlier
	// attempt with the same operation id. Default the outcome of the kind.
	Outcome Outcome
	// Cause is for logs and tests and is never shown to callers.
	Cause error
}

// New returns an error of the given kind.
func New(kind Kind, cause error) *Error { return &Error{Kind: kind, Cause: cause} }

// StatedOutcome returns the outcome that the answer states.
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

// Body is the JSON body of an answer.
type Body struct {
	Error     Kind    `json:"error"`
	Message   string  `json:"message"`
	Outcome   Outcome `json:"outcome"`
	Retryable bool    `json:"retryable"`
	RequestID string  `json:"request_id"`
}

// Write answers a request with the answer of the error's kind. Retry-After is in whole seconds.
func Write(w http.ResponseWriter, requestID string, e *Error) {
	status, header, body := Render(requestID, e, time.Second)
	for name, values := range header {
		w.Header()[name] = values
	}
	w.WriteHeader(status)
	// The connection is the caller's; there is nothing to do if it is gone.
	_, _ = w.Write(body)
}

// Render returns the answer of the error's kind. Retry-After is rounded up to the precision; fractions of a second are an
// extension that only some callers understand.
func Render(requestID string, e *Error, precision time.Duration) (status int, header http.Header, body []byte) {
	answer := ResponseFor(e.Kind)
	answer.Outcome = e.StatedOutcome()
	header = make(http.Header)
	header.Set("Content-Type", "application/json")
	header.Set(OutcomeHeader, string(answer.Outcome))
	header.Set(KindHeader, string(e.Kind))
	header.Set(RequestIDHeader, requestID)
	if e.RetryAfter > 0 {
		steps := math.Ceil(float64(e.RetryAfter) / float64(precision))
		header.Set("Retry-After", strconv.FormatFloat(steps*precision.Seconds(), 'f', -1, 64))
	}
	body, err := json.Marshal(Body{
		Error: e.Kind, Message: answer.Message, Outcome: answer.Outcome, Retryable: answer.Retryable, RequestID: requestID,
	})
	if err != nil {
		body = nil // strings and booleans can always be encoded
	}
	return answer.Status, header, append(body, '\n')
}
