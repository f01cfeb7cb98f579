package store

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"strings"

	"github.com/go-json-experiment/json"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/storage"
)

// Change is a change of the settings that an operator requests.
type Change struct {
	// ID identifies the change when it is repeated. The operator's program chooses it at random. It must satisfy
	// settings.IsName.
	ID       string
	Operator string
	// Base is the revision that the change is based on. 0 is the empty tree.
	Base  uint64
	Edits []settings.Edit
}

// Limits of a change.
const (
	MaxEdits = 20_000
	// maxAttempts bounds the transactions of one call of Apply. Concurrent changes of other hosts and lost responses require
	// further attempts.
	maxAttempts = 8
	// maxBaseAge bounds the number of log rows that are read to find conflicts: two days of changes at the design target.
	maxBaseAge = 10_000
)

// ErrBadChange means that the change lacks a valid id or edits, that the operator's name is missing or too long, that there
// are too many edits, or that the base revision does not exist or is too old.
var ErrBadChange = errors.New("settings: malformed change")

// ErrChangeIDReused means that the change id was used before with a different operator or different edits.
var ErrChangeIDReused = errors.New("settings: change id was already used for a different change")

// ErrOutcomeUnknown means that the change may have been made. Repeating it with the same change id resolves the outcome.
var ErrOutcomeUnknown = errors.New("settings: outcome unknown, the change may have been made; repeat it with the same change id")

// ConflictError reports that paths of a change overlap with paths that were changed after its base revision.
type ConflictError struct {
	Base, Head uint64
	Changes    []ConflictingChange
}

