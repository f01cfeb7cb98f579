package idempotency

import (
	"encoding/binary"
	"flag"
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "80", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	runtime.GOMAXPROCS(1) // the race detector of Go 1.26.8 crashes on timers of synctest bubbles on several processors
	os.Exit(m.Run())
}

// leaseTime is the lease duration F of the design page, and takeoverDelay is F + margin.
const (
	leaseTime     = 1500 * time.Millisecond
	takeoverDelay = 2 * time.Second
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func idAt(t time.Time, serial uint64) uuid.UUID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(t.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], serial)
	id[6], id[8] = 0x70, 0x80
	return id
}

// simHost is a host process of the simulation.
type simHost struct {
	member   fleet.Member
	ledger   *Ledger
	view     fleet.View
	skew     time.Duration
	leaseEnd time.Time // of an excluded host
	excluded bool
}

type simAttempt struct {
	op       int
	request  ClaimRequest
	deadline time.Time
	state    string // asking, granted, ended
}

// simulation runs several ledgers with a network that loses, delays and repeats messages.
type simulation struct {
	now      time.Time
	hosts    []*simHost
	epochs   []fleet.Epoch
	owners   [][Slots]fleet.Identity // by epoch; computing them for each use takes most of the time of the test
	network  []func()
	ops      []Key
	runs     map[int]int
	attempts []*simAttempt
	serial   uint64
}

func newSimulation() *simulation {
	s := &simulation{now: origin, runs: make(map[int]int)}
	for _, skew := range []time.Duration{0, 500 * time.Millisecond, -500 * time.Millisecond} {
		s.addHost(skew)
	}
	s.changeEpoch()
	for _, h := range s.hosts {
		s.learn(h, 1)
	}
	return s
}

func (s *simulation) addHost(skew time.Duration) {
	s.serial++
	member := fleet.Member{
		ID: fleet.HostID(fmt.Sprint("h", s.serial)), Incarnation: fleet.Incarnation(s.serial), Capacity: 1, State: fleet.Active,
	}
	s.hosts = append(s.hosts, &simHost{member: member, ledger: NewLedger(8 * recordBytes), skew: skew})
}

func (s *simulation) changeEpoch() {
	epoch := fleet.Epoch{Number: uint64(len(s.epochs) + 1)}
	for _, h := range s.hosts {
		if !h.excluded {
			epoch.Members = append(epoch.Members, h.member)
		}
	}
	s.epochs = append(s.epochs, epoch)
	var owners [Slots]fleet.Identity
	for slot := range owners {
		if owner, ok := epoch.Owner(SlotKey(slot)); ok {
			owners[slot] = owner.Identity()
		}
	}
	s.owners = append(s.owners, owners)
}

func (s *simulation) learn(h *simHost, number uint64) {
	if number <= h.view.Epoch.Number {
		return
	}
	h.view = fleet.View{Self: h.member.Identity(), Epoch: s.epochs[number-1], TakeoverAt: s.now.Add(takeoverDelay)}
	self := h.member.Identity()
	h.ledger.EnterEpoch(s.moment(h), &h.view, func(slot int) bool { return s.owners[number-1][slot] == self })
}

func (s *simulation) active(h *simHost) bool { return !h.excluded || s.now.Before(h.leaseEnd) }

func (s *simulation) moment(h *simHost) ClockReading {
	wall := s.now.Add(h.skew)
	return ClockReading{Now: s.now, Wall: wall, WallAfter: wall, ClockOK: true}
}

// send delivers most messages at once. The others are delivered at a later time, twice, or never.
func (s *simulation) send(t *rapid.T, deliver func()) {
	fate := s.draw(t, 10)
	if fate >= 3 {
		deliver()
	}
	if fate < 4 {
		s.network = append(s.network, deliver)
	}
}

// draw returns a value that is uniform in [0, n). The integer generators of rapid prefer small values.
func (s *simulation) draw(t *rapid.T, n int) int {
	values := make([]int, n)
	for i := range values {
		values[i] = i
	}
	return rapid.SampledFrom(values).Draw(t, "choice")
}

func (s *simulation) owner(epoch uint64, key *Key) *simHost {
	owner := s.owners[epoch-1][key.Slot()]
	for _, h := range s.hosts {
		if h.member.Identity() == owner {
			return h
		}
	}
	return nil
}

func (s *simulation) host(t *rapid.T) *simHost {
	return s.hosts[s.draw(t, len(s.hosts))]
}

