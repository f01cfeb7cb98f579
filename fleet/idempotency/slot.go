package idempotency

import (
	"slices"
	"strconv"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// SlotKey returns the key by which the owner of a slot is determined in an epoch.
func SlotKey(slot int) string { return "idempotency/slot/" + strconv.Itoa(slot) }

// Report is the knowledge of an earlier owner about the grants in a slot.
type Report struct {
	// LastEpoch is the last epoch in which the reporter owned the slot.
	LastEpoch uint64
	// Served is true if the reporter granted claims in that epoch.
	Served bool
	// AwaitedEpoch is set if Served is false. It is the epoch whose owner the reporter still waited for.
	AwaitedEpoch uint64
	// CompleteSince is set if Served is true. It is the wall time since which the reporter has learned of every claim; zero is
	// the beginning of time.
	CompleteSince time.Time
}

// slot is the state of a slot in the ledger of its owner, or of an earlier owner that has not handed it over.
//
// There are three ways for an owner to start to serve a slot. In the first epoch it starts at once, because nothing can
// have run before. Later it starts when the owner of the previous epoch has reported that it served the slot: that owner
// knew of all earlier grants when it started. Without such a report some grants may be lost. The owner then starts when
// every other member of the epoch has declared that it grants nothing in the slot, and the leases of all excluded members
// have expired. In that case its records are complete only from the start on.
type slot struct {
	owned   bool
	serving bool
	// ownedSince is the first epoch of the uninterrupted ownership of this host.
	ownedSince uint64
	// lastEpoch is the newest epoch in which this host owned the slot.
	lastEpoch uint64
	// awaitedEpoch is the epoch whose owner must report before this host can start.
	awaitedEpoch  uint64
	completeSince time.Time
	// evictedThrough is the newest id time of an evicted record, zero if none was evicted.
	evictedThrough time.Time
	reports        []Report
	records        map[Key]*record
}

// EnterEpoch switches the ledger to a newer epoch. owns reports whether this host owns a slot in it.
func (l *Ledger) EnterEpoch(t ClockReading, view *fleet.View, owns func(slot int) bool) {
	epoch := &view.Epoch
	if epoch.Number <= l.epoch {
		return
	}
	next := epoch.Number == l.epoch+1 && l.epoch > 0
	l.self, l.epoch, l.takeoverAt = view.Self, epoch.Number, later(l.takeoverAt, view.TakeoverAt)
	if !next && epoch.Number > 1 {
		// Members of the epochs that this host missed may hold leases that are not in the view.
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

// leaseAndMargin is the duration of an activity lease plus the margin for clock drift.
const leaseAndMargin = 2 * time.Second

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// endOwnership ends this host's ownership. Records and reports are retained until they are handed over.
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

func (s *slot) startServing(completeSince time.Time) {
	s.serving = true
	s.completeSince = completeSince
	s.reports = nil
}

// evaluateReports starts to serve the slot if the reports lead without a gap to the last owner that served it. The report
// of an owner that never served the slot refers to the epoch that this owner waited for.
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

// Tick starts to serve slots whose conditions are met, sets attempts whose deadline has passed to Unknown and removes
// expired records. It reports whether a slot started or an attempt ended.
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

// markUnfinishedUnknown sets records without a result to Unknown. They were handed over by owners before the last one,
// which failed and may have granted the operations that are running or not run in these records. Results of operations
// that ran stay valid.
func (l *Ledger) markUnfinishedUnknown(s *slot) {
	for _, r := range s.records {
		if r.result.State != Done {
			l.setResult(r, Result{State: Unknown})
			r.attempt = AttemptID{}
		}
	}
}

// allReleased reports whether every other member has declared, during this host's ownership of the slot, that it grants
// nothing in it.
func (l *Ledger) allReleased(s *slot) bool {
	for _, member := range l.members {
		if member != l.self && l.released[member] < s.ownedSince {
			return false
		}
	}
	return true
}

// Transfer is the state of a slot that an earlier owner sends to the current one.
type Transfer struct {
	Slot           int
	Reports        []Report
	EvictedThrough time.Time
	Records        []TransferredRecord
}

// TransferredRecord is a record in a Transfer.
type TransferredRecord struct {
	Key         Key
	Fingerprint Fingerprint
	Attempt     AttemptID
	Result      Result
	// InTable is true if the claim has a row in the table.
	InTable bool
	// Version is the last epoch in which the record's owner served the slot.
	Version uint64
	// Remaining is the time left until the deadline of a running attempt.
	Remaining time.Duration
}

// Outgoing returns the state of a slot that this host does not own, or false if it has none.
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

// Forget discards the state of a slot after its owner in the given epoch has accepted it.
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

// Accept applies the transfer of a slot from an earlier owner. It returns false if this host does not own the slot or is
// not in the given epoch. Calls may be repeated with the same arguments.
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

// addTransferred adds a transferred record. Before the slot is served, the newest of several versions wins, because an
// earlier owner whose transfer was not acknowledged sends its records again. Afterwards this host's own records are newer.
func (l *Ledger) addTransferred(t ClockReading, s *slot, from *TransferredRecord) {
	if known, ok := s.records[from.Key]; ok {
		if s.serving || known.version >= from.Version {
			return
		}
		l.remove(known)
	} else if s.serving && from.Result.State == NotRun && !s.provablyNew(&from.Key) {
		return // another attempt may have been granted since
	}
	r := &record{
		key: from.Key, fingerprint: from.Fingerprint, attempt: from.Attempt, version: from.Version,
		deadline: t.Now.Add(from.Remaining), inTable: from.InTable, heapIndex: -1,
	}
	l.insert(s, r)
	l.setResult(r, from.Result)
}

// Release records that a member grants nothing in the slots of this host from the given epoch on. It returns false if
// this host is not in that epoch.
func (l *Ledger) Release(member fleet.Identity, epoch uint64) bool {
	if epoch != l.epoch {
		return false
	}
	l.released[member] = max(l.released[member], epoch)
	return true
}
