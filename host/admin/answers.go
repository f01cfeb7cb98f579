package admin

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/go-json-experiment/json"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/settings/store"
	"github.com/bronzeyard/bronzeyard/storage"
)

// ErrorKind identifies a kind of error of the API.
type ErrorKind string

// The complete list of kinds.
const (
	KindUnauthorized   ErrorKind = "unauthorized"
	KindBadRequest     ErrorKind = "bad_request"
	KindNotFound       ErrorKind = "not_found"
	KindInvalid        ErrorKind = "invalid_settings"
	KindConflict       ErrorKind = "conflict"
	KindChangeIDReused ErrorKind = "change_id_reused"
	KindUnavailable    ErrorKind = "unavailable"
	KindOutcomeUnknown ErrorKind = "outcome_unknown"
	KindDamaged        ErrorKind = "damaged"
	KindInternal       ErrorKind = "internal"
)

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error   ErrorKind `json:"error"`
	Message string    `json:"message"`
	// Next advises the operator what to do.
	Next        string                    `json:"next"`
	FieldErrors []settings.FieldError     `json:"faults,omitempty"`
	Conflicts   []store.ConflictingChange `json:"conflicts,omitempty"`
	// Head is the newest revision. It is set for KindConflict.
	Head uint64 `json:"head,omitzero"`
}

// apiError is an error with its HTTP status and body.
type apiError struct {
	status int
	Body   ErrorBody
}

func (e *apiError) Error() string { return e.Body.Message }

func badRequest(format string, args ...any) error {
	return &apiError{status: http.StatusBadRequest, Body: ErrorBody{
		Error: KindBadRequest, Message: fmt.Sprintf(format, args...), Next: "correct the request; nothing was changed",
	}}
}

func notFound(format string, args ...any) error {
	return &apiError{status: http.StatusNotFound, Body: ErrorBody{
		Error: KindNotFound, Message: fmt.Sprintf(format, args...), Next: "check the name; nothing was changed",
	}}
}

// asAPIError maps an error of the settings packages to an error response. The order of the cases matters: an unknown
// outcome may be joined with the error that caused it.
func asAPIError(err error) *apiError {
	var failure *apiError
	var conflict *store.ConflictError
	var invalid *settings.InvalidError
	var damaged *store.DamagedError
	newError := func(status int, kind ErrorKind, next string) *apiError {
		return &apiError{status: status, Body: ErrorBody{Error: kind, Message: err.Error(), Next: next}}
	}
	switch {
	case errors.As(err, &failure):
		return failure
	case errors.Is(err, store.ErrOutcomeUnknown):
		return newError(http.StatusServiceUnavailable, KindOutcomeUnknown, "repeat the request with the same change id until the outcome is known")
	case errors.As(err, &conflict):
		failure = newError(http.StatusConflict, KindConflict, "look at what was changed, then repeat with the new base revision and a new change id")
		failure.Body.Conflicts, failure.Body.Head = conflict.Changes, conflict.Head
		return failure
	case errors.As(err, &invalid):
		failure = newError(http.StatusUnprocessableEntity, KindInvalid, "correct the faults; nothing was changed")
		failure.Body.FieldErrors = invalid.FieldErrors
		return failure
	case errors.Is(err, store.ErrChangeIDReused):
		return newError(http.StatusConflict, KindChangeIDReused, "use a new change id for a different change")
	case errors.As(err, &damaged):
		return newError(http.StatusServiceUnavailable, KindDamaged, "this host can't follow the change log; use another host or write a newer snapshot; nothing was changed")
	case errors.Is(err, storage.ErrUnavailable):
		return newError(http.StatusServiceUnavailable, KindUnavailable, "repeat the request later; nothing was changed")
	case errors.Is(err, store.ErrBadChange):
		return newError(http.StatusBadRequest, KindBadRequest, "correct the request; nothing was changed")
	default:
		return &apiError{status: http.StatusInternalServerError, Body: ErrorBody{
			Error: KindInternal, Message: "the host failed", Next: "repeat the request with the same change id; the host's log has the cause",
		}}
	}
}

func writeError(w http.ResponseWriter, e *apiError) { writeJSON(w, e.status, &e.Body) }

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	// The client has disconnected if the write fails, so there is no one to report the error to.
	_ = json.MarshalWrite(w, body, json.Deterministic(true))
}

// decode decodes the body and rejects unknown members. Error messages name the place of an error but not its content,
// which may be a key.
func (r *request) decode(into any) error {
	data, err := io.ReadAll(io.LimitReader(r.Body, r.limit+1))
	if err != nil {
		return badRequest("the body could not be read")
	}
	if int64(len(data)) > r.limit {
		return badRequest("the body has more than %d bytes", r.limit)
	}
	if err := json.Unmarshal(data, into, json.RejectUnknownMembers(true)); err != nil {
		var semantic *json.SemanticError
		if errors.As(err, &semantic) && semantic.JSONPointer != "" {
			return badRequest("the member %s is unknown or not of the expected type", semantic.JSONPointer)
		}
		return badRequest("the body is not the expected JSON document")
	}
	return nil
}
