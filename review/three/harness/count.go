package harness

import (
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/platform/platformtest"
)

// span is the time from the sending of a request to its arrival at the server that has run it.
type span struct{ sent, arrived time.Time }

func spansOf(results []Result, runs []platformtest.Run, customer string) []span {
	arrived := make(map[string]time.Time, len(runs))
	for _, r := range runs {
		arrived[r.ID] = r.ArrivedAt
	}
	var spans []span
	for _, r := range results {
		if at, ok := arrived[r.ID]; ok && r.Customer == customer {
			spans = append(spans, span{r.SentAt, at})
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return a.arrived.Compare(b.arrived) })
	return spans
}

// MostInWindow returns the largest number of a customer's requests that were sent and arrived at a server that has run them within any
// window, and the begin of that window. It records all runs.
func MostInWindow(record *Record, results []Result, runs []platformtest.Run, customer string, window time.Duration) (most int, from time.Duration) {
	for _, r := range runs {
		record.At(r.ArrivedAt, "run       %s by %s", r.ID, r.Upstream)
	}
	spans := spansOf(results, runs, customer)
	starts := make([]time.Time, len(spans))
	for i, s := range spans {
		starts[i] = s.sent
	}
	slices.SortFunc(starts, time.Time.Compare)
	for _, begin := range starts {
		end, n := begin.Add(window), 0
		for _, s := range spans {
			if !s.sent.Before(begin) && !s.arrived.After(end) {
				n++
			}
		}
		if n > most {
			most, from = n, record.Since(begin)
		}
	}
	return most, from
}

// CountRun returns the number of a customer's requests that were sent after a time and have run, and of all that were sent.
func CountRun(results []Result, runs []platformtest.Run, customer string, after time.Time) (run, sent int) {
	for _, s := range spansOf(results, runs, customer) {
		if s.sent.After(after) {
			run++
		}
	}
	for _, r := range results {
		if r.Customer == customer && r.SentAt.After(after) {
			sent++
		}
	}
	return run, sent
}

// RunByHost returns the number of a customer's requests that were sent to each host after a time and have run.
func RunByHost(results []Result, runs []platformtest.Run, customer string, after time.Time) map[string]int {
	ran := make(map[string]bool, len(runs))
	for _, r := range runs {
		ran[r.ID] = true
	}
	by := make(map[string]int)
	for _, r := range results {
		if ran[r.ID] && r.Customer == customer && r.SentAt.After(after) {
			by[r.Host]++
		}
	}
	return by
}
