package peer

import (
	"errors"
	"sync/atomic"
)

// Stats are counts of events since the transport was made.
type Stats struct {
	// Calls are the calls made to other hosts. NotSent and NoAnswer are those of them that failed with these errors, and
	// Refused those that the called host answered with any error.
	Calls, NotSent, NoResponse, Rejected uint64
	// Handled are the requests of other hosts that reached a handler or were refused before it.
	Handled uint64
	// Dials are the attempts to connect. SilentSessions are the sessions that were closed because nothing arrived.
	Dials, StaleSessions uint64
}

type stats struct {
	calls, notSent, noResponse, rejected, handled, dials, staleSessions atomic.Uint64
}

// Stats returns the counts.
func (t *Transport) Stats() Stats {
	s := &t.stats
	return Stats{
		Calls: s.calls.Load(), NotSent: s.notSent.Load(), NoResponse: s.noResponse.Load(), Rejected: s.rejected.Load(),
		Handled: s.handled.Load(), Dials: s.dials.Load(), StaleSessions: s.staleSessions.Load(),
	}
}

// count counts the outcome of a call.
func (s *stats) count(err error) {
	s.calls.Add(1)
	switch {
	case err == nil:
	case errors.Is(err, ErrNotSent):
		s.notSent.Add(1)
	case errors.Is(err, ErrNoResponse):
		s.noResponse.Add(1)
	default:
		s.rejected.Add(1)
	}
}
