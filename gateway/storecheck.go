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
func (f *followers) storeRead(started time.Time, version uint64) {
	f.storeVersion.Store(max(version, f.storeVersion.Load()))
	f.storeReadAt.Store(started.UnixNano())
	poke(f.rereadConfiguration)
}

// storeBeyond reports whether the store has changed since the position.
func (f *followers) storeBeyond(position Position) bool {
	return Position(f.storeVersion.Load()) > position
}

// confirmUnchanged confirms the configuration if a read of the upstreams has shown that the store has not changed since the
// position, which is that of the last read of the configuration.
func (f *followers) confirmUnchanged(position Position) {
	readAt := f.storeReadAt.Load() // before the version, which may be of a later read then, not of an earlier one
	current := f.current.Load()
	if readAt == 0 || current == nil || f.storeBeyond(position) {
		return
	}
	current.confirm(time.Unix(0, readAt))
}

// checkConfiguration reads the changes of the configuration since the last read of it.
func (f *followers) checkConfiguration(ctx context.Context, dependency *dependency) {
	began := time.Now()
	next, at, source, err := f.readChanges(ctx)
	if err != nil {
		if ctx.Err() == nil {
			f.awaitReturn(ctx, dependency, err, f.retryConfiguration, f.rereadConfiguration)
		}
		return
	}
	f.storeAway.Store(false)
	dependency.worked()
	f.apply(next, configurationRead{source: source, after: f.position, at: at, took: time.Since(began)})
	f.position = at
}

// readChanges reads what has changed since the position, without a wait, or all if that is not known.
func (f *followers) readChanges(ctx context.Context) (*Configuration, Position, configurationSource, error) {
	// The read begins after the one that has stated this version. If it finds all, or nothing, it holds all changes up to there.
	atLeast := Position(f.storeVersion.Load())
	if f.position == 0 {
		next, at, err := f.readWhole(ctx)
		return next, max(at, atLeast), wholeRead, err
	}
	reading, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	started := time.Now()
	next, at, err := f.options.Configurations.ConfigurationAfter(reading, f.position, 0, nil)
	if errors.Is(err, ErrHistoryGone) {
		f.logger.Info().Str("event", "history_gone").Uint64("position", uint64(f.position)).Send()
		next, at, err = f.readWhole(ctx)
		return next, max(at, atLeast), wholeRead, err
	}
	if err != nil {
		return nil, 0, checkRead, err
	}
	if at > f.position && at < atLeast {
		return next, at, checkRead, nil // the answer may hold a part of the changes
	}
	f.asOf = started
	return next, max(at, atLeast), checkRead, nil
}
