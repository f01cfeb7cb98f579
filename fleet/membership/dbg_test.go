package membership

import "fmt"

func (w *model) dump() string {
	s := ""
	for i, h := range w.hosts {
		v := h.machine.View(w.at(i))
		s += fmt.Sprintf("h%d self %v epoch %d members %v prev %v ended %d rev %d settled %v applied %d active %v guest %v freein %v\n", i, v.Self, v.Epoch.Number, ids(v.Epoch.Members), h.machine.epoch.previous, h.machine.epoch.previousEnded, h.machine.epoch.revision, h.machine.settled, h.applied, v.ActiveUntil.Sub(w.at(i).Now), v.Guest, v.FreeAt.Sub(w.at(i).Now))
	}
	return s
}
