package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// eraHold is the time for which a data centre stays evacuated although the first read of a new era does not hold its row. A store
	// that comes back from a copy has lost its last writes, and the operator writes the row again within some seconds.
	eraHold = 10 * time.Second
	// returnRetention is the time for which the end of an evacuation is remembered. It bounds the time for which upstreams may be cold.
	returnRetention = time.Hour
)

// Version is a position in the history of the store. A store that comes back from a copy begins a new era, in which positions are
// issued again.
type Version struct{ Era, Position uint64 }

// Compare returns the order of two versions, as cmp.Compare does.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Position, other.Position))
}

// State is the set of evacuated data centres at a version of the store.
type State struct {
	Version Version
	// DataCentres are sorted.
	DataCentres []string
}

// Read is a read of the rows of evacuated data centres.
type Read struct {
	// Version is the version of the store up to which the read holds all changes.
	Version Version
	// Complete is true if Changes holds all rows. Otherwise it holds the changes after the version of an earlier read, in their order.
	Complete bool
	Changes  []Change
}

// Change is a row that was read, or the removal of a row.
type Change struct {
	DataCentre string
	Removed    bool
}

// Transition is the begin or the end of an evacuation at this host.
type Transition struct {
	DataCentre string
	Evacuated  bool
}

// View is an immutable snapshot of a Set.
type View struct {
	// DataCentres are the evacuated data centres, sorted.
	DataCentres []string
	// returned maps data centres to the end of their evacuation.
	returned map[string]time.Time
}

// Contains reports whether a data centre is evacuated.
func (v *View) Contains(dataCentre string) bool {
	_, found := slices.BinarySearch(v.DataCentres, dataCentre)
	return found
}

// ReturnedAt returns the time at which this host has learned that an evacuation ended. It is zero if there was none within
// returnRetention.
func (v *View) ReturnedAt(dataCentre string) time.Time { return v.returned[dataCentre] }

// ReturnedSince reports whether an evacuation has ended after a time.
func (v *View) ReturnedSince(since time.Time) bool {
	for _, at := range v.returned {
		if at.After(since) {
			return true
		}
	}
	return false
}

// Set is the set of evacuated data centres that a host knows. The zero value is ready for use, and is not known. It is safe for
// concurrent use.
type Set struct {
	mu    sync.Mutex
	known bool
	state State
	// held maps data centres that the first read of a new era has not returned to the end of eraHold.
	held map[string]time.Time
	view atomic.Pointer[View]
}

// View returns the data centres that are evacuated now.
func (s *Set) View() *View {
	if view := s.view.Load(); view != nil {
		return view
	}
	return &View{}
}

// Report returns the set as it is sent to other hosts. It is false if the set is not known.
func (s *Set) Report() (State, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state, s.known
}

// Known reports whether the set was read or received.
func (s *Set) Known() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
}

// Apply applies a read of the store by this host. A read that is not newer than the set has no effect. Neither has a read of changes
// without the set to which they apply: a complete read of the same era must precede it.
func (s *Set) Apply(now time.Time, read *Read) []Transition {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known && read.Version.Compare(s.state.Version) <= 0 {
		return nil
	}
	members := make(map[string]bool)
	if !read.Complete {
		if !s.known || read.Version.Era != s.state.Version.Era {
			return nil
		}
		for _, dataCentre := range s.state.DataCentres {
			members[dataCentre] = true
		}
	}
	for _, change := range read.Changes {
		if change.Removed {
			delete(members, change.DataCentre)
			delete(s.held, change.DataCentre)
		} else {
			members[change.DataCentre] = true
		}
	}
	return s.replace(now, State{Version: read.Version, DataCentres: slices.Sorted(maps.Keys(members))})
}

// Receive applies the set of another host. A set that is not newer has no effect.
func (s *Set) Receive(now time.Time, state State) []Transition {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known && state.Version.Compare(s.state.Version) <= 0 {
		return nil
	}
	dataCentres := slices.Clone(state.DataCentres)
	slices.Sort(dataCentres)
	return s.replace(now, State{Version: state.Version, DataCentres: slices.Compact(dataCentres)})
}

// Expire ends the evacuations that were kept into a new era and whose rows were not written again in time.
func (s *Set) Expire(now time.Time) []Transition {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.held) == 0 {
		return nil
	}
	return s.publish(now)
}

func (s *Set) replace(now time.Time, next State) []Transition {
	if s.known && next.Version.Era > s.state.Version.Era {
		if s.held == nil {
			s.held = make(map[string]time.Time)
		}
		for _, dataCentre := range s.state.DataCentres {
			if _, found := slices.BinarySearch(next.DataCentres, dataCentre); !found {
				s.held[dataCentre] = now.Add(eraHold)
			}
		}
	}
	for _, dataCentre := range next.DataCentres {
		delete(s.held, dataCentre) // its later removal takes effect at once
	}
	s.state, s.known = next, true
	return s.publish(now)
}

// publish makes a new view if the set has changed, and returns the changes.
func (s *Set) publish(now time.Time) []Transition {
	maps.DeleteFunc(s.held, func(_ string, until time.Time) bool { return !now.Before(until) })
	inForce := append(slices.Clone(s.state.DataCentres), slices.Collect(maps.Keys(s.held))...)
	slices.Sort(inForce)
	inForce = slices.Compact(inForce)
	before := s.View()
	if slices.Equal(before.DataCentres, inForce) {
		return nil
	}
	next := &View{DataCentres: inForce, returned: make(map[string]time.Time)}
	for dataCentre, at := range before.returned {
		if now.Sub(at) < returnRetention && !next.Contains(dataCentre) {
			next.returned[dataCentre] = at
		}
	}
	var transitions []Transition
	for _, dataCentre := range inForce {
		if !before.Contains(dataCentre) {
			transitions = append(transitions, Transition{DataCentre: dataCentre, Evacuated: true})
		}
	}
	for _, dataCentre := range before.DataCentres {
		if !next.Contains(dataCentre) {
			next.returned[dataCentre] = now
			transitions = append(transitions, Transition{DataCentre: dataCentre})
		}
	}
	s.view.Store(next)
	return transitions
}
