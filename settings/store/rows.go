package store

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/storage"
)

// Keys of the table, and bounds of its rows.
const (
	settingsPartition     = "settings"
	logPartitionPrefix    = "settings/log/"
	auditPartitionPrefix  = "settings/audit/"
	changePartitionPrefix = "settings/change/"
	revisionsPerPartition = 1000
	// revisionDigits is the width to which revisions are padded with zeros, so that sort keys order bytewise by revision.
	revisionDigits = 20
	// maxInlineBytes bounds an encoded record that contains its edits. It leaves the rest of the row's 256 KiB to the other
	// attributes.
	maxInlineBytes = 128 << 10
	// maxAuditValueBytes bounds each old and new value in an audit row, and maxAuditBytes the row.
	maxAuditValueBytes = 4 << 10
	maxAuditBytes      = 192 << 10
)

// HeadKey is the key of the row whose version is the newest revision.
func HeadKey() storage.Key { return storage.Key{Partition: settingsPartition, Sort: "head"} }

func manifestKey() storage.Key { return storage.Key{Partition: settingsPartition, Sort: "manifest"} }

func revisionPartition(prefix string, revision uint64) string {
	return fmt.Sprintf("%s%0*d", prefix, revisionDigits, revision/revisionsPerPartition)
}

func sortKey(revision uint64) string { return fmt.Sprintf("%0*d", revisionDigits, revision) }

func logKey(revision uint64) storage.Key {
	return storage.Key{Partition: revisionPartition(logPartitionPrefix, revision), Sort: sortKey(revision)}
}

func auditKey(revision uint64) storage.Key {
	return storage.Key{Partition: revisionPartition(auditPartitionPrefix, revision), Sort: sortKey(revision)}
}

func changeKey(id string) storage.Key {
	return storage.Key{Partition: changePartitionPrefix + id, Sort: "change"}
}

// Record is one revision in the change log.
type Record struct {
	Revision uint64 `json:"revision"`
	// ID is the change id.
	ID       string    `json:"id"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
	// Base is the revision that the change is based on.
	Base  uint64          `json:"base"`
	Edits []settings.Edit `json:"edits,omitempty"`
	// Object is the name of the object that contains the edits. If it is set, Edits is empty in the row.
	Object string `json:"object,omitzero"`
}

func (r *Record) size() int {
	total := 0
	for i := range r.Edits {
		total += len(r.Edits[i].Path) + len(r.Edits[i].Value)
	}
	return total
}

// changeRow is the row of a change id.
type changeRow struct {
	Revision uint64 `json:"revision"`
	// Digest is a hash of operator and edits. It distinguishes a repeated change from a different one with the same id.
	Digest string `json:"digest"`
}

// AuditEntry lists the effects of one revision. It contains no API key and no hash of one.
type AuditEntry struct {
	Revision uint64            `json:"revision"`
	ID       string            `json:"id"`
	Operator string            `json:"operator"`
	Time     time.Time         `json:"time"`
	Effects  []settings.Effect `json:"effects"`
	// Omitted is the number of further effects that did not fit into the row; the change log contains their edits.
	Omitted int `json:"omitted,omitzero"`
}

// DamagedError reports stored or transferred data that was rejected because it is missing or does not decode, apply or
// validate, or a head that is older than the active revision.
type DamagedError struct {
	// Revision is the revision that can't be reached; 0 if none is known.
	Revision uint64
	// Location is the row, object, snapshot or transfer that was rejected.
	Location string
	Cause    error
}

// Error implements error.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("settings: revision %d in %s rejected: %v", e.Revision, e.Location, e.Cause)
}

// Unwrap returns the cause.
func (e *DamagedError) Unwrap() error { return e.Cause }

// DecodeRecord decodes and checks the value of a row of the change log. Unknown members are errors.
func DecodeRecord(data []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(data, &record, json.RejectUnknownMembers(true)); err != nil {
		return Record{}, err
	}
	switch {
	case record.Revision == 0 || record.ID == "" || record.Operator == "":
		return Record{}, errors.New("record lacks a revision, an id or an operator")
	case (len(record.Edits) == 0) == (record.Object == ""):
		return Record{}, errors.New("record must have either edits or the name of an object")
	}
	return record, nil
}

// decodeRow decodes a log row and, if its edits are stored as an object, reads that object. Errors: *DamagedError, or an
// error of the object store.
func (s *Store) decodeRow(ctx context.Context, item *storage.Item, revision uint64) (Record, error) {
	location := item.Key.Partition + " " + item.Key.Sort
	record, err := DecodeRecord(item.Value)
	if err == nil && (record.Revision != revision || item.Version != revision) {
		err = fmt.Errorf("row contains revision %d and version %d", record.Revision, item.Version)
	}
	if err != nil {
		return Record{}, &DamagedError{Revision: revision, Location: location, Cause: err}
	}
	if record.Object == "" {
		return record, nil
	}
	data, err := s.getObject(ctx, record.Object)
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return Record{}, err
	}
	if err == nil {
		err = verifyObject(record.Object, data)
	}
	if err == nil {
		err = json.Unmarshal(data, &record.Edits, json.RejectUnknownMembers(true))
	}
	if err != nil {
		return Record{}, &DamagedError{Revision: revision, Location: "object " + record.Object, Cause: err}
	}
	record.Object = ""
	return record, nil
}

// objectName returns the prefix followed by the SHA-256 of the content in hexadecimal.
func objectName(prefix string, data []byte) string {
	sum := sha256.Sum256(data)
	return prefix + hex.EncodeToString(sum[:])
}

func verifyObject(name string, data []byte) error {
	if slash := strings.LastIndexByte(name, '/'); objectName(name[:slash+1], data) != name {
		return errors.New("hash of the content differs from the hash in the object's name")
	}
	return nil
}

func digest(operator string, edits []settings.Edit) (string, error) {
	encoded, err := json.Marshal(edits, json.Deterministic(true))
	if err != nil {
		return "", err
	}
	return objectName("", append([]byte(operator+"\n"), encoded...)), nil
}

var hashPattern = regexp.MustCompile(`sha256:[0-9a-fA-F]{64}`)

// encodeAuditEntry returns the value of the audit row of a record. It omits effects beyond maxAuditBytes.
func encodeAuditEntry(record *Record, effects []settings.Effect) ([]byte, error) {
	entry := AuditEntry{Revision: record.Revision, ID: record.ID, Operator: record.Operator, Time: record.Time}
	total := 0
	for i := range effects {
		effect := settings.Effect{Path: effects[i].Path, Old: redact(effects[i].Old), New: redact(effects[i].New)}
		encoded, err := json.Marshal(&effect)
		if err != nil {
			return nil, err
		}
		if total += len(encoded) + 1; total > maxAuditBytes {
			entry.Omitted = len(effects) - i
			break
		}
		entry.Effects = append(entry.Effects, effect)
	}
	return json.Marshal(&entry)
}

// redact returns the value without hashes of API keys. A value of more than maxAuditValueBytes is replaced by its size.
func redact(value []byte) []byte {
	if len(value) > maxAuditValueBytes {
		return fmt.Appendf(nil, `"(%d bytes, see the change log)"`, len(value))
	}
	return hashPattern.ReplaceAll(bytes.Clone(value), []byte("sha256:(not shown)"))
}
