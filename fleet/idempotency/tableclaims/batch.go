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
	// maxBatchBytes keeps a transaction with large answers below the 4 MiB that the DynamoDB API allows.
	maxBatchBytes = 1 << 20
	// maxConflicts bounds the transactions that one batch needs if many of its rows conflict, since each transaction
	// reports one of them.
	maxConflicts = 8
	// retryDelay is the time before a failed transaction is repeated; one transaction takes about 5 ms.
	retryDelay = 10 * time.Millisecond
)

// errConflict means that the row has to be read before the write is tried again.
var errConflict = errors.New("tableclaims: the row is not in the expected state")

// entry is one write that waits for its transaction.
type entry struct {
	write storage.Write
	done  chan error
}

// batcher puts writes of different rows into common transactions, one transaction at a time.
type batcher struct {
	table storage.Table
	// delay is the time between two transactions, in which writes gather.
	delay time.Duration
	// timeout bounds a transaction.
	timeout time.Duration

	mu           sync.Mutex
	queue        []*entry
	running      bool
	transactions int64
}

// submit writes one row and waits for the result: nil, errConflict, storage.ErrUnavailable if the write has provably
// not been sent, or storage.ErrUnknownOutcome.
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
	return <-e.done // the transaction has a timeout of its own
}

// withdraw takes an entry out of the queue. It reports false if the entry is being written.
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

// stopIfIdle ends the run if no write waits.
func (b *batcher) stopIfIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running = len(b.queue) > 0
	return !b.running
}

// nextBatch removes the next batch from the queue. A second write of a row waits for the next batch.
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
			taken[e.write.Key] = true // writes of a row keep their order
			continue
		}
		batch = append(batch, e)
		taken[e.write.Key] = true
		size += len(e.write.Value)
	}
	b.queue = rest
	return batch
}

// write applies a batch. A row in conflict is left out, and the others are written without it.
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

// transactWithRetry repeats a transaction that failed. The conditions keep it from taking effect twice. DynamoDB also cancels
// a whole transaction if one of its rows is in use by another one at that moment.
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

// transact applies the batch in one transaction. Every error but a conflict and ErrUnavailable is an unknown outcome.
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
