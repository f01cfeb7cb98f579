package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/confsync"
	"github.com/bronzeyard/bronzeyard/gateway/registry"
)

const (
	// startListWait is how long the first reads of a starting host wait for the records of the others. After that the store is slow
	// or unavailable, and all reads begin.
	startListWait = 400 * time.Millisecond
	// minStartWait and startWaitSpread determine how long a host of a fleet that may be starting waits for one that has read the
	// store: long enough for all hosts to write their records, and of random length so that few hosts read.
	minStartWait    = 300 * time.Millisecond
	startWaitSpread = 200 * time.Millisecond
	// maxStartWait bounds this time if another host is known that is reading the store or busy.
	maxStartWait = 2 * time.Second
	// copyInterval is the time between attempts to copy the state of another host, and copyJitter a random addition.
	copyInterval = 30 * time.Millisecond
	copyJitter   = 40 * time.Millisecond
)

// run keeps the state in sync until ctx ends.
func (s *syncer) run(ctx context.Context) {
	decided := make(chan struct{})
	go s.expectHosts(ctx)
	go func() {
		s.startUp(ctx, decided)
		s.syncHosts(ctx)
	}()
	select {
	case <-decided:
	case <-ctx.Done():
		return
	}
	go s.syncUpstreams(ctx)
	s.syncConfiguration(ctx)
}

// startUp reads the records of the other hosts. If the fleet is large, or may be, it writes this host's record and copies the state
// of another host, which saves the reads of the store. It closes decided when the other reads may begin. What is missing then is
// read from the store.
func (s *syncer) startUp(ctx context.Context, decided chan struct{}) {
	waiting := time.AfterFunc(startListWait, func() { close(decided) })
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	readAt := time.Now()
	stored, err := s.options.Hosts.Hosts(calling)
	inTime := waiting.Stop()
	if inTime {
		defer close(decided)
	}
	if err != nil {
		s.startWait.skip()
		return // syncHosts repeats the read
	}
	s.noteSourceEra()
	s.own.era = s.storeEra.Load()
	others := s.applyRecords(readAt, stored)
	if others < minHostsToShare {
		s.startWait.skip()
	}
	// A host that has run before knows the size of the fleet from the records. At the first start of a fleet, the others may not have
	// written theirs yet.
	if !inTime || (stored[s.options.HostID] != nil && others < minHostsToShare) || s.writeRecord(calling) != nil {
		return
	}
	s.own.written = true
	s.introduce(ctx)
	began := time.Now()
	wait := time.Duration(rand.Int64N(int64(startWaitSpread)))
	if others < minHostsToShare {
		wait += minStartWait
	}
	for ctx.Err() == nil {
		copied, mayFollow := s.copyState(ctx, began.Add(wait))
		if waited := time.Since(began); copied || (waited >= wait && !mayFollow) || waited >= maxStartWait {
			s.logger.Info().Str("event", "started_from").Bool("host", copied).Dur("waited_ms", waited).Send()
			return
		}
		s.sleep(ctx, copyInterval+randomBelow(copyJitter))
	}
}

// copyState copies the state of another host and reports whether it has, and whether a host is known that may have it soon. It asks
// no further host after a time: hosts that do not respond must not delay the reads of the store.
func (s *syncer) copyState(ctx context.Context, until time.Time) (copied, mayFollow bool) {
	for i, peer := range s.statePeers() {
		if i > 0 && time.Now().After(until) {
			break
		}
		state, age, err := s.fetchState(ctx, &peer, allParts)
		if err != nil { // not logged: most of the hosts with a record may have ended
			mayFollow = mayFollow || (errors.Is(err, confsync.ErrBusy) && peer.Configuration > 0)
			continue
		}
		if s.useState(ctx, peer.ID, state, age) {
			return true, false
		}
	}
	return false, mayFollow
}

// useState activates the state of another host if it is complete and current.
func (s *syncer) useState(ctx context.Context, from string, state *hostState, age time.Duration) bool {
	if state.Configuration == nil || state.Upstreams == nil || len(state.Records) == 0 {
		return false
	}
	now, bounds := time.Now(), s.boundsNow()
	readAt, entries := state.Upstreams.read(now, age)
	confirmedAt := now.Add(-age - time.Duration(state.Configuration.AgeMs)*time.Millisecond)
	limit := time.Duration(maxSharedAge * float64(bounds.maxStoreDelay()))
	if now.Sub(readAt) > limit || now.Sub(confirmedAt) > limit {
		return false
	}
	records, err := encodeRecords(state.Records)
	if err != nil {
		return false
	}
	configuration, err := s.options.Configurations.Decode(state.Configuration.Raw)
	if err != nil {
		return false
	}
	s.applyRecords(now, records)
	s.apply(configuration, configurationRead{source: peerRead, confirmedAt: confirmedAt})
	if era := registry.Era(state.Upstreams.Version); era > 0 {
		s.noteEra(era)
		s.position = NewPosition(era, 0) // the other host has read the configuration in this era, or will pass on what it reads
	}
	s.observeWarmUps(readAt, entries, from)
	if changes, applied := s.router.registry.Replace(readAt, state.Upstreams.Version, entries); applied {
		s.handleRegistryChanges(changes, state.Upstreams.Version, from)
	}
	s.own.introduced = true
	s.introduce(ctx)
	s.node.SetRegistered()
	s.updateHosts()
	s.hostsLoaded.Store(true)
	s.node.Announce() // others that start may copy the state of this host
	return true
}
