package storage

import "context"

// Key addresses one item of the table.
type Key struct {
	// Partition groups items that are read together.
	Partition string
	// Sort orders items within a partition, bytewise.
	Sort string
}

// Item is one stored row.
type Item struct {
	Key Key
	// Value is opaque to the table and has at most MaxValueBytes.
	Value []byte
	// Version is chosen by the writer; conditions refer to it. It is 1 or more for a stored item.
	Version uint64
	// WriteID identifies the write that stored this item.
	WriteID string
}

// Limits of the table.
const (
	MaxValueBytes          = 256 << 10
	MaxWritesInTransaction = 100
)

// WriteKind is the effect of a write on its item.
type WriteKind int

// The kinds of write.
const (
	// Put stores Value under Key with the given Version.
	Put WriteKind = iota + 1
	// Delete removes the item.
	Delete
	// Check changes nothing and only evaluates Condition.
	Check
)

// ConditionKind is the kind of a condition on the stored item.
type ConditionKind int

// The kinds of condition.
const (
	// Always holds for every item, stored or absent.
	Always ConditionKind = iota
	// Absent holds if no item is stored under the key.
	Absent
	// VersionIs holds if an item with the given version is stored under the key.
	VersionIs
)

// Condition must hold for the whole transaction to be applied.
type Condition struct {
	Kind    ConditionKind
	Version uint64
}

// Write is one operation of a transaction.
type Write struct {
	Kind      WriteKind
	Key       Key
	Value     []byte
	Version   uint64
	WriteID   string
	Condition Condition
}

// Table is a transactional table with strongly consistent reads.
type Table interface {
	// Get returns the item, or ErrNotFound.
	Get(ctx context.Context, key Key) (Item, error)
	// Query returns up to limit items of a partition whose sort key is greater than after, in order.
	Query(ctx context.Context, partition, after string, limit int) ([]Item, error)
	// Transact applies all writes or none. It returns a *ConflictError if a condition does not hold, ErrUnavailable if
	// nothing was applied, and ErrUnknownOutcome if the writes may or may not have been applied.
	Transact(ctx context.Context, writes []Write) error
}

// ObjectStore stores whole objects by name. It has no conditional writes.
type ObjectStore interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put stores the object, replacing an existing one of the same name.
	Put(ctx context.Context, name string, data []byte) error
}

// HostState is the state of a host in the platform's list.
type HostState string

// The states of a listed host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// ListedHost is an entry of the platform's host list.
type ListedHost struct {
	// Address is an IP address with an optional port.
	Address string
	State   HostState
}

// HostList is the platform's list of hosts. It lags behind, so it does not prove that a host is alive or dead.
type HostList interface {
	// Hosts returns the listed hosts, or ErrUnavailable if the list could not be read.
	Hosts(ctx context.Context) ([]ListedHost, error)
}
