package queue

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

// Reasons for which Acquire rejects a request. The request has not been sent in any of these cases.
var (
	// ErrFull means that the queue has reached its maximum length. A waiting request gets it if another customer's request
	// displaces it.
	ErrFull = errors.New("queue: maximum number of waiting requests reached")
	// ErrDeadline means that the request is not expected to meet its deadline, given its wait for a slot and the service time.
	ErrDeadline = errors.New("queue: request is not expected to meet its deadline")
)

const (
	// smoothing is the weight of a new sample in the moving average of the service time.
	smoothing = 0.1
	// maxSampleFactor limits a sample to a multiple of the average, so that a few requests that hang until their deadline do
	// not cause the rejection of requests that would be served in time.
	maxSampleFactor = 4
	// minRemainingFraction is the fraction of the service time that must remain until the deadline when a waiting request gets
	// a slot.
	minRemainingFraction = 0.5
	// defaultLength is the default of Options.Length.
	defaultLength = 64
)

// Options configures a Queue.
type Options struct {
	// Limit returns the maximum number of requests in flight. It is called at each change of the queue and must not call the
	// queue. Values below 1 count as 1. Default 1.
	Limit func() int
	// Length is the maximum number of waiting requests. Default 64.
	Length int
}

type waiter struct {
	deadline time.Time
	// entry is nil when the waiter is not in the line. It is guarded by Queue.mu.
	entry *Entry[struct{}, *waiter]
	// decision receives nil if the request got a slot, else the reason of its rejection. It is buffered so that the sender
	// never blocks.
	decision chan error
}

// Queue admits the requests of one service on one host.
type Queue struct {
	limit func() int

	mu       sync.Mutex
	length   int
	inFlight int
	// line has no priorities.
	line        *Line[struct{}, *waiter]
	serviceTime time.Duration
}

// New returns an empty queue.
func New(options Options) *Queue {
	if options.Limit == nil {
		options.Limit = func() int { return 1 }
	}
	q := &Queue{limit: options.Limit, line: NewLine[struct{}, *waiter](func(struct{}, struct{}) int { return 0 })}
	q.SetLength(options.Length)
	return q
}

// SetLength sets the maximum number of waiting requests; 0 means the default of 64. Requests that are already waiting stay.
func (q *Queue) SetLength(length int) {
	if length <= 0 {
		length = defaultLength
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.length = length
}

// Acquire waits for a slot. The caller must call release when the request has ended; further calls have no effect. The
// error is ErrFull, ErrDeadline, or the context's error.
func (q *Queue) Acquire(ctx context.Context, id settings.CustomerID, weight float64) (release func(), err error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	w, err := q.acquireOrEnqueue(ctx, id, weight)
	if err != nil {
		return nil, err
	}
	if w == nil {
		return q.newRelease(), nil
	}
	select {
	case err := <-w.decision:
		if err != nil {
			return nil, err
		}
		return q.newRelease(), nil
	case <-ctx.Done():
		q.abandon(w)
		return nil, ctx.Err()
	}
}

// acquireOrEnqueue takes a slot and returns nil, or enqueues the request and returns its waiter.
func (q *Queue) acquireOrEnqueue(ctx context.Context, id settings.CustomerID, weight float64) (*waiter, error) {
	limit := max(1, q.limit())
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.line.Len() == 0 && q.inFlight < limit {
		q.inFlight++
		return nil, nil
	}
	w := &waiter{decision: make(chan error, 1)}
	if deadline, ok := ctx.Deadline(); ok {
		w.deadline = deadline
		if time.Until(deadline) < q.expectedWait(id, weight, limit)+q.serviceTime {
			return nil, ErrDeadline
		}
	}
	if q.line.Len() >= q.length {
		displaced := q.line.Displaced(struct{}{}, id, weight)
		if displaced == nil {
			return nil, ErrFull
		}
		q.line.Remove(displaced)
		displaced.Value.entry = nil
		displaced.Value.decision <- ErrFull
	}
	w.entry = q.line.Add(struct{}{}, id, weight, false, w)
	q.dispatch(limit)
	return w, nil
}

// expectedWait estimates the wait of a new request of the customer: the requests that the round robin serves before it, plus
// itself, at one free slot per serviceTime/limit.
func (q *Queue) expectedWait(id settings.CustomerID, weight float64, limit int) time.Duration {
	ahead := q.line.Ahead(struct{}{}, id, weight)
	return time.Duration((ahead + 1) / float64(limit) * float64(q.serviceTime))
}

// dispatch assigns free slots to waiting requests and rejects those that can no longer meet their deadline.
func (q *Queue) dispatch(limit int) {
	for q.inFlight < limit && q.line.Len() > 0 {
		w := q.line.Next(false, nil).Value
		w.entry = nil
		if !w.deadline.IsZero() && float64(time.Until(w.deadline)) < minRemainingFraction*float64(q.serviceTime) {
			w.decision <- ErrDeadline
			continue
		}
		q.inFlight++
		w.decision <- nil
	}
}

func (q *Queue) abandon(w *waiter) {
	limit := max(1, q.limit())
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.entry != nil {
		q.line.Remove(w.entry)
		return
	}
	// The waiter is no longer in the queue, so a decision has been sent. If it assigned a slot, the slot goes to the next waiter.
	if err := <-w.decision; err == nil {
		q.inFlight--
		q.dispatch(limit)
	}
}

func (q *Queue) newRelease() func() {
	start := time.Now()
	var once sync.Once
	return func() { once.Do(func() { q.release(time.Since(start)) }) }
}

func (q *Queue) release(elapsed time.Duration) {
	limit := max(1, q.limit())
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inFlight--
	q.observeServiceTime(elapsed)
	q.dispatch(limit)
}

func (q *Queue) observeServiceTime(elapsed time.Duration) {
	if q.serviceTime == 0 {
		q.serviceTime = elapsed
		return
	}
	elapsed = min(elapsed, maxSampleFactor*q.serviceTime)
	q.serviceTime += time.Duration(smoothing * float64(elapsed-q.serviceTime))
}

// Stats is a snapshot of the state of a queue.
type Stats struct {
	// InFlight is the number of requests that hold a slot.
	InFlight int
	// Waiting is the number of requests in the queue.
	Waiting int
	// ServiceTime is the moving average of the time for which a request holds its slot.
	ServiceTime time.Duration
}

// Stats returns the current state of the queue.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Stats{InFlight: q.inFlight, Waiting: q.line.Len(), ServiceTime: q.serviceTime}
}
