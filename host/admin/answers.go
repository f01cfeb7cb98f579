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

// ErrorKind is one kind of error of the API.
type ErrorKind string

// The closed list of kinds.
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

// ErrorBody is the body of an error.
type ErrorBody struct {
	Error   ErrorKind `json:"error"`
	Message string    `json:"message"`
	// Next says what to do.
	Next        string                    `json:"next"`
	FieldErrors []settings.Fault          `json:"faults,omitempty"`
	Conflicts   []store.ConflictingChange `json:"conflicts,omitempty"`
	// Head is the newest revision, for KindConflict.
	Head uint64 `json:"head,omitzero"`
}

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

// asAPIError maps an error of the settings to an answer. The order matters: an unknown outcome may be joined with what
// led to it.
func asAPIError(err error) *apiError {
	var failure *apiError
	var conflict *store.ConflictError
	var invalid *settings.InvalidError
	var damaged *store.DamagedError
	answer := func(status int, kind ErrorKind, next string) *apiError {
		return &apiError{status: status, Body: ErrorBody{Error: kind, Message: err.Error(), Next: next}}
	}
	switch {
	case errors.As(err, &failure):
		return failure
	case errors.Is(err, store.ErrOutcomeUnknown):
		return answer(http.StatusServiceUnavailable, KindOutcomeUnknown, "repeat the request with the same change id until the outcome is known")
	case errors.As(err, &conflict):
		failure = answer(http.StatusConflict, KindConflict, "look at what was changed, then repeat with the new base revision and a new change id")
		failure.Body.Conflicts, failure.Body.Head = conflict.Changes, conflict.Head
		return failure
	case errors.As(err, &invalid):
		failure = answer(http.StatusUnprocessableEntity, KindInvalid, "correct the faults; nothing was changed")
		failure.Body.FieldErrors = invalid.Faults
		return failure
	case errors.Is(err, store.ErrChangeIDReused):
		return answer(http.StatusConflict, KindChangeIDReused, "use a new change id for a different change")
	case errors.As(err, &damaged):
		return answer(http.StatusServiceUnavailable, KindDamaged, "this host can't follow the change log; use another host or write a newer snapshot; nothing was changed")
	case errors.Is(err, storage.ErrUnavailable):
		return answer(http.StatusServiceUnavailable, KindUnavailable, "repeat the request later; nothing was changed")
	case errors.Is(err, store.ErrBadChange):
		return answer(http.StatusBadRequest, KindBadRequest, "correct the request; nothing was changed")
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
	// The connection is the client's; there is nothing to do if it is gone.
	_ = json.MarshalWrite(w, body, json.Deterministic(true))
}

// decode reads the body strictly. The message names the place of a mistake and not its content, which may be a key.
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
