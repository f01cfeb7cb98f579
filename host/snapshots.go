package host

import (
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/settings/store"
)

// snapshots builds the snapshot that the request path reads from each newly activated settings tree.
type snapshots struct {
	dataCentre string
	logger     zerolog.Logger
	observers  []func(before, after *settings.Snapshot)
	current    atomic.Pointer[settings.Snapshot]
}

// watch applies the changes of the store until cancel is called.
func (s *snapshots) watch(st *store.Store) (cancel func()) { return st.OnChange(s.apply) }

// Current implements proxy.Snapshots.
func (s *snapshots) Current() *settings.Snapshot { return s.current.Load() }

// services calls yield for each service of the active settings.
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
		// The store validates trees, so this is a bug. The last valid settings stay active.
		s.logger.Error().Err(err).Uint64("revision", revision).Msg("settings revision cannot be activated")
		return
	}
	old := s.current.Swap(next)
	for _, observe := range s.observers {
		observe(old, next)
	}
	s.logger.Info().Uint64("revision", revision).Msg("settings revision activated")
}
