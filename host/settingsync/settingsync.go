package settingsync

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
	"github.com/bronzeyard/bronzeyard/host/settingsync/settingsyncpb"
	"github.com/bronzeyard/bronzeyard/settings/store"
)

// MethodFetch is the peer call that returns settings newer than those of the calling host.
const MethodFetch peer.Method = "settings.fetch"

// Options of a Syncer. All fields without a default are required.
type Options struct {
	Store     *store.Store
	Caller    peer.Caller
	Registrar peer.Registrar
	// Seeds are peer addresses from which a starting host fetches settings if the platform is unreachable.
	Seeds []string
	// PollInterval is the time between two reads of the head. The membership reads it each second, together with the epoch,
	// and passes newer revisions to ObserveRevision. Polling is the fallback for a missed revision. Default 10 s.
	PollInterval time.Duration
	// FetchTimeout bounds a fetch from another host. Default 2 s.
	FetchTimeout time.Duration
	// Logger receives changes of state. Default no logging.
	Logger zerolog.Logger
}

const (
	defaultPollInterval = 10 * time.Second
	defaultFetchTimeout = 2 * time.Second
	// maxQueuedRevisions is the capacity of the queue of observed revisions. If it is full, a revision is dropped; the next
	// heartbeat reports it again.
	maxQueuedRevisions = 32
)

// newerRevision is a revision that another host reported, or the table's head if address is empty.
type newerRevision struct {
	revision uint64
	address  string
}

// Syncer keeps a settings store up to date. It is safe for concurrent use.
type Syncer struct {
	options          Options
	observed         chan newerRevision
	platformReadable bool // accessed only by Run
}

// New returns a Syncer and registers its handler for MethodFetch.
func New(options Options) *Syncer {
	if options.PollInterval == 0 {
		options.PollInterval = defaultPollInterval
	}
	if options.FetchTimeout == 0 {
		options.FetchTimeout = defaultFetchTimeout
	}
	s := &Syncer{options: options, observed: make(chan newerRevision, maxQueuedRevisions), platformReadable: true}
	options.Registrar.Handle(MethodFetch, func() proto.Message { return &settingsyncpb.FetchRequest{} }, s.handleFetch)
	return s
}

// Applied returns the active revision.
func (s *Syncer) Applied() uint64 {
	_, revision := s.options.Store.Current()
	return revision
}

// Start loads the newest settings from the platform. If that fails, it tries the seeds in order until one provides settings.
func (s *Syncer) Start(ctx context.Context) error {
	_, _, err := s.options.Store.Load(ctx)
	if err == nil {
		return nil
	}
	for _, seed := range s.options.Seeds {
		fetchErr := s.fetch(ctx, seed)
		if fetchErr == nil && s.Applied() > 0 {
			return nil
		}
		err = errors.Join(err, fetchErr)
	}
	return fmt.Errorf("settings cannot be loaded from the platform or from a seed: %w", err)
}

// ObserveRevision queues a newer revision to be fetched. address is the peer address of the host on which it is active, or
// empty if the head in the table shows it. The call does not block.
func (s *Syncer) ObserveRevision(revision uint64, address string) {
	if revision <= s.Applied() {
		return
	}
	select {
	case s.observed <- newerRevision{revision: revision, address: address}:
	default:
	}
}

// Run polls the table and fetches observed revisions until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	ticker := time.NewTicker(s.options.PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.poll(ctx)
		case newer := <-s.observed:
			s.catchUp(ctx, newer)
		}
	}
}

// catchUp fetches an observed revision from the host that reported it, or reads it from the table if that fails.
func (s *Syncer) catchUp(ctx context.Context, newer newerRevision) {
	if newer.revision <= s.Applied() {
		return
	}
	if newer.address != "" && s.fetch(ctx, newer.address) == nil && s.Applied() >= newer.revision {
		return
	}
	s.poll(ctx)
}

// poll reads the newest settings from the platform. It logs when reads begin to fail and when they recover.
func (s *Syncer) poll(ctx context.Context) {
	err := s.options.Store.Poll(ctx)
	if healthy := err == nil; healthy != s.platformReadable && ctx.Err() == nil {
		s.platformReadable = healthy
		if healthy {
			s.options.Logger.Info().Uint64("revision", s.Applied()).Msg("settings are read from the platform again")
		} else {
			s.options.Logger.Warn().Err(err).Uint64("revision", s.Applied()).Msg("settings cannot be read from the platform")
		}
	}
}

// fetch imports newer settings from the host at a peer address. It returns nil if that host has none.
func (s *Syncer) fetch(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.FetchTimeout)
	defer cancel()
	response := &settingsyncpb.FetchResponse{}
	request := &settingsyncpb.FetchRequest{Revision: s.Applied()}
	if err := s.options.Caller.Call(ctx, address, MethodFetch, request, response); err != nil {
		return err
	}
	if len(response.GetExport()) == 0 {
		return nil
	}
	_, err := s.options.Store.Import(response.GetExport())
	return err
}

func (s *Syncer) handleFetch(_ context.Context, _ fleet.Identity, request proto.Message) (proto.Message, error) {
	fetch, ok := request.(*settingsyncpb.FetchRequest)
	if !ok {
		return nil, fmt.Errorf("settingsync: unexpected request %T", request)
	}
	export, err := s.options.Store.ExportAfter(fetch.GetRevision())
	if err != nil {
		return nil, err
	}
	return &settingsyncpb.FetchResponse{Export: export}, nil
}
