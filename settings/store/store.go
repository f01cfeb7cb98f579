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
	// Clock provides the wall time that is recorded with each change. Default clock.System.
	Clock clock.Clock
	// Logger receives changes of Status.Fault, and warnings about snapshots that could not be loaded or written and about
	// accepted changes that this host could not apply yet. Default none.
	Logger zerolog.Logger
	// CallTimeout bounds each call to the table or the object store. Default 2 s.
	CallTimeout time.Duration
	// SnapshotInterval is the number of changes between two snapshots. Default 100.
	SnapshotInterval uint64
}

const (
	defaultCallTimeout      = 2 * time.Second
	defaultSnapshotInterval = 100
	// maxRetained and maxRetainedBytes bound the records that are retained to find conflicts and to update peers that are
	// slightly behind.
	maxRetained      = 1000
	maxRetainedBytes = 4 << 20
)

// Store keeps the settings of one host in sync with the table and the object store.
type Store struct {
	options Options
	current atomic.Pointer[activeSettings]
	// applySemaphore has one slot, so that one change at a time is made through this host.
	applySemaphore chan struct{}

	mu             sync.Mutex // guards the fields below and serialises calls of install
	retained       []Record
	observers      map[int]func(*settings.Tree, uint64)
	nextObserverID int
	head           uint64
	polledAt       time.Time
	fault          string
	manifest       manifest
	storedChunks   map[string]bool // chunks of the newest known manifest, which need not be written again
	snapshotDue    bool
}

// activeSettings is a tree and its revision. It is replaced as a whole, so that readers see a consistent pair.
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
		options.SnapshotInterval = defaultSnapshotInterval
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

// Current returns the active tree and its revision. It never blocks.
func (s *Store) Current() (*settings.Tree, uint64) {
	active := s.current.Load()
	return active.tree, active.revision
}

// OnChange calls observe with the active tree before it returns, and then with each tree that becomes active, in the order
// of revisions. Revisions may be skipped. observe may call Current but no other method of the Store. The returned function
// removes the observer.
func (s *Store) OnChange(observe func(*settings.Tree, uint64)) (cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.nextObserverID
	s.nextObserverID++
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
	// Revision is the active revision.
	Revision uint64 `json:"revision"`
	// Head is the newest revision that this host has read from the table or made active.
	Head uint64 `json:"head"`
	// PolledAt is the wall time of the last successful read of the head.
	PolledAt time.Time `json:"polled"`
	// Fault describes damaged data that keeps the host from the head, or a head older than the active revision. It is empty
	// if there is no fault.
	Fault string `json:"fault,omitempty"`
	// SnapshotRevision is the revision of the newest snapshot that this host has read or written.
	SnapshotRevision uint64 `json:"snapshot_revision"`
}

// Status returns the current state.
func (s *Store) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		Revision: s.current.Load().revision, Head: s.head, PolledAt: s.polledAt, Fault: s.fault,
		SnapshotRevision: s.manifest.Revision,
	}
}

// install makes a tree active if its revision is newer than the active one, retains the records that led to it and calls
// the observers. It must be called with mu held.
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

// retain appends records and keeps only the newest ones that lead to the revision without a gap, within the bounds.
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

// setFault sets the fault that Status reports and logs it if it changed. An empty text clears it.
func (s *Store) setFault(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fault == s.fault {
		return
	}
	s.fault = fault
	if fault == "" {
		s.options.Logger.Info().Uint64("revision", s.current.Load().revision).Msg("settings are in sync with the head again")
		return
	}
	s.options.Logger.Error().Uint64("revision", s.current.Load().revision).Str("fault", fault).
		Msg("stored settings were rejected; the last good revision stays active")
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

// isFault reports whether the error is a *DamagedError and not a failed call to the platform.
func isFault(err error) bool {
	var damaged *DamagedError
	return errors.As(err, &damaged)
}
