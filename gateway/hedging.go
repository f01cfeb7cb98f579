package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/hedge"
	"github.com/bronzeyard/bronzeyard/settings"
)

// hedging applies the operators' limit of hedges on this host. It implements relay.Hedging.
type hedging struct {
	limit  hedge.Limit
	router *router
	// waiting returns the number of requests of a service that wait for a free slot. Nil if no queue is known to this host.
	waiting func(settings.ServiceName) int

	mu       sync.Mutex
	accounts map[settings.ServiceName]*hedge.Account
}

func newHedging(limit hedge.Limit, router *router) *hedging {
	return &hedging{limit: limit, router: router, accounts: make(map[settings.ServiceName]*hedge.Account)}
}

// CountRequest implements relay.Hedging.
func (h *hedging) CountRequest(service settings.ServiceName) {
	if !h.limit.IsSet() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.account(service).CountRequest(time.Now(), h.limit)
}

// Take implements relay.Hedging.
func (h *hedging) Take(now time.Time, service settings.ServiceName, replaces bool) hedge.Refusal {
	if !h.limit.IsSet() {
		return hedge.Allowed
	}
	s := h.router.service(service)
	conditions := hedge.Conditions{
		Full:     s.pool.FullShare(now, h.router.registry.View().Upstreams(service)),
		Replaces: replaces, RetriesLeft: h.router.hasRetryTokenBeyond(now, service, hedge.ReserveForRetries),
	}
	if h.waiting != nil {
		conditions.Waiting = h.waiting(service)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.account(service).Take(now, h.limit, conditions)
}

// Return implements relay.Hedging.
func (h *hedging) Return(takenAt time.Time, service settings.ServiceName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.account(service).Return(takenAt, h.limit)
}

// Delay implements relay.Hedging.
func (h *hedging) Delay(after, typical time.Duration) time.Duration {
	return h.limit.Delay(after, typical)
}

func (h *hedging) account(service settings.ServiceName) *hedge.Account {
	a := h.accounts[service]
	if a == nil {
		a = hedge.NewAccount(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		h.accounts[service] = a
	}
	return a
}

// hasRetryTokenBeyond reports whether the retry budget of a service has a token and leaves the given share of its burst.
func (r *router) hasRetryTokenBeyond(now time.Time, service settings.ServiceName, reserve float64) bool {
	id := settings.CustomerID(service)
	limit, _ := r.retryLimit(id)
	return r.retries.WouldAdmitBeyond(now, id, limit, reserve)
}
