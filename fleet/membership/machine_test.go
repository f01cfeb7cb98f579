package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMachine guards against four failures under random faults: two active hosts claim the same key; a host is active in an
// epoch after the takeover time of a newer one; a host is active with settings older than those reported as activated; the
// cell does not recover when the faults end.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newModel(t, rapid.IntRange(1, modelHosts).Draw(t, "started hosts"))
		t.Repeat(w.actions())
		if rapid.IntRange(0, 3).Draw(t, "recover") == 0 {
			w.recover()
		}
	})
}

// actions are the faults and the progress between them. Their names must stay, because rapid orders the actions by name and a
// seed would lead to other sequences.
func (w *model) actions() map[string]func(*rapid.T) {
	host := rapid.IntRange(0, modelHosts-1)
	one := func(action func(i int)) func(*rapid.T) {
		return func(t *rapid.T) {
			if i := host.Draw(t, "host"); w.runs(i) {
				action(i)
			}
		}
	}
	rounds := func(t *rapid.T) {
		interval := time.Duration(rapid.SampledFrom([]int{300, 300, 100, 230}).Draw(t, "ms")) * time.Millisecond
		for range rapid.IntRange(1, 16).Draw(t, "rounds") {
			w.round(interval)
			w.check()
		}
	}
	return map[string]func(*rapid.T){
		"":        func(*rapid.T) { w.check() },
		"rounds":  rounds,
		"rounds2": rounds,
		"rounds3": rounds,
		"split":   w.partition,
		"split2":  w.partition,
		"heal":    func(*rapid.T) { w.endCuts() },
		"cut":     func(t *rapid.T) { w.cut[host.Draw(t, "from")][host.Draw(t, "to")] = true },
		"advance": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2200).Draw(t, "ms")) * time.Millisecond)
		},
		"deliver late": func(t *rapid.T) {
			w.inFlight = append(w.inFlight, w.late...)
			if rapid.IntRange(0, 3).Draw(t, "once") > 0 {
				w.late = nil
			}
			w.deliverAll()
		},
		"half a round": func(*rapid.T) {
			w.each(func(i int) { w.heartbeats(i); w.readTable(i) })
			w.late = append(w.late, w.inFlight...)
			w.inFlight = nil
		},
		// Acknowledgements to one host are delayed, and then the host is isolated for long enough to be excluded.
		"isolate": func(t *rapid.T) {
			i := host.Draw(t, "host")
			w.endCuts()
			w.delayCutMessages, w.hosts[i].noTable = true, true
			w.cutInto(i)
			w.rounds(rapid.IntRange(1, 3).Draw(t, "rounds"))
			w.cutFrom(i)
			w.rounds(rapid.IntRange(0, 16).Draw(t, "rounds"))
		},
		"late write":  func(*rapid.T) { w.lateWrites = 1 },
		"lost answer": func(*rapid.T) { w.loseResponses = 1 },
		"propose":     one(w.propose),
		"table":       func(t *rapid.T) { w.tableDown = rapid.IntRange(0, 2).Draw(t, "down") == 0 },
		"pause":       one(func(i int) { w.hosts[i].paused = true }),
		"wake":        func(t *rapid.T) { w.hosts[host.Draw(t, "host")].paused = false },
		"stop":        one(func(i int) { w.hosts[i].stopped = true }),
		"start":       func(t *rapid.T) { w.start(host.Draw(t, "host")) },
		"commit":      one(w.commit),
		"apply":       one(func(i int) { w.hosts[i].applied = max(w.hosts[i].applied, w.hosts[i].machine.KnownRevision()) }),
		"catch up": func(*rapid.T) {
			w.each(func(i int) { w.hosts[i].applied = max(w.hosts[i].applied, w.hosts[i].machine.KnownRevision()) })
		},
		"leave":  one(func(i int) { w.hosts[i].machine.Leave() }),
		"depart": one(func(i int) { w.hosts[i].machine.Depart() }),
	}
}
