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
	// Slots is the number of slots over which operations are spread.
	Slots = 256
	// Window is for how long the repeat of an operation is recognised.
	Window = 24 * time.Hour
	// futureAllowance is how far the time of an id may be ahead of the owner's wall clock.
	futureAllowance = 2 * time.Second
	// clockError is the largest difference between the wall clocks of two hosts that grant claims; each is at most 0.5 s
	// from the median.
	maxClockSkew = time.Second
	// MaxClockOffset is the distance from the median of the fleet at which a host grants no new claims.
	MaxClockOffset = 500 * time.Millisecond
	// keepExpired is for how long records outlive the window, so that a wall clock that is set back finds them.
	expiredRetention = time.Minute
)

// Key identifies an operation.
type Key struct {
	Customer settings.CustomerID
	ID       uuid.UUID
}

// ParseID reads the id of an operation: a UUID of version 7 in its canonical form.
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

// Time is the time that the id carries, in milliseconds.
func (k *Key) Time() time.Time {
	var ms int64
	for _, b := range k.ID[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms).UTC()
}

// Slot is the slot of the operation.
func (k *Key) Slot() int {
	d := xxhash.New()
	_, _ = d.WriteString(string(k.Customer))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(k.ID[:])
	return int(d.Sum64() % Slots)
}

// AttemptID names one attempt to run an operation.
type AttemptID = uuid.UUID

// Moment is a reading of the clocks of a host.
type ClockReading struct {
	// Now is the lease clock.
	Now time.Time
	// Wall is the wall clock, read before Now, and WallAfter the same read after it. A pause of the process between the
	// readings must not make a grant look newer, nor the start of an ownership older, than the lease clock says.
	Wall, WallAfter time.Time
	// ClockOK is false if the wall clock is too far from the median of the fleet.
	ClockOK bool
}

// Verdict is the answer to a claim.
type Verdict int

// The verdicts.
const (
	// Granted means that this attempt may run the operation.
	Granted Verdict = iota + 1
	// Replayed means that the operation ran; the result is in the decision.
	Replayed
	// Wait means that another attempt runs the operation, at the longest until the decision's deadline.
	Wait
	// Refused means that the operation must not run now, for the decision's reason.
	Rejected
	// NotOwner means that this host does not serve the operation's slot.
	NotOwner
)

// Decision answers a claim.
type Decision struct {
	Verdict Verdict
	Result  *Result
	Until   time.Time
	Kind    errkind.Kind
	// Outcome replaces the outcome of Kind if it is not empty.
	Outcome errkind.Outcome
}

// ClaimRequest asks for the right to run an operation.
type ClaimRequest struct {
	Key         Key
	Fingerprint Fingerprint
	Attempt     AttemptID
	// Remaining is the time to the deadline of the attempt.
	Remaining time.Duration
	// InTable is true if the claim is kept in the table too.
	InTable bool
	// TableSince is the wall time since which all claims of the route are in the table.
	TableSince time.Time
	// Auto is true if the claim may be kept in memory only during an outage of the table. InTable is true too.
	Auto bool
}

type record struct {
	key         Key
	fingerprint Fingerprint
	attempt     AttemptID
	result      Result // its State is the state of the record
	deadline    time.Time
	// version is the epoch up to which the record's owner served its slot when it handed the record over.
	version uint64
	// inTable is true if the claim has a row, whose version is rowVersion if it is not 0.
	inTable    bool
	memoryOnly bool // claimed during an outage of the table and not written since
	rowVersion uint64
	size       int64
	heapIndex  int // position among the records that can be evicted, -1 for running ones
}

// Ledger is the state of an owner of slots. It is pure and not safe for concurrent use.
type Ledger struct {
	self       fleet.Identity
	epoch      uint64
	members    []fleet.Identity
	takeoverAt time.Time
	slots      [Slots]slot
	released   map[fleet.Identity]uint64 // newest epoch in which a member declared to grant nothing outside its slots
	maxBytes   int64
	usedBytes  int64 // bytes
	evictable  recordHeap
	running    map[*record]struct{}
	evicted    uint64
}

// NewLedger returns a ledger that keeps at most limit bytes of records.
func NewLedger(limit int64) *Ledger {
	l := &Ledger{maxBytes: limit, released: make(map[fleet.Identity]uint64), running: make(map[*record]struct{})}
	for i := range l.slots {
		l.slots[i].records = make(map[Key]*record)
	}
	return l
}

// Claim decides on a claim. A claim that is asked for again by the same attempt is the same claim.
func (l *Ledger) Claim(t ClockReading, c ClaimRequest) Decision {
	s := &l.slots[c.Key.Slot()]
	if !s.owned || !s.serving {
		return Decision{Verdict: NotOwner}
	}
	defer l.makeRoom(0) // a record that stops running may be evicted
	if r, ok := s.records[c.Key]; ok {
		return l.claimRecorded(t, r, c)
	}
	if refusal := s.checkNew(t, &c.Key); refusal.Verdict != 0 {
		return refusal
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
		refusal := Decision{Verdict: Rejected, Kind: errkind.OperationIDInvalid}
		if !s.provablyNew(key) {
			refusal.Outcome = errkind.Unknown // an owner whose clock is ahead may have granted it
		}
		return refusal
	case !s.provablyNew(key):
		return Decision{Verdict: Rejected, Kind: errkind.OutcomeUnknown}
	}
	return Decision{}
}

// provablyNew reports whether no claim of an operation without a record can ever have been granted: an earlier owner
// granted only ids up to futureAllowance ahead of its own wall clock.
func (s *slot) provablyNew(key *Key) bool {
	when := key.Time()
	if !s.completeSince.IsZero() && !when.After(s.completeSince.Add(futureAllowance+maxClockSkew)) {
		return false
	}
	return s.evictedThrough.IsZero() || when.After(s.evictedThrough)
}

func (l *Ledger) claimRecorded(t ClockReading, r *record, c ClaimRequest) Decision {
	l.expire(t, r)
	if r.fingerprint != c.Fingerprint {
		return Decision{Verdict: Rejected, Kind: errkind.OperationMismatch}
	}
	same := r.attempt == c.Attempt
	switch r.result.State {
	case Running:
		if same {
			return Decision{Verdict: Granted}
		}
		return Decision{Verdict: Wait, Until: r.deadline}
	case Done:
		result := r.result
		return Decision{Verdict: Replayed, Result: &result}
	case NotRun:
		if same {
			// A late copy of a claim that was given back. Nobody would run it.
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

// Complete takes the result of an attempt. It reports false if this host does not own the slot. It may be called again
// with the same arguments, and after the attempt's deadline.
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
		// The record belongs to a later attempt, which was granted because this one did not run.
	case r.result.State == Running, r.result.State == Unknown:
		l.setResult(r, result)
		l.makeRoom(0)
	}
	return true
}

// completeNew takes a result for an operation without a record: the record was lost with an earlier owner, or a claim is
// given back that has not arrived yet. That an attempt did not run says nothing about others, so it is kept only where
// no other attempt can have been granted.
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
