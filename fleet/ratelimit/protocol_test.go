package ratelimit

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// Durations of the membership.
const (
	leaseTTL      = 1500 * time.Millisecond
	takeoverDelay = 2 * time.Second
)

// protocolHost is one process: a holder and, in some epochs, the owner of the only customer.
type protocolHost struct {
	id     fleet.Identity
	holder Holder
	owner  *Owner
	// drift is the offset of the host's clock. It changes by less than ClockDriftMargin.
	drift time.Duration
	// epoch is the newest epoch that the host has learned, reportedIn the newest in which an owner has handled its report.
	epoch, reportedIn uint64
	// lease is the end of the host's activity lease, in true time.
	lease time.Time
}

type request struct {
	from   fleet.Identity
	to     int
	epoch  uint64
	report Report
}

type response struct {
	to    fleet.Identity
	grant Grant
}

// protocol is a fleet whose messages can be lost, duplicated and delayed. Its membership works as in design section 3.
type protocol struct {
	now        time.Time
	limits     Limits
	hosts      []*protocolHost
	epoch      uint64
	ownerAt    int
	takeoverAt time.Time
	members    []fleet.Identity
	seq        uint64
	requests   []request
	responses  []response
	checker    *Checker
	admitted   int
	last       total
	// handled are the sequence numbers of the reports that an owner has handled.
	handled map[uint64]bool
	// handledAt is the time of the newest grant.
	handledAt time.Time
	// clockGain is the sum of the times by which the hosts' clocks were set forward. A clock that is set forward by d refills up
	// to rate*d more tokens.
	clockGain time.Duration
}

func newProtocol(hosts int, limits Limits) *protocol {
	p := &protocol{now: time.Unix(1000, 0), limits: limits, epoch: 1, handled: make(map[uint64]bool)}
	p.checker = NewChecker(p.now, limits)
	for i := range hosts {
		h := &protocolHost{epoch: 1, reportedIn: 1, lease: p.now.Add(leaseTTL)}
		h.id = fleet.Identity{ID: fleet.HostID(rune('a' + i)), Incarnation: 1}
		h.holder = NewHolder(p.now, limits)
		p.hosts = append(p.hosts, h)
		p.members = append(p.members, h.id)
	}
	p.hosts[0].owner = NewOwner(p.now, limits, 1)
	return p
}

func (p *protocol) time(h *protocolHost) time.Time { return p.now.Add(h.drift) }
func (p *protocol) active(h *protocolHost) bool    { return p.now.Before(h.lease) }
func (p *protocol) isMember(identity fleet.Identity) bool {
	return slices.Contains(p.members, identity)
}

// renewLease extends the lease of a member that has learned the newest epoch.
func (p *protocol) renewLease(h *protocolHost) {
	if p.isMember(h.id) && h.epoch == p.epoch {
		h.lease = p.now.Add(leaseTTL)
	}
}

// learnEpoch makes a host learn the newest epoch.
func (p *protocol) learnEpoch(i int) {
	h := p.hosts[i]
	if h.epoch == p.epoch || !p.isMember(h.id) {
		return
	}
	keeps := h.owner != nil && h.epoch+1 == p.epoch && p.ownerAt == i && h.owner.Granting()
	h.epoch = p.epoch
	h.holder.Abandon(p.time(h))
	h.holder.EndEpoch()
	switch {
	case keeps:
		h.owner.Exclude(p.takeoverAt.Add(h.drift), p.isMember)
	case p.ownerAt == i:
		h.owner = NewSuccessorOwner(p.time(h), p.limits)
	default:
		h.owner = nil
	}
	p.renewLease(h)
}

// changeEpoch starts an epoch with a new owner and may exclude a host. The excluded host, the former owner and the hosts that
// have not learned the epoch stay active until their lease ends, which is before the takeover time.
func (p *protocol) changeEpoch(owner, excluded int) {
	p.epoch++
	p.ownerAt = owner
	if excluded >= 0 && excluded != owner {
		p.members = slices.DeleteFunc(p.members, func(id fleet.Identity) bool { return id == p.hosts[excluded].id })
	}
	p.takeoverAt = p.now.Add(takeoverDelay)
	p.learnEpoch(owner)
}

// send queues a report to the host that is the owner according to the sender.
func (p *protocol) send(i int, want, demand float64) {
	h := p.hosts[i]
	owner := p.ownerAt
	if h.epoch != p.epoch {
		owner = slices.IndexFunc(p.hosts, func(o *protocolHost) bool { return o.owner != nil && o.epoch == h.epoch })
	}
	if owner < 0 {
		owner = p.ownerAt
	}
	p.seq++
	report := h.holder.Report(p.time(h), p.seq, demand, want)
	p.requests = append(p.requests, request{from: h.id, to: owner, epoch: h.epoch, report: report})
}

