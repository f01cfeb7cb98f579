package idempotency

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

const (
	// Slots is the number of slots to which operations are hashed.
	Slots = 256
	// Window is the deduplication window: a repeat of an operation is recognised until its id has this age.
	Window = 24 * time.Hour
	// futureAllowance is the maximum time by which the time of an id may be ahead of the owner's wall clock.
	futureAllowance = 2 * time.Second
	// maxClockSkew is the maximum difference between the wall clocks of two hosts that grant claims. Each clock is at most
	// 0.5 s from the median.
	maxClockSkew = time.Second
	// MaxClockOffset is the maximum distance of a host's wall clock from the median of the fleet. Beyond it the host grants
	// no new claims.
	MaxClockOffset = 500 * time.Millisecond
	// expiredRetention is the time for which records are retained after the window, in case the wall clock is set back.
	expiredRetention = time.Minute
)

// Key identifies an operation.
type Key struct {
	Customer settings.CustomerID
	ID       uuid.UUID
}

// ParseID parses the id of an operation, a UUID of version 7 in its canonical form. It returns an *errkind.Error of kind
// errkind.OperationIDInvalid for any other text.
func ParseID(text string) (uuid.UUID, error) {
	const canonicalLength = 36
	if len(text) != canonicalLength {
		return uuid.UUID{}, errkind.New(errkind.OperationIDInvalid, nil)
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return uuid.UUID{}, errkind.New(errkind.OperationIDInvalid, err)
	}
	return id, nil
}

// Time returns the timestamp in the id, in milliseconds.
func (k *Key) Time() time.Time {
	var ms int64
	for _, b := range k.ID[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms).UTC()
}

// Slot returns the slot of the operation.
func (k *Key) Slot() int {
	d := xxhash.New()
	_, _ = d.WriteString(string(k.Customer))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(k.ID[:])
	return int(d.Sum64() % Slots)
}

// AttemptID identifies one attempt to run an operation.
type AttemptID = uuid.UUID

// ClockReading is a reading of the clocks of a host.
type ClockReading struct {
	// Now is the reading of the lease clock.
	Now time.Time
	// Wall and WallAfter are readings of the wall clock before and after Now. The process may pause between the readings.
	// Wall is used where a grant must not appear newer than Now, and WallAfter where the start of an ownership must not
	// appear older than Now.
	Wall, WallAfter time.Time
	// ClockOK is false if the wall clock is too far from the median of the fleet.
	ClockOK bool
}

// Verdict is the kind of a Decision.
type Verdict int

// The verdicts.
const (
	// Granted means that this attempt may run the operation.
	Granted Verdict = iota + 1
	// Replayed means that the operation ran. Decision.Result is its result.
	Replayed
	// Wait means that another attempt runs the operation, until Decision.Until at the latest.
	Wait
	// Rejected means that the operation must not run now. Decision.Kind is the reason.
	Rejected
	// NotOwner means that this host does not serve the operation's slot.
	NotOwner
)

// Decision is the response to a claim.
type Decision struct {
	Verdict Verdict
	Result  *Result
	Until   time.Time
	Kind    errkind.Kind
	// Outcome overrides the outcome of Kind if it is not empty.
	Outcome errkind.Outcome
}

// ClaimRequest asks for the right to run an operation.
type ClaimRequest struct {
	Key         Key
	Fingerprint Fingerprint
	Attempt     AttemptID
	// Remaining is the time left until the deadline of the attempt.
	Remaining time.Duration
	// InTable is true if the claim is also written to the table.
	InTable bool
	// TableSince is the wall time since which all claims of the route are in the table.
	TableSince time.Time
	// Auto is true if the claim may be kept in memory only during an outage of the table. It implies InTable.
	Auto bool
}

type record struct {
	key         Key
	fingerprint Fingerprint
	attempt     AttemptID
	result      Result // its State is the state of the record
	deadline    time.Time
	// version is the last epoch in which the record's owner served its slot before it handed the record over.
	version uint64
	// inTable is true if the claim has a row. Its version is rowVersion, or not known if that is 0.
	inTable    bool
	memoryOnly bool // claimed during an outage of the table and not written since
	rowVersion uint64
	size       int64
	heapIndex  int // position in Ledger.evictable, -1 for running records
}

// Ledger is the state of an owner of slots. It does no I/O, reads no clock, and is not safe for concurrent use.
type Ledger struct {
	self       fleet.Identity
	epoch      uint64
	members    []fleet.Identity
	takeoverAt time.Time
	slots      [Slots]slot
	released   map[fleet.Identity]uint64 // newest epoch in which a member declared that it grants nothing in slots of others
	maxBytes   int64
	usedBytes  int64
	evictable  recordHeap
	running    map[*record]struct{}
	evicted    uint64
}

// NewLedger returns a ledger that evicts records when they exceed limit bytes.
func NewLedger(limit int64) *Ledger {
	l := &Ledger{maxBytes: limit, released: make(map[fleet.Identity]uint64), running: make(map[*record]struct{})}
	for i := range l.slots {
		l.slots[i].records = make(map[Key]*record)
	}
	return l
}

