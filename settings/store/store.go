package store

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/storage"
)

// Options of a Store.
type Options struct {
	// Table and Objects are required.
	Table   storage.Table
	Objects storage.ObjectStore
	// Clock gives the times of changes. Default clock.System.
	Clock clock.Clock
	// Logger gets changes of state. Default none.
	Logger zerolog.Logger
	// CallTimeout bounds each call of the platform. Default 2 s.
	CallTimeout time.Duration
	// SnapshotEvery is the number of changes after which a snapshot is due. Default 100.
	SnapshotInterval uint64
}

const (
	defaultCallTimeout   = 2 * time.Second
	defaultSnapshotEvery = 100
	// maxRetained bounds the records that are kept for conflicts and for transfers to peers that are slightly behind.
	maxRetained      = 1000
	maxRetainedBytes = 4 << 20
)

// Store keeps the settings of one host in step with the platform's services.
type Store struct {
	options Options
	current atomic.Pointer[activeSettings]
	// applying is held by the one change that is being made through this host.
	applySemaphore chan struct{}

	mu           sync.Mutex // guards what follows and orders installations
	retained     []Record
	observers    map[int]func(*settings.Tree, uint64)
	nextID       int
	head         uint64
	polledAt     time.Time
	fault        string
	manifest     manifest
	storedChunks map[string]bool // chunks known to be stored
	snapshotDue  bool
}

// state is the settings in force.
type activeSettings struct {
	tree     *settings.Tree
	revision uint64
}

// New returns a store that holds the empty tree of revision 0.
func New(options Options) *Store {
	if options.Clock == nil {
		options.Clock = clock.System{}
	}
	if options.CallTimeout == 0 {
		options.CallTimeout = defaultCallTimeout
	}
	if options.SnapshotInterval == 0 {
		options.SnapshotInterval = defaultSnapshotEvery
	}
	s := &Store{
		options:        options,
		applySemaphore: make(chan struct{}, 1),
		observers:      make(map[int]func(*settings.Tree, uint64)),
		storedChunks:   make(map[string]bool),
	}
	s.current.Store(&activeSettings{tree: settings.NewTree()})
	return s
}

// Current returns the tree in force and its revision. It never waits.
func (s *Store) Current() (*settings.Tree, uint64) {
	active := s.current.Load()
	return active.tree, active.revision
}

// OnChange calls observe with each tree that comes into force, in the order of revisions, and at once with the one in
// force. Revisions may be skipped. The call must not call other methods of the Store than Current. The returned function
// ends the observation.
func (s *Store) OnChange(observe func(*settings.Tree, uint64)) (cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.nextID
	s.nextID++
	s.observers[id] = observe
	observe(s.Current())
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.observers, id)
	}
}

// Status is the state of a Store.
type Status struct {
	// Revision is in force.
	Revision uint64 `json:"revision"`
	// Head is the newest revision that was seen in the table.
	Head uint64 `json:"head"`
	// Polled is the wall time of the last successful read of the head.
	PolledAt time.Time `json:"polled"`
	// Fault says why the revision in force is older than the head; empty if nothing is wrong.
	Fault string `json:"fault,omitempty"`
	// SnapshotRevision is the revision of the newest snapshot that this host has read or written.
	SnapshotRevision uint64 `json:"snapshot_revision"`
}

// Status returns the state.
func (s *Store) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		Revision: s.current.Load().revision, Head: s.head, PolledAt: s.polledAt, Fault: s.fault,
		SnapshotRevision: s.manifest.Revision,
	}
}

// install puts a tree in force if its revision is newer, and keeps the records that led to it. It must be called with
// mu held.
func (s *Store) install(tree *settings.Tree, revision uint64, records []Record) {
	if revision <= s.current.Load().revision {
		return
	}
	s.current.Store(&activeSettings{tree: tree, revision: revision})
	s.head = max(s.head, revision)
	s.retain(revision, records)
	for _, id := range s.observerIDs() {
		s.observers[id](tree, revision)
	}
}

func (s *Store) observerIDs() []int {
	ids := make([]int, 0, len(s.observers))
	for id := range s.observers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// retain keeps the newest records without a gap up to the revision.
func (s *Store) retain(revision uint64, records []Record) {
	if len(records) == 0 {
		s.retained = nil
		return
	}
	if n := len(s.retained); n > 0 && s.retained[n-1].Revision+1 != records[0].Revision {
		s.retained = nil
	}
	s.retained = append(s.retained, records...)
	if s.retained[len(s.retained)-1].Revision != revision {
		s.retained = nil
	}
	bytes, from := 0, len(s.retained)
	for from > 0 && len(s.retained)-from < maxRetained && bytes < maxRetainedBytes {
		from--
		bytes += s.retained[from].size()
	}
	s.retained = slices.Clone(s.retained[from:])
}

// setFault records a fault and logs it if it is new. An empty fault clears it.
func (s *Store) setFault(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fault == s.fault {
		return
	}
	s.fault = fault
	if fault == "" {
		s.options.Logger.Info().Uint64("revision", s.current.Load().revision).Msg("settings follow the head again")
		return
	}
	s.options.Logger.Error().Uint64("revision", s.current.Load().revision).Str("fault", fault).
		Msg("settings stay at the last good revision")
}

func (s *Store) get(ctx context.Context, key storage.Key) (storage.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	return s.options.Table.Get(ctx, key)
}

func (s *Store) query(ctx context.Context, partition, after string, limit int) ([]storage.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	return s.options.Table.Query(ctx, partition, after, limit)
}

func (s *Store) getObject(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	return s.options.Objects.Get(ctx, name)
}

func (s *Store) putObject(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	return s.options.Objects.Put(ctx, name, data)
}

// isFault reports whether the error is about stored data and not about reaching it.
func isFault(err error) bool {
	var damaged *DamagedError
	return errors.As(err, &damaged)
}
