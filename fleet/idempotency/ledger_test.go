package idempotency

import (
	"encoding/binary"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.steps": "120"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// leaseTime and freeTime are the lease duration F and F + margin of the design page.
const (
	leaseTime = 1500 * time.Millisecond
	freeTime  = 2 * time.Second
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func idAt(t time.Time, serial uint64) uuid.UUID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(t.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], serial)
	id[6], id[8] = 0x70, 0x80
	return id
}

// simHost is one host process of the simulation.
type simHost struct {
	member   fleet.Member
	ledger   *Ledger
	view     fleet.View
	skew     time.Duration
	diesAt   time.Time // end of the lease of an excluded host
	excluded bool
}

type simAttempt struct {
	op       int
	request  ClaimRequest
	deadline time.Time
	state    string // asking, granted, ended
}

// simulation runs several ledgers against a network that loses, delays and repeats messages.
type simulation struct {
	now      time.Time
	hosts    []*simHost
	epochs   []fleet.Epoch
	owners   [][Slots]fleet.Identity // by epoch, since computing them anew takes most of the time of the test
	network  []func()
	ops      []Key
	runs     map[int]int
	attempts []*simAttempt
	serial   uint64
}

func newSimulation() *simulation {
	s := &simulation{now: origin, runs: make(map[int]int)}
	for range 3 {
		s.addHost(0)
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
	h.view = fleet.View{Self: h.member.Identity(), Epoch: s.epochs[number-1], FreeAt: s.now.Add(freeTime)}
	self := h.member.Identity()
	h.ledger.EnterEpoch(s.moment(h), &h.view, func(slot int) bool { return s.owners[number-1][slot] == self })
}

func (s *simulation) active(h *simHost) bool { return !h.excluded || s.now.Before(h.diesAt) }

func (s *simulation) moment(h *simHost) Moment {
	wall := s.now.Add(h.skew)
	return Moment{Now: s.now, Wall: wall, WallAfter: wall, ClockOK: true}
}

// send puts a message on the network; it may be delivered at any later time, twice, or never.
func (s *simulation) send(deliver func()) { s.network = append(s.network, deliver) }

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
	return s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")]
}

// ask sends the claim of an attempt to the owner in some epoch that its host may know.
func (s *simulation) ask(t *rapid.T, a *simAttempt) {
	owner := s.owner(s.someEpoch(t), &a.request.Key)
	if owner == nil {
		return
	}
	s.send(func() {
		if !s.active(owner) {
			return
		}
		decision := owner.ledger.Claim(s.moment(owner), a.request)
		s.checkNotRun(t, a.op, decision)
		s.send(func() { s.answer(t, a, decision) })
	})
}

func (s *simulation) someEpoch(t *rapid.T) uint64 {
	back := rapid.IntRange(0, min(2, len(s.epochs)-1)).Draw(t, "epochs back")
	return uint64(len(s.epochs) - back)
}

func (s *simulation) checkNotRun(t *rapid.T, op int, d Decision) {
	outcome := d.Outcome
	if outcome == "" && d.Verdict == Refused {
		outcome = errkind.Table(d.Kind).Outcome
	}
	if outcome == errkind.NotRun && s.runs[op] > 0 {
		t.Fatalf("operation %d ran, but %s says not run", op, d.Kind)
	}
}

// answer lets the host of an attempt run the operation, or end the attempt, when the answer to its claim arrives.
func (s *simulation) answer(t *rapid.T, a *simAttempt, d Decision) {
	if a.state != "asking" || d.Verdict != Granted {
		return
	}
	a.state = "granted"
	if s.runs[a.op] > 0 {
		t.Fatalf("operation %d is granted again after it ran", a.op)
	}
	switch rapid.SampledFrom([]string{"run", "run", "not run", "die before", "die after"}).Draw(t, "fate") {
	case "run":
		s.runs[a.op]++
		s.complete(t, a, Result{State: Done, Status: 200})
	case "not run":
		s.complete(t, a, Result{State: NotRun})
	case "die after":
		s.runs[a.op]++
	}
}

// complete sends a result to the owners of several epochs, as repeats by a host that learns of epochs meanwhile.
func (s *simulation) complete(t *rapid.T, a *simAttempt, result Result) {
	a.state = "ended"
	for range rapid.IntRange(1, 3).Draw(t, "copies") {
		owner := s.owner(s.someEpoch(t), &a.request.Key)
		if owner == nil {
			continue
		}
		s.send(func() {
			if s.active(owner) {
				owner.ledger.Complete(s.moment(owner), a.request, result)
			}
		})
	}
}

// transfer sends everything that a host knows about the slots of another to it.
func (s *simulation) transfer(from, to *simHost) {
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
	s.send(func() {
		if to.view.Epoch.Number != epoch {
			return
		}
		for i := range transfers {
			if !to.ledger.Accept(s.moment(to), epoch, &transfers[i]) {
				return
			}
		}
		to.ledger.Release(from.member.Identity(), epoch)
		s.send(func() {
			for _, transfer := range transfers {
				from.ledger.Forget(transfer.Slot, epoch)
			}
		})
	})
}

