package idempotency

import (
	"container/heap"
	"net/http"
)

// recordBytes is the memory in bytes of a record without its response: the record, its key and its map and heap entries.
const recordBytes = 400

// recordHeap orders the records that are not running by the time of their id, oldest first.
type recordHeap []*record

// Len implements heap.Interface.
func (h recordHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h recordHeap) Less(i, j int) bool { return h[i].key.Time().Before(h[j].key.Time()) }

// Swap implements heap.Interface.
func (h recordHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *recordHeap) Push(x any) {
	r := x.(*record)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *recordHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	r.heapIndex = -1
	return r
}

func (l *Ledger) insert(s *slot, r *record) {
	s.records[r.key] = r
	r.size = recordBytes
	l.usedBytes += r.size
}

func (l *Ledger) remove(r *record) {
	s := &l.slots[r.key.Slot()]
	delete(s.records, r.key)
	l.usedBytes -= r.size
	if r.heapIndex >= 0 {
		heap.Remove(&l.evictable, r.heapIndex)
	}
	delete(l.running, r)
}

// setResult changes the result of a record that is in its slot.
func (l *Ledger) setResult(r *record, result Result) {
	if len(result.Body) > MaxStoredBody {
		result.Body, result.BodyLost = nil, true
	}
	r.result = result
	l.usedBytes -= r.size
	r.size = recordBytes + int64(len(result.Body)) + headerBytes(result.Header) + headerBytes(result.Trailer)
	l.usedBytes += r.size
	running := result.State == Running
	if running {
		l.running[r] = struct{}{}
	} else {
		delete(l.running, r)
	}
	if running && r.heapIndex >= 0 {
		heap.Remove(&l.evictable, r.heapIndex)
	}
	if !running && r.heapIndex < 0 {
		heap.Push(&l.evictable, r)
	}
}

func headerBytes(header http.Header) int64 {
	n := 0
	for name, values := range header {
		n += len(name)
		for _, value := range values {
			n += len(value)
		}
	}
	return int64(n)
}

// makeRoom evicts the records with the oldest ids until n more bytes fit. From then on a claim of an id without a record is
// rejected with "outcome unknown" if the id is not newer than the evicted ones, unless the table has a row that decides. So
// no evicted operation can run again. Running records are never evicted. makeRoom returns false if there is not enough
// memory besides them.
func (l *Ledger) makeRoom(n int64) bool {
	for l.usedBytes+n > l.maxBytes && len(l.evictable) > 0 {
		oldest := l.evictable[0]
		s := &l.slots[oldest.key.Slot()]
		if when := oldest.key.Time(); when.After(s.evictedThrough) {
			s.evictedThrough = when
		}
		l.remove(oldest)
		l.evicted++
	}
	return l.usedBytes+n <= l.maxBytes
}

// dropExpired removes the records whose ids are rejected as expired.
func (l *Ledger) dropExpired(t ClockReading) {
	for len(l.evictable) > 0 && l.evictable[0].key.Time().Before(t.Wall.Add(-Window-expiredRetention)) {
		l.remove(l.evictable[0])
	}
}
