package registry

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzeyard/bronzeyard/settings"
)

// Entry is one upstream's entry in the store.
type Entry struct {
	Service  settings.ServiceName
	Upstream settings.Upstream
	// Written is the version of the store at which the entry was written, 0 if not known. It changes all the time.
	Written uint64
}

// routingFields holds the fields of an entry that affect routing. The other fields of an entry change all the time.
type routingFields struct {
	service             settings.ServiceName
	id                  settings.UpstreamID
	address, dataCentre string
	slots               int
	leaving             bool
	incarnation         int64
}

func (e Entry) routing() routingFields {
	u := &e.Upstream
	return routingFields{
		service: e.Service, id: u.ID, address: u.Address, dataCentre: u.DataCentre, slots: u.Slots, leaving: u.Leaving,
		incarnation: u.Incarnation,
	}
}

func (e Entry) change(kind ChangeKind) Change {
	return Change{Upstream: e.Upstream.ID, Service: e.Service, Kind: kind, Incarnation: e.Upstream.Incarnation}
}

// View is an immutable snapshot of the registry.
type View struct {
	// ReadAt is the start of the read on which the view is based, or of a later read by another host that confirmed it.
	ReadAt time.Time
	// Version is the version of the store at that read.
	Version uint64
	// readSince is the start of the first of the reads that followed each other without a gap until ReadAt.
	readSince time.Time
	// upstreams are sorted by ID.
	upstreams map[settings.ServiceName][]settings.Upstream
	known     map[settings.UpstreamID]Entry
	// stored is what the store held at the read. Unlike known, it does not hold kept entries, and it holds entries that are superseded or
	// misdirected.
	stored map[settings.UpstreamID]Entry
	// digest is the digest of stored.
	digest uint64
}

// Digest returns the digest of the routing fields of all entries of the read. It is 0 before the first read.
func (v *View) Digest() uint64 { return v.digest }

// Upstreams returns the upstreams of a service, sorted by ID.
func (v *View) Upstreams(service settings.ServiceName) []settings.Upstream {
	return v.upstreams[service]
}

// Has reports whether the view holds the upstream.
func (v *View) Has(id settings.UpstreamID) bool {
	_, ok := v.known[id]
	return ok
}

// ServiceOf returns the service of an upstream, and false if the view does not hold the upstream.
func (v *View) ServiceOf(id settings.UpstreamID) (settings.ServiceName, bool) {
	entry, ok := v.known[id]
	return entry.Service, ok
}

// Upstream returns an upstream by id, and false if the view does not hold it.
func (v *View) Upstream(id settings.UpstreamID) (settings.Upstream, bool) {
	entry, ok := v.known[id]
	return entry.Upstream, ok
}

// Len is the number of upstreams.
func (v *View) Len() int { return len(v.known) }

// Change is a difference between two views.
type Change struct {
	Upstream settings.UpstreamID
	Service  settings.ServiceName
	Kind     ChangeKind
	// Incarnation is that of the process in the entry; 0 if it is not known, or if there is no entry.
	Incarnation int64
}

// ChangeKind is the kind of a Change.
type ChangeKind string

const (
	// Added upstreams are new in the view.
	Added ChangeKind = "added"
	// Leaving upstreams have an entry that states that they leave.
	Leaving ChangeKind = "leaving"
	// Restarted upstreams have an entry of another process than before.
	Restarted ChangeKind = "restarted"
	// Removed upstreams no longer have an entry.
	Removed ChangeKind = "removed"
	// Kept upstreams have no entry after a gap in the reads.
	Kept ChangeKind = "kept"
	// Superseded upstreams have an entry with the address of an upstream that was started later.
	Superseded ChangeKind = "superseded"
	// Misdirected upstreams have an entry with the address of an upstream that has rejected a request for them.
	Misdirected ChangeKind = "misdirected"
	// Withheld upstreams have an entry in a new era of the store although they left in an earlier one.
	Withheld ChangeKind = "withheld"
)

