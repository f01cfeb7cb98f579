package retry

import (
	"testing"
	"time"
)

// Guards against a retry storm: when a service fails as a whole after a healthy minute, 20 requests/s may cause at most a tenth
// more attempts, counted from the start of the failure, and nearly none once the successes have left the window.
func TestBudgetBoundsAmplification(t *testing.T) {
	budget := NewBudget(BudgetOptions{})
	now := time.Unix(1000, 0)
	for range 60 * 20 {
		budget.OnSuccess(now)
		now = now.Add(50 * time.Millisecond)
	}
	attempts := map[string]int{}
	for i := range 60 * 20 {
		phase := "late"
		if i < 20*20 {
			phase = "early"
		}
		attempts[phase]++
		if budget.TakeToken(now) {
			attempts[phase]++
		}
		now = now.Add(50 * time.Millisecond)
	}
	if n := attempts["early"]; n < 410 || n > 440 {
		t.Errorf("first 20 s: %d attempts for 400 requests, want 410 to 440", n)
	}
	if n := attempts["late"]; n > 808 {
		t.Errorf("next 40 s: %d attempts for 800 requests, want at most 808", n)
	}
}

// Guards against a budget that rejects useful retries: a healthy service may retry a tenth of the number of its successes.
func TestBudgetAllowsShareOfSuccesses(t *testing.T) {
	budget := NewBudget(BudgetOptions{})
	now := time.Unix(1000, 0)
	for range 200 {
		budget.OnSuccess(now)
	}
	allowed := 0
	for range 100 {
		if budget.TakeToken(now) {
			allowed++
		}
	}
	if allowed != 20 {
		t.Errorf("%d retries after 200 successes, want 20", allowed)
	}
}

// Guards against a retry or hedge of a request that must not run twice, has no attempts or time left, or has no other upstream.
func TestPolicy(t *testing.T) {
	allowedRequest := Request{
		Idempotent: true, Attempts: 1, MaxAttempts: 3, Remaining: time.Second, ExpectedDuration: 20 * time.Millisecond,
		OtherUpstream: true,
	}
	for _, test := range []struct {
		name   string
		change func(*Request)
		want   bool
	}{
		{"allowed", func(*Request) {}, true},
		{"not idempotent", func(r *Request) { r.Idempotent = false }, false},
		{"no attempts left", func(r *Request) { r.Attempts = 3 }, false},
		{"no time left", func(r *Request) { r.Remaining = 10 * time.Millisecond }, false},
		{"no other upstream", func(r *Request) { r.OtherUpstream = false }, false},
	} {
		request := allowedRequest
		test.change(&request)
		policy := Policy{HedgeDelay: 50 * time.Millisecond}
		now := time.Unix(1000, 0)
		if got := policy.Retry(now, request, NewBudget(BudgetOptions{})); got != test.want {
			t.Errorf("%s: retry %v, want %v", test.name, got, test.want)
		}
		if got := policy.Hedge(now, request, 60*time.Millisecond, NewBudget(BudgetOptions{})); got != test.want {
			t.Errorf("%s: hedge %v, want %v", test.name, got, test.want)
		}
		if policy.Hedge(now, request, 40*time.Millisecond, NewBudget(BudgetOptions{})) {
			t.Errorf("%s: hedged after 40 ms, before the delay of 50 ms", test.name)
		}
	}
}
