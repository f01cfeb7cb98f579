package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bronzeyard/bronzeyard/fleet"
)

const modelHosts, modelKeys = 5, 12

// modelHost is one host of the model: its machine, and which keys it holds without a gap.
type modelHost struct {
	machine  *Machine
	applied  uint64
	paused   bool
	rate     float64
	checks   []*InForceCheck
	holds    map[string]bool
	holdsAt  uint64
	holdsFor fleet.Identity
}

// model is a cell with its table and all messages under way. A message under way is a function that delivers it.
type model struct {
	t           *rapid.T
	now         time.Time
	incarnation fleet.Incarnation
	hosts       [modelHosts]*modelHost
	cut         [modelHosts][modelHosts]bool
	row         *epochState
	head        uint64
	tableDown   bool
	inFlight    []func()
	inForce     uint64
}

func newModel(t *rapid.T) *model {
	w := &model{t: t, now: time.Unix(1000, 0)}
	for i := range w.hosts {
		// Clocks differ in rate by up to a fifth, as much as the margin allows.
		w.hosts[i] = &modelHost{rate: 1 + 0.05*float64(i-modelHosts/2)}
		w.restart(i)
	}
	return w
}

func (w *model) at(i int) Moment {
	h := w.hosts[i]
	local := time.Unix(0, int64(float64(w.now.UnixNano())*h.rate))
	return Moment{Now: local, Wall: w.now, Applied: h.applied}
}

func (w *model) restart(i int) {
	w.incarnation++
	id := fleet.HostID(fmt.Sprintf("h%d", i))
	h := w.hosts[i]
	*h = modelHost{rate: h.rate, holds: map[string]bool{}}
	member := fleet.Member{ID: id, Incarnation: w.incarnation, PeerAddress: string(id), Capacity: 1}
	h.machine = NewMachine(Durations{}, member, w.at(i))
}

// send puts a message to another host under way; deliver runs at the receiver.
func (w *model) send(from, to int, deliver func()) {
	w.inFlight = append(w.inFlight, func() {
		if !w.cut[from][to] && !w.hosts[to].paused {
			deliver()
		}
	})
}

// afterEvent lets an excluded host join anew, as the runtime does.
func (w *model) afterEvent(i int) {
	if m := w.hosts[i].machine; m.Excluded() {
		w.incarnation++
		m.Reincarnate(w.incarnation, w.at(i))
	}
}

func (w *model) heartbeats(i int) {
	m := w.hosts[i].machine
	for _, target := range m.Targets([]string{"h0", "h1", "h2"}, w.at(i)) {
		hb, sent := m.Heartbeat(target, w.at(i))
		to := int(target.Address[1] - '0')
		w.send(i, to, func() {
			ack := w.hosts[to].machine.HandleHeartbeat(hb, w.at(to))
			w.afterEvent(to)
			w.send(to, i, func() {
				w.hosts[i].machine.HandleAck(sent, ack, w.at(i))
				w.afterEvent(i)
			})
		})
	}
}

// readTable takes the read now; its answer arrives when it is delivered.
func (w *model) readTable(i int) {
	if w.tableDown {
		return
	}
	started, row, head := w.at(i), w.row, w.head
	w.send(i, i, func() {
		w.hosts[i].machine.HandleRead(started.Now, row, head, w.at(i))
		w.afterEvent(i)
	})
}

func (w *model) askPromises(i int) {
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
			w.send(to, i, func() { w.hosts[i].machine.HandlePromise(req, resp) })
		})
	}
}

