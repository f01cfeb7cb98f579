package dispatchclient

import (
	"context"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/dispatch"
	"github.com/bronzeyard/bronzeyard/gateway/gossip"
	"github.com/bronzeyard/bronzeyard/settings"
)

// Place is a data centre with upstreams of a service, and the hosts to ask for their slots, in the order of preference.
type Place struct {
	DataCentre  string
	Dispatchers []string
	// Connected lists the upstreams of the data centre to which this host has an idle connection, and Unreachable those to which it could
	// not connect lately, as in dispatch.Request.
	Connected, Unreachable []uint32
}

// Attempt is an attempt of a request that needs a slot.
type Attempt struct {
	Service settings.ServiceName
	// Request describes the attempt. Its ID, Remote and hints are set by Acquire.
	Request dispatch.Request
	// Home is where the request waits for a slot if none is free. Others are asked only for slots that are free.
	Home   Place
	Others []Place
}

// Grant is a granted slot. Client.Release must be called once.
type Grant struct {
	// Dispatcher is the host that granted it.
	Dispatcher string
	id         gossip.DispatcherID
	reply      dispatch.Reply
}

// Upstream returns the upstream of the slot.
func (g *Grant) Upstream() settings.UpstreamID { return g.reply.Upstream }

// Trial reports whether the attempt is a half-open trial.
func (g *Grant) Trial() bool { return g.reply.Trial }

// Load returns the load of the upstream as a share of its slots.
func (g *Grant) Load() float64 { return g.reply.Load }

// Fallback is the reason for which the host has to place a request itself.
type Fallback string

// Reasons of a fallback.
const (
	// NoDispatcher means that no host can be asked.
	NoDispatcher Fallback = "no_dispatcher"
	// NoReply means that the dispatcher did not reply in time.
	NoReply Fallback = "no_reply"
	// Lost means that the dispatcher with which the request was queued has stopped replying.
	Lost Fallback = "lost"
	// NoSlot means that no dispatcher has an upstream to which the request could be sent.
	NoSlot Fallback = "no_slot"
)

// Result is the result of Acquire. Exactly one of Grant, Rejected, Ended and Fallback is set.
type Result struct {
	Grant *Grant
	// Rejected is true if the request cannot be served within its time limit. RetryAfter is when capacity is expected.
	Rejected   bool
	RetryAfter time.Duration
	// Ended is true if the context has ended.
	Ended bool
	// Fallback is the reason for which the host places the request itself.
	Fallback Fallback
	// Dispatcher is the host that was asked in the home data centre or has granted the slot, and Wait the time for which Acquire waited.
	Dispatcher string
	Wait       time.Duration
}

// askState is the state of one ask.
type askState int

const (
	// asked waits for the first reply.
	asked askState = iota + 1
	// queued waits for the grant.
	queued
	// repeated waits for the reply to a repeated ask of a queued request.
	repeated
	// done has ended.
	done
)

// ask is a request for a slot that was sent to one dispatcher.
type ask struct {
	gossip.DispatchAsk
	host  string
	state askState
	due   time.Time // end of the current state
	// sentAt is when the ask was last sent.
	sentAt time.Time
	// extended is true if due was moved because this process was short of processor time.
	extended bool
}

// wait is the state of one Acquire call.
type wait struct {
	*Client
	attempt *Attempt
	replies chan dispatch.Reply
	asks    []*ask // the first one is at the home data centre
	// rejection is the result of the home data centre if it has rejected the request and no other one grants a slot.
	rejection *Result
	// othersAskedAt is when the other data centres were asked last.
	othersAskedAt time.Time
}

// maxReplies is the number of replies that may be unread for one request. Grants that do not fit are released.
const maxReplies = 16

// Acquire asks for a slot, and waits for it until ctx ends if the request is queued.
func (c *Client) Acquire(ctx context.Context, attempt *Attempt) Result {
	start := time.Now()
	w := &wait{Client: c, attempt: attempt, replies: make(chan dispatch.Reply, maxReplies)}
	result := w.run(ctx, start)
	w.end()
	result.Wait = time.Since(start)
	if result.Dispatcher == "" && len(w.asks) > 0 {
		result.Dispatcher = w.asks[0].host
	}
	return result
}

func (w *wait) run(ctx context.Context, now time.Time) Result {
	if !w.ask(now, w.attempt.Home, false) {
		return Result{Fallback: NoDispatcher}
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		due := w.nextDue()
		timer.Reset(time.Until(due))
		select {
		case reply := <-w.replies:
			if result, ended := w.apply(time.Now(), reply); ended {
				return result
			}
		case <-timer.C:
			if len(w.replies) > 0 {
				continue // a reply that has arrived counts, also if the timer has fired
			}
			now := time.Now()
			if now.Sub(due) > maxTimerDelay && w.extend(due, now.Add(lateGrace)) {
				continue
			}
			if result, ended := w.expire(now); ended {
				return result
			}
		case <-ctx.Done():
			return Result{Ended: true}
		}
	}
}

// ask sends an ask to the dispatcher of a place. It reports false if there is none.
func (w *wait) ask(now time.Time, place Place, remote bool) bool {
	host, ok := w.choose(now, place.Dispatchers)
	if !ok {
		return false
	}
	a := &ask{host: host, state: asked}
	a.DispatcherID = gossip.DispatcherID{Service: w.attempt.Service, DataCentre: place.DataCentre}
	a.Request = w.attempt.Request
	a.Request.ID, a.Request.Remote = w.register(w), remote
	if remote {
		a.Request.Rejected = 0 // stated to the home data centre
	}
	a.Request.Connected, a.Request.Unreachable = place.Connected, place.Unreachable
	a.due = now.Add(w.noteSent(now, a))
	w.asks = append(w.asks, a)
	if !w.send(a) {
		a.state = done
		w.forget(a.Request.ID.Number)
		return false
	}
	return true
}

