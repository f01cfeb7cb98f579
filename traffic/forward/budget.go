package forward

import "sync/atomic"

// BufferBudget limits the memory of all buffered bodies of a host. It is safe for concurrent use.
type BufferBudget struct {
	limit int64
	used  atomic.Int64
}

// NewBufferBudget returns a budget of limit bytes.
func NewBufferBudget(limit int64) *BufferBudget { return &BufferBudget{limit: limit} }

// Reserve reserves n bytes and reports whether they were available.
func (b *BufferBudget) Reserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Release returns n reserved bytes to the budget.
func (b *BufferBudget) Release(n int64) { b.used.Add(-n) }

// Used returns the number of reserved bytes.
func (b *BufferBudget) Used() int64 { return b.used.Load() }
