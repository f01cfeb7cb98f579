package gateway

import (
	"context"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/registry"
)

// upstreamFetch is the result of a fetch of the upstreams from another host.
type upstreamFetch struct {
	from    string
	readAt  time.Time
	version uint64
	entries []registry.Entry
	err     error
	// wanted is the start of the read that the other host has reported.
	wanted time.Time
}

// upstreamFetches fetches the upstreams from hosts that have read them, one at a time. It is used by one goroutine.
type upstreamFetches struct {
	*syncer
	results chan upstreamFetch
	running bool
}

// start begins a fetch from the host that has reported an update. It does nothing if update is nil or a fetch is running: the next
// update of that host starts another one if the running one does not bring its entries.
func (f *upstreamFetches) start(ctx context.Context, update *registryUpdate) {
	if update == nil || f.running {
		return
	}
	f.running = true
	go func() {
		result := f.fetch(ctx, update)
		select {
		case f.results <- result:
		case <-ctx.Done():
		}
	}()
}

func (f *upstreamFetches) fetch(ctx context.Context, update *registryUpdate) upstreamFetch {
	f.sleep(ctx, randomBelow(readJitter))
	result := upstreamFetch{from: update.from, wanted: update.readAt, err: errNoState}
	for _, host := range f.node.Hosts(time.Now()) {
		if host.ID != update.from || host.SettingsAddress == "" {
			continue
		}
		state, age, err := f.fetchState(ctx, &host, upstreamsPart)
		if err != nil {
			result.err = err
			continue
		}
		if state.Upstreams != nil {
			result.version, result.err = state.Upstreams.Version, nil
			result.readAt, result.entries = state.Upstreams.read(time.Now(), age)
		}
	}
	return result
}

// handleFetch applies the entries of another host. If it cannot, this host reads the store, unless another update has brought them.
func (s *syncer) handleFetch(reader *upstreamReader, fetched *upstreamFetch) {
	if fetched.err == nil {
		s.observeWarmUps(fetched.readAt, fetched.entries, fetched.from)
		if changes, applied := s.router.registry.Replace(fetched.readAt, fetched.version, fetched.entries); applied {
			s.handleRegistryChanges(changes, fetched.version, fetched.from)
		}
	} else {
		s.logStateFailure(fetched.from, fetched.err)
	}
	if s.router.registry.View().ReadAt.Before(fetched.wanted.Add(-stateAgeError)) {
		reader.triggerAfterUpdate(time.Now(), s.readConditions())
	}
}
