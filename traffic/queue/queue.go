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
	// decision receives nil if the request got a slot, else the reason of its rejection. It is buffered so that the sender
	// never blocks.
	decision chan error
}

type customer struct {
	id      settings.CustomerID
	weight  float64
	deficit float64
	waiting []*waiter
}

// waitingPerWeight is the number of waiting requests divided by the customer's weight.
func (c *customer) waitingPerWeight() float64 { return float64(len(c.waiting)) / c.weight }

// Queue admits the requests of one service on one host.
type Queue struct {
	limit func() int

	mu        sync.Mutex
	length    int
	inFlight  int
	waiting   int
	customers map[settings.CustomerID]*customer
	// ring lists the customers with waiting requests; the first one is served next.
	ring        []*customer
	serviceTime time.Duration
}

// New returns an empty queue.
func New(options Options) *Queue {
	if options.Limit == nil {
		options.Limit = func() int { return 1 }
	}
	q := &Queue{limit: options.Limit, customers: make(map[settings.CustomerID]*customer)}
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
		q.abandon(id, w)
		return nil, ctx.Err()
	}
}

// acquireOrEnqueue takes a slot and returns nil, or enqueues the request and returns its waiter.
func (q *Queue) acquireOrEnqueue(ctx context.Context, id settings.CustomerID, weight float64) (*waiter, error) {
	limit := max(1, q.limit())
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting == 0 && q.inFlight < limit {
		q.inFlight++
		return nil, nil
	}
	c := q.customer(id, weight)
	w := &waiter{decision: make(chan error, 1)}
	if deadline, ok := ctx.Deadline(); ok {
		w.deadline = deadline
		if time.Until(deadline) < q.expectedWait(c, limit)+q.serviceTime {
			return nil, ErrDeadline
		}
	}
	if q.waiting >= q.length && !q.displace(c) {
		return nil, ErrFull
	}
	q.add(c, w)
	q.dispatch(limit)
	return w, nil
}

func (q *Queue) customer(id settings.CustomerID, weight float64) *customer {
	c := q.customers[id]
	if c == nil {
		c = &customer{id: id}
	}
	c.weight = weight
	if weight <= 0 {
		c.weight = 1
	}
	return c
}

func (q *Queue) add(c *customer, w *waiter) {
	if len(c.waiting) == 0 {
		c.deficit = 0
		q.customers[c.id] = c
		q.ring = append(q.ring, c)
	}
	c.waiting = append(c.waiting, w)
	q.waiting++
}

// expectedWait estimates the wait of a new request of the customer: the requests that the round robin serves before it, plus
// itself, at one free slot per serviceTime/limit.
func (q *Queue) expectedWait(c *customer, limit int) time.Duration {
	own := float64(len(c.waiting))
	ahead := own
	for _, other := range q.ring {
		if other != c {
			ahead += min(float64(len(other.waiting)), (own+1)*other.weight/c.weight)
		}
	}
	return time.Duration((ahead + 1) / float64(limit) * float64(q.serviceTime))
}

// displace rejects the newest request of the customer with the most waiting requests relative to its weight, if the given
// customer would still have fewer after adding one. It reports whether it did.
func (q *Queue) displace(c *customer) bool {
	var largest *customer
	for _, other := range q.ring {
		if largest == nil || other.waitingPerWeight() > largest.waitingPerWeight() {
			largest = other
		}
	}
	if largest == nil || largest == c || float64(len(c.waiting)+1)/c.weight >= largest.waitingPerWeight() {
		return false
	}
	last := len(largest.waiting) - 1
	largest.waiting[last].decision <- ErrFull
	q.remove(largest, last)
	return true
}

func (q *Queue) remove(c *customer, i int) {
	c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
	q.waiting--
	if len(c.waiting) > 0 {
		return
	}
	delete(q.customers, c.id)
	for i, other := range q.ring {
		if other == c {
			q.ring = append(q.ring[:i], q.ring[i+1:]...)
			return
		}
	}
}

// dispatch assigns free slots to waiting requests and rejects those that can no longer meet their deadline.
func (q *Queue) dispatch(limit int) {
	for q.inFlight < limit && q.waiting > 0 {
		c := q.nextCustomer()
		w := c.waiting[0]
		c.deficit--
		if c.deficit < 1 {
			q.ring = append(q.ring[1:], c)
		}
		q.remove(c, 0)
		if !w.deadline.IsZero() && float64(time.Until(w.deadline)) < minRemainingFraction*float64(q.serviceTime) {
			w.decision <- ErrDeadline
			continue
		}
		q.inFlight++
		w.decision <- nil
	}
}

// nextCustomer returns the customer whose request is served next. A request costs 1, and each visit of the round robin adds the
// customer's weight to its deficit. dispatch ends the visit when a deficit below 1 is left.
func (q *Queue) nextCustomer() *customer {
	for {
		c := q.ring[0]
		if c.deficit < 1 {
			c.deficit += c.weight
		}
		if c.deficit >= 1 {
			return c
		}
		q.ring = append(q.ring[1:], c)
	}
}

func (q *Queue) abandon(id settings.CustomerID, w *waiter) {
	limit := max(1, q.limit())
	q.mu.Lock()
	defer q.mu.Unlock()
	if c := q.customers[id]; c != nil {
		for i, other := range c.waiting {
			if other == w {
				q.remove(c, i)
				return
			}
		}
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
	return Stats{InFlight: q.inFlight, Waiting: q.waiting, ServiceTime: q.serviceTime}
}
