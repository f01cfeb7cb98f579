package host

import (
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/settings/store"
)

// snapshots turns each tree that comes into force into the snapshot that traffic reads.
type snapshots struct {
	dataCentre string
	logger     zerolog.Logger
	observers  []func(before, after *settings.Snapshot)
	current    atomic.Pointer[settings.Snapshot]
}

// watch follows the store until cancel is called.
func (s *snapshots) watch(st *store.Store) (cancel func()) { return st.OnChange(s.apply) }

// Current implements proxy.Snapshots.
func (s *snapshots) Current() *settings.Snapshot { return s.current.Load() }

// services calls yield for each service of the settings in force.
func (s *snapshots) services(yield func(*settings.Service) bool) {
	if snapshot := s.Current(); snapshot != nil {
		snapshot.Services(yield)
	}
}

func (s *snapshots) apply(tree *settings.Tree, revision uint64) {
	if revision == 0 {
		return
	}
	next, err := tree.Snapshot(revision, s.dataCentre)
	if err != nil {
		// The store validates trees, so this is a fault of the program. The last good settings stay in force.
		s.logger.Error().Err(err).Uint64("revision", revision).Msg("settings cannot be brought into force")
		return
	}
	old := s.current.Swap(next)
	for _, observe := range s.observers {
		observe(old, next)
	}
	s.logger.Info().Uint64("revision", revision).Msg("settings are in force")
}
