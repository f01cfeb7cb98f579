package registry

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// gapAfter is the time between two reads from which entries may have lapsed unjustly.
	gapAfter = 2500 * time.Millisecond
	// returnGrace is for how long after a gap missing entries are kept. Upstreams write again within about 2 s.
	returnGrace = 2100 * time.Millisecond
)

// Entry is one upstream's entry in the store.
type Entry struct {
	Service  settings.ServiceName
	Upstream settings.Upstream
}

// usage holds the fields of an entry that decide about the use of an upstream. Entries change all the time in others.
type usage struct {
	service             settings.ServiceName
	id                  settings.UpstreamID
	address, dataCentre string
	slots               int
	leaving             bool
}

func (e Entry) usage() usage {
	u := &e.Upstream
	return usage{
		service: e.Service, id: u.ID, address: u.Address, dataCentre: u.DataCentre, slots: u.Slots, leaving: u.Leaving,
	}
}

// View is the state of the registry. It is immutable.
type View struct {
	// ReadAt is when the read that it is based on was started.
	ReadAt time.Time
	// Version is the version of the store at that read.
	Version uint64
	// Upstreams are sorted by id.
	upstreams map[settings.ServiceName][]settings.Upstream
	known     map[settings.UpstreamID]Entry
	// stored is what the store held at the read: without entries that are kept, and with those that were found to be gone.
	stored map[settings.UpstreamID]Entry
	// digest covers stored.
	digest uint64
}

// Digest is equal for reads that found the same entries. It is 0 before the first read.
func (v *View) Digest() uint64 { return v.digest }

// Upstreams returns the upstreams of a service, sorted by id.
func (v *View) Upstreams(service settings.ServiceName) []settings.Upstream {
	return v.upstreams[service]
}

// Has reports whether the upstream is known.
func (v *View) Has(id settings.UpstreamID) bool {
	_, ok := v.known[id]
	return ok
}

// ServiceOf returns the service of an upstream.
func (v *View) ServiceOf(id settings.UpstreamID) (settings.ServiceName, bool) {
	entry, ok := v.known[id]
	return entry.Service, ok
}

// Len is the number of upstreams.
func (v *View) Len() int { return len(v.known) }

// Change is a difference between two views.
type Change struct {
	Upstream settings.UpstreamID
	Service  settings.ServiceName
	// What is "added", "leaving", "removed" or "kept" (missing after a gap).
	Kind string
}

// Registry keeps the newest View. Update must not be called by two goroutines at once.
type Registry struct {
	view atomic.Pointer[View]
	// kept are the entries that were missing in the first read after a gap and in each since. They end at keptUntil.
	kept      map[settings.UpstreamID]bool
	keptUntil time.Time
	// own is this host's newest read, without those that other hosts have told of.
	own atomic.Pointer[LocalRead]
	// steadySince is the first read since the start or the newest gap.
	steadySince atomic.Pointer[time.Time]
}

// OwnRead is a read of the store that this host has made itself.
type LocalRead struct {
	At      time.Time
	Version uint64
	Digest  uint64
	// Delta is the difference to the view before; nil if there is none, or if it is large.
	Delta *Delta
}

// OwnRead returns this host's newest read; false before the first. Only this may be told to other hosts: each way adds a
// delay that makes a read seem younger, and passed on from host to host an old read would seem fresh for ever.
func (r *Registry) LocalRead() (LocalRead, bool) {
	own := r.own.Load()
	if own == nil {
		return LocalRead{}, false
	}
	return *own, true
}

// New returns a Registry without upstreams.
func New() *Registry {
	r := &Registry{}
	r.view.Store(&View{})
	return r
}

// View returns the newest view. It is never nil.
func (r *Registry) View() *View { return r.view.Load() }

// Update takes a complete read of the entries. startedAt is when the read was started.
func (r *Registry) Update(startedAt time.Time, version uint64, entries []Entry) []Change {
	stored := make(map[settings.UpstreamID]Entry, len(entries))
	for _, entry := range entries {
		stored[entry.Upstream.ID] = entry
	}
	digest := digestOf(stored)
	r.own.Store(&LocalRead{At: startedAt, Version: version, Digest: digest, Delta: deltaOf(r.view.Load(), stored)})
	return r.replace(startedAt, version, stored, digest)
}

