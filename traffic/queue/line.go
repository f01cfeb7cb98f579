package queue

import (
	"container/list"
	"slices"

	"github.com/bronzeyard/bronzeyard/settings"
)

// minWeight bounds the weights of customers, because the round robin needs 1/weight rounds to serve a request.
const minWeight = 0.01

// Line holds waiting requests. More urgent priorities are served first. Within a priority, customers are served by weighted
// deficit round robin, and the requests of a customer in their order of arrival. P is the priority and T the waiting request.
//
// A held request waits for something else than its turn too, such as a token of a retry budget. Calls state whether held requests may be
// served. They do not block the others.
//
// A Line does no I/O and knows no time. It is not safe for concurrent use.
type Line[P, T any] struct {
	compare func(a, b P) int
	// levels have waiting requests, the most urgent first.
	levels []*level[P, T]
	// arrivals lists the requests in the order of their arrival: those that are not held, and the held ones.
	arrivals [2]list.List
	sequence uint64
	// call numbers the calls of Next.
	call uint64
}

// Entry is the place of a request in a Line.
type Entry[P, T any] struct {
	Value    T
	Priority P
	level    *level[P, T]
	customer *lineCustomer[P, T]
	sequence uint64
	held     int
	// arrival and own are the elements in the lists of the Line and of the customer.
	arrival, own *list.Element
}

// level holds the requests of one priority.
type level[P, T any] struct {
	priority  P
	customers map[settings.CustomerID]*lineCustomer[P, T]
	// ring lists the customers with waiting requests; the first one is served next.
	ring   []*lineCustomer[P, T]
	length int
}

type lineCustomer[P, T any] struct {
	id      settings.CustomerID
	weight  float64
	deficit float64
	length  int
	waiting [2]list.List // not held, held
	// blockedIn is the last call of Next in which no request of the customer could be served.
	blockedIn uint64
}

// NewLine returns an empty Line. compare orders priorities, the most urgent first.
func NewLine[P, T any](compare func(a, b P) int) *Line[P, T] { return &Line[P, T]{compare: compare} }

// Len returns the number of waiting requests.
func (l *Line[P, T]) Len() int { return l.arrivals[0].Len() + l.arrivals[1].Len() }

// Held returns the number of waiting requests that are held.
func (l *Line[P, T]) Held() int { return l.arrivals[1].Len() }

// Add appends a request. A weight of 0 or less counts as 1.
func (l *Line[P, T]) Add(priority P, id settings.CustomerID, weight float64, held bool, value T) *Entry[P, T] {
	l.sequence++
	e := &Entry[P, T]{Value: value, sequence: l.sequence}
	if held {
		e.held = 1
	}
	e.arrival = l.arrivals[e.held].PushBack(e)
	l.attach(e, priority, id, weight)
	return e
}

// Move moves a waiting request behind the others of its customer at another priority. Its time of arrival does not change.
func (l *Line[P, T]) Move(e *Entry[P, T], priority P) {
	if e.own != nil {
		id, weight := e.customer.id, e.customer.weight
		l.detach(e)
		l.attach(e, priority, id, weight)
	}
}

func (l *Line[P, T]) attach(e *Entry[P, T], priority P, id settings.CustomerID, weight float64) {
	at, found := l.find(priority)
	if !found {
		l.levels = slices.Insert(l.levels, at, &level[P, T]{
			priority: priority, customers: make(map[settings.CustomerID]*lineCustomer[P, T]),
		})
	}
	lv := l.levels[at]
	c := lv.customers[id]
	if c == nil {
		c = &lineCustomer[P, T]{id: id}
		lv.customers[id] = c
		lv.ring = append(lv.ring, c)
	}
	c.weight = effectiveWeight(weight)
	e.Priority, e.level, e.customer = priority, lv, c
	e.own = c.waiting[e.held].PushBack(e)
	c.length++
	lv.length++
}

func effectiveWeight(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return max(weight, minWeight)
}

func (l *Line[P, T]) find(priority P) (int, bool) {
	return slices.BinarySearchFunc(l.levels, priority, func(lv *level[P, T], p P) int { return l.compare(lv.priority, p) })
}

// Remove removes a request. An entry that was removed before has no effect.
func (l *Line[P, T]) Remove(e *Entry[P, T]) {
	if e.own == nil {
		return
	}
	l.arrivals[e.held].Remove(e.arrival)
	e.arrival = nil
	l.detach(e)
}

func (l *Line[P, T]) detach(e *Entry[P, T]) {
	c, lv := e.customer, e.level
	c.waiting[e.held].Remove(e.own)
	e.own = nil
	c.length--
	lv.length--
	if c.length == 0 {
		delete(lv.customers, c.id)
		lv.ring = slices.DeleteFunc(lv.ring, func(other *lineCustomer[P, T]) bool { return other == c })
	}
	if lv.length == 0 {
		at, _ := l.find(lv.priority)
		l.levels = slices.Delete(l.levels, at, at+1)
	}
}

// Next removes the request that is served next and returns it; nil if there is none. If accept is not nil, requests for which it
// returns false are passed over, and those of the same customer and priority behind them. The last call of accept is for the request
// that is returned.
func (l *Line[P, T]) Next(held bool, accept func(T) bool) *Entry[P, T] {
	l.call++
	for _, lv := range l.levels {
		if e := lv.next(l.call, held, accept); e != nil {
			c := e.customer
			c.deficit--
			if c.deficit < 1 {
				lv.rotate()
			}
			l.Remove(e)
			return e
		}
	}
	return nil
}

