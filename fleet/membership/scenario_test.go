package membership

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// TestScenarios guards against errors in single rules of the protocol that random sequences rarely reach. Each scenario ends
// with the checks of the model. reached reports whether the scenario came to its intended state, so that it cannot pass without
// effect.
func TestScenarios(t *testing.T) {
	scenarios := []struct {
		name    string
		hosts   int
		run     func(w *model)
		reached func(w *model) bool
	}{
		{"only a majority with the older settings remains", 5, onlyOutdatedRemain, func(w *model) bool {
			return w.activated == 1 && len(w.row.Members) == 3
		}},
		{"settings stored by a host in an older epoch", 3, commitInOldEpoch, func(w *model) bool {
			return w.head == 1 && len(w.row.Members) == 5
		}},
		{"a departed host has not learned that it was removed", 3, departWithLostResponse, func(w *model) bool {
			return len(w.row.Members) == 2 && w.hosts[2].machine.Epoch().Number < w.row.Number
		}},
		{"acknowledgements arrive after the exclusion", 3, acksAfterExclusion, func(w *model) bool {
			return len(w.row.Members) == 2 && len(w.late) > 0
		}},
		{"settings are stored right after an exclusion", 3, commitAfterExclusion, func(w *model) bool {
			return len(w.row.Members) == 2 && w.head == 1
		}},
		{"joins dilute the majority of a current epoch", 3, diluteMajority, func(w *model) bool {
			return len(w.row.Members) == 5 && w.hosts[0].machine.Epoch().Number < w.row.Number
		}},
		{"one of two members ends as a third joins", 2, endDuringJoin, func(w *model) bool {
			return len(w.row.Members) == 2 && w.activeAfterTakeover(0) && w.activeAfterTakeover(2)
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			w := newModel(t, s.hosts)
			w.rounds(25)
			s.run(w)
			if !s.reached(w) {
				t.Fatalf("scenario did not reach its state: row %+v, head %d, activated %d", w.row, w.head, w.activated)
			}
		})
	}
}

// onlyOutdatedRemain ends with three members, two of which have not applied a revision that was activated among five.
func onlyOutdatedRemain(w *model) {
	w.commit(0)
	w.hosts[1].applied, w.hosts[2].applied = w.head, w.head
	w.rounds(10)
	w.hosts[0].stopped, w.hosts[1].stopped = true, true
	w.rounds(25)
}

// commitInOldEpoch stores settings from the side of a partition that has not learned of the joins on the other side.
func commitInOldEpoch(w *model) {
	joinDuringPartition(w)
	w.hosts[0].noTable = false
	w.commit(0)
	for _, h := range w.hosts {
		h.noTable = true
	}
	w.hosts[1].applied = w.head
	w.rounds(25)
}

// diluteMajority excludes two hosts by the promises of hosts that joined after the two were cut off.
func diluteMajority(w *model) {
	joinDuringPartition(w)
	w.rounds(25)
}

// endDuringJoin stops one of two members after a third host has joined, before that member can report the new epoch.
func endDuringJoin(w *model) {
	w.cutFrom(1)
	w.start(2)
	for before := w.row.Number; w.row.Number == before; {
		w.rounds(1)
	}
	w.hosts[1].stopped = true
	w.rounds(25)
}

// activeAfterTakeover reports whether a host is active in the stored epoch and its takeover time has passed.
func (w *model) activeAfterTakeover(i int) bool {
	view, now := w.hosts[i].machine.View(w.at(i)), w.at(i).Now
	return view.Epoch.Number == w.row.Number && view.ActiveAt(now) && !now.Before(view.TakeoverAt)
}

// joinDuringPartition cuts two of three members off from the third one and from the table, and lets two hosts join the third.
func joinDuringPartition(w *model) {
	w.cutBelow(2)
	w.hosts[0].noTable, w.hosts[1].noTable = true, true
	w.start(3)
	w.start(4)
	w.rounds(8)
}

// departWithLostResponse removes a host that stores its own removal but receives no response to the write. It reaches only one
// member then.
func departWithLostResponse(w *model) {
	w.cut[0][1], w.cut[1][0], w.cut[1][2], w.cut[2][1] = true, true, true, true
	w.hosts[0].noTable = true
	w.loseResponses = 1
	w.hosts[2].machine.Depart()
	w.propose(2)
	w.deliverAll()
	w.hosts[2].noTable = true
	w.rounds(25)
}

// acksAfterExclusion delivers acknowledgements to a host after it was excluded.
func acksAfterExclusion(w *model) {
	w.delayCutMessages = true
	w.hosts[0].noTable = true
	w.cutInto(0)
	w.rounds(2)
	w.cutFrom(0)
	w.rounds(20)
	w.inFlight = append(w.inFlight, w.late...)
	w.deliverAll()
	w.check()
}

// commitAfterExclusion stores settings while an excluded host is still active by a table read from before its exclusion.
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

// TestDeclareEnded guards against a cell whose keys can never be taken over after more than half of it is lost for good, and
// against the exclusion of a host whose messages still arrive.
func TestDeclareEnded(t *testing.T) {
	w := newModel(t, modelHosts)
	w.rounds(25)
	for _, h := range w.hosts[:3] {
		h.stopped = true
	}
	w.rounds(60)
	if len(w.row.Members) != modelHosts {
		t.Fatalf("a minority changed the epoch: %+v", w.row)
	}
	rejected := w.hosts[3].machine.DeclareEnded([]fleet.HostID{"h0", "h1", "h2", "h4", "h9"}, w.at(3))
	if !slices.Equal(rejected, []fleet.HostID{"h4", "h9"}) {
		t.Fatalf("rejected %v, want h4, whose messages arrive, and h9, which is not a member", rejected)
	}
	w.rounds(15)
	for i := 3; i < modelHosts; i++ {
		view := w.hosts[i].machine.View(w.at(i))
		if now := w.at(i).Now; len(view.Epoch.Members) != 2 || !view.ActiveAt(now) || now.Before(view.TakeoverAt) {
			t.Errorf("h%d is not active after its takeover time in an epoch of two members: %+v", i, view)
		}
	}
}

// TestClockOffset guards against a clock offset that is reported at the wrong host or has the wrong sign.
func TestClockOffset(t *testing.T) {
	w := newModel(t, modelHosts)
	const ahead = 800 * time.Millisecond
	w.hosts[4].wallOffset = ahead
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

// TestHostListHint guards against a host list that is taken as proof, or is not used. A member that is not listed must be
// suspected after half of SuspicionTimeout, and not while its messages arrive.
func TestHostListHint(t *testing.T) {
	w := newModel(t, 3)
	w.rounds(25)
	m := w.hosts[0].machine
	for i := range m.epoch.Members {
		m.epoch.Members[i].PeerAddress = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1).String()
	}
	m.SetLiveAddresses(map[netip.Addr]bool{netip.AddrFrom4([4]byte{10, 0, 0, 2}): true})
	if ids := m.Suspected(w.at(0)); len(ids) > 0 {
		t.Errorf("suspected %v although their messages arrive", ids)
	}
	w.now = w.now.Add(time.Second)
	if ids := m.Suspected(w.at(0)); !slices.Equal(ids, []fleet.HostID{"h1"}) {
		t.Errorf("suspected %v after 1 s, want h1, which is not listed", ids)
	}
}