// replace puts what a read has found in force, with the entries that are kept.
func (r *Registry) replace(startedAt time.Time, version uint64, stored map[settings.UpstreamID]Entry, digest uint64) []Change {
	before := r.view.Load()
	gap := !before.ReadAt.IsZero() && startedAt.Sub(before.ReadAt) > gapAfter
	if gap || before.ReadAt.IsZero() {
		r.steadySince.Store(&startedAt)
	}
	if gap {
		r.kept, r.keptUntil = make(map[settings.UpstreamID]bool), startedAt.Add(returnGrace)
	}
	known := maps.Clone(stored)
	for id := range stored {
		delete(r.kept, id)
	}
	if !startedAt.Before(r.keptUntil) {
		r.kept = nil
	}
	var changes []Change
	for id, entry := range before.known {
		if _, ok := known[id]; ok {
			continue
		}
		if gap && !entry.Upstream.Leaving {
			r.kept[id] = true
		}
		what := "removed"
		if r.kept[id] && !reused(known, entry) {
			known[id] = entry
			what = "kept"
		}
		changes = append(changes, Change{Upstream: id, Service: entry.Service, Kind: what})
	}
	for id, entry := range known {
		old, ok := before.known[id]
		switch {
		case !ok:
			changes = append(changes, Change{Upstream: id, Service: entry.Service, Kind: "added"})
		case entry.Upstream.Leaving && !old.Upstream.Leaving:
			changes = append(changes, Change{Upstream: id, Service: entry.Service, Kind: "leaving"})
		}
	}
	r.view.Store(newView(startedAt, version, known, stored, digest))
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return changes
}

// KeptUntil returns when entries that are kept although they are missing end, if there are any. The store must be read
// then.
func (r *Registry) KeptUntil() (time.Time, bool) { return r.keptUntil, len(r.kept) > 0 }

// Settled reports whether reads have been without a gap for so long that no living upstream is missing.
func (r *Registry) Synced(now time.Time) bool {
	since := r.steadySince.Load()
	return since != nil && now.Sub(*since) >= returnGrace
}

// EndKept drops the entries that are kept, because another host has read the store without a gap: it was this host that was
// cut off, not the store that was away. It reports whether there were any. It must not be called beside Update.
func (r *Registry) DropKept() bool {
	if len(r.kept) == 0 {
		return false
	}
	r.keptUntil = time.Time{}
	return true
}

// reused reports whether another upstream has the address of a missing one, which therefore is gone.
func reused(known map[settings.UpstreamID]Entry, missing Entry) bool {
	for _, entry := range known {
		if entry.Upstream.Address == missing.Upstream.Address {
			return true
		}
	}
	return false
}

// Gone drops an upstream at once, because another one has answered at its address.
func (r *Registry) Remove(id settings.UpstreamID) {
	before := r.view.Load()
	if _, ok := before.known[id]; !ok {
		return
	}
	known := maps.Clone(before.known)
	delete(known, id)
	r.view.CompareAndSwap(before, newView(before.ReadAt, before.Version, known, before.stored, before.digest))
}

// Confirm takes a read of another host that found the entries with the digest. It reports whether they are those of this
// host's newest view, which then counts as read at that time. It must not be called beside Update.
func (r *Registry) Confirm(readAt time.Time, digest uint64) bool {
	before := r.view.Load()
	if digest != before.digest {
		return false
	}
	if readAt.After(before.ReadAt) {
		confirmed := *before
		confirmed.ReadAt = readAt
		r.view.CompareAndSwap(before, &confirmed)
	}
	return true
}

// digestOf covers the usage of each upstream.
func digestOf(known map[settings.UpstreamID]Entry) uint64 {
	hash := xxhash.New()
	for _, id := range slices.Sorted(maps.Keys(known)) {
		f := known[id].usage()
		// Writing to a hash cannot fail.
		_, _ = fmt.Fprintf(hash, "%q %q %q %q %d %t\n", f.service, f.id, f.address, f.dataCentre, f.slots, f.leaving)
	}
	return hash.Sum64()
}

func newView(readAt time.Time, version uint64, known, stored map[settings.UpstreamID]Entry, digest uint64) *View {
	view := &View{
		ReadAt: readAt, Version: version, known: known, stored: stored, digest: digest,
		upstreams: make(map[settings.ServiceName][]settings.Upstream),
	}
	for _, id := range slices.Sorted(maps.Keys(known)) {
		entry := known[id]
		view.upstreams[entry.Service] = append(view.upstreams[entry.Service], entry.Upstream)
	}
	return view
}
