package placement

import (
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/signals"
	"github.com/bronzeyard/bronzeyard/settings"
)

// accepts reports whether the process of an upstream has neither stated that it leaves nor asked for no requests now.
func (p *Pool) accepts(now time.Time, u *settings.Upstream) bool {
	s := p.states[u.ID]
	return s == nil || !s.signals.Refuses(now, u)
}

// Signals returns what the process of an upstream has asked for that is in force. Backoff is the time that is left.
func (p *Pool) Signals(now time.Time, u *settings.Upstream) signals.Signal {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[u.ID]
	if s == nil {
		return signals.Signal{}
	}
	leaving, backoff := s.signals.Of(now, u)
	return signals.Signal{Address: u.Address, Incarnation: u.Incarnation, Leaving: leaving, Backoff: max(0, backoff)}
}

// AllRefuse reports whether none of the upstreams accepts requests now because of what it has asked for. next is the time until the
// first of them does again; 0 if that is not known.
func (p *Pool) AllRefuse(now time.Time, upstreams []settings.Upstream) (refuse bool, next time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range upstreams {
		u := &upstreams[i]
		if u.Leaving {
			continue
		}
		if p.accepts(now, u) {
			return false, 0
		}
		refuse = true
		if leaving, left := p.states[u.ID].signals.Of(now, u); !leaving && (next == 0 || left < next) {
			next = left
		}
	}
	return refuse, next
}

// Refusing counts the upstreams that have stated that they leave, and those that have asked for no requests now.
func (p *Pool) Refusing(now time.Time) (leaving, backoff int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.states {
		switch leaves, refuses := s.signals.Any(now); {
		case leaves:
			leaving++
		case refuses:
			backoff++
		}
	}
	return leaving, backoff
}
