package forward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	sharedBudget = 64 << 20
	oneBody      = 1 << 20
)

// take reserves bodies for an upstream until none fits, and returns their total size.
func take(b *BufferBudget, upstream string) int64 {
	total := int64(0)
	for b.reserveFor(upstream, oneBody) {
		total += oneBody
	}
	return total
}

// Guards against upstreams that take all the memory of a host from the others with large responses.
func TestUpstreamsLeaveMemoryToTheOthers(t *testing.T) {
	for faulty := 1; faulty <= 12; faulty++ {
		b := NewBufferBudget(sharedBudget)
		name := func(i int) string { return fmt.Sprint("faulty ", i) }
		for i := range faulty {
			take(b, name(i))
		}
		expectSmallResponsesFit(t, b, faulty)
		for round := range 100 * faulty { // the responses end one by one, and each upstream takes what it gets
			b.releaseHeld(name(round%faulty), oneBody)
			take(b, name((round+1)%faulty))
		}
		expectSmallResponsesFit(t, b, faulty)
		if share := int64(sharedBudget) / int64(faulty+1); faulty <= 4 {
			if n := take(b, "sound"); n < share/2-oneBody {
				t.Errorf("%d faulty upstreams: another gets %d bytes, want at least half of %d", faulty, n, share)
			}
		}
	}
}

// releaseHeld releases bytes of an upstream if it holds as many.
func (b *BufferBudget) releaseHeld(upstream string, n int64) {
	if b.held[upstream] >= n {
		b.releaseFor(upstream, n)
	}
}

// expectSmallResponsesFit checks that large responses alone do not make memory scarce.
func expectSmallResponsesFit(t *testing.T, b *BufferBudget, faulty int) {
	t.Helper()
	if b.scarceFor("") {
		t.Errorf("%d faulty upstreams: memory is scarce for all requests, %d bytes are used", faulty, b.Used())
	}
	if !b.reserveFor("faulty 0", smallReservation) {
		t.Errorf("%d faulty upstreams: there is no memory for a small response", faulty)
		return
	}
	b.releaseFor("faulty 0", smallReservation)
}

// Guards against memory that stays accounted to an upstream, and against entries of upstreams that hold nothing.
func TestReleasedMemoryIsAvailableAgain(t *testing.T) {
	b := NewBufferBudget(sharedBudget)
	for range 3 {
		total := take(b, "a")
		if total != sharedBudget/2 {
			t.Errorf("one upstream takes %d bytes, want half of the budget", total)
		}
		b.releaseFor("a", total)
	}
	if b.Used() != 0 || len(b.held) != 0 {
		t.Errorf("%d bytes are used and %d upstreams hold memory, want none", b.Used(), len(b.held))
	}
}

// Guards against a response that waits although memory was released, and against one that waits after its attempt has ended.
func TestWaitingForMemoryEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBufferBudget(sharedBudget)
		if !b.Reserve(sharedBudget) {
			t.Fatal("an empty budget has no memory")
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var waiting sync.WaitGroup
		got := make([]bool, 3)
		for i := range got {
			waiting.Go(func() { got[i] = b.awaitFor(ctx, "a", oneBody) })
		}
		synctest.Wait()
		if b.Waiting() != len(got) || !b.scarceFor("a") {
			t.Errorf("%d responses wait, want %d", b.Waiting(), len(got))
		}
		b.Release(10 * oneBody)
		synctest.Wait()
		cancel()
		waiting.Wait()
		granted := 0
		for _, ok := range got {
			if ok {
				granted++
			}
		}
		if granted != 2 || b.Waiting() != 0 { // they leave an eighth of the budget to small responses
			t.Errorf("%d responses got memory and %d still wait, want 2 and 0", granted, b.Waiting())
		}
	})
}

// Guards against a response without an end that keeps its memory until its deadline although the request can be repeated, and against
// one that does not count as a failure of its upstream.
func TestUnknownLengthWithoutMemoryIsAFailureOfTheUpstream(t *testing.T) {
	const budgetBytes = 16 << 20
	for _, c := range []struct {
		method   string
		deadline time.Duration
		sooner   bool
	}{{http.MethodGet, 10 * time.Second, true}, {http.MethodPost, time.Second, false}} {
		t.Run(c.method, func(t *testing.T) {
			budget := NewBufferBudget(budgetBytes)
			f := New(Options{Budget: budget, MaxBufferedResponse: budgetBytes / 2, AllowCloseDelimited: true, AwaitMemory: true})
			upstream := newEndlessUpstream(t, "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 64<<10), 0)
			if !budget.Reserve(budgetBytes * 3 / 4) {
				t.Fatal("an empty budget has no memory")
			}
			ctx, cancel := context.WithTimeout(t.Context(), c.deadline)
			defer cancel()
			request := &Request{
				Method: c.method, Host: "a", RequestTarget: "/", ID: "1", Verbatim: true, Pooled: true, Idempotent: c.method == http.MethodGet,
			}
			_, err := f.Do(ctx, request, Target{Address: upstream.listener.Addr().String()})
			var failure *AttemptError
			if !errors.As(err, &failure) || failure.Kind != Broken || !failure.Sent {
				t.Errorf("the error is %v, want a broken attempt that was sent", err)
			}
			if sooner := ctx.Err() == nil; sooner != c.sooner {
				t.Errorf("the attempt ended before its deadline: %v, want %v", sooner, c.sooner)
			}
			if used := budget.Used(); used != budgetBytes*3/4 {
				t.Errorf("%d bytes are reserved after the attempt, want %d", used, budgetBytes*3/4)
			}
		})
	}
}

// Guards against an attempt that waits until its deadline for memory that no upstream can ever hold.
func TestBodyBeyondTheBudgetEndsAtOnce(t *testing.T) {
	const budgetBytes = 4 << 20
	f := New(Options{Budget: NewBufferBudget(budgetBytes), MaxBufferedResponse: budgetBytes, AwaitMemory: true})
	listener := serveConns(t, func(conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", budgetBytes-1)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	begin := time.Now()
	request := &Request{Method: http.MethodGet, Host: "a", RequestTarget: "/", ID: "1", Verbatim: true, Pooled: true, Idempotent: true}
	response, err := f.Do(ctx, request, Target{Address: listener.Addr().String()})
	if err == nil {
		if response.Complete {
			t.Error("the response is complete although its body does not fit")
		}
		response.Close()
	}
	if took := time.Since(begin); took > 5*time.Second {
		t.Errorf("the attempt took %v, want it to end at once", took)
	}
}
