package registry

import (
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

// EraShift is the position of the era in a version of the store. Its lower bits are the number of a transaction. The store begins a
// new era when it comes back from an older copy; numbers of transactions are then issued again. A version of a later era is newer than
// all of the earlier ones.
const EraShift = 48

// Era returns the era of a version of the store.
func Era(version uint64) uint64 { return version >> EraShift }

// departureMemory is how long a departure is remembered. A copy from which the store comes back is some seconds old.
const departureMemory = 5 * time.Minute

// departure is the end of an upstream's registration.
type departure struct {
	at          time.Time
	incarnation int64
	// era is the newest era in which the upstream was read as leaving or missing.
	era uint64
	// seenAt is the version of the store at the first read of a later era in which the upstream is ready; 0 before it.
	seenAt uint64
}

// Era returns the era of the newest view.
func (v *View) Era() uint64 { return Era(v.Version) }

// Withheld is the number of upstreams that are not in use although the store has them as ready, because they left in an earlier era.
// It must not be called concurrently with Update.
func (r *Registry) Withheld() int { return len(r.withheld) }

// recordDepartures records the upstreams that a read shows as leaving or that it no longer shows, and determines which entries are
// withheld. An upstream that left in an earlier era may be ready in the copy from which the store came back. It is used again if its
// process was started later, or if its entry was written after the first read of the new era.
func (r *Registry) recordDepartures(readAt time.Time, version uint64, before *View, stored map[settings.UpstreamID]Entry) {
	era := Era(version)
	for id, entry := range before.stored {
		if _, ok := stored[id]; !ok && !r.kept[id] {
			r.depart(id, departure{at: readAt, incarnation: entry.Upstream.Incarnation, era: era})
		}
	}
	for id, entry := range stored {
		if entry.Upstream.Leaving {
			r.depart(id, departure{at: readAt, incarnation: entry.Upstream.Incarnation, era: era})
		}
	}
	r.withheld = nil
	for id, d := range r.departed {
		entry, ok := stored[id]
		switch {
		case !ok || entry.Upstream.Leaving:
			d.era, d.seenAt = era, 0
			r.departed[id] = d
			if readAt.Sub(d.at) > departureMemory {
				delete(r.departed, id)
			}
		case d.era == era, entry.Upstream.Incarnation > d.incarnation, d.seenAt > 0 && entry.Written > d.seenAt:
			delete(r.departed, id)
		default:
			if d.seenAt == 0 || Era(d.seenAt) < era {
				d.seenAt = version
				r.departed[id] = d
			}
			if r.withheld == nil {
				r.withheld = make(map[settings.UpstreamID]bool)
			}
			r.withheld[id] = true
		}
	}
}

func (r *Registry) depart(id settings.UpstreamID, d departure) {
	if r.departed == nil {
		r.departed = make(map[settings.UpstreamID]departure)
	}
	if known, ok := r.departed[id]; ok {
		d.incarnation = max(d.incarnation, known.incarnation)
	}
	r.departed[id] = d
}
