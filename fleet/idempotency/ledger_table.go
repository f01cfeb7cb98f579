package idempotency

import (
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

// tableBasis is the state in an owner's memory that applies to a claim whose decision depends on the row of the operation.
type tableBasis struct {
	// ownedSince identifies the ownership of the slot.
	ownedSince uint64
	// provablyNotRun is true if it is certain that the operation has not run.
	provablyNotRun bool
	// mustExist is true if the operation was claimed before, and therefore has a row.
	mustExist bool
	// readOnly is true if the operation may have run without a row. Only a known result then decides on the claim.
	readOnly bool
	// notRun is an attempt that did not run, the zero AttemptID if none is known.
	notRun AttemptID
}

// checkTableClaim decides on a claim in the table as far as the records allow. The zero Decision means that the row decides.
func (l *Ledger) checkTableClaim(t ClockReading, c ClaimRequest) (Decision, tableBasis) {
	s := &l.slots[c.Key.Slot()]
	if !s.owned || !s.serving {
		return Decision{Verdict: NotOwner}, tableBasis{}
	}
	basis := tableBasis{ownedSince: s.ownedSince}
	if r, ok := s.records[c.Key]; ok {
		return l.checkKnownTableClaim(t, r, c, basis)
	}
	basis.provablyNotRun = s.provablyNew(&c.Key)
	rejection := s.checkNew(t, &c.Key)
	if rejection.Kind == errkind.OutcomeUnknown {
		return Decision{}, basis
	}
	return rejection, basis
}

// rowsComplete reports whether every earlier claim of the operation must have a row. Claims without a row were granted only
// for ids up to futureAllowance ahead of TableSince, by hosts whose clocks differ by at most maxClockSkew.
func (c *ClaimRequest) rowsComplete() bool {
	return c.TableSince.IsZero() || c.Key.Time().After(c.TableSince.Add(futureAllowance+maxClockSkew))
}

// checkKnownTableClaim is checkTableClaim for an operation that has a record.
func (l *Ledger) checkKnownTableClaim(t ClockReading, r *record, c ClaimRequest, basis tableBasis) (Decision, tableBasis) {
	l.expire(t, r)
	undecided := r.result.State == NotRun || (r.result.State == Unknown && r.inTable)
	if !undecided || r.fingerprint != c.Fingerprint {
		return l.claimRecorded(t, r, c), basis
	}
	if !t.ClockOK {
		return Decision{Verdict: Rejected, Kind: errkind.OperationNotOwned}, basis
	}
	if c.Key.Time().Before(t.Wall.Add(-Window)) {
		return Decision{Verdict: Rejected, Kind: errkind.OperationIDExpired}, basis
	}
	if r.result.State == Unknown {
		basis.mustExist = true
		return Decision{}, basis
	}
	if r.attempt == c.Attempt {
		return l.claimRecorded(t, r, c), basis
	}
	basis.provablyNotRun, basis.notRun = true, r.attempt
	return Decision{}, basis
}

// grantTableClaim decides on a claim whose row this host has written. Unless the decision is Granted, the caller must
// release the row.
func (l *Ledger) grantTableClaim(t ClockReading, c ClaimRequest, basis tableBasis, version uint64) Decision {
	s := &l.slots[c.Key.Slot()]
	if !s.owned || !s.serving || s.ownedSince != basis.ownedSince {
		return Decision{Verdict: NotOwner}
	}
	if c.Remaining <= 0 || !t.ClockOK {
		return Decision{Verdict: Rejected, Kind: errkind.OperationNotOwned}
	}
	r, ok := s.records[c.Key]
	switch {
	case !ok:
		if !l.makeRoom(recordBytes) {
			return Decision{Verdict: Rejected, Kind: errkind.ClaimsUnavailable}
		}
		r = &record{key: c.Key, fingerprint: c.Fingerprint, heapIndex: -1}
		l.insert(s, r)
	case r.result.State == Running, r.result.State == Done, r.fingerprint != c.Fingerprint,
		r.result.State == NotRun && r.attempt == c.Attempt:
		return l.claimRecorded(t, r, c) // the record changed while the row was written
	}
	l.grant(t, r, c)
	r.rowVersion = version
	return Decision{Verdict: Granted}
}

// rowVersion returns the version of the row of an attempt's claim, or 0 if it is not known.
func (l *Ledger) rowVersion(c *ClaimRequest) uint64 {
	if r, ok := l.slots[c.Key.Slot()].records[c.Key]; ok && r.attempt == c.Attempt {
		return r.rowVersion
	}
	return 0
}

// cacheDone adds a record with the result of an operation that was found in the table.
func (l *Ledger) cacheDone(c *ClaimRequest, result Result) {
	s := &l.slots[c.Key.Slot()]
	if _, ok := s.records[c.Key]; ok || !s.serving || !l.makeRoom(recordBytes) {
		return
	}
	r := &record{key: c.Key, fingerprint: c.Fingerprint, inTable: true, heapIndex: -1}
	l.insert(s, r)
	l.setResult(r, result)
	l.makeRoom(0)
}
