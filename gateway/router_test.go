package gateway

import (
	"testing"
	"time"
)

// Guards the load pattern "upstreams are sick for long": the slack of the retry budget was spent once and came back only with
// the ratio of the requests, so that repeatable requests failed with more than half of the budget of each window unused. It
// guards also against more than the budget in any window.
func TestRetryBudgetUsesEachWindow(t *testing.T) {
	for _, requests := range []float64{0, 10, 200, 5000} {
		bounds := Bounds{RetryRatio: 0.2, RetrySlack: 630, RetryWindow: 10 * time.Second}
		window := bounds.RetryWindow.Seconds()
		allowed := bounds.RetryRatio*requests*window + bounds.RetrySlack
		limit := retryBudget(&bounds, requests)
		if most := limit.Burst + limit.Rate*window; most > allowed {
			t.Errorf("%v requests a second: %.0f retries in a window, allowed are %.0f", requests, most, allowed)
		}
		if steady := limit.Rate * window; steady < 0.5*allowed {
			t.Errorf("%v requests a second: %.0f retries in each window, allowed are %.0f", requests, steady, allowed)
		}
	}
}
