package host

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/storage"
)

// Interval and timeout of reads of the host list. A leaving upstream must get no new requests after 3 s, and the list
// itself is updated with a delay.
const (
	hostListInterval = time.Second
	hostListTimeout  = 2 * time.Second
)

// leavingList polls the platform's host list and records which addresses it marks as leaving. While the list cannot be
// read, the last version that was read stays in use.
type leavingList struct {
	list    storage.HostList
	logger  zerolog.Logger
	leaving atomic.Pointer[map[string]bool]
}

// run polls the list until ctx ends. It returns at once if there is no list.
func (l *leavingList) run(ctx context.Context) {
	if l.list == nil {
		return
	}
	ticker := time.NewTicker(hostListInterval)
	defer ticker.Stop()
	for {
		l.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (l *leavingList) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	hosts, err := l.list.Hosts(ctx)
	if err != nil {
		l.logger.Debug().Err(err).Msg("host list cannot be read")
		return
	}
	leaving := make(map[string]bool)
	for _, host := range hosts {
		if host.State == storage.HostLeaving {
			leaving[host.Address] = true
		}
	}
	l.leaving.Store(&leaving)
}

// contains reports whether the list marks the upstream as leaving, either by its address or by its IP address alone.
func (l *leavingList) contains(upstream *settings.Upstream) bool {
	leaving := l.leaving.Load()
	if leaving == nil || len(*leaving) == 0 {
		return false
	}
	if (*leaving)[upstream.Address] {
		return true
	}
	address, err := netip.ParseAddrPort(upstream.Address)
	return err == nil && (*leaving)[address.Addr().String()]
}