// propose puts a compare-and-set under way, whose answer is another message and can be lost.
func (w *model) propose(i int) {
	p, ok := w.hosts[i].machine.Propose(fmt.Sprint(i, w.now), w.at(i))
	if !ok {
		return
	}
	w.inFlight = append(w.inFlight, func() {
		base := uint64(0)
		if w.row != nil {
			base = w.row.Number
		}
		if w.tableDown || base != p.base || w.head != p.head {
			return
		}
		stored := p.epoch
		w.row = &stored
		w.send(i, i, func() {
			w.hosts[i].machine.Stored(p, w.at(i))
			w.afterEvent(i)
		})
	})
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

// round is what happens in one heartbeat interval without further faults.
func (w *model) round() {
	w.now = w.now.Add(300 * time.Millisecond)
	for i, h := range w.hosts {
		if h.paused {
			continue
		}
		h.machine.Tick(w.at(i))
		w.heartbeats(i)
		w.readTable(i)
	}
	w.deliverAll()
	for i, h := range w.hosts {
		if !h.paused && h.machine.Wants(w.at(i)) {
			w.askPromises(i)
		}
	}
	w.deliverAll()
	for i, h := range w.hosts {
		if !h.paused && h.machine.Wants(w.at(i)) {
			w.propose(i)
		}
	}
	w.deliverAll()
}

// commit stores a settings revision and starts to wait until it is in force.
func (w *model) commit(i int) {
	if w.tableDown || w.row == nil {
		return
	}
	w.head++
	h := w.hosts[i]
	h.applied = w.head
	h.checks = append(h.checks, &InForceCheck{Revision: w.head, LeastEpoch: w.row.Number})
}

// check asserts what must hold after each step.
func (w *model) check() {
	claimant := map[string]string{}
	newestFree := uint64(0)
	views := make([]*fleet.View, modelHosts)
	for i, h := range w.hosts {
		views[i] = h.machine.View(w.at(i))
		if !w.at(i).Now.Before(views[i].FreeAt) {
			newestFree = max(newestFree, views[i].Epoch.Number)
		}
		for _, check := range h.checks {
			if _, done := h.machine.CheckInForce(check, w.at(i)); done && !h.paused {
				w.inForce = max(w.inForce, check.Revision)
			}
		}
	}
	for i, h := range w.hosts {
		view := views[i]
		if !view.ActiveAt(w.at(i).Now) {
			h.hold(view, w.at(i).Now)
			continue
		}
		if view.Epoch.Number < newestFree {
			w.t.Fatalf("%v is active in epoch %d although epoch %d is free", view.Self, view.Epoch.Number, newestFree)
		}
		if h.applied < w.inForce {
			w.t.Fatalf("%v is active with revision %d although %d is in force", view.Self, h.applied, w.inForce)
		}
		h.hold(view, w.at(i).Now)
		for key := range h.holds {
			if other := claimant[key]; other != "" {
				w.t.Fatalf("key %s is claimed by %s and by %v", key, other, view.Self)
			}
			claimant[key] = fmt.Sprint(view.Self)
		}
	}
}

// hold notes which keys the host holds: those that are free, and those that it held in the epoch just before.
func (h *modelHost) hold(view *fleet.View, now time.Time) {
	follows := view.Epoch.Number <= h.holdsAt+1 && view.Self == h.holdsFor
	held := map[string]bool{}
	for k := range modelKeys {
		key := fmt.Sprint("key", k)
		free := view.ActiveAt(now) && !now.Before(view.FreeAt)
		if view.Owns(key) && (free || follows && h.holds[key]) {
			held[key] = true
		}
	}
	h.holds, h.holdsAt, h.holdsFor = held, view.Epoch.Number, view.Self
}

// TestMachine guards against two hosts that act on the same key, a host that acts in an epoch that others consider ended,
// and a host that acts on settings older than those reported in force.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newModel(t)
		host := rapid.IntRange(0, modelHosts-1)
		each := func(action func(i int)) func(*rapid.T) {
			return func(t *rapid.T) {
				if i := host.Draw(t, "host"); !w.hosts[i].paused {
					action(i)
				}
			}
		}
		rounds := func(t *rapid.T) {
			for range rapid.IntRange(1, 12).Draw(t, "rounds") {
				w.round()
				w.check()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"":       func(*rapid.T) { w.check() },
			"round":  func(*rapid.T) { w.round() },
			"rounds": rounds, "rounds again": rounds,
			"advance": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2200).Draw(t, "ms")) * time.Millisecond)
			},
			"heartbeat": each(w.heartbeats),
			"read":      each(w.readTable),
			"promise":   each(w.askPromises),
			"propose":   each(w.propose),
			"tick":      each(func(i int) { w.hosts[i].machine.Tick(w.at(i)) }),
			"deliver": func(t *rapid.T) {
				if len(w.inFlight) == 0 {
					return
				}
				n := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "message")
				deliver := w.inFlight[n]
				if rapid.IntRange(0, 3).Draw(t, "twice") > 0 {
					w.inFlight = append(w.inFlight[:n:n], w.inFlight[n+1:]...)
				}
				deliver()
			},
			"lose": func(t *rapid.T) {
				if len(w.inFlight) > 0 {
					n := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "message")
					w.inFlight = append(w.inFlight[:n:n], w.inFlight[n+1:]...)
				}
			},
			"cut": func(t *rapid.T) { w.cut[host.Draw(t, "from")][host.Draw(t, "to")] = true },
			"split": func(t *rapid.T) {
				side := rapid.SliceOfN(rapid.Bool(), modelHosts, modelHosts).Draw(t, "side")
				for i := range w.cut {
					for j := range w.cut[i] {
						w.cut[i][j] = side[i] != side[j]
					}
				}
			},
			"heal":    func(*rapid.T) { w.cut = [modelHosts][modelHosts]bool{} },
			"pause":   each(func(i int) { w.hosts[i].paused = true }),
			"wake":    func(t *rapid.T) { w.hosts[host.Draw(t, "host")].paused = false },
			"table":   func(t *rapid.T) { w.tableDown = rapid.IntRange(0, 2).Draw(t, "down") == 0 },
			"restart": func(t *rapid.T) { w.restart(host.Draw(t, "host")) },
			"commit":  each(w.commit),
			"apply":   each(func(i int) { w.hosts[i].applied = max(w.hosts[i].applied, w.hosts[i].machine.Heard()) }),
			"catch up": func(*rapid.T) {
				for _, h := range w.hosts {
					h.applied = max(h.applied, h.machine.Heard())
				}
			},
			"leave":  each(func(i int) { w.hosts[i].machine.Leave() }),
			"depart": each(func(i int) { w.hosts[i].machine.Depart() }),
		})
	})
}
