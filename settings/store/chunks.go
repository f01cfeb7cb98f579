package store

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/go-json-experiment/json"
	"golang.org/x/sync/errgroup"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/storage"
)

const (
	// entriesPerChunk keeps a chunk of customers near 200 KB, so that little is written for one changed customer.
	entriesPerChunk = 1000
	maxChunks       = 2048
	// maxConcurrentObjectCalls bounds concurrent calls to the object store.
	maxConcurrentObjectCalls = 8
	chunkPrefix              = "settings/chunk/"
)

// manifest lists the chunks of a snapshot by object name. Each chunk is a part of the tree; their union is the tree.
type manifest struct {
	Revision uint64   `json:"revision"`
	Chunks   []string `json:"chunks"`
}

// split divides a tree into parts by a hash of the entries' names, so that a change of one entry changes one part.
func split(tree *settings.Tree) []*settings.Tree {
	parts := []*settings.Tree{{Policy: tree.Policy, DataCentres: tree.DataCentres}}
	services := make([]*settings.Tree, partCount(len(tree.Services)))
	for name, service := range tree.Services {
		part := partFor(services, name)
		if part.Services == nil {
			part.Services = make(map[string]*settings.ServiceSpec)
		}
		part.Services[name] = service
	}
	customers := make([]*settings.Tree, partCount(len(tree.Customers)))
	for id, customer := range tree.Customers {
		part := partFor(customers, id)
		if part.Customers == nil {
			part.Customers = make(map[string]*settings.CustomerSpec)
		}
		part.Customers[id] = customer
	}
	for _, part := range append(services, customers...) {
		if part != nil {
			parts = append(parts, part)
		}
	}
	return parts
}

// partCount returns the number of parts for a number of entries. It is a power of two, so that it rarely changes: another
// number of parts changes all of them.
func partCount(entries int) int {
	n := 1
	for n*entriesPerChunk < entries {
		n *= 2
	}
	return n
}

func partFor(parts []*settings.Tree, name string) *settings.Tree {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(name))
	index := sum.Sum32() % uint32(len(parts))
	if parts[index] == nil {
		parts[index] = new(settings.Tree)
	}
	return parts[index]
}

// merge is the inverse of split. It returns an error if two parts contain the same entry.
func merge(parts []*settings.Tree) (*settings.Tree, error) {
	tree := settings.NewTree()
	for _, part := range parts {
		if part.Policy != nil {
			if tree.Policy != nil {
				return nil, errors.New("two chunks contain the policy")
			}
			tree.Policy = part.Policy
		}
		err := errors.Join(
			mergeMap(&tree.DataCentres, part.DataCentres),
			mergeMap(&tree.Services, part.Services),
			mergeMap(&tree.Customers, part.Customers),
		)
		if err != nil {
			return nil, err
		}
	}
	return tree, nil
}

func mergeMap[T any](into *map[string]T, from map[string]T) error {
	if *into == nil && len(from) > 0 {
		*into = make(map[string]T, len(from))
	}
	for name, value := range from {
		if _, found := (*into)[name]; found {
			return fmt.Errorf("two chunks contain the entry %q", name)
		}
		(*into)[name] = value
	}
	return nil
}