// Claim decides on a claim. A repeated request of the same attempt refers to the same claim.
func (l *Ledger) Claim(t ClockReading, c ClaimRequest) Decision {
	s := &l.slots[c.Key.Slot()]
	if !s.owned || !s.serving {
		return Decision{Verdict: NotOwner}
	}
	defer l.makeRoom(0) // a record that stops running may be evicted
	if r, ok := s.records[c.Key]; ok {
		return l.claimRecorded(t, r, c)
	}
	if rejection := s.checkNew(t, &c.Key); rejection.Verdict != 0 {
		return rejection
	}
	r := &record{key: c.Key, fingerprint: c.Fingerprint, heapIndex: -1}
	if !l.makeRoom(recordBytes) {
		return Decision{Verdict: Rejected, Kind: errkind.Overloaded}
	}
	l.insert(s, r)
	l.grant(t, r, c)
	return Decision{Verdict: Granted}
}

// checkNew decides on an operation without a record. The zero Decision means that it may be granted.
func (s *slot) checkNew(t ClockReading, key *Key) Decision {
	when := key.Time()
	switch {
	case when.Before(t.Wall.Add(-Window)):
		return Decision{Verdict: Rejected, Kind: errkind.OperationIDExpired}
	case !t.ClockOK:
		return Decision{Verdict: Rejected, Kind: errkind.OperationNotOwned}
	case when.After(t.Wall.Add(futureAllowance)):
		rejection := Decision{Verdict: Rejected, Kind: errkind.OperationIDInvalid}
		if !s.provablyNew(key) {
			rejection.Outcome = errkind.Unknown // an owner whose clock is ahead may have granted it
		}
		return rejection
	case !s.provablyNew(key):
		return Decision{Verdict: Rejected, Kind: errkind.OutcomeUnknown}
	}
	return Decision{}
}

// provablyNew reports whether an operation without a record can never have been granted. It relies on the rule that an
// owner grants only ids whose time is at most futureAllowance ahead of its own wall clock.
func (s *slot) provablyNew(key *Key) bool {
	when := key.Time()
	if !s.completeSince.IsZero() && !when.After(s.completeSince.Add(futureAllowance+maxClockSkew)) {
		return false
	}
	return s.evictedThrough.IsZero() || when.After(s.evictedThrough)
}

// claimRecorded decides on an operation that has a record.
func (l *Ledger) claimRecorded(t ClockReading, r *record, c ClaimRequest) Decision {
	l.expire(t, r)
	if r.fingerprint != c.Fingerprint {
		return Decision{Verdict: Rejected, Kind: errkind.OperationMismatch}
	}
	sameAttempt := r.attempt == c.Attempt
	switch r.result.State {
	case Running:
		if sameAttempt {
			return Decision{Verdict: Granted}
		}
		return Decision{Verdict: Wait, Until: r.deadline}
	case Done:
		result := r.result
		return Decision{Verdict: Replayed, Result: &result}
	case NotRun:
		if sameAttempt {
			// A delayed duplicate of a claim that was released. No host would run the operation.
			return Decision{Verdict: Rejected, Kind: errkind.OperationRunning}
		}
		if !t.ClockOK {
			return Decision{Verdict: Rejected, Kind: errkind.OperationNotOwned}
		}
		l.grant(t, r, c)
		return Decision{Verdict: Granted}
	default:
		return Decision{Verdict: Rejected, Kind: errkind.OutcomeUnknown}
	}
}

func (l *Ledger) grant(t ClockReading, r *record, c ClaimRequest) {
	l.setResult(r, Result{State: Running})
	r.attempt, r.inTable, r.rowVersion, r.memoryOnly = c.Attempt, c.InTable, 0, c.Auto && !c.InTable
	r.deadline = t.Now.Add(c.Remaining)
}

// expire turns a running record whose deadline has passed into an unknown one.
func (l *Ledger) expire(t ClockReading, r *record) bool {
	if r.result.State != Running || t.Now.Before(r.deadline) {
		return false
	}
	l.setResult(r, Result{State: Unknown})
	return true
}

// Complete records the result of an attempt. It returns false if this host does not serve the slot. Calls may be repeated
// with the same arguments, and may come after the attempt's deadline.
func (l *Ledger) Complete(t ClockReading, c ClaimRequest, result Result) bool {
	s := &l.slots[c.Key.Slot()]
	if !s.owned || !s.serving {
		return false
	}
	r, ok := s.records[c.Key]
	switch {
	case !ok:
		l.completeNew(t, s, c, result)
	case r.result.State == Unknown && result.State == Done && r.attempt == (AttemptID{}):
		l.setResult(r, result)
		l.makeRoom(0)
	case r.attempt != c.Attempt:
		// The record is of a later attempt, which was granted because this one did not run.
	case r.result.State == Running, r.result.State == Unknown:
		l.setResult(r, result)
		l.makeRoom(0)
	}
	return true
}

// completeNew records a result for an operation without a record. Either the record was lost when an earlier owner failed,
// or a claim is released that has not arrived yet. The state NotRun does not exclude that another attempt ran, so it is
// recorded only if no other attempt can have been granted.
func (l *Ledger) completeNew(t ClockReading, s *slot, c ClaimRequest, result Result) {
	if result.State == NotRun && !s.provablyNew(&c.Key) {
		return
	}
	if c.Key.Time().Before(t.Wall.Add(-Window)) || !l.makeRoom(recordBytes) {
		return
	}
	r := &record{key: c.Key, fingerprint: c.Fingerprint, attempt: c.Attempt, inTable: c.InTable, heapIndex: -1}
	l.insert(s, r)
	l.setResult(r, result)
	l.makeRoom(0)
}
