package placement

import (
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// maxQuietPeriod bounds the time for which an upstream may ask for no requests.
	maxQuietPeriod = time.Hour
	// wishRetention is how long the statement that an upstream leaves is kept after its entry has gone.
	wishRetention = time.Hour
)

// Wishes is what an upstream asks of this host in a response.
type Wishes struct {
	// Address and Incarnation identify the process of the upstream. A process that is started later under the same id has not
	// asked for anything.
	Address     string
	Incarnation int64
	// Leaving is true if the upstream states that it leaves. It must receive no further requests.
	Leaving bool
	// QuietFor is the time for which the upstream asks to receive no requests; 0 if it does not.
	QuietFor time.Duration
}

// wishes holds what one process of an upstream has asked for.
type wishes struct {
	address     string
	incarnation int64
	leavingAt   time.Time // zero if it has not stated that it leaves
	quietUntil  time.Time
}

func (w *wishes) of(address string, incarnation int64) bool {
	return w.address == address && w.incarnation == incarnation
}

// add adds the wishes of a response and returns those that are new.
func (w *wishes) add(now time.Time, wish Wishes) Wishes {
	if !wish.Leaving && wish.QuietFor <= 0 {
		return Wishes{}
	}
	if !w.of(wish.Address, wish.Incarnation) {
		*w = wishes{address: wish.Address, incarnation: wish.Incarnation}
	}
	added := wish
	if wish.Leaving {
		added.Leaving = w.leavingAt.IsZero()
		w.leavingAt = now
	}
	if until := now.Add(min(wish.QuietFor, maxQuietPeriod)); until.After(w.quietUntil) {
		if now.Before(w.quietUntil) {
			added.QuietFor = 0
		}
		w.quietUntil = until
	}
	return added
}

// pending reports whether a wish is still in force.
func (w *wishes) pending(now time.Time) bool {
	return now.Before(w.quietUntil) || (!w.leavingAt.IsZero() && now.Sub(w.leavingAt) < wishRetention)
}

// accepts reports whether the process of an upstream has neither stated that it leaves nor asked for no requests now.
func (p *Pool) accepts(now time.Time, u *settings.Upstream) bool {
	s := p.states[u.ID]
	return s == nil || !s.wishes.of(u.Address, u.Incarnation) || (s.wishes.leavingAt.IsZero() && !now.Before(s.wishes.quietUntil))
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
		if w := &p.states[u.ID].wishes; w.leavingAt.IsZero() {
			if left := w.quietUntil.Sub(now); next == 0 || left < next {
				next = left
			}
		}
	}
	return refuse, next
}

// Refusing counts the upstreams that have stated that they leave, and those that have asked for no requests now.
func (p *Pool) Refusing(now time.Time) (leaving, quiet int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.states {
		switch {
		case !s.wishes.leavingAt.IsZero():
			leaving++
		case now.Before(s.wishes.quietUntil):
			quiet++
		}
	}
	return leaving, quiet
}
