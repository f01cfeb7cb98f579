package storage

import (
	"context"
	"errors"
	"fmt"
)

// Errors of the platform's services.
var (
	// ErrNotFound means that no such item or object is stored.
	ErrNotFound = errors.New("storage: not found")
	// ErrUnavailable means that the service could not be reached or did not accept the request. Nothing was changed,
	// except that a failed ObjectStore.Put may have stored the object.
	ErrUnavailable = errors.New("storage: service unavailable")
	// ErrUnknownOutcome means that a write may or may not have taken effect.
	ErrUnknownOutcome = errors.New("storage: outcome of the write is unknown")
)

// ConflictError reports the first write of a transaction whose condition did not hold.
type ConflictError struct {
	// Index is the position of the write in the transaction.
	Index int
	Key   Key
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("storage: condition of write %d on %s/%s does not hold", e.Index, e.Key.Partition, e.Key.Sort)
}

// TransactOnce applies the writes. After an unknown outcome or a conflict it reads back the item of the first Put: if the
// stored item has the same write id, the transaction took effect and TransactOnce returns nil. The first Put must have a
// unique WriteID. Otherwise it returns the error of Transact, joined with the read's error if the item could not be read.
// ErrUnknownOutcome means that the transaction may still take effect.
func TransactOnce(ctx context.Context, table Table, writes []Write) error {
	err := table.Transact(ctx, writes)
	var conflict *ConflictError
	if !errors.Is(err, ErrUnknownOutcome) && !errors.As(err, &conflict) {
		return err
	}
	// A conflict may be caused by this same transaction if a client library retried it after a lost response.
	applied, readErr := isApplied(ctx, table, writes)
	switch {
	case readErr != nil:
		return errors.Join(err, readErr)
	case applied:
		return nil
	case conflict != nil:
		return conflict
	default:
		return ErrUnknownOutcome
	}
}

// isApplied reports whether the table contains the first of the writes that is a Put with a write id.
func isApplied(ctx context.Context, table Table, writes []Write) (bool, error) {
	for i := range writes {
		write := &writes[i]
		if write.Kind != Put || write.WriteID == "" {
			continue
		}
		item, err := table.Get(ctx, write.Key)
		if errors.Is(err, ErrNotFound) {
			return false, nil
		}
		if err != nil {
			return false, err
		}
		return item.WriteID == write.WriteID, nil
	}
	return false, nil
}
