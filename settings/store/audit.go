package store

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/storage"
)

// AuditFilter selects entries of the audit log. Zero fields select everything.
type AuditFilter struct {
	Operator string
	// Path selects changes of this path, of a path within it, or of a path that contains it.
	Path string
	// Since and Until bound the time of the change, both included.
	Since, Until time.Time
	// Before selects revisions before this one.
	Before uint64
	// Limit is the number of entries. Default 100.
	Limit int
}

const (
	defaultAuditLimit = 100
	// maxAuditReads bounds the table queries of one call of Audit. AuditFilter.Before continues a longer search.
	maxAuditReads = 50
)

// AuditPage is the result of an audit query, the newest entry first.
type AuditPage struct {
	Entries []AuditEntry `json:"entries"`
	// Next is the value of AuditFilter.Before that continues the search. It is 0 after the last entry.
	Next uint64 `json:"next,omitzero"`
}

// Audit searches the audit log from the newest entry to the oldest. Errors: storage.ErrUnavailable, *DamagedError.
func (s *Store) Audit(ctx context.Context, filter AuditFilter) (AuditPage, error) {
	head, err := s.readHead(ctx)
	if err != nil {
		return AuditPage{}, classify(err)
	}
	if filter.Limit <= 0 {
		filter.Limit = defaultAuditLimit
	}
	next := head + 1
	if filter.Before != 0 {
		next = min(next, filter.Before)
	}
	page := AuditPage{Entries: []AuditEntry{}}
	for range maxAuditReads {
		if next <= 1 || len(page.Entries) >= filter.Limit {
			break
		}
		entries, from, err := s.readAudit(ctx, next)
		if err != nil {
			return AuditPage{}, classify(err)
		}
		next = from
		for i := range slices.Backward(entries) {
			if len(page.Entries) == filter.Limit {
				next = entries[i].Revision + 1
				break
			}
			if filter.matches(&entries[i]) {
				page.Entries = append(page.Entries, entries[i])
			}
		}
	}
	if next > 1 {
		page.Next = next
	}
	return page, nil
}

// readAudit returns up to maxRowsPerQuery entries before a revision, all from one partition, and the first revision that it
// searched.
func (s *Store) readAudit(ctx context.Context, before uint64) ([]AuditEntry, uint64, error) {
	last := before - 1
	from := max(last/revisionsPerPartition*revisionsPerPartition, 1)
	if last >= maxRowsPerQuery {
		from = max(from, last-maxRowsPerQuery+1)
	}
	items, err := s.query(ctx, auditKey(last).Partition, sortKey(from-1), int(last-from+1))
	if err != nil {
		return nil, 0, err
	}
	entries := make([]AuditEntry, 0, len(items))
	for i := range items {
		entry, err := decodeAudit(&items[i])
		if err != nil {
			return nil, 0, err
		}
		entries = append(entries, entry)
	}
	return entries, from, nil
}

func decodeAudit(item *storage.Item) (AuditEntry, error) {
	var entry AuditEntry
	err := json.Unmarshal(item.Value, &entry, json.RejectUnknownMembers(true))
	if err == nil && entry.Revision != item.Version {
		err = errors.New("revision in the row differs from the row's version")
	}
	if err != nil {
		return AuditEntry{}, &DamagedError{Revision: item.Version, Location: item.Key.Partition + " " + item.Key.Sort, Cause: err}
	}
	return entry, nil
}

func (f *AuditFilter) matches(entry *AuditEntry) bool {
	switch {
	case f.Operator != "" && entry.Operator != f.Operator:
		return false
	case !f.Since.IsZero() && entry.Time.Before(f.Since):
		return false
	case !f.Until.IsZero() && entry.Time.After(f.Until):
		return false
	case f.Path == "":
		return true
	}
	path := strings.Trim(f.Path, "/")
	return slices.ContainsFunc(entry.Effects, func(effect settings.Effect) bool { return overlaps(effect.Path, path) })
}

// overlaps reports whether the paths are equal or one contains the other.
func overlaps(a, b string) bool {
	return a == b || strings.HasPrefix(a, b+"/") || strings.HasPrefix(b, a+"/")
}