// Registry holds the newest View. Update must not be called concurrently.
type Registry struct {
	view atomic.Pointer[View]
	// mu is held while view is replaced. It protects misdirected.
	mu sync.Mutex
	// misdirected holds processes of upstreams at whose addresses other upstreams have responded, while the store has their entries.
	misdirected map[settings.UpstreamID]process
	// era is the era of the newest read that has been applied. departed holds the upstreams that have left, and withheld those of them
	// whose entries are not used.
	era      uint64
	departed map[settings.UpstreamID]departure
	withheld map[settings.UpstreamID]bool
	// unlisted holds the processes whose entries have gone lately.
	unlisted map[settings.UpstreamID]unlistedProcess
	// kept holds the entries that were missing in the first read after a gap and in each read since. The first read at or after
	// the end of the grace period drops them.
	kept map[settings.UpstreamID]bool
	// failedAt is the start of the newest failed read, and keepLimit the latest end of a grace period after that failure.
	failedAt, keepLimit time.Time
	// local is this host's newest read of the store. Reads by other hosts do not change it.
	local atomic.Pointer[LocalRead]
	// grace is the grace period after the start or the latest gap; nil before the first read.
	grace atomic.Pointer[grace]
	// report is the most useful recent report of another host.
	report atomic.Pointer[Report]
}

// LocalRead is a read of the store that this host has made itself.
type LocalRead struct {
	At      time.Time
	Version uint64
	Digest  uint64
	// Delta is the difference to the previous view. It is nil if there is none, or if it is too large for a datagram.
	Delta *Delta
}

// LocalRead returns this host's newest read of the store, and false before the first one. Only this read may be reported to
// other hosts. Each hop adds a delay that is not part of the reported age, so a read that is forwarded from host to host
// would appear recent forever.
func (r *Registry) LocalRead() (LocalRead, bool) {
	local := r.local.Load()
	if local == nil {
		return LocalRead{}, false
	}
	return *local, true
}

// New returns a Registry without upstreams.
func New() *Registry {
	r := &Registry{}
	r.view.Store(&View{})
	return r
}

// View returns the newest view. It is never nil.
func (r *Registry) View() *View { return r.view.Load() }

// Update applies a complete read of the store by this host and returns the changes, sorted by upstream. startedAt is the start
// of the read.
func (r *Registry) Update(startedAt time.Time, version uint64, entries []Entry) []Change {
	stored := make(map[settings.UpstreamID]Entry, len(entries))
	for _, entry := range entries {
		stored[entry.Upstream.ID] = entry
	}
	digest := digestOf(stored)
	r.local.Store(&LocalRead{At: startedAt, Version: version, Digest: digest, Delta: diff(r.view.Load(), stored)})
	return r.replace(startedAt, version, stored, digest)
}

// replace stores a new view that consists of the entries of a read and the kept ones.
func (r *Registry) replace(startedAt time.Time, version uint64, stored map[settings.UpstreamID]Entry, digest uint64) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.view.Load()
	// In a new era, entries may be missing that are younger than the copy from which the store came back.
	newEra := !before.ReadAt.IsZero() && Era(version) > before.Era()
	gap := newEra || (!before.ReadAt.IsZero() && startedAt.Sub(before.ReadAt) > gapThreshold)
	r.era = Era(version)
	if gap || before.ReadAt.IsZero() {
		r.beginGrace(startedAt, before.ReadAt, newEra)
	}
	if gap {
		r.kept = make(map[settings.UpstreamID]bool)
	}
	until, _ := r.KeptUntil(startedAt)
	r.setPredecessors(startedAt, before, stored)
	known := maps.Clone(stored)
	for id := range stored {
		delete(r.kept, id)
	}
	expired := !startedAt.Before(until)
	if expired {
		r.kept = nil
	}
	changes := r.handleMissing(startedAt, before, known, gap && !expired)
	r.recordDepartures(startedAt, version, before, stored)
	r.forgetMisdirected(stored)
	for id, kind := range r.removeUnused(known) {
		if entry, ok := before.known[id]; ok {
			changes = append(changes, Change{Upstream: id, Service: entry.Service, Kind: kind})
		}
	}
	for id, entry := range known {
		old, ok := before.known[id]
		switch {
		case !ok:
			changes = append(changes, entry.change(Added))
		case entry.Upstream.Leaving && !old.Upstream.Leaving:
			changes = append(changes, entry.change(Leaving))
		case entry.Upstream.Incarnation != old.Upstream.Incarnation:
			changes = append(changes, entry.change(Restarted))
		}
	}
	view := newView(startedAt, version, known, stored, digest)
	if !gap && !before.ReadAt.IsZero() {
		view.readSince = before.readSince
	}
	r.view.Store(view)
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return changes
}