// sendClaim sends the claim of an attempt to the owner in some epoch that its host may know.
func (s *simulation) sendClaim(t *rapid.T, a *simAttempt) {
	owner := s.owner(s.someEpoch(t), &a.request.Key)
	if owner == nil {
		return
	}
	s.send(t, func() {
		if !s.active(owner) {
			return
		}
		decision := owner.ledger.Claim(s.moment(owner), a.request)
		s.checkNotRun(t, a.op, decision)
		s.send(t, func() { s.receiveDecision(t, a, decision) })
	})
}

// someEpoch returns the newest epoch most of the time, and otherwise one that a slow host may still be in.
func (s *simulation) someEpoch(t *rapid.T) uint64 {
	back := max(0, s.draw(t, 6)-3)
	return uint64(max(1, len(s.epochs)-back))
}

func (s *simulation) checkNotRun(t *rapid.T, op int, d Decision) {
	outcome := d.Outcome
	if outcome == "" && d.Verdict == Rejected {
		outcome = errkind.ResponseFor(d.Kind).Outcome
	}
	if outcome == errkind.NotRun && s.runs[op] > 0 {
		t.Fatalf("operation %d ran, but %s has the outcome not run", op, d.Kind)
	}
}

// receiveDecision simulates the host of an attempt when the response to its claim arrives. The host runs the operation,
// ends the attempt without a run, or dies.
func (s *simulation) receiveDecision(t *rapid.T, a *simAttempt, d Decision) {
	if a.state != "asking" || d.Verdict != Granted {
		return
	}
	a.state = "granted"
	if s.runs[a.op] > 0 {
		t.Fatalf("operation %d was granted after it ran", a.op)
	}
	switch rapid.SampledFrom([]string{"run", "run", "run", "not run", "die before", "die after"}).Draw(t, "fate") {
	case "run":
		s.runs[a.op]++
		s.complete(t, a, Result{State: Done, Status: 200})
	case "not run":
		s.complete(t, a, Result{State: NotRun})
	case "die after":
		s.runs[a.op]++
	}
}

// complete sends a result to the owners of several epochs, like a host that repeats it and learns of new epochs meanwhile.
func (s *simulation) complete(t *rapid.T, a *simAttempt, result Result) {
	a.state = "ended"
	for range 1 + s.draw(t, 2) {
		owner := s.owner(s.someEpoch(t), &a.request.Key)
		if owner == nil {
			continue
		}
		s.send(t, func() {
			if s.active(owner) {
				owner.ledger.Complete(s.moment(owner), a.request, result)
			}
		})
	}
}

// transfer sends another host the state of the slots that it owns.
func (s *simulation) transfer(from, to *simHost, send func(func())) {
	epoch := from.view.Epoch.Number
	var transfers []Transfer
	for slot := range Slots {
		if epoch == 0 || s.owners[epoch-1][slot] != to.member.Identity() {
			continue
		}
		if transfer, ok := from.ledger.Outgoing(s.moment(from), slot); ok {
			transfers = append(transfers, transfer)
		}
	}
	send(func() {
		if to.view.Epoch.Number != epoch {
			return
		}
		for i := range transfers {
			if !to.ledger.Accept(s.moment(to), epoch, &transfers[i]) {
				return
			}
		}
		to.ledger.Release(from.member.Identity(), epoch)
		send(func() {
			for _, transfer := range transfers {
				from.ledger.Forget(transfer.Slot, epoch)
			}
		})
	})
}

// TestLedgerRunsOperationsOnce guards against a second run of an operation, and against the outcome "not run" for an
// operation that ran. They could come from owner changes, lost, late and repeated messages, dead hosts, evictions, and wall
// clocks that differ by up to 1 s.
func TestLedgerRunsOperationsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"claim": s.actClaim, "claim2": s.actClaim, "claim3": s.actClaim,
			"deliver": s.actDeliver, "deliver2": s.actDeliver,
			"time":   func(t *rapid.T) { s.now = s.now.Add(time.Duration(s.draw(t, 12)) * 100 * time.Millisecond) },
			"tick":   func(t *rapid.T) { h := s.host(t); h.ledger.Tick(s.moment(h)) },
			"learn":  s.actLearn,
			"hand":   func(t *rapid.T) { s.transfer(s.host(t), s.host(t), func(m func()) { s.send(t, m) }) },
			"settle": func(t *rapid.T) { s.settle(func() bool { return s.draw(t, 8) > 0 }) },
			"epoch":  s.actEpoch,
			"turn":   s.actTurnover, "turn2": s.actTurnover,
			"abandon": s.actAbandon,
			"":        s.check,
		})
	})
}

