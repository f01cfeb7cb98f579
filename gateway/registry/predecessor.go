package registry

import (
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

// setPredecessors adds to the entries of a read what is known of the processes before theirs. It writes nothing if these are the entries
// of the view before, which is immutable.
func (r *Registry) setPredecessors(readAt time.Time, before *View, stored map[settings.UpstreamID]Entry) {
	for id, entry := range stored {
		if p := r.predecessor(before, &entry.Upstream); p != entry.Upstream.Predecessor {
			entry.Upstream.Predecessor = p
			stored[id] = entry
		}
	}
	r.recordUnlisted(readAt, before, stored)
}

// predecessor returns that of the process in an entry.
func (r *Registry) predecessor(before *View, u *settings.Upstream) settings.Predecessor {
	old, ok := before.stored[u.ID]
	switch {
	case !ok:
		return r.unlisted[u.ID].predecessorOf(u)
	case processOf(&old.Upstream) == processOf(u):
		return old.Upstream.Predecessor
	default:
		return settings.Predecessor{ListedAt: before.ReadAt, ReadSince: before.readSince}
	}
}

// unlistedProcess is a process whose entry has gone.
type unlistedProcess struct {
	process
	// listed is what it will be to its successor, and before what was known of its own predecessor.
	listed, before settings.Predecessor
}

// predecessorOf returns that of a process whose entry appears: the process whose entry has gone, unless it is the same one.
func (p unlistedProcess) predecessorOf(u *settings.Upstream) settings.Predecessor {
	if p.process == processOf(u) {
		return p.before
	}
	return p.listed
}

// recordUnlisted remembers the processes whose entries a read shows no more, for departureMemory.
func (r *Registry) recordUnlisted(readAt time.Time, before *View, stored map[settings.UpstreamID]Entry) {
	for id, p := range r.unlisted {
		if _, ok := stored[id]; ok || readAt.Sub(p.listed.ListedAt) > departureMemory {
			delete(r.unlisted, id)
		}
	}
	for id, entry := range before.stored {
		if _, ok := stored[id]; ok {
			continue
		}
		if r.unlisted == nil {
			r.unlisted = make(map[settings.UpstreamID]unlistedProcess)
		}
		r.unlisted[id] = unlistedProcess{
			process: processOf(&entry.Upstream), before: entry.Upstream.Predecessor,
			listed: settings.Predecessor{ListedAt: before.ReadAt, ReadSince: before.readSince},
		}
	}
}
