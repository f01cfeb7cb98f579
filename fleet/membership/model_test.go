package membership

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/bronzeyard/bronzeyard/fleet"
)

const modelHosts, modelKeys = 5, 8

// modelHost is one host of the model: its machine, and the keys that it has held without interruption.
type modelHost struct {
	machine    *Machine
	applied    uint64
	stopped    bool
	paused     bool
	clockRate  float64
	wallOffset time.Duration
	noTable    bool
	checks     []*ActivationCheck
	heldKeys   map[string]bool
	heldEpoch  uint64
	heldBy     fleet.Identity
}

// model is a cell with its table and all messages in flight. Each message in flight is a function that delivers it.
type model struct {
	t interface {
		Fatalf(format string, args ...any)
	}
	now         time.Time
	incarnation fleet.Incarnation
	hosts       [modelHosts]*modelHost
	cut         [modelHosts][modelHosts]bool
	// delayCutMessages keeps the messages on cut connections for late delivery instead of dropping them.
	delayCutMessages bool
	row              *epochState
	head             uint64
	tableDown        bool
	loseResponses    int
	lateWrites       int
	inFlight         []func()
	late             []func()
	activated        uint64
}

// newModel returns a model in which the first started hosts run.
func newModel(t interface {
	Fatalf(format string, args ...any)
}, started int,
) *model {
	w := &model{t: t, now: time.Unix(1000, 0)}
	for i := range w.hosts {
		// Clocks differ in rate by up to a fifth. The default margin allows for a third.
		w.hosts[i] = &modelHost{clockRate: 1 + 0.05*float64(i-modelHosts/2)}
		w.start(i)
		w.hosts[i].stopped = i >= started
	}
	return w
}

func (w *model) at(i int) Moment {
	h := w.hosts[i]
	local := time.Unix(0, int64(float64(w.now.UnixNano())*h.clockRate))
	return Moment{Now: local, Wall: w.now.Add(h.wallOffset), Applied: h.applied}
}

// start starts a new process of the host.
func (w *model) start(i int) {
	w.incarnation++
	id := fleet.HostID(fmt.Sprintf("h%d", i))
	h := w.hosts[i]
	*h = modelHost{clockRate: h.clockRate, noTable: h.noTable, heldKeys: map[string]bool{}}
	member := fleet.Member{ID: id, Incarnation: w.incarnation, PeerAddress: string(id), Capacity: 1}
	h.machine = NewMachine(Durations{}, member, w.at(i))
}

func (w *model) runs(i int) bool { return !w.hosts[i].stopped && !w.hosts[i].paused }

// send puts a message between two hosts in flight. deliver runs at the receiver if that is still the same process.
func (w *model) send(from, to int, deliver func()) {
	receiver := w.hosts[to].machine
	arrive := func() {
		if w.runs(to) && w.hosts[to].machine == receiver {
			deliver()
			w.afterEvent(to)
		}
	}
	w.inFlight = append(w.inFlight, func() {
		switch {
		case !w.cut[from][to]:
			arrive()
		case w.delayCutMessages && len(w.late) < 200:
			w.late = append(w.late, arrive)
		}
	})
}

// afterEvent makes an excluded host rejoin, as the Runtime does.
func (w *model) afterEvent(i int) {
	if m := w.hosts[i].machine; m.Excluded() {
		w.incarnation++
		m.StartIncarnation(w.incarnation, w.at(i))
	}
}

func (w *model) heartbeats(i int) {
	m := w.hosts[i].machine
	for _, target := range m.Targets([]string{"h0", "h1", "h2"}, w.at(i)) {
		hb, sent := m.Heartbeat(target, w.at(i))
		to := int(target.Address[1] - '0')
		w.send(i, to, func() {
			ack := w.hosts[to].machine.HandleHeartbeat(hb, w.at(to))
			w.send(to, i, func() { m.HandleAck(sent, ack, w.at(i)) })
		})
	}
}

