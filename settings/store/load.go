package store

import (
	"context"
	"errors"
	"fmt"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/storage"
)

// maxRowsPerQuery bounds the rows of a log that are read in one query. Rows of the change log that are read together are
// also validated together.
const maxRowsPerQuery = 200

// Load brings a starting host to the newest revision: it reads the newest snapshot and the change log after it. It returns
// the active tree and revision, also together with an error. Errors: storage.ErrUnavailable if the platform does not
// respond, after which the host can Import from a peer; *DamagedError if stored data was rejected. Load marks a snapshot as
// due if the newest one is two intervals or more behind.
func (s *Store) Load(ctx context.Context) (*settings.Tree, uint64, error) {
	err := s.loadSnapshot(ctx)
	if err != nil {
		s.options.Logger.Warn().Err(err).Msg("settings snapshot could not be loaded")
	}
	if err == nil || isFault(err) {
		err = s.Poll(ctx)
	}
	tree, revision := s.Current()
	if err != nil {
		return tree, revision, classify(err)
	}
	s.mu.Lock()
	s.snapshotDue = s.snapshotDue || revision >= s.manifest.Revision+2*s.options.SnapshotInterval
	s.mu.Unlock()
	return tree, revision, nil
}

// Poll reads the head and, if it is newer than the active revision, applies the changes up to it. It then writes a snapshot
// if one is due for this host. An unchanged head costs one read. Errors: storage.ErrUnavailable;
// *DamagedError if stored data was rejected, in which case the last good revision stays active.
func (s *Store) Poll(ctx context.Context) error {
	head, err := s.readHead(ctx)
	if err != nil {
		return s.recordFault(err)
	}
	if err := s.CatchUp(ctx, head); err != nil {
		return err
	}
	s.snapshotIfDue(ctx)
	return nil
}

// CatchUp reads and applies the changes up to a revision that is known to exist, for example from an acknowledgement of a
// peer. It reads nothing if the active revision is not older. Errors are those of Poll.
func (s *Store) CatchUp(ctx context.Context, revision uint64) error {
	return s.recordFault(s.catchUp(ctx, revision))
}

// recordFault sets the fault of Status if the error is a *DamagedError and clears it if there is no error. It wraps other
// errors in storage.ErrUnavailable.
func (s *Store) recordFault(err error) error {
	switch {
	case err == nil:
		s.setFault("")
	case isFault(err):
		s.setFault(err.Error())
	default:
		err = unavailable(err)
	}
	return err
}

func (s *Store) readHead(ctx context.Context) (uint64, error) {
	item, err := s.get(ctx, HeadKey())
	if errors.Is(err, storage.ErrNotFound) {
		item, err = storage.Item{}, nil
	}
	if err != nil {
		return 0, err
	}
	return item.Version, s.ObserveHead(item.Version)
}

// ObserveHead records a head that the caller has read, for example together with the epoch. It returns a *DamagedError if
// the head is older than the active revision, which means that the table was restored to an older state. The newer revision
// stays active.
func (s *Store) ObserveHead(head uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.polledAt = s.options.Clock.Wall()
	s.head = max(s.head, head)
	if current := s.current.Load().revision; head < current {
		return &DamagedError{Revision: head, Location: "the head row", Cause: fmt.Errorf(
			"head is older than the active revision %d", current)}
	}
	return nil
}

// catchUp reads and applies the changes up to the target. If a row is rejected, it loads a newer snapshot if there is one,
// and continues after it.
func (s *Store) catchUp(ctx context.Context, target uint64) error {
	err := s.applyLog(ctx, target)
	if !isFault(err) {
		return err
	}
	before := s.current.Load().revision
	if snapshotErr := s.loadSnapshot(ctx); snapshotErr != nil || s.current.Load().revision == before {
		return err
	}
	return s.applyLog(ctx, target)
}

// applyLog reads and applies log rows until the target is active or a row can't be read or applied.
func (s *Store) applyLog(ctx context.Context, target uint64) error {
	for {
		active := s.current.Load()
		if active.revision >= target {
			return nil
		}
		records, readErr := s.readLog(ctx, active.revision, target)
		if err := s.advance(records); err != nil {
			return err
		}
		if readErr != nil {
			return readErr
		}
	}
}

// readLog returns up to maxRowsPerQuery records after a revision, without a gap. It returns at least one record or an error.
// With an error it returns the records before the one that could not be read.
func (s *Store) readLog(ctx context.Context, after, target uint64) ([]Record, error) {
	first := logKey(after + 1)
	limit := int(min(target-after, maxRowsPerQuery))
	items, err := s.query(ctx, first.Partition, sortKey(after), limit)
	if err != nil {
		return nil, err
	}
	var records []Record
	for i := range items {
		revision := after + 1 + uint64(i)
		if items[i].Key != logKey(revision) {
			items = items[:i]
			break
		}
		record, err := s.decodeRow(ctx, &items[i], revision)
		if err != nil {
			return records, err
		}
		records = append(records, record)
	}
	if len(items) == 0 {
		return nil, &DamagedError{Revision: after + 1, Location: first.Partition + " " + first.Sort, Cause: errors.New("row is missing")}
	}
	return records, nil
}

// advance applies the records that are newer than the active revision. All records are validated together first, because
// validation takes time in proportion to the tree. If that fails, they are applied one by one up to the last valid revision.
func (s *Store) advance(records []Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	active := s.current.Load()
	for len(records) > 0 && records[0].Revision <= active.revision {
		records = records[1:]
	}
	if len(records) == 0 {
		return nil
	}
	if s.applyRecords(records) == nil {
		return nil
	}
	for i := range records {
		if err := s.applyRecords(records[i : i+1]); err != nil {
			key := logKey(records[i].Revision)
			return &DamagedError{Revision: records[i].Revision, Location: key.Partition + " " + key.Sort, Cause: err}
		}
	}
	return nil
}

// applyRecords applies consecutive records as one step. It must be called with mu held.
func (s *Store) applyRecords(records []Record) error {
	active := s.current.Load()
	if records[0].Revision != active.revision+1 {
		return fmt.Errorf("revision %d does not follow %d", records[0].Revision, active.revision)
	}
	var edits []settings.Edit
	for i := range records {
		edits = append(edits, records[i].Edits...)
	}
	tree, _, err := active.tree.Apply(edits)
	if err != nil {
		return err
	}
	if err := tree.Validate(); err != nil {
		return err
	}
	s.install(tree, records[len(records)-1].Revision, records)
	return nil
}

// recordsAfter returns the records of the revisions base+1 to head, from memory if they are retained.
func (s *Store) recordsAfter(ctx context.Context, base, head uint64) ([]Record, error) {
	if retained, ok := s.retainedAfter(base); ok {
		return retained, nil
	}
	var records []Record
	for base < head {
		batch, err := s.readLog(ctx, base, head)
		if err != nil {
			return nil, err
		}
		records = append(records, batch...)
		base = batch[len(batch)-1].Revision
	}
	return records, nil
}

// retainedAfter returns the records after a revision, and false if not all of them are retained.
func (s *Store) retainedAfter(revision uint64) ([]Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current.Load().revision
	if revision >= current {
		return nil, true
	}
	if len(s.retained) == 0 || s.retained[0].Revision > revision+1 {
		return nil, false
	}
	return s.retained[revision+1-s.retained[0].Revision:], true
}