// handleMissing adds the missing entries that are kept to known and records the departure of the others. gap is true if the read ends
// a gap and its missing entries are to be kept.
func (r *Registry) handleMissing(readAt time.Time, before *View, known map[settings.UpstreamID]Entry, gap bool) (changes []Change) {
	for id, entry := range before.known {
		if _, ok := known[id]; ok {
			continue
		}
		if gap && !entry.Upstream.Leaving {
			r.kept[id] = true
		}
		kind := Removed
		if r.kept[id] && !addressReused(known, entry) {
			known[id] = entry
			kind = Kept
		} else {
			r.depart(id, departure{at: readAt, incarnation: entry.Upstream.Incarnation, era: r.era})
		}
		changes = append(changes, Change{Upstream: id, Service: entry.Service, Kind: kind})
	}
	return changes
}

// addressReused reports whether another upstream has the address of a missing one, which therefore no longer exists.
func addressReused(known map[settings.UpstreamID]Entry, missing Entry) bool {
	for _, entry := range known {
		if entry.Upstream.Address == missing.Upstream.Address {
			return true
		}
	}
	return false
}

// Confirm applies a read by another host that found entries with this digest. It reports whether they are the entries of this
// host's newest view. If they are and readAt is newer, it becomes the view's ReadAt; after a gap, missing entries are kept as after a
// read by this host. Confirm must not be called concurrently with Update.
func (r *Registry) Confirm(readAt time.Time, digest uint64) bool {
	before := r.view.Load()
	if digest != before.digest {
		return false
	}
	if readAt.Sub(before.ReadAt) > gapThreshold {
		r.replace(readAt, before.Version, before.stored, digest)
		return true
	}
	if readAt.After(before.ReadAt) {
		r.mu.Lock()
		defer r.mu.Unlock()
		confirmed := *r.view.Load()
		confirmed.ReadAt = readAt
		r.view.Store(&confirmed)
	}
	return true
}

// digestOf returns a hash over the routing fields of all entries.
func digestOf(entries map[settings.UpstreamID]Entry) uint64 {
	hash := xxhash.New()
	for _, id := range slices.Sorted(maps.Keys(entries)) {
		f := entries[id].routing()
		// Writing to a hash never fails.
		_, _ = fmt.Fprintf(hash, "%q %q %q %q %d %t %d\n", f.service, f.id, f.address, f.dataCentre, f.slots, f.leaving, f.incarnation)
	}
	return hash.Sum64()
}

// newView returns a view based on the first read of a series.
func newView(readAt time.Time, version uint64, known, stored map[settings.UpstreamID]Entry, digest uint64) *View {
	view := &View{
		ReadAt: readAt, Version: version, readSince: readAt, known: known, stored: stored, digest: digest,
		upstreams: make(map[settings.ServiceName][]settings.Upstream),
	}
	for _, id := range slices.Sorted(maps.Keys(known)) {
		entry := known[id]
		view.upstreams[entry.Service] = append(view.upstreams[entry.Service], entry.Upstream)
	}
	return view
}