// next returns the next request of the level. A request costs 1, and each visit of the round robin adds the customer's weight to
// its deficit.
func (lv *level[P, T]) next(call uint64, held bool, accept func(T) bool) *Entry[P, T] {
	for blocked := 0; blocked < len(lv.ring); {
		c := lv.ring[0]
		if c.blockedIn == call {
			blocked++
			lv.rotate()
			continue
		}
		blocked = 0
		if c.deficit < 1 {
			c.deficit += c.weight
		}
		if c.deficit >= 1 {
			if e := c.first(held, accept); e != nil {
				return e
			}
			c.blockedIn = call
		}
		lv.rotate()
	}
	return nil
}

func (lv *level[P, T]) rotate() { lv.ring = append(lv.ring[1:], lv.ring[0]) }

// first returns the customer's earliest request that can be served.
func (c *lineCustomer[P, T]) first(held bool, accept func(T) bool) *Entry[P, T] {
	a, b := entryOf[P, T](c.waiting[0].Front()), entryOf[P, T](c.waiting[1].Front())
	if !held {
		b = nil
	}
	if a == nil || (b != nil && b.sequence < a.sequence) {
		a, b = b, a
	}
	for _, e := range [...]*Entry[P, T]{a, b} {
		if e != nil && (accept == nil || accept(e.Value)) {
			return e
		}
	}
	return nil
}

func entryOf[P, T any](element *list.Element) *Entry[P, T] {
	if element == nil {
		return nil
	}
	return element.Value.(*Entry[P, T])
}

// Oldest returns the request that has waited longest; nil if there is none.
func (l *Line[P, T]) Oldest(held bool) *Entry[P, T] {
	a, b := entryOf[P, T](l.arrivals[0].Front()), entryOf[P, T](l.arrivals[1].Front())
	if !held || b == nil || (a != nil && a.sequence < b.sequence) {
		return a
	}
	return b
}

// Ahead returns the number of requests that would be served before a new one.
func (l *Line[P, T]) Ahead(priority P, id settings.CustomerID, weight float64) float64 {
	at, found := l.find(priority)
	ahead := 0.0
	for _, lv := range l.levels[:at] {
		ahead += float64(lv.length)
	}
	if !found {
		return ahead
	}
	lv := l.levels[at]
	own := 0.0
	if c := lv.customers[id]; c != nil {
		own = float64(c.length)
	}
	for _, other := range lv.ring {
		if other.id != id {
			ahead += min(float64(other.length), (own+1)*other.weight/effectiveWeight(weight))
		}
	}
	return ahead + own
}

// Displaced returns the request that a new one displaces if the line is full: the newest one of the least urgent priority, from the
// customer with the most waiting requests relative to its weight. It returns nil if that priority is more urgent than the one of
// the new request, or if it is the same and the customer of the new request would not have fewer.
func (l *Line[P, T]) Displaced(priority P, id settings.CustomerID, weight float64) *Entry[P, T] {
	if len(l.levels) == 0 {
		return nil
	}
	lv := l.levels[len(l.levels)-1]
	order := l.compare(priority, lv.priority)
	if order > 0 {
		return nil
	}
	largest := lv.ring[0]
	for _, other := range lv.ring {
		if other.waitingPerWeight() > largest.waitingPerWeight() {
			largest = other
		}
	}
	if order == 0 {
		own := 0.0
		if c := lv.customers[id]; c != nil {
			own = float64(c.length)
		}
		if largest.id == id || (own+1)/effectiveWeight(weight) >= largest.waitingPerWeight() {
			return nil
		}
	}
	a, b := entryOf[P, T](largest.waiting[0].Back()), entryOf[P, T](largest.waiting[1].Back())
	if a == nil || (b != nil && b.sequence > a.sequence) {
		return b
	}
	return a
}

// waitingPerWeight is the number of waiting requests divided by the customer's weight.
func (c *lineCustomer[P, T]) waitingPerWeight() float64 { return float64(c.length) / c.weight }

// Each calls visit for each request with the number of requests that are served before it. visit must not change the line.
func (l *Line[P, T]) Each(visit func(e *Entry[P, T], ahead float64)) {
	before := 0.0
	for _, lv := range l.levels {
		lv.each(before, visit)
		before += float64(lv.length)
	}
}

// each visits the requests of a level. The round robin has served v*weight requests of each customer, or all of them, when it serves
// request number v*weight of one. Customers are sorted by the v at which their last request is served, and each sum is computed
// from the previous one, so the time is proportional to the number of requests.
func (lv *level[P, T]) each(before float64, visit func(e *Entry[P, T], ahead float64)) {
	order := slices.Clone(lv.ring)
	slices.SortFunc(order, func(a, b *lineCustomer[P, T]) int {
		if a.waitingPerWeight() < b.waitingPerWeight() {
			return -1
		}
		return 1
	})
	total := 0.0
	for _, c := range order {
		total += c.weight
	}
	for _, c := range lv.ring {
		done, weight, next := 0.0, total, 0
		a, b := c.waiting[0].Front(), c.waiting[1].Front()
		for i := range c.length {
			v := float64(i+1) / c.weight
			for next < len(order) && order[next].waitingPerWeight() <= v {
				done += float64(order[next].length)
				weight -= order[next].weight
				next++
			}
			ea, eb := entryOf[P, T](a), entryOf[P, T](b)
			if ea == nil || (eb != nil && eb.sequence < ea.sequence) {
				ea, b = eb, b.Next()
			} else {
				a = a.Next()
			}
			visit(ea, before+done+v*weight-1)
		}
	}
}
