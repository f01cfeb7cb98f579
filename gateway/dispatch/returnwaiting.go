package dispatch

import "github.com/bronzeyard/bronzeyard/traffic/queue"

// returnWaiting removes the waiting requests, and replies Full to each, if the data centre has no upstream left to assign: it was
// evacuated, or its last upstream has left. No slot would become free before their deadlines, and hosts can place them elsewhere.
func (d *Dispatcher) returnWaiting() []Reply {
	if len(d.upstreams) > 0 || d.line.Len() == 0 {
		return nil
	}
	var unserved []*waiting
	d.line.Each(func(e *queue.Entry[rank, *waiting], _ float64) { unserved = append(unserved, e.Value) })
	replies := make([]Reply, 0, len(unserved))
	for _, w := range unserved {
		d.line.Remove(w.entry)
		delete(d.waiting, w.request.ID)
		replies = append(replies, Reply{ID: w.request.ID, Kind: Full})
	}
	return replies
}
