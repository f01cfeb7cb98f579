package relay

import (
	"errors"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/hedge"
	"github.com/bronzeyard/bronzeyard/settings"
)

// Hedging applies the operators' limit of hedged attempts.
type Hedging interface {
	// CountRequest counts a request of a service.
	CountRequest(service settings.ServiceName)
	// Take decides whether a hedged attempt may start and counts it if so. replaces is true if the running attempt is a half-open
	// trial.
	Take(now time.Time, service settings.ServiceName, replaces bool) hedge.Refusal
	// Return takes back a hedged attempt that Take has allowed at the given time and that did not start.
	Return(takenAt time.Time, service settings.ServiceName)
	// Delay returns the time without a response after which a hedged attempt may start. after is the delay without a limit, and
	// typical the typical duration of a response.
	Delay(after, typical time.Duration) time.Duration
}

// unlimitedHedging sets no limit.
type unlimitedHedging struct{}

func (unlimitedHedging) CountRequest(settings.ServiceName) {}
func (unlimitedHedging) Take(time.Time, settings.ServiceName, bool) hedge.Refusal {
	return hedge.Allowed
}
func (unlimitedHedging) Return(time.Time, settings.ServiceName)     {}
func (unlimitedHedging) Delay(after, _ time.Duration) time.Duration { return after }

// pickHedge chooses the upstream of a hedged attempt. It returns false if the operators' limit, the retry budget or the load of the
// service does not allow one now.
func (r *race) pickHedge() (Selection, bool) {
	x, now := r.x, time.Now()
	trial := r.running[0].selection.Trial
	if refusal := x.options.Hedging.Take(now, x.service, trial); refusal != hedge.Allowed {
		x.refuseHedge(refusal)
		return Selection{}, false
	}
	// A second attempt during a trial replaces one that will likely fail. Any other hedged attempt is extra load and needs an
	// upstream with spare capacity.
	selection, err := x.pickHedge(!trial)
	if err == nil {
		return selection, true
	}
	x.options.Hedging.Return(now, x.service)
	if errors.Is(err, ErrNoRetryBudget) {
		x.refuseHedge(hedge.RefusedBudget)
	} else {
		x.refuseHedge(hedge.RefusedLoad)
	}
	return Selection{}, false
}

// refuseHedge records the reason for which the first hedged attempt that was due did not start.
func (x *exchange) refuseHedge(reason hedge.Refusal) {
	if x.event.HedgeRefused == hedge.Allowed {
		x.event.HedgeRefused = reason
	}
}

// HedgeUse is the use of hedged attempts by one request.
type HedgeUse struct {
	// Started is the number of hedged attempts, and Won whether the caller received the response of one.
	Started int
	Won     bool
	// Wasted is the time that upstreams spent on attempts whose response the caller did not receive because another one was faster,
	// and on hedged attempts that failed.
	Wasted time.Duration
}

// HedgeUse returns the use of hedged attempts by the request.
func (e *Event) HedgeUse() HedgeUse {
	var use HedgeUse
	answered := false
	for i := range e.Attempts {
		a := &e.Attempts[i]
		if a.Hedge {
			use.Started++
		}
		winner := a.Outcome == Answered && !answered
		answered = answered || winner
		switch {
		case winner:
			use.Won = a.Hedge
		case a.Hedge, answered: // the attempts that still run when another one is answered end after it
			use.Wasted += a.Took
		}
	}
	if use.Started == 0 {
		return HedgeUse{}
	}
	return use
}
