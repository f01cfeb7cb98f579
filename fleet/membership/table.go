package membership

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/storage"
)

// headKey is the row whose version is the newest settings revision. The row is absent at revision 0.
var headKey = storage.Key{Partition: "settings", Sort: "head"}

// epochKey is the row of a cell's epoch.
func epochKey(cell string) storage.Key {
	return storage.Key{Partition: "cell/" + cell, Sort: "epoch"}
}

// readCell reads the epoch row and the settings head. epoch is nil if there is no row.
func readCell(ctx context.Context, table storage.Table, cell string) (epoch *epochState, head uint64, err error) {
	reads, ctx := errgroup.WithContext(ctx)
	reads.Go(func() error {
		item, err := getOrZero(ctx, table, epochKey(cell))
		if err != nil || item.Version == 0 {
			return err
		}
		epoch, err = decodeEpoch(item.Value, item.Version)
		return err
	})
	reads.Go(func() error {
		item, err := getOrZero(ctx, table, headKey)
		head = item.Version
		return err
	})
	if err := reads.Wait(); err != nil {
		return nil, 0, err
	}
	return epoch, head, nil
}

// getOrZero reads a row. It returns the zero Item if there is no row.
func getOrZero(ctx context.Context, table storage.Table, key storage.Key) (storage.Item, error) {
	item, err := table.Get(ctx, key)
	if errors.Is(err, storage.ErrNotFound) {
		return storage.Item{}, nil
	}
	return item, err
}

// storeEpoch stores a proposal if neither the epoch nor the settings head has changed since the proposal was made.
func storeEpoch(ctx context.Context, table storage.Table, cell string, p *Proposal) error {
	value, err := proto.Marshal(epochToProto(&p.epoch))
	if err != nil {
		return err
	}
	return storage.TransactOnce(ctx, table, []storage.Write{
		{
			Kind: storage.Put, Key: epochKey(cell), Value: value, Version: p.epoch.Number, WriteID: p.epoch.WriteID,
			Condition: versionIs(p.base),
		},
		{Kind: storage.Check, Key: headKey, Condition: versionIs(p.head)},
	})
}

func versionIs(version uint64) storage.Condition {
	if version == 0 {
		return storage.Condition{Kind: storage.Absent}
	}
	return storage.Condition{Kind: storage.VersionIs, Version: version}
}