// release queues a report that returns the slice and the borrowed tokens.
func (p *protocol) release(i int) {
	h := p.hosts[i]
	p.seq++
	report := h.holder.Release(p.time(h), p.seq)
	p.requests = append(p.requests, request{from: h.id, to: p.ownerAt, epoch: h.epoch, report: report})
}

// deliver handles request i at its receiver. If duplicate is true, the request stays queued to be delivered again.
func (p *protocol) deliver(i int, duplicate bool) {
	r := p.requests[i]
	if !duplicate {
		p.requests = slices.Delete(p.requests, i, i+1)
	}
	owner := p.hosts[r.to]
	if owner.owner == nil || owner.epoch != r.epoch || !p.active(owner) {
		return
	}
	grant := owner.owner.Handle(p.time(owner), r.from, r.report, SliceTTL)
	p.responses = append(p.responses, response{to: r.from, grant: grant})
	p.handledAt = p.now
	p.handled[r.report.Seq] = true
	if h := p.hostOf(r.from); h != nil {
		h.reportedIn = max(h.reportedIn, r.epoch)
	}
	p.startOwner(owner)
}

func (p *protocol) hostOf(id fleet.Identity) *protocolHost {
	i := slices.IndexFunc(p.hosts, func(h *protocolHost) bool { return h.id == id })
	if i < 0 {
		return nil
	}
	return p.hosts[i]
}

// startOwner makes an owner grant after the takeover time, and after all members have reported or the last slice has expired.
func (p *protocol) startOwner(h *protocolHost) {
	if h.owner.Granting() || h.epoch != p.epoch || p.now.Before(p.takeoverAt) {
		return
	}
	reported := func(id fleet.Identity) bool { return p.hostOf(id).reportedIn == p.epoch }
	missing := slices.ContainsFunc(p.members, func(id fleet.Identity) bool { return !reported(id) })
	if !missing || !p.now.Before(p.takeoverAt.Add(SliceTTL+ClockDriftMargin)) {
		h.owner.StartGranting(p.time(h))
	}
}

func (p *protocol) receive(i int, duplicate bool) {
	a := p.responses[i]
	if !duplicate {
		p.responses = slices.Delete(p.responses, i, i+1)
	}
	if h := p.hostOf(a.to); h != nil {
		h.holder.Apply(p.time(h), a.grant)
	}
}

func (p *protocol) take(i, n int) {
	h := p.hosts[i]
	for range n {
		if p.active(h) && h.holder.Take(p.time(h)) {
			p.checker.Record(p.now.Add(p.clockGain))
			p.admitted++
		}
	}
}

// restart replaces a host's process. The former incarnation is no longer a member and the new one holds nothing.
func (p *protocol) restart(i int) {
	h := p.hosts[i]
	p.members = slices.DeleteFunc(p.members, func(id fleet.Identity) bool { return id == h.id })
	h.id.Incarnation++
	h.holder = NewHolder(p.time(h), p.limits)
	h.owner = nil
	h.lease = p.now
	p.members = append(p.members, h.id)
	next := p.ownerAt
	if next == i {
		next = (i + 1) % len(p.hosts)
	}
	if !p.isMember(p.hosts[next].id) {
		next = i
	}
	p.changeEpoch(next, -1)
	p.learnEpoch(i)
}

// setLimits applies new limits to all hosts at once and to the checker.
func (p *protocol) setLimits(limits Limits) {
	p.limits = limits
	p.checker.SetLimits(p.now.Add(p.clockGain), limits)
	for _, h := range p.hosts {
		h.holder.SetLimits(p.time(h), limits)
		if h.owner != nil {
			h.owner.SetLimits(p.time(h), limits)
		}
	}
}

// sums returns sums over all active hosts and the owner: the tokens that can still be used, including those in flight, in
// bursts, and the rates in shares.
func (p *protocol) sums() (tokens float64, rate uint32) {
	for _, h := range p.hosts {
		now := p.time(h)
		if h.owner != nil && h.owner.Granting() && h.epoch == p.epoch {
			h.owner.expireLoans(now)
			tokens += max(0, h.owner.reserve.Tokens(now))
			free, _ := h.owner.unallocated()
			rate += free
		}
		if !p.active(h) {
			continue
		}
		h.holder.expire(now)
		tokens += h.holder.bucket.Tokens(now) + h.holder.borrowed + h.holder.pendingReturn + p.inFlight(h)
		rate += h.holder.rate
	}
	return tokens, rate
}

