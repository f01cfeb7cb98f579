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

// MethodFetch is the call that returns newer settings.
const MethodFetch peer.Method = "settings.fetch"

// Options of a Syncer. All fields without a default are required.
type Options struct {
	Store     *store.Store
	Caller    peer.Caller
	Registrar peer.Registrar
	// Seeds are peer addresses that a starting host asks when the platform is out of reach.
	Seeds []string
	// PollInterval is the time between two reads of the head. The membership reads it each second together with the epoch
	// and passes newer ones to Heard, so this is the way back after a lost statement. Default 10 s.
	PollInterval time.Duration
	// FetchTimeout bounds a fetch from another host. Default 2 s.
	FetchTimeout time.Duration
	// Logger gets changes of state. Default none.
	Logger zerolog.Logger
}

const (
	defaultPollInterval = 10 * time.Second
	defaultFetchTimeout = 2 * time.Second
	// maxQueuedRevisions bounds the statements about newer revisions that wait. A dropped one is repeated by a heartbeat.
	maxQueuedRevisions = 32
)

// newerRevision is a statement by another host about its revision.
type newerRevision struct {
	revision uint64
	address  string
}

// Syncer keeps a store in step. It is safe for concurrent use.
type Syncer struct {
	options          Options
	observed         chan newerRevision
	platformReadable bool // owned by Run
}

// New returns a Syncer and registers its handler.
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

// Applied returns the revision in force.
func (s *Syncer) Applied() uint64 {
	_, revision := s.options.Store.Current()
	return revision
}

// Start brings a starting host to the newest revision that it can learn: from the platform, else from the seeds.
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
	return fmt.Errorf("settings cannot be loaded from the platform nor from a seed: %w", err)
}

// ObserveRevision notes that the host at the address has the revision in force, or, without an address, that the table's head states
// it. It does not block.
func (s *Syncer) ObserveRevision(revision uint64, address string) {
	if revision <= s.Applied() {
		return
	}
	select {
	case s.observed <- newerRevision{revision: revision, address: address}:
	default:
	}
}

// Run polls and fetches until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	ticker := time.NewTicker(s.options.PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.poll(ctx)
		case statement := <-s.observed:
			s.catchUp(ctx, statement)
		}
	}
}

func (s *Syncer) catchUp(ctx context.Context, statement newerRevision) {
	if statement.revision <= s.Applied() {
		return
	}
	if statement.address != "" && s.fetch(ctx, statement.address) == nil && s.Applied() >= statement.revision {
		return
	}
	s.poll(ctx)
}

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
