package upstreambench

import (
	"container/heap"
	"time"
)

// simulation runs events in order of simulated time, and events of the same time in the order in which they were scheduled.
type simulation struct {
	now       time.Time
	events    eventHeap
	scheduled uint64
}

type event struct {
	at       time.Time
	sequence uint64
	callback func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

func newSimulation() *simulation { return &simulation{now: time.Unix(1_000_000, 0)} }

// after schedules run at d from now, or now if d is negative.
func (s *simulation) after(d time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.events, event{at: s.now.Add(max(0, d)), sequence: s.scheduled, callback: run})
}

// every runs the function at the interval, for the first time after offset.
func (s *simulation) every(offset, interval time.Duration, run func()) {
	s.after(offset, func() {
		run()
		s.every(interval, interval, run)
	})
}

// runUntil runs all events up to and including the end, and sets the clock to it.
func (s *simulation) runUntil(end time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.callback()
	}
	s.now = end
}