// inFlight returns the tokens of a response that the host would still apply, in bursts.
func (p *protocol) inFlight(h *protocolHost) float64 {
	for _, a := range p.responses {
		if a.to == h.id && a.grant.Seq == h.holder.outstandingSeq && !a.grant.Stale {
			age := time.Duration(p.time(h).UnixNano() - h.holder.sentAt)
			if age >= effectiveTTL(a.grant.TTL) {
				return 0
			}
			if age >= BorrowTTL {
				return tokensFraction(a.grant.Tokens)
			}
			return tokensFraction(a.grant.Tokens) + tokensFraction(a.grant.Borrowed)
		}
	}
	return 0
}

// check checks the bound on admissions, tokens and rates.
func (p *protocol) check(t *rapid.T) {
	if p.checker.Violations() > 0 {
		t.Fatalf("admitted %v tokens over rate and burst", p.checker.MaxExcess())
	}
	tokens, rate := p.sums()
	if tokens > 1+1e-8 {
		t.Fatalf("tokens sum to %v bursts", tokens)
	}
	if rate > WholeShare {
		t.Fatalf("rates sum to %v of %v", rate, WholeShare)
	}
	p.checkGrowth(t)
}

// total is the sum of all tokens at one moment, in bursts.
type total struct {
	tokens float64
	at     time.Time
	limits Limits
}

// checkGrowth checks that a step in which no time passed has not increased the sum of all tokens: tokens are transferred and
// never copied. The sum includes the tokens of inactive hosts, former owners and messages.
func (p *protocol) checkGrowth(t *rapid.T) {
	now := total{at: p.now.Add(p.clockGain), limits: p.limits}
	for _, h := range p.hosts {
		h.holder.expire(p.time(h))
		now.tokens += h.holder.bucket.Tokens(p.time(h)) + h.holder.borrowed + h.holder.pendingReturn + p.inFlight(h)
		if h.owner != nil && h.owner.Granting() {
			now.tokens += max(0, h.owner.reserve.Tokens(p.time(h)))
		}
	}
	for _, r := range p.requests {
		if !p.handled[r.report.Seq] {
			now.tokens += tokensFraction(r.report.Returned)
		}
	}
	last := p.last
	p.last = now
	if last.at != now.at || last.limits != now.limits {
		return
	}
	if grown := now.tokens - last.tokens; grown > 1e-8 {
		t.Fatalf("sum of all tokens increased by %v bursts although no time has passed", grown)
	}
}

// Guards the bound on admissions by rate and burst (invariant I5) with lost, duplicated and delayed messages, replaced owners,
// paused and restarted holders, changed limits and clock drift.
func TestProtocolBound(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Rate:  rapid.SampledFrom([]float64{2, 20, 300}).Draw(t, "rate"),
			Burst: rapid.SampledFrom([]float64{1, 7, 40, 600}).Draw(t, "burst"),
		}
		p := newProtocol(4, limits)
		t.Repeat(p.actions())
		total += p.admitted
	})
	if total < 50_000 {
		t.Fatalf("%d admissions, want at least 50000: the test does not exercise the protocol", total)
	}
}

