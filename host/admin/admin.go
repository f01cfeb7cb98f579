package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/settings/store"
)

// Settings is the part of *store.Store that the API uses.
type Settings interface {
	Current() (*settings.Tree, uint64)
	Poll(ctx context.Context) error
	Apply(ctx context.Context, change store.Change) (uint64, error)
	Audit(ctx context.Context, filter store.AuditFilter) (store.AuditPage, error)
	Status() store.Status
}

// Fleet is the part of the fleet that the API uses. Implementations are safe for concurrent use.
type Fleet interface {
	// WaitActivated waits until a revision is active on every host that holds an activity lease, or the context ends. It
	// returns the hosts that are not known to have applied it. With a nil error these hosts hold no activity lease.
	WaitActivated(ctx context.Context, revision uint64) (missing []string, err error)
	// Status returns the state of this host, which is encoded as JSON.
	Status() any
	// Drain starts the orderly removal of this host from the fleet and returns without waiting for its end.
	Drain(ctx context.Context) error
	// DeclareEnded accepts the operator's statement that the process of a host has ended for good. It returns false if the
	// host is not a member of the epoch or if this host still receives its heartbeats.
	DeclareEnded(host string) bool
}

// Operator is a person or program that may use the API.
type Operator struct {
	// Name is recorded in the audit log.
	Name string
	// TokenHash is the SHA-256 of the operator's bearer token.
	TokenHash [sha256.Size]byte
}

// Options of a Handler.
type Options struct {
	Settings  Settings
	Fleet     Fleet
	Operators []Operator
	// DataCentre is used by explain if the request names no data centre.
	DataCentre string
	// Clock provides the times of grants and withdrawals. Default clock.System.
	Clock clock.Clock
	// Logger receives failures of authentication, internal errors and declarations of ended hosts. Default no logging.
	Logger zerolog.Logger
	// ChangeTimeout bounds the time to write a change. Default 10 s.
	ChangeTimeout time.Duration
	// ActivationTimeout bounds the wait until a change is active. Default 6 s, above the fleet's target of 4 s.
	ActivationTimeout time.Duration
}

const (
	defaultChangeTimeout     = 10 * time.Second
	defaultActivationTimeout = 6 * time.Second
	maxRequestBytes          = 1 << 20
)

// Handler is the http.Handler of the API.
type Handler struct {
	options Options
	router  *mux.Router
}

// New returns a Handler.
func New(options Options) *Handler {
	if options.Clock == nil {
		options.Clock = clock.System{}
	}
	if options.ChangeTimeout == 0 {
		options.ChangeTimeout = defaultChangeTimeout
	}
	if options.ActivationTimeout == 0 {
		options.ActivationTimeout = defaultActivationTimeout
	}
	h := &Handler{options: options, router: mux.NewRouter()}
	h.routes()
	return h
}

func (h *Handler) routes() {
	v1 := h.router.PathPrefix("/v1").Subrouter()
	handle := func(method, path string, serve func(*request) (any, error)) {
		v1.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) { h.serve(w, r, serve) }).Methods(method)
	}
	handle(http.MethodGet, "/settings", h.getSettings)
	handle(http.MethodPost, "/settings/apply", h.applyDocument)
	handle(http.MethodPost, "/settings/edits", h.applyEdits)
	handle(http.MethodGet, "/settings/explain", h.explain)
	handle(http.MethodGet, "/customers", h.listCustomers)
	handle(http.MethodPost, "/customers/{customer}", h.createCustomer)
	handle(http.MethodPut, "/customers/{customer}/limits", h.setLimits)
	handle(http.MethodGet, "/customers/{customer}/keys", h.listKeys)
	handle(http.MethodPost, "/customers/{customer}/keys/{key}", h.grantKey)
	handle(http.MethodPost, "/customers/{customer}/keys/{key}/withdraw", h.withdrawKey)
	handle(http.MethodGet, "/services", h.listServices)
	handle(http.MethodPut, "/services/{service}", h.setService)
	handle(http.MethodPut, "/services/{service}/upstreams/{upstream}", h.setUpstream)
	handle(http.MethodDelete, "/services/{service}/upstreams/{upstream}", h.removeUpstream)
	handle(http.MethodPut, "/services/{service}/upstreams/{upstream}/leaving", h.setLeaving)
	handle(http.MethodGet, "/audit", h.audit)
	handle(http.MethodGet, "/status", h.status)
	handle(http.MethodPost, "/drain", h.drain)
	handle(http.MethodPost, "/hosts/{host}/ended", h.declareEnded)
	h.router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.serve(w, r, func(*request) (any, error) { return nil, notFound("there is no %s %s", r.Method, r.URL.Path) })
	})
	h.router.MethodNotAllowedHandler = h.router.NotFoundHandler
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.router.ServeHTTP(w, r)
}

// request is an authenticated request.
type request struct {
	*http.Request
	operator string
	// limit is the maximum size of the body in bytes.
	limit int64
}

func (r *request) pathVariable(name string) string { return mux.Vars(r.Request)[name] }

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, serve func(*request) (any, error)) {
	operator, ok := h.authenticate(r)
	if !ok {
		h.rejectUnauthorized(w, r)
		return
	}
	response, err := serve(&request{Request: r, operator: operator, limit: maxRequestBytes})
	if err != nil {
		failure := asAPIError(err)
		if failure.status == http.StatusInternalServerError {
			h.options.Logger.Error().Err(err).Str("path", r.URL.Path).Msg("operator request failed")
		}
		writeError(w, failure)
		return
	}
	status := http.StatusOK
	if withStatus, ok := response.(interface{ httpStatus() int }); ok {
		status = withStatus.httpStatus()
	}
	writeJSON(w, status, response)
}

// Restrict returns a handler that forwards requests with a valid operator token to next and rejects others.
func (h *Handler) Restrict(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, ok := h.authenticate(r); !ok {
			h.rejectUnauthorized(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (h *Handler) rejectUnauthorized(w http.ResponseWriter, r *http.Request) {
	h.options.Logger.Warn().Str("remote", r.RemoteAddr).Str("path", r.URL.Path).Msg("request without a valid operator token rejected")
	w.Header().Set("WWW-Authenticate", "Bearer")
	writeError(w, &apiError{
		status: http.StatusUnauthorized,
		Body:   ErrorBody{Error: KindUnauthorized, Message: "the request carries no valid token", Next: "send an operator's token in the header Authorization: Bearer"},
	})
}

// authenticate returns the name of the operator whose token the request carries. It compares the hash of the token with that
// of every operator, so that its duration does not depend on the tokens.
func (h *Handler) authenticate(r *http.Request) (string, bool) {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	presented := sha256.Sum256([]byte(token))
	name, matched := "", 0
	for i := range h.options.Operators {
		operator := &h.options.Operators[i]
		equal := subtle.ConstantTimeCompare(presented[:], operator.TokenHash[:])
		if equal == 1 {
			name = operator.Name
		}
		matched |= equal
	}
	return name, found && token != "" && matched == 1 && name != ""
}
