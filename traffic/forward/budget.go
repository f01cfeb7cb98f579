package forward

import (
	"context"
	"sync"
)

const (
	// smallReservation is the largest reservation, in bytes, to which the share of an upstream does not apply. Small responses of an
	// upstream must not wait for its large ones.
	smallReservation = 64 << 10
	// scarceDivisor divides the limit of a budget. Memory is scarce when less than one part is free. Only small responses and the bodies
	// of requests use this part.
	scarceDivisor = 8
)

// BufferBudget limits the memory of the buffered bodies and headers of a host. The responses of one upstream may hold at most as much as stays
// free, whatever the upstream sends: one upstream takes at most half of the budget, and if n upstreams ask for all they can get, each
// tends to one part in n+1. Large responses also leave the last part to small ones. It is safe for concurrent use.
type BufferBudget struct {
	limit int64

	mu      sync.Mutex
	used    int64
	held    map[string]int64 // by the responses of each upstream; upstreams that hold nothing are not in the map
	waiting map[string]int   // responses of each upstream that wait for memory
	freed   chan struct{}    // closed when memory is released; nil if nothing waits
}

// NewBufferBudget returns a budget of limit bytes.
func NewBufferBudget(limit int64) *BufferBudget {
	return &BufferBudget{limit: limit, held: make(map[string]int64), waiting: make(map[string]int)}
}

// Reserve reserves n bytes and reports whether they were available.
func (b *BufferBudget) Reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.limit-b.used {
		return false
	}
	b.used += n
	return true
}

// Release returns n reserved bytes to the budget.
func (b *BufferBudget) Release(n int64) { b.releaseFor("", n) }

// Used returns the number of reserved bytes.
func (b *BufferBudget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Limit returns the size of the budget in bytes.
func (b *BufferBudget) Limit() int64 { return b.limit }

// Waiting returns the number of responses that wait for memory.
func (b *BufferBudget) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := 0
	for _, n := range b.waiting {
		total += n
	}
	return total
}

// largest returns the size of the largest body that an upstream can ever hold, in bytes.
func (b *BufferBudget) largest() int64 { return b.limit / 2 }

// reserveFor reserves n bytes for a response of an upstream if its share allows it.
func (b *BufferBudget) reserveFor(upstream string, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserveLocked(upstream, n)
}

func (b *BufferBudget) reserveLocked(upstream string, n int64) bool {
	free := b.limit - b.used - n
	if free < 0 || (n > smallReservation && (free < b.held[upstream]+n || free < b.limit/scarceDivisor)) {
		return false
	}
	b.used += n
	b.held[upstream] += n
	return true
}

// awaitFor is like reserveFor, but waits until the memory is available. It returns false if ctx ends first.
func (b *BufferBudget) awaitFor(ctx context.Context, upstream string, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reserveLocked(upstream, n) {
		return true
	}
	b.waiting[upstream]++
	defer b.endWait(upstream)
	for {
		if b.freed == nil {
			b.freed = make(chan struct{})
		}
		freed := b.freed
		b.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
		}
		b.mu.Lock()
		if ctx.Err() != nil {
			return false
		}
		if b.reserveLocked(upstream, n) {
			return true
		}
	}
}

func (b *BufferBudget) endWait(upstream string) {
	if b.waiting[upstream]--; b.waiting[upstream] == 0 {
		delete(b.waiting, upstream)
	}
}

// releaseFor returns n bytes that were reserved for an upstream, or for a request if upstream is empty.
func (b *BufferBudget) releaseFor(upstream string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	if upstream != "" {
		if b.held[upstream] -= n; b.held[upstream] == 0 {
			delete(b.held, upstream)
		}
	}
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// scarceFor reports whether a further response of an upstream is unlikely to find memory: one already waits for it, or little is free
// at all.
func (b *BufferBudget) scarceFor(upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waiting[upstream] > 0 || b.limit-b.used < b.limit/scarceDivisor
}
