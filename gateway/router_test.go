package gateway

import (
	"testing"
	"time"
)

// Guards against a retry budget that is not used while upstreams are unhealthy for a long time. The slack was spent once and
// refilled only with the ratio of the requests, so retryable requests failed while more than half of the budget of each window
// was unused. It also guards against exceeding the budget in any window.
func TestRetryBudgetUsesEachWindow(t *testing.T) {
	for _, requests := range []float64{0, 10, 200, 5000} {
		bounds := Bounds{RetryRatio: 0.2, RetrySlack: 630, RetryWindow: 10 * time.Second}
		window := bounds.RetryWindow.Seconds()
		allowed := bounds.RetryRatio*requests*window + bounds.RetrySlack
		limit := retryBudget(&bounds, requests)
		if maxRetries := limit.Burst + limit.Rate*window; maxRetries > allowed {
			t.Errorf("%v requests per second: up to %.0f retries in a window, want %.0f at most", requests, maxRetries, allowed)
		}
		if steady := limit.Rate * window; steady < 0.5*allowed {
			t.Errorf("%v requests per second: %.0f retries in each window, want half of %.0f at least", requests, steady, allowed)
		}
	}
}
