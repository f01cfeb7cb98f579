package platformserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/bronzeyard/bronzeyard/storage"
	"github.com/bronzeyard/bronzeyard/storage/httpsd"
	"github.com/bronzeyard/bronzeyard/storage/memory"
)

// Paths of the services.
const (
	DynamoDBPath = "/dynamodb/"
	S3Path       = "/s3"
	HostsPath    = "/hosts"
)

const maxBodyBytes = 64 << 20

// Server is an HTTP handler that emulates the platform. Tests may use its fields directly.
type Server struct {
	Table   *memory.Table
	Objects *memory.ObjectStore
	Hosts   *memory.HostList

	router *mux.Router
	mu     sync.Mutex
	// tokens holds the ClientRequestTokens of applied transactions. DynamoDB itself drops them after 10 minutes.
	tokens map[string]bool
}

// New returns a server with empty services.
func New() *Server {
	s := &Server{
		Table: memory.NewTable(), Objects: memory.NewObjectStore(), Hosts: new(memory.HostList), tokens: make(map[string]bool),
	}
	s.router = mux.NewRouter().UseEncodedPath()
	s.router.HandleFunc(DynamoDBPath, s.dynamoDB).Methods(http.MethodPost)
	s.router.HandleFunc(S3Path+"/{bucket}/{key:.+}", s.getObject).Methods(http.MethodGet)
	s.router.HandleFunc(S3Path+"/{bucket}/{key:.+}", s.putObject).Methods(http.MethodPut)
	s.router.HandleFunc(HostsPath, s.listHosts).Methods(http.MethodGet)
	s.router.HandleFunc("/admin/faults", s.setFaults).Methods(http.MethodPost)
	s.router.HandleFunc("/admin/hosts", s.setHosts).Methods(http.MethodPut)
	s.router.HandleFunc("/admin/counts", s.getCounts).Methods(http.MethodGet)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	s.router.ServeHTTP(w, r)
}

// FaultRequest is the body of POST /admin/faults. It replaces all faults of one service.
type FaultRequest struct {
	// Service is "table", "objects" or "hosts".
	Service string `json:"service"`
	Down    bool   `json:"down"`
	// DelayMs delays each call, in milliseconds.
	DelayMs int `json:"delay_ms"`
	// LoseResponses is the number of following transactions whose response is lost after the write was applied.
	// LoseWrites is the number of following transactions that are not applied and get no response.
	LoseResponses int `json:"lose_answers"`
	LoseWrites    int `json:"lose_writes"`
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var request FaultRequest
	if err := decodeStrictly(r.Body, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults, ok := map[string]*memory.Faults{
		"table": &s.Table.Faults, "objects": &s.Objects.Faults, "hosts": &s.Hosts.Faults,
	}[request.Service]
	if !ok {
		http.Error(w, fmt.Sprintf("unknown service %q; known are table, objects and hosts", request.Service), http.StatusBadRequest)
		return
	}
	faults.SetDown(request.Down)
	faults.SetDelay(time.Duration(request.DelayMs) * time.Millisecond)
	faults.LoseResponses(request.LoseResponses)
	faults.LoseWrites(request.LoseWrites)
	w.WriteHeader(http.StatusNoContent)
}

// setHosts accepts the document format that listHosts returns.
func (s *Server) setHosts(w http.ResponseWriter, r *http.Request) {
	var groups []httpsd.Group
	if err := decodeStrictly(r.Body, &groups); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var hosts []storage.ListedHost
	for _, group := range groups {
		for _, target := range group.Targets {
			hosts = append(hosts, storage.ListedHost{Address: target, State: storage.HostState(group.Labels[httpsd.StateLabel])})
		}
	}
	s.Hosts.Set(hosts)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	reads, writes := s.Table.Counts()
	writeJSON(w, http.StatusOK, map[string]int{"reads": reads, "writes": writes})
}

func (s *Server) listHosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := s.Hosts.Hosts(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	groups := []httpsd.Group{}
	for _, host := range hosts {
		groups = append(groups, httpsd.Group{
			Targets: []string{host.Address}, Labels: map[string]string{httpsd.StateLabel: string(host.State)},
		})
	}
	writeJSON(w, http.StatusOK, groups)
}

func decodeStrictly(body io.Reader, into any) error {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error is ignored because it means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}

// abortConnection closes the connection without a response.
func abortConnection() { panic(http.ErrAbortHandler) }

// isUnavailable reports whether a call failed because the service is unavailable, not because of the request.
func isUnavailable(err error) bool { return errors.Is(err, storage.ErrUnavailable) }