// readTable reads the table now. The machine receives the result when it is delivered.
func (w *model) readTable(i int) {
	if w.tableDown || w.hosts[i].noTable {
		return
	}
	m, started, row, head := w.hosts[i].machine, w.at(i), w.row, w.head
	w.send(i, i, func() { m.HandleRead(started.Now, row, head, w.at(i)) })
}

func (w *model) requestPromises(i int) {
	m := w.hosts[i].machine
	if len(m.Suspects(w.at(i))) == 0 {
		return
	}
	req := m.PromiseRequest(w.at(i))
	for to := range w.hosts {
		if to == i {
			continue
		}
		w.send(i, to, func() {
			resp := w.hosts[to].machine.HandlePromiseRequest(req, w.at(to))
			w.send(to, i, func() { m.HandlePromiseResponse(req, resp) })
		})
	}
}

// propose puts a compare-and-set in flight. It may arrive late, and its response may be lost.
func (w *model) propose(i int) {
	m := w.hosts[i].machine
	p, ok := m.Propose(fmt.Sprint(i, w.now), w.at(i))
	if !ok || w.hosts[i].noTable {
		return
	}
	write := func() {
		base := uint64(0)
		if w.row != nil {
			base = w.row.Number
		}
		if w.tableDown || base != p.base || w.head != p.head {
			return
		}
		stored := p.epoch
		w.row = &stored
		if w.loseResponses > 0 {
			w.loseResponses--
			return
		}
		w.send(i, i, func() { m.HandleStored(p, w.at(i)) })
	}
	if w.lateWrites > 0 {
		w.lateWrites--
		w.late = append(w.late, write)
		return
	}
	w.inFlight = append(w.inFlight, write)
}

func (w *model) deliverAll() {
	for len(w.inFlight) > 0 {
		batch := w.inFlight
		w.inFlight = nil
		for _, deliver := range batch {
			deliver()
		}
	}
}

func (w *model) each(action func(i int)) {
	for i := range w.hosts {
		if w.runs(i) {
			action(i)
		}
	}
}

// round advances time by one heartbeat interval and lets the running hosts do what a Runtime does in it.
func (w *model) round(interval time.Duration) {
	w.now = w.now.Add(interval)
	w.each(func(i int) {
		w.hosts[i].machine.Tick(w.at(i))
		w.heartbeats(i)
		w.readTable(i)
	})
	w.deliverAll()
	w.each(func(i int) {
		if w.hosts[i].machine.ShouldPropose(w.at(i)) {
			w.requestPromises(i)
		}
	})
	w.deliverAll()
	w.each(func(i int) {
		if w.hosts[i].machine.ShouldPropose(w.at(i)) {
			w.propose(i)
		}
	})
	w.deliverAll()
}

// partition chooses at random which hosts reach each other, and which reach the table.
func (w *model) partition(t *rapid.T) {
	side := rapid.SliceOfN(rapid.IntRange(0, 1), modelHosts, modelHosts).Draw(t, "side")
	table := rapid.IntRange(0, 3).Draw(t, "side with the table, 2 for both, 3 for single hosts")
	w.delayCutMessages = rapid.Bool().Draw(t, "messages are delayed")
	oneWay := rapid.IntRange(0, 3).Draw(t, "one direction only") == 0
	for i, h := range w.hosts {
		h.noTable = table < 2 && side[i] != table || table == 3 && rapid.Bool().Draw(t, "no table")
		for j := range w.cut[i] {
			w.cut[i][j] = side[i] < side[j] || side[i] > side[j] && !oneWay
		}
	}
}

func (w *model) endCuts() {
	w.cut = [modelHosts][modelHosts]bool{}
	for _, h := range w.hosts {
		h.noTable = false
	}
}

// commit stores a settings revision and starts to wait until it is activated.
func (w *model) commit(i int) {
	h := w.hosts[i]
	if w.tableDown || h.noTable || w.row == nil {
		return
	}
	w.head++
	h.applied = w.head
	h.checks = append(h.checks, &ActivationCheck{Revision: w.head, MinEpoch: w.row.Number})
}

