package tableclaims

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/fleet/idempotency/idempotencypb"
	"github.com/bronzeyard/bronzeyard/storage"
)

// ErrLeaseChanged means that the row of a lease does not have the expected version.
var ErrLeaseChanged = errors.New("tableclaims: row of the lease does not have the expected version")

// leasePageSize is the number of leases that are read by one query.
const leasePageSize = 100

// Lease is the commitment of a host incarnation to grant no memory-only claims before a wall time.
type Lease struct {
	// Host identifies the incarnation.
	Host string
	// Until is the wall time before which the host grants no memory-only claims.
	Until time.Time
	// GapEnd is the last wall time at which the host may have granted memory-only claims, zero if it never did.
	GapEnd time.Time
	// Epoch is the host's epoch when it wrote the row.
	Epoch uint64
	// Closed is true for an excluded host, which grants nothing any more.
	Closed bool
	// Version is the version of the row, or 0 for a lease that is not stored yet.
	Version uint64
}

func leasePartition(cell string) string { return "claim-leases/" + cell }

// Leases returns the leases of all hosts of a cell.
func (s *Store) Leases(ctx context.Context, cell string) ([]Lease, error) {
	var leases []Lease
	for after := ""; ; after = leases[len(leases)-1].Host {
		items, err := s.leasePage(ctx, cell, after)
		if err != nil {
			return nil, err
		}
		for i := range items {
			lease, err := decodeLease(&items[i])
			if err != nil {
				return nil, err
			}
			leases = append(leases, lease)
		}
		if len(items) < leasePageSize {
			return leases, nil
		}
	}
}

func (s *Store) leasePage(ctx context.Context, cell, after string) ([]storage.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()
	s.reads.Add(1)
	return s.options.Table.Query(ctx, leasePartition(cell), after, leasePageSize)
}

// Lease returns the lease of one host, or storage.ErrNotFound.
func (s *Store) Lease(ctx context.Context, cell, host string) (Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()
	s.reads.Add(1)
	item, err := s.options.Table.Get(ctx, storage.Key{Partition: leasePartition(cell), Sort: host})
	if err != nil {
		return Lease{}, err
	}
	return decodeLease(&item)
}

func decodeLease(item *storage.Item) (Lease, error) {
	m := &idempotencypb.ClaimLease{}
	if err := proto.Unmarshal(item.Value, m); err != nil {
		return Lease{}, fmt.Errorf("%w: %w", errMalformedRow, err)
	}
	return Lease{
		Host: item.Key.Sort, Until: fromNano(m.GetUntilNs()), GapEnd: fromNano(m.GetGapEndNs()), Epoch: m.GetEpoch(),
		Closed: m.GetClosed(), Version: item.Version,
	}, nil
}

// PutLease replaces the row of a lease and sets lease.Version to the new version. The error is ErrLeaseChanged,
// storage.ErrUnavailable if nothing was written, or storage.ErrUnknownOutcome.
func (s *Store) PutLease(ctx context.Context, cell string, lease *Lease) error {
	value, err := proto.Marshal(&idempotencypb.ClaimLease{
		UntilNs: toNano(lease.Until), GapEndNs: toNano(lease.GapEnd), Epoch: lease.Epoch, Closed: lease.Closed,
	})
	if err != nil {
		return err
	}
	write := storage.Write{
		Kind: storage.Put, Key: storage.Key{Partition: leasePartition(cell), Sort: lease.Host}, Value: value,
		Version: newVersion(), WriteID: uuid.NewString(), Condition: leaseCondition(lease),
	}
	if err := s.transactLease(ctx, write); err != nil {
		return err
	}
	lease.Version = write.Version
	return nil
}

// DeleteLease deletes the row of a lease. It returns the same errors as PutLease.
func (s *Store) DeleteLease(ctx context.Context, cell string, lease *Lease) error {
	key := storage.Key{Partition: leasePartition(cell), Sort: lease.Host}
	return s.transactLease(ctx, storage.Write{Kind: storage.Delete, Key: key, Condition: leaseCondition(lease)})
}

func leaseCondition(lease *Lease) storage.Condition {
	if lease.Version == 0 {
		return storage.Condition{Kind: storage.Absent}
	}
	return storage.Condition{Kind: storage.VersionIs, Version: lease.Version}
}

func (s *Store) transactLease(ctx context.Context, write storage.Write) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()
	err := storage.TransactOnce(ctx, s.options.Table, []storage.Write{write})
	var conflict *storage.ConflictError
	switch {
	case errors.As(err, &conflict) && errors.Is(err, storage.ErrUnavailable):
		return fmt.Errorf("%w: %w", storage.ErrUnknownOutcome, err) // the conflict may be with this write itself
	case errors.As(err, &conflict):
		return ErrLeaseChanged
	case err == nil, errors.Is(err, storage.ErrUnknownOutcome), errors.Is(err, storage.ErrUnavailable):
		return err
	default:
		return fmt.Errorf("%w: %w", storage.ErrUnknownOutcome, err)
	}
}

func toNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromNano(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns).UTC()
}
