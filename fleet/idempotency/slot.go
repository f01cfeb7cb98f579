package idempotency

import (
	"slices"
	"strconv"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// SlotKey is the key by which the owner of a slot is found in an epoch.
func SlotKey(slot int) string { return "idempotency/slot/" + strconv.Itoa(slot) }

// Report says what an earlier owner of a slot knows about the grants in it.
type Report struct {
	// Through is the last epoch in which the reporter owned the slot.
	LastEpoch uint64
	// Served says whether it granted claims in that epoch.
	Served bool
	// Need is, if it was not served, the epoch whose owner it still waited for.
	AwaitedEpoch uint64
	// VouchedSince is, if it was served, the wall time from which it knows every claim; zero is the beginning of time.
	CompleteSince time.Time
}

// slot is what the ledger knows about a slot, as its owner or as an earlier owner that has not handed it over.
//
// An owner serves a slot in one of three ways. In the first epoch nothing can have run before. Else, it starts when the
// owner of the epoch before has reported that it served the slot, since that one had learnt of all earlier grants when it
// started. Else, some grants may be lost: it starts when every other member of the epoch has declared to grant nothing in
// the slot, and the leases of all excluded members are over, and it vouches from then on only.
type slot struct {
	owned   bool
	serving bool
	// ownedSince is the first epoch of the uninterrupted ownership of this host.
	ownedSince uint64
	// through is the newest epoch in which this host owned the slot.
	lastEpoch uint64
	// need is the epoch whose owner's report lets this host start.
	awaitedEpoch  uint64
	completeSince time.Time
	// evictedTo is the newest id time of an evicted record.
	evictedThrough time.Time
	reports        []Report
	records        map[Key]*record
}

// EnterEpoch tells the ledger a newer epoch. owns tells which slots this host owns in it.
func (l *Ledger) EnterEpoch(t ClockReading, view *fleet.View, owns func(slot int) bool) {
	epoch := &view.Epoch
	if epoch.Number <= l.epoch {
		return
	}
	next := epoch.Number == l.epoch+1 && l.epoch > 0
	l.self, l.epoch, l.takeoverAt = view.Self, epoch.Number, later(l.takeoverAt, view.FreeAt)
	if !next && epoch.Number > 1 {
		// Members of the epochs that this host has not seen may hold leases that the view does not tell of.
		l.takeoverAt = later(l.takeoverAt, t.Now.Add(leaseAndMargin))
	}
	l.members = l.members[:0]
	for i := range epoch.Members {
		l.members = append(l.members, epoch.Members[i].Identity())
	}
	for member := range l.released {
		if !slices.Contains(l.members, member) {
			delete(l.released, member)
		}
	}
	for i := range l.slots {
		owned := owns(i)
		if l.slots[i].owned && (!owned || !next) {
			l.slots[i].endOwnership()
		}
		if owned && !l.slots[i].owned {
			l.slots[i].beginOwnership(epoch.Number)
		}
		if l.slots[i].owned {
			l.slots[i].lastEpoch = epoch.Number
		}
	}
	l.Tick(t)
}

// leaseAndMargin is the duration of an activity lease and the margin for clock drift.
const leaseAndMargin = 2 * time.Second

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// giveUp ends the ownership. Records and reports stay until they are handed over.
func (s *slot) endOwnership() {
	report := Report{LastEpoch: s.lastEpoch, Served: s.serving}
	if s.serving {
		report.CompleteSince = s.completeSince
		for _, r := range s.records {
			r.version = s.lastEpoch
		}
	} else {
		report.AwaitedEpoch = s.awaitedEpoch
	}
	s.reports = append(s.reports, report)
	s.owned, s.serving = false, false
}

func (s *slot) beginOwnership(epoch uint64) {
	s.owned, s.serving = true, false
	s.ownedSince, s.awaitedEpoch = epoch, epoch-1
	if epoch == 1 {
		s.startServing(time.Time{})
	}
}

func (s *slot) startServing(vouchedSince time.Time) {
	s.serving = true
	s.completeSince = vouchedSince
	s.reports = nil
}

// followReports starts the slot if the reports lead without a gap to the last owner that served it. A pending owner
// passes the question on to the owner that it waited for itself.
func (s *slot) evaluateReports() {
	for progress := true; progress && !s.serving; {
		progress = false
		for _, report := range s.reports {
			if report.LastEpoch != s.awaitedEpoch {
				continue
			}
			if report.Served {
				s.startServing(report.CompleteSince)
				return
			}
			if report.AwaitedEpoch < s.awaitedEpoch {
				s.awaitedEpoch, progress = report.AwaitedEpoch, true
				break
			}
		}
	}
}

// Tick starts slots whose conditions have come true, and lets deadlines and expired records pass. It returns true if a
// record or slot changed.
func (l *Ledger) Tick(t ClockReading) bool {
	changed := false
	for i := range l.slots {
		s := &l.slots[i]
		if s.owned && !s.serving {
			s.evaluateReports()
			if !s.serving && l.allReleased(s) && t.ClockOK && !t.Now.Before(l.takeoverAt) {
				l.markUnfinishedUnknown(s)
				s.startServing(t.WallAfter)
			}
			changed = changed || s.serving
		}
	}
	for r := range l.running {
		changed = l.expire(t, r) || changed
	}
	l.makeRoom(0) // a record that stops running may be evicted
	l.dropExpired(t)
	return changed
}

// distrust makes unknown what was handed over by other owners than the last one, which is lost: it may have granted what
// they knew as running or as not run. Results of operations that ran stay true.
func (l *Ledger) markUnfinishedUnknown(s *slot) {
	for _, r := range s.records {
		if r.result.State != Done {
			l.setResult(r, Result{State: Unknown})
			r.attempt = AttemptID{}
		}
	}
}

// allReleased reports whether every other member has declared, within this host's ownership of the slot, to grant
// nothing in it.
func (l *Ledger) allReleased(s *slot) bool {
	for _, member := range l.members {
		if member != l.self && l.released[member] < s.ownedSince {
			return false
		}
	}
	return true
}

// Transfer is what an earlier owner knows about a slot.
type Transfer struct {
	Slot           int
	Reports        []Report
	EvictedThrough time.Time
	Records        []TransferredRecord
}

// TransferredRecord is a record on its way to another owner.
type TransferredRecord struct {
	Key         Key
	Fingerprint Fingerprint
	Attempt     AttemptID
	Result      Result
	// InTable is true if the claim has a row in the table.
	InTable bool
	// Version is the epoch up to which the record's owner served the slot.
	Version uint64
	// Remaining is the time to the deadline of a running attempt.
	Remaining time.Duration
}

// Outgoing returns what this host knows about a slot that it does not own; false if it knows nothing.
func (l *Ledger) Outgoing(t ClockReading, index int) (Transfer, bool) {
	s := &l.slots[index]
	if s.owned || (len(s.reports) == 0 && len(s.records) == 0) {
		return Transfer{}, false
	}
	transfer := Transfer{Slot: index, Reports: slices.Clone(s.reports), EvictedThrough: s.evictedThrough}
	for _, r := range s.records {
		transfer.Records = append(transfer.Records, TransferredRecord{
			Key: r.key, Fingerprint: r.fingerprint, Attempt: r.attempt, Result: r.result, Version: r.version,
			Remaining: r.deadline.Sub(t.Now), InTable: r.inTable,
		})
	}
	return transfer, true
}

// Forget drops what this host knows about a slot that its owner has taken over in the given epoch.
func (l *Ledger) Forget(index int, epoch uint64) {
	s := &l.slots[index]
	if s.owned || l.epoch != epoch {
		return
	}
	for _, r := range s.records {
		l.remove(r)
	}
	s.reports, s.evictedThrough = nil, time.Time{}
}

// Accept takes a slot from an earlier owner. It reports false if this host does not own the slot in the given epoch or
// has another epoch. It may be called again with the same arguments.
func (l *Ledger) Accept(t ClockReading, epoch uint64, transfer *Transfer) bool {
	s := &l.slots[transfer.Slot]
	if epoch != l.epoch || !s.owned {
		return false
	}
	if transfer.EvictedThrough.After(s.evictedThrough) {
		s.evictedThrough = transfer.EvictedThrough
	}
	for i := range transfer.Records {
		l.addTransferred(t, s, &transfer.Records[i])
	}
	if !s.serving {
		for _, report := range transfer.Reports {
			if !slices.Contains(s.reports, report) {
				s.reports = append(s.reports, report)
			}
		}
		s.evaluateReports()
	}
	l.makeRoom(0)
	return true
}

// adopt adds a transferred record. Before the slot is served, the newest of several versions counts, because an earlier
// owner whose transfer was not acknowledged sends its records again. Afterwards this host's own records are newer.
func (l *Ledger) addTransferred(t ClockReading, s *slot, from *TransferredRecord) {
	if known, ok := s.records[from.Key]; ok {
		if s.serving || known.version >= from.Version {
			return
		}
		l.remove(known)
	} else if s.serving && from.Result.State == NotRun && !s.provablyNew(&from.Key) {
		return // it may have been granted again since
	}
	r := &record{
		key: from.Key, fingerprint: from.Fingerprint, attempt: from.Attempt, version: from.Version,
		deadline: t.Now.Add(from.Remaining), inTable: from.InTable, heapIndex: -1,
	}
	l.insert(s, r)
	l.setResult(r, from.Result)
}

// Release notes that a member grants nothing in the slots of this host, as of the given epoch.
func (l *Ledger) Release(member fleet.Identity, epoch uint64) bool {
	if epoch != l.epoch {
		return false
	}
	l.released[member] = max(l.released[member], epoch)
	return true
}