// TestLedgerRunsOperationsOnce guards against a second run of an operation, and against a false "not run", under owner
// changes, lost, late and repeated messages, dead hosts, evictions and wall clocks that differ by up to 1 s.
func TestLedgerRunsOperationsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"claim":   s.actClaim,
			"claim2":  s.actClaim,
			"deliver": s.actDeliver, "deliver2": s.actDeliver, "deliver3": s.actDeliver,
			"time": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"tick":    func(t *rapid.T) { h := s.host(t); h.ledger.Tick(s.moment(h)) },
			"learn":   s.actLearn,
			"learn2":  s.actLearn,
			"hand":    func(t *rapid.T) { s.transfer(s.host(t), s.host(t)) },
			"settle":  func(*rapid.T) { s.settle() },
			"epoch":   s.actEpoch,
			"abandon": s.actAbandon,
			"":        s.check,
		})
	})
}

func (s *simulation) actClaim(t *rapid.T) {
	op := rapid.IntRange(0, len(s.ops)).Draw(t, "op")
	if op == len(s.ops) {
		ahead := time.Duration(rapid.IntRange(-4000, 3500).Draw(t, "ahead")) * time.Millisecond
		s.serial++
		s.ops = append(s.ops, Key{Customer: "c", ID: idAt(s.now.Add(ahead), s.serial)})
	}
	s.serial++
	request := ClaimRequest{Key: s.ops[op], Attempt: idAt(s.now, s.serial), Remaining: 2 * time.Second}
	a := &simAttempt{op: op, request: request, deadline: s.now.Add(2 * time.Second), state: "asking"}
	s.attempts = append(s.attempts, a)
	s.ask(t, a)
	if rapid.Bool().Draw(t, "ask again") {
		s.ask(t, a)
	}
}

func (s *simulation) actDeliver(t *rapid.T) {
	if len(s.network) == 0 {
		t.Skip("no message")
	}
	i := rapid.IntRange(0, len(s.network)-1).Draw(t, "message")
	deliver := s.network[i]
	if rapid.IntRange(0, 3).Draw(t, "repeat") > 0 {
		s.network = append(s.network[:i], s.network[i+1:]...)
	}
	deliver()
}

func (s *simulation) actLearn(t *rapid.T) {
	h := s.host(t)
	if !s.active(h) || h.excluded {
		return
	}
	s.learn(h, uint64(rapid.IntRange(int(h.view.Epoch.Number), len(s.epochs)).Draw(t, "epoch")))
}

// actEpoch adds a host, excludes one, or lets one leave gracefully.
func (s *simulation) actEpoch(t *rapid.T) {
	if len(s.epochs) > 12 {
		return
	}
	h := s.host(t)
	switch rapid.SampledFrom([]string{"join", "exclude", "leave"}).Draw(t, "change") {
	case "join":
		s.addHost(time.Duration(rapid.IntRange(-500, 500).Draw(t, "skew")) * time.Millisecond)
	case "exclude":
		if !h.excluded && s.members() > 1 {
			h.excluded, h.diesAt = true, s.now.Add(leaseTime)
		}
	default:
		if s.members() > 1 {
			h.member.State = fleet.Leaving
		}
	}
	s.changeEpoch()
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

// actAbandon ends an attempt whose claim has no answer; the claim is given back and an answer that comes late is ignored.
func (s *simulation) actAbandon(t *rapid.T) {
	for _, a := range s.attempts {
		if a.state == "asking" && rapid.Bool().Draw(t, "abandon") {
			s.complete(t, a, Result{State: NotRun})
			return
		}
	}
}

// settle lets all members learn the newest epoch and hand over their slots, as a fleet does when it is left alone.
func (s *simulation) settle() {
	for range 2 {
		for _, from := range s.hosts {
			if from.excluded {
				continue
			}
			s.learn(from, uint64(len(s.epochs)))
			for _, to := range s.hosts {
				before := len(s.network)
				s.transfer(from, to)
				deliver := s.network[before]
				s.network = s.network[:before]
				deliver()
				for len(s.network) > before { // acknowledgements
					ack := s.network[before]
					s.network = append(s.network[:before], s.network[before+1:]...)
					ack()
				}
			}
			from.ledger.Tick(s.moment(from))
		}
	}
}

func (s *simulation) check(t *rapid.T) {
	for op, n := range s.runs {
		if n > 1 {
			t.Fatalf("operation %d ran %d times", op, n)
		}
	}
	for _, h := range s.hosts {
		if h.ledger.used > h.ledger.limit && len(h.ledger.idle) > 0 {
			t.Fatalf("%d bytes of records exceed the limit of %d", h.ledger.used, h.ledger.limit)
		}
	}
}
