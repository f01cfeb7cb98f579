package gateway

import (
	"context"
	"errors"
	"time"
)

// The store may never respond to a long poll for a change of the configuration. Then all polling hosts miss the change, and none
// can report it to the others. Therefore the host that makes a scheduled read of the upstreams compares the version of the store
// with the position of its last read of the configuration. If the store is ahead, the host reads the changes since that position.
// This costs no calls to the store while nothing changes.

// recordStoreRead records the version that a read of the upstreams has returned. It also ends the wait after a failed read of the
// configuration.
func (s *syncer) recordStoreRead(started time.Time, version uint64) {
	s.storeVersion.Store(max(version, s.storeVersion.Load()))
	s.storeReadAt.Store(started.UnixNano())
	notify(s.rereadConfiguration)
}

// storeAhead reports whether the store has changed since the position.
func (s *syncer) storeAhead(position Position) bool {
	return max(Position(s.storeVersion.Load()), NewPosition(s.storeEra.Load(), 0)) > position
}

// confirmUnchanged confirms the configuration if a read of the upstreams has shown that the store has not changed since the
// position of the last read of the configuration.
func (s *syncer) confirmUnchanged(position Position) {
	readAt := s.storeReadAt.Load() // loaded before the version, which can then belong to a later read but not to an earlier one
	current := s.current.Load()
	if readAt == 0 || current == nil || s.storeAhead(position) {
		return
	}
	current.confirm(time.Unix(0, readAt))
}

// checkConfiguration reads the changes of the configuration since the last read of it.
func (s *syncer) checkConfiguration(ctx context.Context, dependency *dependency) {
	if s.storeEra.Load() > s.position.Era() {
		conditions := s.readConditions()
		s.sleep(ctx, conditions.eraDelay())
	}
	began := time.Now()
	next, at, source, err := s.readChanges(ctx)
	if err != nil {
		if ctx.Err() == nil {
			s.awaitRecovery(ctx, dependency, err, s.retryConfiguration, s.rereadConfiguration)
		}
		return
	}
	s.storeUnavailable.Store(false)
	dependency.recordSuccess()
	s.apply(next, configurationRead{source: source, after: s.position, at: at, took: time.Since(began)})
	s.position = at
}

// readChanges reads the changes since the position, without waiting. It makes a full read if the position or the changes are not
// known.
func (s *syncer) readChanges(ctx context.Context) (*Configuration, Position, configurationSource, error) {
	// This read begins after the one that returned this version. If it returns all changes, or none, it covers this version.
	atLeast := Position(s.storeVersion.Load())
	if s.position == 0 {
		next, at, err := s.readFull(ctx)
		return next, max(at, atLeast), fullRead, err
	}
	reading, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	started := time.Now()
	next, at, err := s.options.Configurations.ConfigurationAfter(reading, s.position, 0, nil)
	if errors.Is(err, ErrHistoryGone) {
		s.logger.Info().Str("event", "history_gone").Uint64("position", uint64(s.position)).Send()
		next, at, err = s.readFull(ctx)
		return next, max(at, atLeast), fullRead, err
	}
	if err != nil {
		return nil, 0, checkRead, err
	}
	s.noteEra(at.Era())
	if at > s.position && at < atLeast {
		return next, at, checkRead, nil // the response may contain only some of the changes
	}
	s.asOf = started
	return next, max(at, atLeast), checkRead, nil
}
