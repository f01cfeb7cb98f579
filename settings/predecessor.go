package settings

import "time"

// Predecessor is what is known of the processes that were listed under the ID of an upstream before its present one.
type Predecessor struct {
	// ListedAt is the start of the newest read that listed one of them; zero if none did.
	ListedAt time.Time
	// ReadSince is the start of the first of the reads that followed each other without a gap until ListedAt.
	ReadSince time.Time
}

// RanAt reports whether a predecessor is known to have still run at a time. lifetime is the longest time for which a process that has ended
// is listed while the list is read without a gap.
func (p Predecessor) RanAt(at time.Time, lifetime time.Duration) bool {
	if p.ListedAt.IsZero() {
		return false
	}
	if p.ReadSince.After(at) {
		at = p.ReadSince
	}
	return p.ListedAt.Sub(at) >= lifetime
}
