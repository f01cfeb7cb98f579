package memory

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/bronzeyard/bronzeyard/storage"
)

// Table is an in-memory storage.Table.
type Table struct {
	Faults Faults

	mu     sync.Mutex
	items  map[storage.Key]storage.Item
	reads  int
	writes int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{items: make(map[storage.Key]storage.Item)} }

// Counts returns the numbers of calls of Get and Query, and of written or deleted items, so far.
func (t *Table) Counts() (reads, writes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}

// Get implements storage.Table.
func (t *Table) Get(ctx context.Context, key storage.Key) (storage.Item, error) {
	if err := t.Faults.beforeCall(ctx); err != nil {
		return storage.Item{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	item, ok := t.items[key]
	if !ok {
		return storage.Item{}, storage.ErrNotFound
	}
	return cloneItem(item), nil
}

// Query implements storage.Table.
func (t *Table) Query(ctx context.Context, partition, after string, limit int) ([]storage.Item, error) {
	if err := t.Faults.beforeCall(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	var found []storage.Item
	for key, item := range t.items {
		if key.Partition == partition && key.Sort > after {
			found = append(found, cloneItem(item))
		}
	}
	slices.SortFunc(found, func(a, b storage.Item) int {
		return bytes.Compare([]byte(a.Key.Sort), []byte(b.Key.Sort))
	})
	return found[:min(limit, len(found))], nil
}

// Transact implements storage.Table.
func (t *Table) Transact(ctx context.Context, writes []storage.Write) error {
	if err := validate(writes); err != nil {
		return err
	}
	if err := t.Faults.beforeCall(ctx); err != nil {
		return err
	}
	applied, acknowledged := t.Faults.nextWriteOutcome()
	if applied {
		if err := t.apply(writes); err != nil {
			return err
		}
	}
	if !acknowledged {
		return storage.ErrUnknownOutcome
	}
	return nil
}

func (t *Table) apply(writes []storage.Write) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range writes {
		if !t.holds(writes[i].Key, writes[i].Condition) {
			return &storage.ConflictError{Index: i, Key: writes[i].Key}
		}
	}
	for i := range writes {
		t.applyOne(&writes[i])
	}
	return nil
}

func (t *Table) applyOne(write *storage.Write) {
	switch write.Kind {
	case storage.Put:
		t.writes++
		t.items[write.Key] = storage.Item{
			Key: write.Key, Value: bytes.Clone(write.Value), Version: write.Version, WriteID: write.WriteID,
		}
	case storage.Delete:
		t.writes++
		delete(t.items, write.Key)
	case storage.Check:
	}
}

func (t *Table) holds(key storage.Key, condition storage.Condition) bool {
	item, stored := t.items[key]
	switch condition.Kind {
	case storage.Absent:
		return !stored
	case storage.VersionIs:
		return stored && item.Version == condition.Version
	default:
		return true
	}
}

func validate(writes []storage.Write) error {
	if len(writes) == 0 || len(writes) > storage.MaxWritesInTransaction {
		return fmt.Errorf("memory: transaction must have 1 to %d writes, got %d", storage.MaxWritesInTransaction, len(writes))
	}
	seen := make(map[storage.Key]bool, len(writes))
	for i := range writes {
		write := &writes[i]
		if len(write.Value) > storage.MaxValueBytes {
			return fmt.Errorf("memory: value of %s/%s has %d bytes, at most %d are allowed",
				write.Key.Partition, write.Key.Sort, len(write.Value), storage.MaxValueBytes)
		}
		if seen[write.Key] {
			return fmt.Errorf("memory: two writes on %s/%s in one transaction", write.Key.Partition, write.Key.Sort)
		}
		seen[write.Key] = true
	}
	return nil
}

func cloneItem(item storage.Item) storage.Item {
	item.Value = bytes.Clone(item.Value)
	return item
}

// ObjectStore is an in-memory storage.ObjectStore.
type ObjectStore struct {
	Faults Faults

	mu      sync.Mutex
	objects map[string][]byte
}

// NewObjectStore returns an empty object store.
func NewObjectStore() *ObjectStore { return &ObjectStore{objects: make(map[string][]byte)} }

// Get implements storage.ObjectStore.
func (s *ObjectStore) Get(ctx context.Context, name string) ([]byte, error) {
	if err := s.Faults.beforeCall(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	if !ok {
		return nil, storage.ErrNotFound
	}
	return bytes.Clone(data), nil
}

// Put implements storage.ObjectStore.
func (s *ObjectStore) Put(ctx context.Context, name string, data []byte) error {
	if err := s.Faults.beforeCall(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = bytes.Clone(data)
	return nil
}

// HostList is an in-memory storage.HostList.
type HostList struct {
	Faults Faults

	mu    sync.Mutex
	hosts []storage.ListedHost
}

// Set replaces the list.
func (l *HostList) Set(hosts []storage.ListedHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = slices.Clone(hosts)
}

// Hosts implements storage.HostList.
func (l *HostList) Hosts(ctx context.Context) ([]storage.ListedHost, error) {
	if err := l.Faults.beforeCall(ctx); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.hosts), nil
}
