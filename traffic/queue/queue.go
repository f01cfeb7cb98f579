package queue

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

// Refusals of Acquire. In all cases the request was not sent.
var (
	// ErrFull means that the queue holds as many requests as it may.
	ErrFull = errors.New("queue: full")
	// ErrDeadline means that the request would not get a slot in time to meet its deadline.
	ErrDeadline = errors.New("queue: deadline cannot be met")
)

const (
	// smoothing is the weight of a new sample in the running estimate of the service time.
	smoothing = 0.1
	// outlierFactor bounds a sample by a multiple of the estimate, so that a few requests that hang until their deadline
	// do not cause refusals of requests that would be served in time.
	outlierFactor = 4
	// minimumLeft is the share of the service time that must be left when a waiting request gets a slot.
	minimumLeft = 0.5
	// defaultLength is the bound on waiting requests of a queue without a configured one.
	defaultLength = 64
)

// Options configure a Queue.
type Options struct {
	// Limit returns how many requests may be in flight. It is called at each change and must not call the queue. Values
	// below 1 count as 1. Default 1.
	Limit func() int
	// Length bounds the waiting requests. Default 64.
	Length int
}

type waiter struct {
	deadline time.Time
	// granted receives nil with a slot, or the refusal. It holds one value so that the sender never waits.
	granted chan error
}

type customer struct {
	id      settings.CustomerID
	weight  float64
	deficit float64
	waiting []*waiter
}

// held is the number of waiting requests for the customer's weight.
func (c *customer) held() float64 { return float64(len(c.waiting)) / c.weight }

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

// SetLength changes the bound on waiting requests; 0 means the default of 64. Requests that wait already stay.
func (q *Queue) SetLength(length int) {
	if length <= 0 {
		length = defaultLength
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.length = length
}

// Acquire waits for a slot. The caller must call release when the request has ended; further calls do nothing. The
// error is ErrFull, ErrDeadline, or the context's error.
func (q *Queue) Acquire(ctx context.Context, id settings.CustomerID, weight float64) (release func(), err error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	w, err := q.enter(ctx, id, weight)
	if err != nil {
		return nil, err
	}
	if w == nil {
		return q.releaser(), nil
	}
	select {
	case err := <-w.granted:
		if err != nil {
			return nil, err
		}
		return q.releaser(), nil
	case <-ctx.Done():
		q.abandon(id, w)
		return nil, ctx.Err()
	}
}

// enter takes a slot, or returns the waiter that stands for the request.
func (q *Queue) enter(ctx context.Context, id settings.CustomerID, weight float64) (*waiter, error) {
	limit := max(1, q.limit())
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting == 0 && q.inFlight < limit {
		q.inFlight++
		return nil, nil
	}
	c := q.customer(id, weight)
	w := &waiter{granted: make(chan error, 1)}
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

// expectedWait estimates the wait of a new request of the customer: the requests that go before it under the round
// robin, plus itself, at one free slot per serviceTime/limit.
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

// displace refuses the newest request of the customer that holds the most of the queue for its weight, if the given
// customer would still hold less.
func (q *Queue) displace(c *customer) bool {
	var most *customer
	for _, other := range q.ring {
		if most == nil || other.held() > most.held() {
			most = other
		}
	}
	if most == nil || most == c || float64(len(c.waiting)+1)/c.weight >= most.held() {
		return false
	}
	last := len(most.waiting) - 1
	most.waiting[last].granted <- ErrFull
	q.remove(most, last)
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

// dispatch gives free slots to waiting requests.
func (q *Queue) dispatch(limit int) {
	for q.inFlight < limit && q.waiting > 0 {
		c := q.turn()
		w := c.waiting[0]
		c.deficit--
		if c.deficit < 1 {
			q.ring = append(q.ring[1:], c)
		}
		q.remove(c, 0)
		if !w.deadline.IsZero() && float64(time.Until(w.deadline)) < minimumLeft*float64(q.serviceTime) {
			w.granted <- ErrDeadline
			continue
		}
		q.inFlight++
		w.granted <- nil
	}
}

// turn returns the customer whose request is next. A request costs 1, and each visit adds the customer's weight;
// dispatch ends the visit when less than 1 is left.
func (q *Queue) turn() *customer {
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
	// The waiter is gone from the queue, so it was answered; a slot that came with the answer goes to the next one.
	if err := <-w.granted; err == nil {
		q.inFlight--
		q.dispatch(limit)
	}
}

func (q *Queue) releaser() func() {
	start := time.Now()
	var once sync.Once
	return func() { once.Do(func() { q.release(time.Since(start)) }) }
}

func (q *Queue) release(took time.Duration) {
	limit := max(1, q.limit())
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inFlight--
	q.observe(took)
	q.dispatch(limit)
}

func (q *Queue) observe(took time.Duration) {
	if q.serviceTime == 0 {
		q.serviceTime = took
		return
	}
	took = min(took, outlierFactor*q.serviceTime)
	q.serviceTime += time.Duration(smoothing * float64(took-q.serviceTime))
}

// Stats is the state of a queue at one moment.
type Stats struct {
	InFlight int
	Waiting  int
	// ServiceTime is the running estimate of how long a request holds its slot.
	ServiceTime time.Duration
}

// Stats returns the state of the queue.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Stats{InFlight: q.inFlight, Waiting: q.waiting, ServiceTime: q.serviceTime}
}
