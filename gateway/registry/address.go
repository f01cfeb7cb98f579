package registry

import (
	"maps"

	"github.com/bronzeyard/bronzeyard/settings"
)

// process identifies one process of an upstream under its id.
type process struct {
	address     string
	incarnation int64
}

func processOf(u *settings.Upstream) process {
	return process{address: u.Address, incarnation: u.Incarnation}
}

// Misdirected takes a process of an upstream out of use without a read, because another upstream has responded at its address. Its
// entry stays out of use until a read shows another process under the id, or no entry. It reports false if the process is not in use.
// It may be called concurrently with all other methods.
func (r *Registry) Misdirected(upstream *settings.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.view.Load()
	entry, ok := before.known[upstream.ID]
	if !ok || processOf(&entry.Upstream) != processOf(upstream) {
		return false
	}
	if r.misdirected == nil {
		r.misdirected = make(map[settings.UpstreamID]process)
	}
	r.misdirected[upstream.ID] = processOf(upstream)
	known := maps.Clone(before.known)
	delete(known, upstream.ID)
	for id, stored := range before.stored {
		if stored.Upstream.Address == upstream.Address {
			known[id] = stored // it may have been superseded by the process that is misdirected
		}
	}
	r.removeUnused(known)
	view := newView(before.ReadAt, before.Version, known, before.stored, before.digest)
	view.readSince = before.readSince
	r.view.Store(view)
	return true
}

// forgetMisdirected forgets the processes whose entries a read shows no more.
func (r *Registry) forgetMisdirected(stored map[settings.UpstreamID]Entry) {
	for id, p := range r.misdirected {
		if entry, ok := stored[id]; !ok || processOf(&entry.Upstream) != p {
			delete(r.misdirected, id)
		}
	}
}

// removeUnused removes the entries that do not name the process at their address: those that are known to be misdirected, and those
// of which another one at the same address names a process that was started later. An upstream that crashed has an entry for some
// time beside that of its successor. If a start time is missing, or if they are equal, all entries at the address stay in use until a
// request is misdirected. It returns the kind of change of each removed entry.
func (r *Registry) removeUnused(known map[settings.UpstreamID]Entry) map[settings.UpstreamID]ChangeKind {
	var unused map[settings.UpstreamID]ChangeKind
	remove := func(id settings.UpstreamID, kind ChangeKind) {
		if unused == nil {
			unused = make(map[settings.UpstreamID]ChangeKind)
		}
		unused[id] = kind
		delete(known, id)
	}
	for id, p := range r.misdirected {
		if entry, ok := known[id]; ok && processOf(&entry.Upstream) == p {
			remove(id, Misdirected)
		}
	}
	for id := range r.withheld {
		if _, ok := known[id]; ok {
			remove(id, Withheld)
		}
	}
	newest := make(map[string]int64, len(known))
	for _, entry := range known {
		u := &entry.Upstream
		newest[u.Address] = max(newest[u.Address], u.Incarnation)
	}
	for id, entry := range known {
		if u := &entry.Upstream; u.Incarnation != 0 && u.Incarnation < newest[u.Address] {
			remove(id, Superseded)
		}
	}
	return unused
}
