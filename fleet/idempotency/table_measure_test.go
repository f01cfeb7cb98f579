package idempotency

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

// load starts n operations at random times, on average rate per second. It returns the sorted durations of their claims.
func (f *tableFleet) load(owner *tableHost, mode settings.ClaimMode, rate, n int) []time.Duration {
	arrivals := rand.New(rand.NewPCG(1, 1))
	var wait sync.WaitGroup
	var mu sync.Mutex
	var took []time.Duration
	for range n {
		time.Sleep(time.Duration(arrivals.ExpFloat64() * float64(time.Second) / float64(rate)))
		id := f.newID(owner)
		wait.Go(func() {
			start := time.Now()
			claim, kind, _ := f.hosts[1].begin(id, mode, 5*time.Second)
			mu.Lock()
			took = append(took, time.Since(start))
			mu.Unlock()
			if kind == "granted" {
				time.Sleep(50 * time.Millisecond)
				claim.Complete(Result{State: Done, Status: 201, Body: make([]byte, 1000)})
			}
		})
	}
	wait.Wait()
	time.Sleep(time.Second)
	slices.Sort(took)
	return took
}

// Guards against one transaction for each row under load. The test logs the table calls and the added latency of claims in
// the table.
func TestCostOfTableClaims(t *testing.T) {
	const tableDelay = 5 * time.Millisecond
	const operations = 400
	for _, rate := range []int{1, 20, 200} {
		synctest.Test(t, func(t *testing.T) {
			f := newTableFleet(2)
			defer f.close()
			f.table.Faults.SetDelay(tableDelay)
			start := time.Now()
			inMemory := f.load(f.hosts[0], settings.ClaimsInMemory, rate, operations)
			took := f.load(f.hosts[0], settings.ClaimsInTable, rate, operations)
			reads, rows := f.table.Counts()
			n, transactions := float64(len(took)), float64(f.hosts[0].ops.Status().Table.Transactions)
			t.Logf("%3d operations/s: per operation %.2f rows written in %.2f transactions, %.2f reads (all to delete expired rows: %.2f/s); added p50 %v, p99 %v",
				rate, float64(rows)/n, transactions/n, float64(reads)/n, float64(reads)/time.Since(start).Seconds(), took[len(took)/2]-inMemory[len(inMemory)/2],
				took[len(took)*99/100]-inMemory[len(inMemory)*99/100])
			if rate == 200 && transactions > n {
				t.Errorf("%v operations took %v transactions, want at most one per operation", n, transactions)
			}
			if float64(rows) != 2*n {
				t.Errorf("%v operations wrote %d rows, want 2 per operation", n, rows)
			}
		})
	}
}

// Guards against operations with an unknown outcome after their owner failed although the table has their state. 14 hosts
// serve 40 operations per second, and 4 hosts fail at once. Callers repeat retryable operations with the same id for 15 s.
func TestUnknownAfterLossOfOwners(t *testing.T) {
	const seconds, rate = 15, 40
	for _, mode := range []settings.ClaimMode{settings.ClaimsInMemory, settings.ClaimsInTable, settings.ClaimsAuto} {
		synctest.Test(t, func(t *testing.T) {
			f := newTableFleet(14)
			defer f.close()
			f.table.Faults.SetDelay(5 * time.Millisecond)
			var wait sync.WaitGroup
			var mu sync.Mutex
			results, unknownNotRun, twice := make(map[string]int), 0, 0
			for n := range seconds * rate {
				time.Sleep(time.Second / rate)
				if n == seconds*rate/3 {
					for _, h := range f.hosts[:4] {
						f.lose(h)
					}
					time.AfterFunc(time.Second, f.learnAll)
				}
				id := idAt(time.Now(), uint64(n))
				wait.Go(func() {
					last, runs := f.repeat(id, mode, n)
					mu.Lock()
					defer mu.Unlock()
					results[last]++
					if runs > 1 {
						twice++
					}
					if runs == 0 && last == string(errkind.OutcomeUnknown) {
						unknownNotRun++
					}
				})
			}
			wait.Wait()
			t.Logf("%-6s claims: results %v, unknown without a run %d, run twice %d", mode, results, unknownNotRun, twice)
			if twice > 0 || (mode == settings.ClaimsInTable && unknownNotRun > 0) {
				t.Errorf("%d operations ran twice, %d that did not run have an unknown outcome", twice, unknownNotRun)
			}
		})
	}
}

// repeat acts as a caller that repeats an operation at different hosts. It returns the last result and the number of runs.
func (f *tableFleet) repeat(id uuid.UUID, mode settings.ClaimMode, n int) (last string, runs int) {
	for attempt, start := 0, time.Now(); time.Since(start) < 15*time.Second; attempt++ {
		h := f.hosts[4+(n+attempt)%10] // hosts that are not lost
		claim, kind, _ := h.begin(id, mode, 3*time.Second)
		last = kind
		if kind == "granted" {
			runs++
			time.Sleep(50 * time.Millisecond)
			claim.Complete(Result{State: Done, Status: 201})
			if n%20 == 0 && attempt == 0 {
				continue // the caller has not received the response
			}
		}
		if !errkind.ResponseFor(errkind.Kind(kind)).Retryable {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return last, runs
}
