package tableclaims

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzeyard/bronzeyard/storage"
)

// Options configures a Store.
type Options struct {
	Table storage.Table
	// ClaimBatchDelay is the time before each transaction of claims in which claims are collected. Default 2 ms.
	ClaimBatchDelay time.Duration
	// ResultBatchDelay is the same for results and released claims. No request waits for them, but those that are not
	// written yet are lost if this host fails. Default 20 ms.
	ResultBatchDelay time.Duration
	// Timeout is the timeout of one call to the table. Default 300 ms.
	Timeout time.Duration
	// RetryTimeout is the time for which a failed write of a result or of a released claim is retried. Default 24 h.
	RetryTimeout time.Duration
}

const (
	defaultClaimBatchDelay  = 2 * time.Millisecond
	defaultResultBatchDelay = 20 * time.Millisecond
	defaultTimeout          = 300 * time.Millisecond
	defaultRetryTimeout     = 24 * time.Hour
	// maxAttempts is the maximum number of writes of one claim whose row keeps changing.
	maxAttempts = 5
	// initialRetryDelay and maxRetryDelay are the first and the maximum delay between two attempts to store a result or a
	// released claim.
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
	// failingAttempts is the number of failed attempts after which the table counts as failing. One attempt may fail because
	// of a conflict.
	failingAttempts = 3
	// expirePageSize is the maximum number of expired rows that are read and deleted at once.
	expirePageSize = 25
)

// ErrNoTable means that the Store has no table.
var ErrNoTable = errors.New("tableclaims: this host has no table")

// Store stores claims in a table. It is safe for concurrent use.
type Store struct {
	options     Options
	baseContext context.Context // parent of background writes
	claims      batcher
	results     batcher

	mu sync.Mutex
	// ungranted holds the write ids of claims that this host may have written and has not granted, until they are released.
	ungranted map[string]struct{}

	reads   atomic.Int64
	pending atomic.Int64
	failing atomic.Bool
}

// New returns a Store whose background writes end with base. Options.Table may be nil. Claims then fail with ErrNoTable.
func New(base context.Context, options Options) *Store {
	options.ClaimBatchDelay = defaultTo(options.ClaimBatchDelay, defaultClaimBatchDelay)
	options.ResultBatchDelay = defaultTo(options.ResultBatchDelay, defaultResultBatchDelay)
	options.Timeout = defaultTo(options.Timeout, defaultTimeout)
	options.RetryTimeout = defaultTo(options.RetryTimeout, defaultRetryTimeout)
	return &Store{
		options: options, baseContext: base, ungranted: make(map[string]struct{}),
		claims:  batcher{table: options.Table, delay: options.ClaimBatchDelay, timeout: options.Timeout},
		results: batcher{table: options.Table, delay: options.ResultBatchDelay, timeout: options.Timeout},
	}
}

func defaultTo(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}

// read returns the row of an operation, or nil if there is none.
func (s *Store) read(ctx context.Context, key *Key) (*Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()
	s.reads.Add(1)
	item, err := s.options.Table.Get(ctx, key.row())
	if errors.Is(err, storage.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return decode(&item)
}

// Expire deletes the rows of a slot whose ids are older than before. It returns ErrNoTable, the error of the
// table, or an error if a row is malformed.
func (s *Store) Expire(ctx context.Context, slot int, before time.Time) error {
	if s.options.Table == nil {
		return ErrNoTable
	}
	for {
		writes, err := s.expired(ctx, slot, before)
		if err != nil || len(writes) == 0 {
			return err
		}
		callCtx, cancel := context.WithTimeout(ctx, s.options.Timeout)
		err = s.options.Table.Transact(callCtx, writes)
		cancel()
		if err != nil {
			return err
		}
	}
}

// expired returns deletions of the oldest rows of a slot whose ids are older than before, at most expirePageSize.
func (s *Store) expired(ctx context.Context, slot int, before time.Time) ([]storage.Write, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()
	s.reads.Add(1)
	items, err := s.options.Table.Query(ctx, partition(slot), "", expirePageSize)
	var writes []storage.Write
	for i := range items {
		row, decodeErr := decode(&items[i])
		if decodeErr != nil {
			return nil, decodeErr
		}
		if !row.IDTime.Before(before) {
			break // rows are sorted by the times of their ids
		}
		writes = append(writes, storage.Write{
			Kind: storage.Delete, Key: items[i].Key, Condition: storage.Condition{Kind: storage.VersionIs, Version: row.Version},
		})
	}
	return writes, err
}

// Status describes the state of a Store, for metrics.
type Status struct {
	// Reads and Transactions count calls to the table, without the reads of storage.TransactOnce.
	Reads, Transactions int64
	// Pending counts results and releases of claims that are not stored yet.
	Pending int64
	// Failing is true if the latest attempt to store any of them failed and at least failingAttempts attempts to store the
	// same one have failed.
	Failing bool
}

// Status returns the current state.
func (s *Store) Status() Status {
	status := Status{Reads: s.reads.Load(), Pending: s.pending.Load(), Failing: s.failing.Load()}
	for _, b := range []*batcher{&s.claims, &s.results} {
		b.mu.Lock()
		status.Transactions += b.transactions
		b.mu.Unlock()
	}
	return status
}
