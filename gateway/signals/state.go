package signals

import (
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// MaxBackoff bounds the time for which an upstream may ask for no requests.
	MaxBackoff = time.Hour
	// Retention is how long the statement that an upstream leaves is kept after its entry has gone.
	Retention = time.Hour
	// maxProcesses is the maximum number of processes of an upstream whose signals are kept.
	maxProcesses = 8
)

// Signal is what an upstream asks of this host in a response.
type Signal struct {
	// Address and Incarnation identify the process in the entry by which the request was sent.
	Address     string
	Incarnation int64
	// EntryLifetime is the longest time for which a process that has ended is listed.
	EntryLifetime time.Duration
	// Leaving is true if the upstream states that it leaves. It must receive no further requests.
	Leaving bool
	// Backoff is the time for which the upstream asks to receive no requests; 0 if it does not.
	Backoff time.Duration
}

// asked is what was asked for in the responses to requests that were sent by one entry.
type asked struct {
	address       string
	incarnation   int64
	entryLifetime time.Duration
	// at is the time of the newest response, and leavingAt that of the newest one which stated that the upstream leaves; zero if none did.
	at, leavingAt time.Time
	backoffUntil  time.Time
}

// pending reports whether a signal may still be in force.
func (a *asked) pending(now time.Time) bool {
	return now.Before(a.backoffUntil) || (!a.leavingAt.IsZero() && now.Sub(a.leavingAt) < Retention)
}

// add adds a signal and returns the parts of it that are new.
func (a *asked) add(now time.Time, s Signal) Signal {
	added := s
	a.at, a.entryLifetime = now, s.EntryLifetime
	if s.Leaving {
		added.Leaving = a.leavingAt.IsZero()
		a.leavingAt = now
	}
	if now.Before(a.backoffUntil) {
		added.Backoff = 0
	}
	if until := now.Add(min(s.Backoff, MaxBackoff)); until.After(a.backoffUntil) {
		a.backoffUntil = until
	}
	return added
}

// of returns what is in force for a process.
func (a *asked) of(now time.Time, u *settings.Upstream) (leaving bool, backoff time.Duration) {
	switch {
	case a.address != u.Address:
		return false, 0
	case a.incarnation == u.Incarnation:
		return !a.leavingAt.IsZero(), a.backoffUntil.Sub(now)
	case u.Predecessor.RanAt(a.at, a.entryLifetime):
		return false, 0
	default:
		return false, max(a.backoffUntil.Sub(now), a.leavingLeft(now))
	}
}

// leavingLeft is the time after which the entry of a process that has stated that it leaves must state it too, or have gone.
func (a *asked) leavingLeft(now time.Time) time.Duration {
	if a.leavingAt.IsZero() {
		return 0
	}
	return a.leavingAt.Add(a.entryLifetime).Sub(now)
}

// State holds the signals of the processes of one upstream. Its zero value is ready for use. It is not safe for concurrent use.
type State struct{ asked []asked }

// Add adds the signal of a response and returns the parts of it that are new.
func (s *State) Add(now time.Time, received Signal) Signal {
	if !received.Leaving && received.Backoff <= 0 {
		return Signal{}
	}
	i := slices.IndexFunc(s.asked, func(a asked) bool {
		return a.address == received.Address && a.incarnation == received.Incarnation
	})
	if i < 0 {
		s.forget(now)
		s.asked = append(s.asked, asked{address: received.Address, incarnation: received.Incarnation})
		i = len(s.asked) - 1
	}
	return s.asked[i].add(now, received)
}

// forget drops the signals that are no longer in force, and the oldest ones if there are still too many for a further process.
func (s *State) forget(now time.Time) {
	s.asked = slices.DeleteFunc(s.asked, func(a asked) bool { return !a.pending(now) })
	if excess := len(s.asked) - maxProcesses + 1; excess > 0 {
		s.asked = slices.Delete(s.asked, 0, excess)
	}
}

// Of returns what is in force for a process: whether it leaves, and the time for which it must receive no requests, which is not positive
// if there is none.
func (s *State) Of(now time.Time, u *settings.Upstream) (leaving bool, backoff time.Duration) {
	for i := range s.asked {
		l, b := s.asked[i].of(now, u)
		leaving, backoff = leaving || l, max(backoff, b)
	}
	return leaving, backoff
}

// Refuses reports whether a process must receive no requests now.
func (s *State) Refuses(now time.Time, u *settings.Upstream) bool {
	leaving, backoff := s.Of(now, u)
	return leaving || backoff > 0
}

// Pending reports whether any signal may still be in force.
func (s *State) Pending(now time.Time) bool {
	return slices.ContainsFunc(s.asked, func(a asked) bool { return a.pending(now) })
}

// Any reports whether any process has stated that it leaves, and whether any has asked for no requests until a later time.
func (s *State) Any(now time.Time) (leaving, backoff bool) {
	for i := range s.asked {
		leaving = leaving || !s.asked[i].leavingAt.IsZero()
		backoff = backoff || now.Before(s.asked[i].backoffUntil)
	}
	return leaving, backoff
}
