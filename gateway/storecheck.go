package gateway

import (
	"context"
	"errors"
	"time"
)

// A read that waits for a change of the configuration may never be answered, and then every host that waits at the store is in
// the same state, so none hears of the change from another. The host that reads the upstreams in its turn therefore compares the
// store's version with the position of its last read of the configuration, and reads the changes since when the store is
// ahead. A store in which nothing changes is not called for this.

// storeRead notes the version that a read of the upstreams has stated. It also ends the pause after a failed read of the
// configuration.
func (s *syncer) recordStoreRead(started time.Time, version uint64) {
	s.storeVersion.Store(max(version, s.storeVersion.Load()))
	s.storeReadAt.Store(started.UnixNano())
	notify(s.rereadConfiguration)
}

// storeBeyond reports whether the store has changed since the position.
func (s *syncer) storeAhead(position Position) bool {
	return Position(s.storeVersion.Load()) > position
}

// confirmUnchanged confirms the configuration if a read of the upstreams has shown that the store has not changed since the
// position, which is that of the last read of the configuration.
func (s *syncer) confirmUnchanged(position Position) {
	readAt := s.storeReadAt.Load() // before the version, which may be of a later read then, not of an earlier one
	current := s.current.Load()
	if readAt == 0 || current == nil || s.storeAhead(position) {
		return
	}
	current.confirm(time.Unix(0, readAt))
}

// checkConfiguration reads the changes of the configuration since the last read of it.
func (s *syncer) checkConfiguration(ctx context.Context, dependency *dependency) {
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

// readChanges reads what has changed since the position, without a wait, or all if that is not known.
func (s *syncer) readChanges(ctx context.Context) (*Configuration, Position, configurationSource, error) {
	// The read begins after the one that has stated this version. If it finds all, or nothing, it holds all changes up to there.
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
	if at > s.position && at < atLeast {
		return next, at, checkRead, nil // the answer may hold a part of the changes
	}
	s.asOf = started
	return next, max(at, atLeast), checkRead, nil
}
