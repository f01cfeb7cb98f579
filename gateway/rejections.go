package gateway

import (
	"math"
	"sync"
	"time"
)

// rejectionHalfLife is the half-life of the count of rejected requests, as that of the failures that a dispatcher counts.
const rejectionHalfLife = time.Second

// rejections counts the requests of a service that this host has rejected lately. Its zero value is ready for use. It is safe for
// concurrent use.
type rejections struct {
	mu    sync.Mutex
	count float64 // as of at
	at    time.Time
}

func (r *rejections) add(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count = r.decayed(now) + 1
	r.at = now
}

// take returns the decayed count, and begins a new one.
func (r *rejections) take(now time.Time) uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := math.Round(r.decayed(now))
	r.count = 0
	return uint32(min(count, math.MaxUint32))
}

func (r *rejections) decayed(now time.Time) float64 {
	return r.count * math.Exp2(-float64(now.Sub(r.at))/float64(rejectionHalfLife))
}
