package stage

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Row is a row of the store, as the pages describe it.
type Row struct {
	Table, Part, Key string
	Value            []byte
	Version          uint64
	Deleted          bool
}

// MarshalJSON implements json.Marshaler.
func (r Row) MarshalJSON() ([]byte, error) {
	fields := map[string]any{"table": r.Table, "part": r.Part, "key": r.Key, wire.RowVersion: r.Version}
	if r.Deleted {
		fields["deleted"] = true
	} else {
		fields["value"] = r.Value
	}
	return json.Marshal(fields)
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Row) UnmarshalJSON(data []byte) error {
	var row struct {
		Table string `json:"table"`
		Part  string `json:"part"`
		Key   string `json:"key"`
		Value []byte `json:"value"`
	}
	if err := json.Unmarshal(data, &row); err != nil {
		return err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	*r = Row{Table: row.Table, Part: row.Part, Key: row.Key, Value: row.Value}
	if version, ok := fields[wire.RowVersion]; ok {
		return json.Unmarshal(version, &r.Version)
	}
	return nil
}

// Loss says what happens to a write call. The zero value is a sound call.
type Loss struct {
	// Lost leaves the call without an answer; its connection delivers nothing further.
	Lost bool
	// PerformAfter is the time after which a lost call is performed.
	PerformAfter time.Duration
}

// Store is a stand-in for the platform's metadata store.
type Store struct {
	listener net.Listener
	server   *http.Server
	began    time.Time

	mu      sync.Mutex
	rows    map[string]Row
	version uint64
	changed chan struct{}
	lose    func(put []Row) Loss
	// Calls on the silent table are not answered until silentUntil. allSilent is true while no call is answered.
	silent      string
	silentUntil time.Time
	allSilent   bool
	// unanswered holds when the newest read of a table by a caller was left without an answer.
	unanswered map[string]time.Time
}

// NewStore starts a store at a free port of a loopback address.
func NewStore(ip string) (*Store, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &Store{listener: listener, rows: make(map[string]Row), changed: make(chan struct{}), began: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.Transaction, s.whenSilent(s.transact))
	mux.HandleFunc("GET "+wire.Read, s.whenSilent(s.get))
	mux.HandleFunc("GET "+wire.Feed, s.whenSilent(s.feed))
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Address returns the IP address and port of the store.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// LoseWrites sets the function that decides on the loss of a write call of the system. It is called for each.
func (s *Store) LoseWrites(lose func(put []Row) Loss) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = lose
}

// Put writes a row as the operator or a backend does.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.perform([]Row{{Table: table, Key: key, Value: data}}, nil)
}

// Value returns the value of a row, nil if there is none.
func (s *Store) Value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[name(Row{Table: table, Key: key})].Value
}

// Silence leaves the calls on one table without an answer, and not performed, for a time.
func (s *Store) Silence(table string, length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.silentUntil = table, time.Now().Add(length)
}

// SetSilent sets whether all calls stay without an answer.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allSilent, s.unanswered = silent, make(map[string]time.Time)
	close(s.changed) // open long polls look again
	s.changed = make(chan struct{})
}

// Unanswered returns when the newest read of a table by each caller was left without an answer, by the caller's IP address.
func (s *Store) Unanswered() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.unanswered)
}

// whenSilent leaves a call without an answer while all calls are.
func (s *Store) whenSilent(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		silent := s.allSilent
		if silent && r.URL.Query().Get("table") == "servers" {
			caller, _, _ := net.SplitHostPort(r.RemoteAddr)
			s.unanswered[caller] = time.Now()
		}
		s.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		handle(w, r)
	}
}

// Remove removes a row as the operator or a backend does.
func (s *Store) Remove(table, key string) { s.perform(nil, []Row{{Table: table, Key: key}}) }

// isSilent reports whether calls on a table are not answered now.
func (s *Store) isSilent(table string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return table == s.silent && time.Now().Before(s.silentUntil)
}

func name(row Row) string { return row.Table + "\x00" + row.Part + "\x00" + row.Key }

func (s *Store) perform(put, remove []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.performLocked(put, remove)
}

func (s *Store) performLocked(put, remove []Row) {
	s.version++
	for _, row := range put {
		row.Version, row.Deleted = s.version, false
		s.rows[name(row)] = row
	}
	for _, row := range remove {
		row.Version, row.Deleted, row.Value = s.version, true, nil
		s.rows[name(row)] = row
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []Row `json:"expected"`
		Put      []Row `json:"put"`
		Remove   []Row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range call.Put {
		if s.isSilent(row.Table) {
			<-r.Context().Done()
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lose != nil {
		if loss := s.lose(call.Put); loss.Lost {
			time.AfterFunc(loss.PerformAfter, func() { s.perform(call.Put, call.Remove) })
			s.mu.Unlock()
			<-r.Context().Done()
			s.mu.Lock()
			return
		}
	}
	for _, expected := range call.Expected {
		row := s.rows[name(expected)]
		current := row.Version
		if row.Deleted {
			current = 0
		}
		if current != expected.Version {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	s.performLocked(call.Put, call.Remove)
	s.answer(w, nil, false)
}

// answer writes an answer. s.mu must be held.
func (s *Store) answer(w http.ResponseWriter, rows []Row, more bool) {
	if rows == nil {
		rows = []Row{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": more, wire.RowVersion: s.version, "now_ms": time.Since(s.began).Milliseconds(),
	})
}

// since returns the rows of a table that changed after a version, in the order of their changes. s.mu must be held.
func (s *Store) since(table string, version uint64) []Row {
	var rows []Row
	for _, row := range s.rows {
		if row.Table == table && row.Version > version {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return int(int64(a.Version) - int64(b.Version)) })
	return rows
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if s.isSilent(query.Get("table")) {
		<-r.Context().Done()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := slices.DeleteFunc(s.since(query.Get("table"), 0), func(row Row) bool {
		return row.Deleted || row.Part != query.Get("part") || row.Key < query.Get("from") ||
			(query.Get("to") != "" && row.Key >= query.Get("to"))
	})
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.answer(w, rows[:min(limit, len(rows))], len(rows) > limit)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for ended := false; ; {
		s.mu.Lock()
		if s.allSilent {
			s.mu.Unlock()
			<-r.Context().Done()
			return
		}
		rows, changed := s.since(query.Get("table"), after), s.changed
		if len(rows) > 0 || ended {
			s.answer(w, rows, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// Route is a route of a Configuration.
type Route struct {
	Name, Prefix, Service, Kind string
	TimeoutMs                   int
}

// Configure writes the operator's configuration with one host and one tenant.
func (s *Store) Configure(version int, host, tenant, key string, rate, burst int, routes []Route) {
	var paths, services []map[string]any
	known := make(map[string]bool)
	for _, route := range routes {
		paths = append(paths, map[string]any{
			"name": route.Name, "prefix": route.Prefix, "type": route.Kind, "timeout_ms": route.TimeoutMs, "target_latency_ms": 2000,
			"priority": 1, "service": route.Service, "max_attempts": 2, "public": false,
		})
		if !known[route.Service] {
			known[route.Service] = true
			services = append(services, map[string]any{
				"name": route.Service, "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false,
			})
		}
	}
	s.Put("op", "config", map[string]any{
		"version": fmt.Sprintf("%08x", version), "services": services,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []any{map[string]any{
			"name": tenant, "api_keys": []string{key}, "priority": 0, "rate_per_s": rate, "burst": burst,
		}},
		"hosts": []any{map[string]any{"hostname": host, "paths": paths}},
	})
}