// actions returns the steps of the random test. Their names determine the order of the choices for a seed.
func (p *protocol) actions() map[string]func(*rapid.T) {
	host := rapid.IntRange(0, len(p.hosts)-1)
	return map[string]func(*rapid.T){
		"":         p.check,
		"take":     func(t *rapid.T) { p.take(host.Draw(t, "host"), rapid.IntRange(1, 60).Draw(t, "n")) },
		"take all": func(*rapid.T) { p.takeAll() },
		"send":     func(t *rapid.T) { p.sendRandom(t, host.Draw(t, "host")) },
		"exchange": func(t *rapid.T) {
			p.sendRandom(t, host.Draw(t, "host"))
			p.deliverAny(t, len(p.requests)-1)
			p.receiveAny(t, len(p.responses)-1)
		},
		"slow response": func(t *rapid.T) {
			p.sendRandom(t, host.Draw(t, "host"))
			p.deliver(len(p.requests)-1, false)
			p.advance(t, 1400)
		},
		"to expiry": func(t *rapid.T) {
			p.changeDrift(t, host.Draw(t, "host"))
			before := time.Duration(rapid.IntRange(-100, 400).Draw(t, "before")) * time.Millisecond
			p.advanceUntil(t, p.handledAt.Add(SliceTTL-before))
		},
		"release":       func(t *rapid.T) { p.release(host.Draw(t, "host")) },
		"healthy round": func(t *rapid.T) { p.healthyRound(t) },
		"deliver":       func(t *rapid.T) { p.deliverAny(t, rapid.IntRange(0, 20).Draw(t, "request")) },
		"receive":       func(t *rapid.T) { p.receiveAny(t, rapid.IntRange(0, 20).Draw(t, "response")) },
		"lose": func(*rapid.T) {
			p.requests = p.requests[min(1, len(p.requests)):]
			p.responses = p.responses[min(1, len(p.responses)):]
		},
		"learn": func(t *rapid.T) { p.learnEpoch(host.Draw(t, "host")) },
		"replace owner": func(t *rapid.T) {
			owner := host.Draw(t, "owner")
			if rapid.IntRange(0, 3).Draw(t, "rarely") == 0 && p.isMember(p.hosts[owner].id) {
				p.changeEpoch(owner, rapid.IntRange(-4, 3).Draw(t, "excluded"))
			}
		},
		"restart": func(t *rapid.T) {
			if i := host.Draw(t, "host"); rapid.IntRange(0, 3).Draw(t, "rarely") == 0 {
				p.restart(i)
			}
		},
		"limits": func(t *rapid.T) {
			factor := rapid.SampledFrom([]float64{0.3, 0.9, 1.5, 3}).Draw(t, "factor")
			p.setLimits(Limits{Rate: p.limits.Rate * factor, Burst: max(1, p.limits.Burst*factor)})
		},
		"drift":      func(t *rapid.T) { p.changeDrift(t, host.Draw(t, "host")) },
		"short time": func(t *rapid.T) { p.advance(t, 200) },
		"time":       func(t *rapid.T) { p.advance(t, 1400) },
		"long time":  func(t *rapid.T) { p.advance(t, 14_000) },
	}
}

// changeDrift sets a host's clock. Each clock has an offset between -100 ms and 100 ms, so the difference between two clocks
// changes by at most 400 ms over any time. That is less than ClockDriftMargin.
func (p *protocol) changeDrift(t *rapid.T, i int) {
	drift := time.Duration(rapid.SampledFrom([]int{-100, 0, 100}).Draw(t, "ms")) * time.Millisecond
	p.clockGain += max(0, drift-p.hosts[i].drift)
	p.hosts[i].drift = drift
	// A clock that is set back can make an expired response valid again.
	p.last = total{}
}

// healthyRound makes every member learn the epoch and renew, without faults or delay.
func (p *protocol) healthyRound(t *rapid.T) {
	for i := range p.hosts {
		p.learnEpoch(i)
		p.sendRandom(t, i)
		p.deliver(len(p.requests)-1, false)
		if n := len(p.responses); n > 0 {
			p.receive(n-1, false)
		}
	}
}

func (p *protocol) takeAll() {
	for i := range p.hosts {
		p.take(i, 1000)
	}
}

func (p *protocol) sendRandom(t *rapid.T, i int) {
	p.send(i, float64(rapid.IntRange(0, 10).Draw(t, "want")), p.limits.Rate*rapid.Float64Range(0, 1).Draw(t, "demand"))
}

func (p *protocol) deliverAny(t *rapid.T, i int) {
	if i >= 0 && len(p.requests) > 0 {
		p.deliver(i%len(p.requests), rapid.IntRange(0, 4).Draw(t, "duplicate") == 0)
	}
}

func (p *protocol) receiveAny(t *rapid.T, i int) {
	if i >= 0 && len(p.responses) > 0 {
		p.receive(i%len(p.responses), rapid.IntRange(0, 4).Draw(t, "duplicate") == 0)
	}
}

// advance advances the time by up to maxMs milliseconds and renews the leases of random hosts. The other hosts represent hosts
// that were paused or isolated.
func (p *protocol) advance(t *rapid.T, maxMs int) {
	p.advanceUntil(t, p.now.Add(time.Duration(rapid.IntRange(0, maxMs).Draw(t, "ms"))*time.Millisecond))
}

func (p *protocol) advanceUntil(t *rapid.T, until time.Time) {
	if until.After(p.now) {
		p.now = until
	}
	renewing := rapid.IntRange(0, 1<<len(p.hosts)-1).Draw(t, "renewing")
	for i, h := range p.hosts {
		if renewing&(1<<i) != 0 {
			p.renewLease(h)
		}
	}
}
