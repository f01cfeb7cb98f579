package peer

import (
	"errors"
	"sync/atomic"
)

// Stats are counts of events since the transport was created.
type Stats struct {
	// Calls counts the calls to other hosts. NotSent and NoResponse count those that failed with ErrNotSent and
	// ErrNoResponse, and Rejected those for which the called host returned any other error.
	Calls, NotSent, NoResponse, Rejected uint64
	// Handled counts the requests of other hosts that passed the limits for headers, messages and inbound bytes, whether a
	// handler was called or not.
	Handled uint64
	// Dials counts the attempts to connect. StaleSessions counts the sessions that were closed because nothing arrived on
	// them.
	Dials, StaleSessions uint64
}

type stats struct {
	calls, notSent, noResponse, rejected, handled, dials, staleSessions atomic.Uint64
}

// Stats returns the counts up to now.
func (t *Transport) Stats() Stats {
	s := &t.stats
	return Stats{
		Calls: s.calls.Load(), NotSent: s.notSent.Load(), NoResponse: s.noResponse.Load(), Rejected: s.rejected.Load(),
		Handled: s.handled.Load(), Dials: s.dials.Load(), StaleSessions: s.staleSessions.Load(),
	}
}

// count records the outcome of a call to another host.
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
