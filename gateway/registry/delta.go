package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

// maxDelta bounds the upstreams in a Delta, so that it fits into a datagram. After larger changes each host reads the store.
const maxDelta = 8

// Delta is the difference between two reads of the store.
type Delta struct {
	// Base is the digest of the earlier read.
	Base    uint64
	Put     []Entry
	Removed []settings.UpstreamID
}

// deltaOf returns the difference; nil if there is none, or if it is too large for a datagram.
func deltaOf(before *View, stored map[settings.UpstreamID]Entry) *Delta {
	if before.ReadAt.IsZero() {
		return nil
	}
	d := &Delta{Base: before.digest}
	for _, id := range slices.Sorted(maps.Keys(stored)) {
		if old, ok := before.stored[id]; !ok || old.usage() != stored[id].usage() {
			d.Put = append(d.Put, stored[id])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(before.stored)) {
		if _, ok := stored[id]; !ok {
			d.Removed = append(d.Removed, id)
		}
	}
	if n := len(d.Put) + len(d.Removed); n == 0 || n > maxDelta {
		return nil
	}
	return d
}

// Apply takes a read of another host by its difference to an earlier one. It reports false, and changes nothing, unless this
// host's newest view is of that earlier read and the result has the digest that the other host has found: the store must
// then be read. It must not be called beside Update.
func (r *Registry) Apply(readAt time.Time, version, digest uint64, delta *Delta) ([]Change, bool) {
	before := r.view.Load()
	switch {
	case delta == nil, delta.Base != before.digest, len(r.kept) > 0:
		return nil, false
	case !readAt.After(before.ReadAt), readAt.Sub(before.ReadAt) > gapAfter:
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
