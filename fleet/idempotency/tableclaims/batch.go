package tableclaims

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/storage"
)

const (
	// maxBatchBytes keeps a transaction with large responses below the 4 MiB that the DynamoDB API allows.
	maxBatchBytes = 1 << 20
	// maxConflicts is the maximum number of transactions for one batch with conflicting rows. Each transaction reports only
	// one of them.
	maxConflicts = 8
	// retryDelay is the delay before a failed transaction is repeated. One transaction takes about 5 ms.
	retryDelay = 10 * time.Millisecond
)

// errConflict means that the row has to be read before the write is retried.
var errConflict = errors.New("tableclaims: row is not in the expected state")

// entry is one write that waits for its transaction.
type entry struct {
	write storage.Write
	done  chan error
}

// batcher combines writes of different rows into transactions. It runs one transaction at a time.
type batcher struct {
	table storage.Table
	// delay is the time before each transaction in which writes are collected.
	delay time.Duration
	// timeout is the timeout of one transaction.
	timeout time.Duration

	mu           sync.Mutex
	queue        []*entry
	running      bool
	transactions int64
}

// submit writes one row and waits for the result. The error is errConflict, storage.ErrUnavailable if the write has
// certainly not taken effect, or storage.ErrUnknownOutcome.
func (b *batcher) submit(ctx context.Context, write storage.Write) error {
	e := &entry{write: write, done: make(chan error, 1)}
	b.mu.Lock()
	b.queue = append(b.queue, e)
	if !b.running {
		b.running = true
		go b.run()
	}
	b.mu.Unlock()
	select {
	case err := <-e.done:
		return err
	case <-ctx.Done():
	}
	if b.withdraw(e) {
		return fmt.Errorf("%w: %w", storage.ErrUnavailable, ctx.Err())
	}
	return <-e.done // the transaction has its own timeout
}

// withdraw removes an entry from the queue. It returns false if the entry is already being written.
func (b *batcher) withdraw(e *entry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.queue, e)
	if i < 0 {
		return false
	}
	b.queue = slices.Delete(b.queue, i, i+1)
	return true
}

func (b *batcher) run() {
	for {
		time.Sleep(b.delay)
		b.write(b.nextBatch())
		if b.stopIfIdle() {
			return
		}
	}
}

// stopIfIdle marks the batcher as not running if the queue is empty. It reports whether it did.
func (b *batcher) stopIfIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running = len(b.queue) > 0
	return !b.running
}

// nextBatch removes the next batch from the queue. A second write of the same row waits for a later batch.
func (b *batcher) nextBatch() []*entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, rest []*entry
	taken := make(map[storage.Key]bool)
	size := 0
	for _, e := range b.queue {
		fits := len(batch) < storage.MaxWritesInTransaction && (len(batch) == 0 || size+len(e.write.Value) <= maxBatchBytes)
		if !fits || taken[e.write.Key] {
			rest = append(rest, e)
			taken[e.write.Key] = true // keeps the order of the writes of a row
			continue
		}
		batch = append(batch, e)
		taken[e.write.Key] = true
		size += len(e.write.Value)
	}
	b.queue = rest
	return batch
}

// write applies a batch. A conflicting row is removed from the batch, and the others are written without it.
func (b *batcher) write(batch []*entry) {
	for range maxConflicts {
		if len(batch) == 0 {
			return
		}
		err := b.transactWithRetry(batch)
		var conflict *storage.ConflictError
		if !errors.As(err, &conflict) || conflict.Index < 0 || conflict.Index >= len(batch) {
			finish(batch, err)
			return
		}
		batch[conflict.Index].done <- errConflict
		batch = slices.Delete(batch, conflict.Index, conflict.Index+1)
	}
	finish(batch, errConflict)
}

func finish(batch []*entry, err error) {
	for _, e := range batch {
		e.done <- err
	}
}

// transactWithRetry applies the batch and retries once after storage.ErrUnavailable or storage.ErrUnknownOutcome. The
// conditions of the writes prevent that both transactions take effect. One cause of a failure is that DynamoDB cancels a
// whole transaction if another one uses one of its rows at that moment.
func (b *batcher) transactWithRetry(batch []*entry) error {
	first := b.transact(batch)
	inDoubt := errors.Is(first, storage.ErrUnknownOutcome)
	if !inDoubt && !errors.Is(first, storage.ErrUnavailable) {
		return first
	}
	time.Sleep(retryDelay)
	second := b.transact(batch)
	if inDoubt && errors.Is(second, storage.ErrUnavailable) {
		return fmt.Errorf("%w: %w", storage.ErrUnknownOutcome, second) // of the first transaction
	}
	return second
}

// transact applies the batch in one transaction. Errors other than a conflict and storage.ErrUnavailable are returned as
// storage.ErrUnknownOutcome.
func (b *batcher) transact(batch []*entry) error {
	writes := make([]storage.Write, len(batch))
	for i, e := range batch {
		writes[i] = e.write
	}
	b.mu.Lock()
	b.transactions++
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
	defer cancel()
	err := storage.TransactOnce(ctx, b.table, writes)
	var conflict *storage.ConflictError
	known := err == nil || errors.As(err, &conflict) || errors.Is(err, storage.ErrUnknownOutcome) ||
		errors.Is(err, storage.ErrUnavailable)
	if known {
		return err
	}
	return fmt.Errorf("%w: %w", storage.ErrUnknownOutcome, err)
}
