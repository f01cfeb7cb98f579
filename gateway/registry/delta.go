package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

// maxDeltaEntries bounds the number of upstreams in a Delta, which must fit into a datagram. After larger changes each host
// reads the store.
const maxDeltaEntries = 8

// Delta is the difference between two reads of the store.
type Delta struct {
	// Base is the digest of the earlier read.
	Base uint64
	// Put holds the entries that were added or changed.
	Put     []Entry
	Removed []settings.UpstreamID
}

// diff returns the difference between a view and a newer read. It returns nil if there is none, if there was no earlier read,
// or if the difference is too large for a datagram.
func diff(before *View, stored map[settings.UpstreamID]Entry) *Delta {
	if before.ReadAt.IsZero() {
		return nil
	}
	d := &Delta{Base: before.digest}
	for _, id := range slices.Sorted(maps.Keys(stored)) {
		if old, ok := before.stored[id]; !ok || old.routing() != stored[id].routing() {
			d.Put = append(d.Put, stored[id])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(before.stored)) {
		if _, ok := stored[id]; !ok {
			d.Removed = append(d.Removed, id)
		}
	}
	if n := len(d.Put) + len(d.Removed); n == 0 || n > maxDeltaEntries {
		return nil
	}
	return d
}

// Apply applies a read by another host, given as its difference to an earlier read. It requires that this host's newest view is
// based on the same earlier read, that the read is newer than the view by at most gapThreshold, that no entries are kept, and
// that the result has the digest that the other host has computed. Otherwise it changes nothing and returns false, and the
// caller must read the store. It must not be called concurrently with Update.
func (r *Registry) Apply(readAt time.Time, version, digest uint64, delta *Delta) ([]Change, bool) {
	before := r.view.Load()
	switch {
	case delta == nil, delta.Base != before.digest, len(r.kept) > 0:
		return nil, false
	case Era(version) != before.Era(), !readAt.After(before.ReadAt), readAt.Sub(before.ReadAt) > gapThreshold:
		return nil, false
	}
	stored := maps.Clone(before.stored)
	for _, entry := range delta.Put {
		stored[entry.Upstream.ID] = entry
	}
	for _, id := range delta.Removed {
		delete(stored, id)
	}
	if digestOf(stored) != digest {
		return nil, false
	}
	return r.replace(readAt, version, stored, digest), true
}

// Entries returns what the store held at the read on which the view is based.
func (v *View) Entries() []Entry { return slices.Collect(maps.Values(v.stored)) }

// CanReplace reports whether Replace would apply a read: it is newer than this host's newest view by at most gapThreshold, and no
// entries are kept. After a gap a host reads by itself, because it must know precisely when the read began. It must not be called
// concurrently with Update.
func (r *Registry) CanReplace(readAt time.Time) bool {
	before := r.view.Load()
	if before.ReadAt.IsZero() {
		return true
	}
	return readAt.After(before.ReadAt) && readAt.Sub(before.ReadAt) <= gapThreshold && len(r.kept) == 0
}

// Replace applies a complete read by another host. It changes nothing and returns false if CanReplace returns false, or if the read is of
// another era than the view. It must not be called concurrently with Update.
func (r *Registry) Replace(readAt time.Time, version uint64, entries []Entry) ([]Change, bool) {
	if before := r.view.Load(); !r.CanReplace(readAt) || (!before.ReadAt.IsZero() && Era(version) != before.Era()) {
		return nil, false
	}
	stored := make(map[settings.UpstreamID]Entry, len(entries))
	for _, entry := range entries {
		stored[entry.Upstream.ID] = entry
	}
	return r.replace(readAt, version, stored, digestOf(stored)), true
}