// noteSent records that an ask was sent, and returns the time within which its reply is expected.
func (w *wait) noteSent(now time.Time, a *ask) time.Duration {
	a.sentAt = now
	minimum := replyTimeout
	remote := a.DataCentre != w.options.DataCentre
	if remote {
		minimum = remoteReplyTimeout
	}
	if target := a.Request.Target; !target.IsZero() {
		minimum = max(minimum, min(target.Sub(now)/targetFraction, maxReplyTimeout))
	}
	return w.Client.noteSent(now, a.Request.ID.Number, remote, minimum)
}

func (w *wait) send(a *ask) bool {
	return w.options.Send(a.host, &gossip.DispatchMessage{Asks: []gossip.DispatchAsk{a.DispatchAsk}})
}

// nextDue returns the earliest end of a state.
func (w *wait) nextDue() time.Time {
	var next time.Time
	for _, a := range w.asks {
		if a.state != done && (next.IsZero() || a.due.Before(next)) {
			next = a.due
		}
	}
	return next
}

// extend moves the ends of states that wait for a reply and were due at a time. It reports whether there were any.
func (w *wait) extend(due, until time.Time) (extended bool) {
	for _, a := range w.asks {
		if (a.state == asked || a.state == repeated) && !a.due.After(due) && !a.extended {
			a.due, a.extended, extended = until, true, true
		}
	}
	return extended
}

// apply processes a reply. It reports whether the wait has ended.
func (w *wait) apply(now time.Time, reply dispatch.Reply) (result Result, ended bool) {
	for i, a := range w.asks {
		if a.Request.ID != reply.ID {
			continue
		}
		if a.state == done {
			if reply.Kind == dispatch.Granted { // it arrived while the ask was being withdrawn
				w.returnGrant(reply)
			}
			continue
		}
		home := i == 0
		switch reply.Kind {
		case dispatch.Granted:
			a.state = done
			grant := &Grant{Dispatcher: a.host, id: a.DispatcherID, reply: reply}
			return Result{Grant: grant, Dispatcher: a.host}, true
		case dispatch.Rejected:
			w.finish(a)
			if home {
				// Load is uneven: another data centre may have a free slot.
				w.rejection = &Result{Rejected: true, RetryAfter: reply.RetryAfter}
				w.askOthers(now)
			}
		case dispatch.Queued:
			if !home {
				w.withdraw(a)
				break
			}
			first := a.state == asked
			a.state, a.due, a.extended = queued, now.Add(repeatInterval), false
			if first {
				w.askOthers(now)
			}
		default: // Full
			w.finish(a)
			if home && !w.attempt.Request.Hedge {
				w.askOthers(now)
			}
		}
	}
	return w.checkExhausted()
}

// askOthers asks the dispatchers of the other data centres from which no reply is due.
func (w *wait) askOthers(now time.Time) {
	if w.attempt.Request.Hedge {
		return
	}
	w.othersAskedAt = now
	for _, place := range w.attempt.Others {
		w.ask(now, place, true)
	}
}

// expire processes the states that have ended without a reply. It reports whether the wait has ended.
func (w *wait) expire(now time.Time) (result Result, ended bool) {
	for i, a := range w.asks {
		if a.state == done || now.Before(a.due) {
			continue
		}
		switch a.state {
		case queued:
			a.state, a.due = repeated, now.Add(w.noteSent(now, a))
			w.send(a)
			if now.Sub(w.othersAskedAt) >= remoteRepeatInterval {
				w.askOthers(now)
			}
		default: // asked, repeated
			reason := NoReply
			if a.state == repeated {
				reason = Lost
			}
			w.withdraw(a)
			w.noteSilence(now, a.sentAt, a.host)
			if i == 0 {
				return Result{Fallback: reason}, true
			}
		}
	}
	return w.checkExhausted()
}

// checkExhausted ends the wait if every ask has ended.
func (w *wait) checkExhausted() (result Result, ended bool) {
	for _, a := range w.asks {
		if a.state != done {
			return Result{}, false
		}
	}
	if w.rejection != nil {
		return *w.rejection, true
	}
	return Result{Fallback: NoSlot}, true
}

// finish ends an ask that the dispatcher no longer holds.
func (w *wait) finish(a *ask) {
	a.state = done
	w.forget(a.Request.ID.Number)
}

// withdraw ends an ask that the dispatcher may still hold.
func (w *wait) withdraw(a *ask) {
	w.finish(a)
	w.options.Send(a.host, &gossip.DispatchMessage{
		Withdrawals: []gossip.DispatchWithdrawal{{DispatcherID: a.DispatcherID, ID: a.Request.ID}},
	})
}

// end withdraws the asks that are left and releases the grants that were not used.
func (w *wait) end() {
	for _, a := range w.asks {
		if a.state != done {
			w.withdraw(a)
		}
	}
	for {
		select {
		case reply := <-w.replies:
			if reply.Kind == dispatch.Granted {
				w.returnGrant(reply)
			}
		default:
			return
		}
	}
}

func (w *wait) returnGrant(reply dispatch.Reply) {
	for _, a := range w.asks {
		if a.Request.ID == reply.ID {
			w.Release(&Grant{Dispatcher: a.host, id: a.DispatcherID, reply: reply}, dispatch.Release{Outcome: dispatch.Unused})
		}
	}
}
