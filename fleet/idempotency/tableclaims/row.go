package tableclaims

import (
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/fleet/idempotency/idempotencypb"
	"github.com/bronzeyard/bronzeyard/storage"
)

var errMalformedRow = errors.New("tableclaims: malformed row")

// Key identifies the row of an operation.
type Key struct {
	// Slot is the operation's slot. Each slot is one partition of the table.
	Slot     int
	Customer string
	// ID is a UUID of version 7. The rows of a partition are therefore sorted by the times of their ids.
	ID uuid.UUID
}

func partition(slot int) string { return "claims/" + strconv.Itoa(slot) }

func (k *Key) row() storage.Key {
	return storage.Key{Partition: partition(k.Slot), Sort: hex.EncodeToString(k.ID[:]) + "/" + k.Customer}
}

// Row is the state of an operation in the table.
type Row struct {
	Fingerprint [32]byte
	// Attempt is the last attempt that claimed the operation. It is the zero UUID if the owner released a claim that it had
	// not granted.
	Attempt uuid.UUID
	// Result holds the state of the operation and, once it ran, its response.
	Result *idempotencypb.Result
	// Deadline is the wall time at which the attempt ends.
	Deadline time.Time
	// IDTime is the time of the operation's id.
	IDTime time.Time
	// Version and WriteID are those of the stored item.
	Version uint64
	WriteID string
}

// State returns the state of the operation.
func (r *Row) State() idempotencypb.State { return r.Result.GetState() }

// encode returns the value of the row. A response that does not fit into an item is stored without its body, and without
// its headers and trailers too if that is not enough.
func (r *Row) encode() ([]byte, error) {
	value, err := r.marshal(r.Result)
	if err != nil || len(value) <= storage.MaxValueBytes {
		return value, err
	}
	short := proto.CloneOf(r.Result)
	short.Body, short.BodyLost = nil, true
	if value, err = r.marshal(short); err != nil || len(value) <= storage.MaxValueBytes {
		return value, err
	}
	short.Header, short.Trailer = nil, nil
	return r.marshal(short)
}

func (r *Row) marshal(result *idempotencypb.Result) ([]byte, error) {
	m := &idempotencypb.ClaimRow{
		Fingerprint: r.Fingerprint[:], Result: result, DeadlineNs: r.Deadline.UnixNano(), IdTimeMs: r.IDTime.UnixMilli(),
	}
	if r.Attempt != (uuid.UUID{}) {
		m.Attempt = r.Attempt[:]
	}
	return proto.Marshal(m)
}

func decode(item *storage.Item) (*Row, error) {
	m := &idempotencypb.ClaimRow{}
	if err := proto.Unmarshal(item.Value, m); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedRow, err)
	}
	row := &Row{
		Result: m.GetResult(), Deadline: time.Unix(0, m.GetDeadlineNs()).UTC(), IDTime: time.UnixMilli(m.GetIdTimeMs()).UTC(),
		Version: item.Version, WriteID: item.WriteID,
	}
	if len(m.GetFingerprint()) != len(row.Fingerprint) || row.State() == idempotencypb.State_STATE_UNSPECIFIED {
		return nil, errMalformedRow
	}
	row.Fingerprint = [32]byte(m.GetFingerprint())
	if len(m.GetAttempt()) == len(row.Attempt) {
		row.Attempt = uuid.UUID(m.GetAttempt())
	}
	return row, nil
}

// newVersion returns a random version. It is practically certain that no other write has the same one.
func newVersion() uint64 { return rand.Uint64()>>1 | 1 }

// put returns a write that stores the row on condition that base is still stored, or that no row is stored if base is nil.
func (r *Row) put(key *Key, base *Row) (storage.Write, error) {
	value, err := r.encode()
	write := storage.Write{
		Kind: storage.Put, Key: key.row(), Value: value, Version: r.Version, WriteID: r.WriteID,
		Condition: storage.Condition{Kind: storage.Absent},
	}
	if base != nil {
		write.Condition = storage.Condition{Kind: storage.VersionIs, Version: base.Version}
	}
	return write, err
}