// ConflictingChange is a change after the base revision, with those of its paths that overlap with the rejected change.
type ConflictingChange struct {
	Revision uint64   `json:"revision"`
	Operator string   `json:"operator"`
	Time     string   `json:"time"`
	Paths    []string `json:"paths"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "settings: conflict: since revision %d", e.Base)
	for i := range e.Changes {
		change := &e.Changes[i]
		fmt.Fprintf(&text, "; %s changed %s at %s (revision %d)",
			change.Operator, strings.Join(change.Paths, ", "), change.Time, change.Revision)
	}
	return text.String()
}

// Apply makes a change and returns its revision. Repeating a change that was made returns the revision of the first call.
//
// Errors: ErrBadChange, *settings.InvalidError, *ConflictError, ErrChangeIDReused and storage.ErrUnavailable mean that
// nothing was changed. *DamagedError means that nothing was changed because this host can't read or apply the stored data.
// ErrOutcomeUnknown means that the change may have been made. The returned error can wrap one of the others as well;
// ErrOutcomeUnknown then takes precedence.
func (s *Store) Apply(ctx context.Context, change Change) (uint64, error) {
	if err := checkChange(&change); err != nil {
		return 0, err
	}
	select {
	case s.applySemaphore <- struct{}{}:
		defer func() { <-s.applySemaphore }()
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: call ended while waiting for another change through this host", storage.ErrUnavailable)
	}
	call := applyCall{store: s, change: &change}
	revision, err := call.run(ctx)
	if err != nil && call.inDoubt && !call.provesNotApplied(err) {
		return 0, errors.Join(ErrOutcomeUnknown, err)
	}
	return revision, err
}

func checkChange(change *Change) error {
	switch {
	case !settings.IsName(change.ID):
		return fmt.Errorf("%w: change id %q must consist of 1 to %d letters, digits, \".\", \"_\" and \"-\"",
			ErrBadChange, change.ID, settings.MaxNameBytes)
	case change.Operator == "" || len(change.Operator) > settings.MaxNameBytes:
		return fmt.Errorf("%w: name of the operator is missing or too long", ErrBadChange)
	case len(change.Edits) == 0 || len(change.Edits) > MaxEdits:
		return fmt.Errorf("%w: it must have 1 to %d edits, got %d", ErrBadChange, MaxEdits, len(change.Edits))
	}
	return nil
}

// applyCall is the state of one call of Apply.
type applyCall struct {
	store  *Store
	change *Change
	// inDoubt is true once the outcome of a transaction of this call was unknown.
	inDoubt bool
}

// provesNotApplied reports whether the error proves that no in-doubt transaction of this call has taken effect or still
// can. Only ErrChangeIDReused does, because it comes from the row of the change id.
func (a *applyCall) provesNotApplied(err error) bool { return errors.Is(err, ErrChangeIDReused) }

func (a *applyCall) run(ctx context.Context) (uint64, error) {
	var err error
	for range maxAttempts {
		var revision uint64
		var done bool
		revision, done, err = a.earlierResult(ctx)
		if done || err != nil {
			return revision, err
		}
		revision, done, err = a.attempt(ctx)
		if done {
			return revision, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return 0, fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
}

// earlierResult reads the row of the change id. It returns the revision and true if an earlier attempt or call made this
// change, and ErrChangeIDReused if the row belongs to a different change.
func (a *applyCall) earlierResult(ctx context.Context) (uint64, bool, error) {
	item, err := a.store.get(ctx, changeKey(a.change.ID))
	if errors.Is(err, storage.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, unavailable(err)
	}
	var row changeRow
	if err := json.Unmarshal(item.Value, &row, json.RejectUnknownMembers(true)); err != nil {
		return 0, false, &DamagedError{Location: "the row of change id " + a.change.ID, Cause: err}
	}
	sum, err := digest(a.change.Operator, a.change.Edits)
	if err != nil {
		return 0, false, err
	}
	if row.Digest != sum {
		return 0, false, ErrChangeIDReused
	}
	if err := a.store.CatchUp(ctx, row.Revision); err != nil {
		a.store.options.Logger.Warn().Err(err).Uint64("revision", row.Revision).
			Msg("accepted settings change could not be applied on this host yet")
	}
	return row.Revision, true, nil
}

// unavailable wraps an error in storage.ErrUnavailable, which means that nothing was changed.
func unavailable(err error) error {
	if errors.Is(err, storage.ErrUnavailable) {
		return err
	}
	return fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
}

// attempt checks the change against the active settings and makes one transaction. It returns done == false if another
// attempt may succeed.
func (a *applyCall) attempt(ctx context.Context) (revision uint64, done bool, err error) {
	active := a.store.current.Load()
	if a.change.Base > active.revision {
		if err := a.store.Poll(ctx); err != nil {
			return 0, true, classify(err)
		}
		if active = a.store.current.Load(); a.change.Base > active.revision {
			return 0, true, fmt.Errorf("%w: base revision %d is newer than the newest revision %d",
				ErrBadChange, a.change.Base, active.revision)
		}
	}
	if err := a.store.conflicts(ctx, a.change, active.revision); err != nil {
		return 0, true, a.refreshConflict(ctx, active, err)
	}
	tree, effects, err := active.tree.Apply(a.change.Edits)
	if err == nil {
		err = tree.Validate()
	}
	if err != nil {
		return 0, a.upToDate(ctx, active), err
	}
	record := a.newRecord(active.revision + 1)
	writes, err := a.store.buildWrites(ctx, &record, effects)
	if err != nil {
		return 0, true, err
	}
	return a.transact(ctx, writes, tree, record)
}

// classify returns a *DamagedError as it is and wraps any other error in storage.ErrUnavailable.
func classify(err error) error {
	if isFault(err) {
		return err
	}
	return unavailable(err)
}

// refreshConflict polls and returns the error. If there are newer revisions, it checks a conflict again, so that the error
// lists all conflicting changes.
func (a *applyCall) refreshConflict(ctx context.Context, seen *activeSettings, err error) error {
	var conflict *ConflictError
	if !errors.As(err, &conflict) || a.upToDate(ctx, seen) {
		return err
	}
	return a.store.conflicts(ctx, a.change, a.store.current.Load().revision)
}

// upToDate polls and reports whether the seen settings are still active. A failed poll counts as up to date.
func (a *applyCall) upToDate(ctx context.Context, seen *activeSettings) bool {
	err := a.store.Poll(ctx)
	return err != nil || a.store.current.Load().revision == seen.revision
}

func (a *applyCall) newRecord(revision uint64) Record {
	return Record{
		Revision: revision, ID: a.change.ID, Operator: a.change.Operator, Time: a.store.options.Clock.Wall().UTC(),
		Base: a.change.Base, Edits: a.change.Edits,
	}
}

// transact writes the change and activates it. It returns true if the outcome is known and another attempt is pointless.
func (a *applyCall) transact(ctx context.Context, writes []storage.Write, tree *settings.Tree, record Record) (uint64, bool, error) {
	s := a.store
	callCtx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	err := storage.TransactOnce(callCtx, s.options.Table, writes)
	var conflict *storage.ConflictError
	switch {
	case err == nil:
		s.installCommitted(tree, record)
		return record.Revision, true, nil
	case errors.As(err, &conflict):
		// Another host made a change first, or an earlier attempt with this change id took effect.
		if pollErr := s.Poll(ctx); pollErr != nil {
			return 0, true, classify(pollErr)
		}
		return 0, false, err
	case errors.Is(err, storage.ErrUnavailable) && !errors.Is(err, storage.ErrUnknownOutcome):
		return 0, true, err
	default:
		a.inDoubt = true
		return 0, false, err
	}
}

// installCommitted activates a change that this host has made, unless a newer revision is already active.
func (s *Store) installCommitted(tree *settings.Tree, record Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.install(tree, record.Revision, []Record{record})
	if record.Revision%s.options.SnapshotInterval == 0 {
		s.snapshotDue = true
	}
}

// buildWrites returns the writes of the transaction. The row of the change id goes first, because storage.TransactOnce
// reads the first row back and this row is never overwritten. The head may be overwritten by a later change, which would
// cost another attempt.
func (s *Store) buildWrites(ctx context.Context, record *Record, effects []settings.Effect) ([]storage.Write, error) {
	sum, err := digest(record.Operator, record.Edits)
	if err != nil {
		return nil, err
	}
	change, err := json.Marshal(&changeRow{Revision: record.Revision, Digest: sum})
	if err != nil {
		return nil, err
	}
	audit, err := encodeAuditEntry(record, effects)
	if err != nil {
		return nil, err
	}
	log, err := s.encodeRecord(ctx, *record)
	if err != nil {
		return nil, err
	}
	writeID, absent := rand.Text(), storage.Condition{Kind: storage.Absent}
	headCondition := absent
	if record.Revision > 1 {
		headCondition = storage.Condition{Kind: storage.VersionIs, Version: record.Revision - 1}
	}
	put := func(key storage.Key, value []byte, condition storage.Condition) storage.Write {
		return storage.Write{
			Kind: storage.Put, Key: key, Value: value, Version: record.Revision, WriteID: writeID, Condition: condition,
		}
	}
	return []storage.Write{
		put(changeKey(record.ID), change, absent),
		put(HeadKey(), nil, headCondition),
		put(logKey(record.Revision), log, absent),
		put(auditKey(record.Revision), audit, absent),
	}, nil
}

// encodeRecord returns the value of the log row. It first stores the edits as an object if they are too large for the row.
// An object without a row is harmless.
func (s *Store) encodeRecord(ctx context.Context, record Record) ([]byte, error) {
	encoded, err := json.Marshal(&record)
	if err != nil || len(encoded) <= maxInlineBytes {
		return encoded, err
	}
	edits, err := json.Marshal(record.Edits)
	if err != nil {
		return nil, err
	}
	record.Object = objectName("settings/edits/", edits)
	record.Edits = nil
	if err := s.putObject(ctx, record.Object, edits); err != nil {
		return nil, unavailable(err)
	}
	return json.Marshal(&record)
}

// conflicts returns a *ConflictError if a change after the base overlaps with the paths of the change.
func (s *Store) conflicts(ctx context.Context, change *Change, head uint64) error {
	if change.Base >= head {
		return nil
	}
	if head-change.Base > maxBaseAge {
		return fmt.Errorf("%w: base revision %d is more than %d revisions behind the newest revision %d; read the settings again",
			ErrBadChange, change.Base, maxBaseAge, head)
	}
	records, err := s.recordsAfter(ctx, change.Base, head)
	if err != nil {
		return classify(err)
	}
	conflict := &ConflictError{Base: change.Base, Head: head}
	for i := range records {
		if paths := overlappingPaths(records[i].Edits, change.Edits); len(paths) > 0 {
			conflict.Changes = append(conflict.Changes, ConflictingChange{
				Revision: records[i].Revision, Operator: records[i].Operator, Paths: paths,
				Time: records[i].Time.UTC().Format("2006-01-02T15:04:05Z"),
			})
		}
	}
	if len(conflict.Changes) == 0 {
		return nil
	}
	return conflict
}

// overlappingPaths returns the paths of the earlier edits that equal, contain or lie within a path of the requested edits.
func overlappingPaths(earlier, requested []settings.Edit) []string {
	exact, ancestors := make(map[string]bool, len(requested)), make(map[string]bool, len(requested))
	for i := range requested {
		exact[requested[i].Path] = true
		for path := range settings.Ancestors(requested[i].Path) {
			ancestors[path] = true
		}
	}
	var paths []string
	for i := range earlier {
		path := earlier[i].Path
		overlaps := exact[path] || ancestors[path]
		for ancestor := range settings.Ancestors(path) {
			overlaps = overlaps || exact[ancestor]
		}
		if overlaps {
			paths = append(paths, path)
		}
	}
	return paths
}
