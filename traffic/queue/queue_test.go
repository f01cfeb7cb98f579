package queue

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

// sendRequests sends requests of one customer at a fixed interval and counts those that get a slot.
func sendRequests(q *Queue, id settings.CustomerID, weight float64, interval, work, timeout, duration time.Duration, served *atomic.Int64) {
	for start := time.Now(); time.Since(start) < duration; time.Sleep(interval) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			release, err := q.Acquire(ctx, id, weight)
			if err != nil {
				return
			}
			time.Sleep(work)
			served.Add(1)
			release()
		}()
	}
}

// Guards against a customer that sends several times its share and takes the slots of the others. Two slots of 20 ms serve 100
// requests/s. The greedy customer sends 400/s, and the three others send 20/s each, which is below the fair share of 25/s.
func TestWorstServedCustomerGetsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Options{Limit: func() int { return 2 }, Length: 16})
		served := make([]atomic.Int64, 4)
		go sendRequests(q, "greedy", 1, 2500*time.Microsecond, 20*time.Millisecond, time.Second, 10*time.Second, &served[0])
		for i, id := range []settings.CustomerID{"a", "b", "c"} {
			go sendRequests(q, id, 1, 50*time.Millisecond, 20*time.Millisecond, time.Second, 10*time.Second, &served[i+1])
		}
		time.Sleep(12 * time.Second)
		synctest.Wait()
		for i := 1; i < 4; i++ {
			if n := served[i].Load(); n != 200 {
				t.Errorf("customer %d, which sends less than its share: %d of 200 requests served", i, n)
			}
		}
		if n := served[0].Load(); n < 390 {
			t.Errorf("greedy customer: %d requests served, want the rest of the capacity, about 400", n)
		}
	})
}

// Guards against weights without effect: of two customers that both send too much, the one with weight 3 must get three times as
// many slots.
func TestWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Options{Limit: func() int { return 1 }, Length: 16})
		served := make([]atomic.Int64, 2)
		go sendRequests(q, "heavy", 3, 5*time.Millisecond, 10*time.Millisecond, time.Second, 10*time.Second, &served[0])
		go sendRequests(q, "light", 1, 5*time.Millisecond, 10*time.Millisecond, time.Second, 10*time.Second, &served[1])
		time.Sleep(12 * time.Second)
		synctest.Wait()
		ratio := float64(served[0].Load()) / float64(served[1].Load())
		if ratio < 2.7 || ratio > 3.3 {
			t.Errorf("the slots of the two customers have the ratio %.2f, want about 3", ratio)
		}
	})
}

// Guards against requests that wait although they cannot meet their deadline. With a service time of 100 ms, one slot and one
// request waiting, a request with 150 ms left must be rejected immediately, and one with 400 ms left must be served.
func TestRejectsRequestsThatCannotMeetTheirDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Options{Length: 4})
		sendRequest := func(timeout time.Duration) (time.Duration, error) {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			start := time.Now()
			release, err := q.Acquire(ctx, "a", 1)
			if err != nil {
				return time.Since(start), err
			}
			time.Sleep(100 * time.Millisecond)
			release()
			return time.Since(start), nil
		}
		if _, err := sendRequest(time.Second); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			go func() { _, _ = sendRequest(time.Second) }()
		}
		synctest.Wait()
		if waited, err := sendRequest(150 * time.Millisecond); !errors.Is(err, ErrDeadline) || waited != 0 {
			t.Errorf("150 ms left: error %v after %v, want ErrDeadline immediately", err, waited)
		}
		if waited, err := sendRequest(400 * time.Millisecond); err != nil || waited != 300*time.Millisecond {
			t.Errorf("400 ms left: error %v after %v, want success after 300 ms", err, waited)
		}
	})
}

// Guards against slots that are lost when a waiting request is cancelled, and against an unbounded queue.
func TestAbandonedAndFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Options{Length: 1})
		first, err := q.Acquire(t.Context(), "a", 1)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		abandoned := make(chan error, 1)
		go func() {
			_, err := q.Acquire(ctx, "a", 1)
			abandoned <- err
		}()
		synctest.Wait()
		if _, err := q.Acquire(t.Context(), "a", 1); !errors.Is(err, ErrFull) {
			t.Errorf("queue of length 1: %v, want ErrFull", err)
		}
		cancel()
		if err := <-abandoned; !errors.Is(err, context.Canceled) {
			t.Errorf("cancelled while waiting: error %v, want context.Canceled", err)
		}
		first()
		first()
		if stats := q.Stats(); stats.InFlight != 0 || stats.Waiting != 0 {
			t.Errorf("after all requests have ended: %+v, want nothing in flight or waiting", stats)
		}
	})
}