func (s *simulation) actClaim(t *rapid.T) {
	op := len(s.ops)
	if op > 0 && s.draw(t, 3) > 0 {
		op = max(0, op-1-s.draw(t, 8)) // callers mostly repeat operations of the last seconds
	}
	if op == len(s.ops) {
		ahead := time.Duration(s.draw(t, 31)-5) * 100 * time.Millisecond
		s.serial++
		s.ops = append(s.ops, Key{Customer: "c", ID: idAt(s.now.Add(ahead), s.serial)})
	}
	s.serial++
	request := ClaimRequest{Key: s.ops[op], Attempt: idAt(s.now, s.serial), Remaining: 2 * time.Second}
	a := &simAttempt{op: op, request: request, deadline: s.now.Add(2 * time.Second), state: "asking"}
	s.attempts = append(s.attempts, a)
	s.sendClaim(t, a)
	if a.state == "asking" && s.draw(t, 2) == 0 {
		s.sendClaim(t, a)
	}
}

func (s *simulation) actDeliver(t *rapid.T) {
	if len(s.network) == 0 {
		t.Skip("no message")
	}
	i := s.draw(t, len(s.network))
	deliver := s.network[i]
	if s.draw(t, 4) > 0 {
		s.network = append(s.network[:i], s.network[i+1:]...)
	}
	deliver()
}

func (s *simulation) actLearn(t *rapid.T) {
	h := s.host(t)
	if h.excluded {
		return
	}
	s.learn(h, min(uint64(len(s.epochs)), h.view.Epoch.Number+1+uint64(s.draw(t, 2))))
}

// actEpoch adds a host, excludes one, or lets one leave gracefully.
func (s *simulation) actEpoch(t *rapid.T) {
	if len(s.epochs) > 30 {
		return
	}
	h := s.host(t)
	switch rapid.SampledFrom([]string{"join", "exclude", "leave"}).Draw(t, "change") {
	case "join":
		s.addHost(time.Duration(s.draw(t, 3)-1) * 500 * time.Millisecond)
	case "exclude":
		if !h.excluded && s.members() > 1 {
			h.excluded, h.leaseEnd = true, s.now.Add(leaseTime)
		}
	default:
		if s.members() > 1 {
			h.member.State = fleet.Leaving
		}
	}
	s.changeEpoch()
}

// actTurnover changes the epoch, hands slots over with some lost messages, and repeats operations from before the change.
func (s *simulation) actTurnover(t *rapid.T) {
	s.actEpoch(t)
	for range 2 {
		s.now = s.now.Add(time.Duration(s.draw(t, 13)) * 100 * time.Millisecond)
		s.settle(func() bool { return s.draw(t, 12) > 0 })
	}
	for range 3 {
		s.actClaim(t)
	}
}

func (s *simulation) members() int {
	n := 0
	for _, h := range s.hosts {
		if !h.excluded && h.member.State == fleet.Active {
			n++
		}
	}
	return n
}

// actAbandon ends an attempt whose claim has no response. The claim is released, and a late response is ignored.
func (s *simulation) actAbandon(t *rapid.T) {
	for _, a := range s.attempts {
		if a.state == "asking" && s.draw(t, 2) == 0 {
			s.complete(t, a, Result{State: NotRun})
			return
		}
	}
}

// settle makes the members learn the newest epoch and hand over their slots. A message is lost if reach returns false.
func (s *simulation) settle(reach func() bool) {
	for _, h := range s.hosts {
		for !h.excluded && reach() && h.view.Epoch.Number < uint64(len(s.epochs)) {
			s.learn(h, h.view.Epoch.Number+1)
		}
	}
	for _, from := range s.hosts {
		for _, to := range s.hosts {
			if from != to && !from.excluded && reach() {
				s.transfer(from, to, func(m func()) {
					if reach() {
						m()
					}
				})
			}
		}
	}
	for _, h := range s.hosts {
		h.ledger.Tick(s.moment(h))
	}
}

func (s *simulation) check(t *rapid.T) {
	for op, n := range s.runs {
		if n > 1 {
			t.Fatalf("operation %d ran %d times", op, n)
		}
	}
	for _, h := range s.hosts {
		if h.ledger.usedBytes > h.ledger.maxBytes && len(h.ledger.evictable) > 0 {
			t.Fatalf("records take %d bytes, want at most %d", h.ledger.usedBytes, h.ledger.maxBytes)
		}
	}
}
