package membership

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// TestScenarios guards against single faults in the rules that random sequences rarely reach. Each scenario ends in the
// checks of the model; reached says whether it came as far as it should, so that it cannot pass by doing nothing.
func TestScenarios(t *testing.T) {
	scenarios := []struct {
		name    string
		hosts   int
		run     func(w *model)
		reached func(w *model) bool
	}{
		{"a majority with the older settings is left", 5, laggardsRemain, func(w *model) bool {
			return w.inForce == 1 && len(w.row.Members) == 3
		}},
		{"settings stored by a host that lags an epoch", 3, staleCommitter, func(w *model) bool {
			return w.head == 1 && len(w.row.Members) == 5
		}},
		{"a departed host does not know that it is removed", 3, departedUnaware, func(w *model) bool {
			return len(w.row.Members) == 2 && w.hosts[2].machine.Epoch().Number < w.row.Number
		}},
		{"acknowledgements arrive after the exclusion", 3, lateAcks, func(w *model) bool {
			return len(w.row.Members) == 2 && len(w.late) > 0
		}},
		{"settings are stored right after an exclusion", 3, commitAfterExclusion, func(w *model) bool {
			return len(w.row.Members) == 2 && w.head == 1
		}},
		{"joins dilute the majority of an epoch in use", 3, dilutedMajority, func(w *model) bool {
			return len(w.row.Members) == 5 && w.hosts[0].machine.Epoch().Number < w.row.Number
		}},
		{"one of two members ends as a third joins", 2, endedDuringJoin, func(w *model) bool {
			return len(w.row.Members) == 2 && w.free(0) && w.free(2)
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			w := newModel(t, s.hosts)
			w.rounds(25)
			s.run(w)
			if !s.reached(w) {
				t.Fatalf("scenario went elsewhere: row %+v, head %d, in force %d", w.row, w.head, w.inForce)
			}
		})
	}
}

// laggardsRemain leaves two of three members without a revision that was in force among five.
func laggardsRemain(w *model) {
	w.commit(0)
	w.hosts[1].applied, w.hosts[2].applied = w.head, w.head
	w.rounds(10)
	w.hosts[0].stopped, w.hosts[1].stopped = true, true
	w.rounds(25)
}

// staleCommitter stores settings from the side of a split that does not know of the joins on the other side.
func staleCommitter(w *model) {
	joinBehindSplit(w)
	w.hosts[0].noTable = false
	w.commit(0)
	for _, h := range w.hosts {
		h.noTable = true
	}
	w.hosts[1].applied = w.head
	w.rounds(25)
}

// dilutedMajority excludes two hosts by the votes of hosts that joined after they were cut off.
func dilutedMajority(w *model) {
	joinBehindSplit(w)
	w.rounds(25)
}

// endedDuringJoin stops one of two members after a third host has joined and before it can state the epoch of the join.
func endedDuringJoin(w *model) {
	w.cutFrom(1)
	w.start(2)
	for before := w.row.Number; w.row.Number == before; {
		w.rounds(1)
	}
	w.hosts[1].stopped = true
	w.rounds(25)
}

// free reports whether a host is active in the stored epoch and what changed hands there is free.
func (w *model) free(i int) bool {
	view, now := w.hosts[i].machine.View(w.at(i)), w.at(i).Now
	return view.Epoch.Number == w.row.Number && view.ActiveAt(now) && !now.Before(view.TakeoverAt)
}

// joinBehindSplit cuts two of three members from the third one and the table, and lets two hosts join there.
func joinBehindSplit(w *model) {
	w.separate(2)
	w.hosts[0].noTable, w.hosts[1].noTable = true, true
	w.start(3)
	w.start(4)
	w.rounds(8)
}

// departedUnaware removes a host whose write succeeds without an answer, and which then talks to one member only.
func departedUnaware(w *model) {
	w.cut[0][1], w.cut[1][0], w.cut[1][2], w.cut[2][1] = true, true, true, true
	w.hosts[0].noTable = true
	w.loseAnswers = 1
	w.hosts[2].machine.Depart()
	w.propose(2)
	w.deliverAll()
	w.hosts[2].noTable = true
	w.rounds(25)
}

// lateAcks delivers acknowledgements to a host after it was excluded.
func lateAcks(w *model) {
	w.held = true
	w.hosts[0].noTable = true
	w.cutInto(0)
	w.rounds(2)
	w.cutFrom(0)
	w.rounds(20)
	w.inFlight = append(w.inFlight, w.late...)
	w.deliverAll()
	w.check()
}

// commitAfterExclusion stores settings while an excluded host is still active by a table read from before.
func commitAfterExclusion(w *model) {
	w.cutInto(2)
	w.cutFrom(2)
	for before := w.row.Number; w.row.Number == before; {
		w.rounds(1)
	}
	w.commit(0)
	w.hosts[1].applied = w.head
	w.heartbeats(0)
	w.deliverAll()
	w.check()
	w.rounds(25)
}

// TestDeclareEnded guards against a cell that stays without owners for ever after more than half of it is lost for good, and
// against the exclusion of a host that is heard.
func TestDeclareEnded(t *testing.T) {
	w := newModel(t, modelHosts)
	w.rounds(25)
	for _, h := range w.hosts[:3] {
		h.stopped = true
	}
	w.rounds(60)
	if len(w.row.Members) != modelHosts {
		t.Fatalf("a minority has changed the epoch: %+v", w.row)
	}
	refused := w.hosts[3].machine.DeclareEnded([]fleet.HostID{"h0", "h1", "h2", "h4", "h9"}, w.at(3))
	if !slices.Equal(refused, []fleet.HostID{"h4", "h9"}) {
		t.Fatalf("refused %v, want the host that is heard and the one that is unknown", refused)
	}
	w.rounds(15)
	for i := 3; i < modelHosts; i++ {
		view := w.hosts[i].machine.View(w.at(i))
		if now := w.at(i).Now; len(view.Epoch.Members) != 2 || !view.ActiveAt(now) || now.Before(view.TakeoverAt) {
			t.Errorf("h%d has no free keys in an epoch of two members: %+v", i, view)
		}
	}
}

// TestClockOffset guards against an offset that names the wrong host or has the wrong sign.
func TestClockOffset(t *testing.T) {
	w := newModel(t, modelHosts)
	const ahead = 800 * time.Millisecond
	w.hosts[4].wall = ahead
	w.rounds(25)
	for i, h := range w.hosts {
		want := time.Duration(0)
		if i == 4 {
			want = ahead
		}
		if offset := h.machine.ClockOffset(w.at(i)); offset != want {
			t.Errorf("clock of h%d is %v ahead of the median, want %v", i, offset, want)
		}
	}
}

// TestHostListHint guards against a host list that is taken as proof, or not used: a member that is not listed is suspected
// after half the time, and not while it is heard.
func TestHostListHint(t *testing.T) {
	w := newModel(t, 3)
	w.rounds(25)
	m := w.hosts[0].machine
	for i := range m.epoch.Members {
		m.epoch.Members[i].PeerAddress = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1).String()
	}
	m.SetLiveAddresses(map[netip.Addr]bool{netip.AddrFrom4([4]byte{10, 0, 0, 2}): true})
	if ids := m.Suspected(w.at(0)); len(ids) > 0 {
		t.Errorf("suspected %v although they are heard", ids)
	}
	w.now = w.now.Add(time.Second)
	if ids := m.Suspected(w.at(0)); !slices.Equal(ids, []fleet.HostID{"h1"}) {
		t.Errorf("suspected %v after 1 s, want the one that is not listed", ids)
	}
}