// check asserts the invariants, which must hold after each step.
func (w *model) check() {
	newestTakeover := uint64(0)
	var views [modelHosts]*fleet.View
	for i, h := range w.hosts {
		views[i] = h.machine.View(w.at(i))
		if w.runs(i) && !w.at(i).Now.Before(views[i].TakeoverAt) {
			newestTakeover = max(newestTakeover, views[i].Epoch.Number)
		}
		w.checkActivations(i)
	}
	claimant := map[string]fleet.Identity{}
	for i, h := range w.hosts {
		view := views[i]
		h.updateHeldKeys(view, w.at(i).Now)
		if h.stopped || !view.ActiveAt(w.at(i).Now) {
			continue
		}
		if view.Epoch.Number < newestTakeover {
			w.t.Fatalf("%v is active in epoch %d although the takeover time of epoch %d has passed",
				view.Self, view.Epoch.Number, newestTakeover)
		}
		if h.applied < w.activated {
			w.t.Fatalf("%v is active with revision %d although %d is activated", view.Self, h.applied, w.activated)
		}
		for key := range h.heldKeys {
			if other, claimed := claimant[key]; claimed {
				w.t.Fatalf("%s is claimed by %v and by %v", key, other, view.Self)
			}
			claimant[key] = view.Self
		}
	}
}

func (w *model) checkActivations(i int) {
	h := w.hosts[i]
	if !w.runs(i) {
		return
	}
	pending := h.checks[:0]
	for _, check := range h.checks {
		if _, done := h.machine.CheckActivated(check, w.at(i)); done {
			w.activated = max(w.activated, check.Revision)
			continue
		}
		pending = append(pending, check)
	}
	h.checks = pending
}

// updateHeldKeys determines the keys that the host holds: those that it owns and either may take over or held already in this or
// the previous epoch.
func (h *modelHost) updateHeldKeys(view *fleet.View, now time.Time) {
	contiguous := view.Epoch.Number <= h.heldEpoch+1 && view.Self == h.heldBy
	held := map[string]bool{}
	for k := range modelKeys {
		key := fmt.Sprint("key", k)
		mayTakeOver := view.ActiveAt(now) && !now.Before(view.TakeoverAt)
		if view.Owns(key) && (mayTakeOver || contiguous && h.heldKeys[key]) {
			held[key] = true
		}
	}
	h.heldKeys, h.heldEpoch, h.heldBy = held, view.Epoch.Number, view.Self
}

// rounds advances time by count heartbeat intervals and checks the invariants after each.
func (w *model) rounds(count int) {
	for range count {
		w.round(300 * time.Millisecond)
		w.check()
	}
}

// cutInto cuts all messages to a host, cutFrom all messages from it.
func (w *model) cutInto(to int) {
	for from := range w.cut {
		w.cut[from][to] = from != to
	}
}

func (w *model) cutFrom(from int) {
	for to := range w.cut {
		w.cut[from][to] = from != to
	}
}

// cutBelow cuts the connections between the hosts below the limit and the others.
func (w *model) cutBelow(limit int) {
	for from := range w.cut {
		for to := range w.cut {
			w.cut[from][to] = (from < limit) != (to < limit)
		}
	}
}

// recover ends all faults, restarts the processes that have stopped, departed or are leaving, and asserts that all hosts become
// active members of one epoch.
func (w *model) recover() {
	w.endCuts()
	w.tableDown, w.loseResponses, w.lateWrites = false, 0, 0
	for i, h := range w.hosts {
		h.paused = false
		if h.stopped || h.machine.departed || h.machine.self.State == fleet.Leaving {
			w.start(i)
		}
	}
	for range 60 {
		w.rounds(1)
		for _, h := range w.hosts {
			h.applied = max(h.applied, h.machine.KnownRevision())
		}
	}
	for i, h := range w.hosts {
		view := h.machine.View(w.at(i))
		if view.Learner || !view.ActiveAt(w.at(i).Now) || view.Epoch.Number != w.row.Number || len(view.Epoch.Members) != modelHosts {
			w.t.Fatalf("%v has not recovered: learner %v, epoch %+v, row %+v", view.Self, view.Learner, view.Epoch, w.row)
		}
	}
}