// loadSnapshot makes the newest snapshot active if it is newer than the active revision. Errors: *DamagedError, or an error
// of the platform. A missing manifest is no error.
func (s *Store) loadSnapshot(ctx context.Context) error {
	item, err := s.get(ctx, manifestKey())
	if errors.Is(err, storage.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var m manifest
	if err := json.Unmarshal(item.Value, &m, json.RejectUnknownMembers(true)); err != nil {
		return &DamagedError{Location: "the manifest row", Cause: err}
	}
	if m.Revision != item.Version || len(m.Chunks) > maxChunks {
		return &DamagedError{Location: "the manifest row", Cause: fmt.Errorf(
			"row version %d differs from revision %d, or %d chunks are too many",
			item.Version, m.Revision, len(m.Chunks))}
	}
	if _, revision := s.Current(); m.Revision <= revision {
		return nil
	}
	tree, err := s.readChunks(ctx, &m)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.install(tree, m.Revision, nil)
	s.setManifest(&m)
	return nil
}

func (s *Store) readChunks(ctx context.Context, m *manifest) (*settings.Tree, error) {
	parts := make([]*settings.Tree, len(m.Chunks))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentObjectCalls)
	for i, name := range m.Chunks {
		group.Go(func() error {
			part, err := s.readChunk(groupCtx, name, m.Revision)
			parts[i] = part
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	tree, err := merge(parts)
	if err == nil {
		err = tree.Validate()
	}
	if err != nil {
		return nil, &DamagedError{Revision: m.Revision, Location: "the snapshot", Cause: err}
	}
	return tree, nil
}

func (s *Store) readChunk(ctx context.Context, name string, revision uint64) (*settings.Tree, error) {
	data, err := s.getObject(ctx, name)
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return nil, err
	}
	var part *settings.Tree
	if err == nil {
		err = verifyObject(name, data)
	}
	if err == nil {
		part, err = settings.Decode(data)
	}
	if err != nil {
		return nil, &DamagedError{Revision: revision, Location: "object " + name, Cause: err}
	}
	return part, nil
}

// setManifest sets the newest known manifest and its chunks, unless a newer one is known. It must be called with mu held.
func (s *Store) setManifest(m *manifest) {
	if m.Revision < s.manifest.Revision {
		return
	}
	s.manifest = *m
	s.storedChunks = make(map[string]bool, len(m.Chunks))
	for _, name := range m.Chunks {
		s.storedChunks[name] = true
	}
}

// snapshotIfDue writes a snapshot if a change through this host or Load made one due. A failure is logged, and the next poll
// tries again. A missing snapshot only makes the start of hosts slower.
func (s *Store) snapshotIfDue(ctx context.Context) {
	s.mu.Lock()
	due := s.snapshotDue
	s.mu.Unlock()
	if !due {
		return
	}
	if err := s.WriteSnapshot(ctx); err != nil {
		s.options.Logger.Warn().Err(err).Msg("settings snapshot could not be written; the next poll tries again")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshotDue = false
}

// WriteSnapshot writes the active tree to the object store and lists its chunks in the manifest, unless the manifest is of
// the same or a newer revision. Chunks that the last known snapshot shares are not written again.
func (s *Store) WriteSnapshot(ctx context.Context) error {
	active := s.current.Load()
	s.mu.Lock()
	known := maps.Clone(s.storedChunks)
	s.mu.Unlock()
	m := manifest{Revision: active.revision}
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentObjectCalls)
	for _, part := range split(active.tree) {
		data, err := part.Encode()
		if err != nil {
			return errors.Join(err, group.Wait())
		}
		name := objectName(chunkPrefix, data)
		m.Chunks = append(m.Chunks, name)
		if !known[name] {
			group.Go(func() error { return s.putObject(groupCtx, name, data) })
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	slices.Sort(m.Chunks)
	return s.putManifest(ctx, &m)
}

func (s *Store) putManifest(ctx context.Context, m *manifest) error {
	condition := storage.Condition{Kind: storage.Absent}
	stored, err := s.get(ctx, manifestKey())
	switch {
	case errors.Is(err, storage.ErrNotFound):
	case err != nil:
		return err
	case stored.Version >= m.Revision:
		return nil
	default:
		condition = storage.Condition{Kind: storage.VersionIs, Version: stored.Version}
	}
	value, err := json.Marshal(m)
	if err != nil {
		return err
	}
	// A lost response needs no resolution: every host writes the same manifest for a revision.
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	err = s.options.Table.Transact(ctx, []storage.Write{{
		Kind: storage.Put, Key: manifestKey(), Value: value, Version: m.Revision, Condition: condition,
	}})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setManifest(m)
	return nil
}
