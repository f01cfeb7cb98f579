package store

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"github.com/bronzeyard/bronzeyard/settings"
)

// transfer is the data that one host exports to another: the changes after a revision, or the whole tree.
type transfer struct {
	Revision uint64         `json:"revision"`
	Records  []Record       `json:"records,omitempty"`
	Tree     jsontext.Value `json:"tree,omitzero"`
}

// Export returns the active settings, compressed, for Import on another host. An error means that the tree can't be encoded.
func (s *Store) Export() ([]byte, error) {
	active := s.current.Load()
	return exportTree(active)
}

// ExportAfter returns, for Import, what a host with the given revision lacks: the changes after it if this host has retained
// them, or the whole tree. It returns nil if the active revision is not newer.
func (s *Store) ExportAfter(revision uint64) ([]byte, error) {
	active := s.current.Load()
	if revision >= active.revision {
		return nil, nil
	}
	records, ok := s.retainedAfter(revision)
	if !ok || len(records) == 0 {
		return exportTree(active)
	}
	return compress(&transfer{Revision: records[len(records)-1].Revision, Records: records})
}

func exportTree(active *activeSettings) ([]byte, error) {
	tree, err := active.tree.Encode()
	if err != nil {
		return nil, err
	}
	return compress(&transfer{Revision: active.revision, Tree: tree})
}

func compress(t *transfer) ([]byte, error) {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if err := json.MarshalWrite(writer, t); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Import applies what another host exported if it is newer than the active revision, and returns the active revision
// afterwards. Data that does not decode, apply or validate is rejected with a *DamagedError. No further check is needed:
// peers are authenticated members of the fleet, and they export only accepted revisions.
func (s *Store) Import(data []byte) (uint64, error) {
	t, err := decodeTransfer(data)
	if err == nil {
		err = s.applyTransfer(t)
	}
	_, revision := s.Current()
	if err != nil {
		return revision, &DamagedError{Location: "a peer's transfer", Cause: err}
	}
	return revision, nil
}

func decodeTransfer(data []byte) (*transfer, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(reader, settings.MaxDocumentBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > settings.MaxDocumentBytes {
		return nil, fmt.Errorf("decompressed document has more than %d bytes", settings.MaxDocumentBytes)
	}
	t := new(transfer)
	if err := json.Unmarshal(plain, t, json.RejectUnknownMembers(true)); err != nil {
		return nil, err
	}
	if (len(t.Records) == 0) == (len(t.Tree) == 0) {
		return nil, errors.New("transfer must have either records or a tree")
	}
	return t, nil
}

func (s *Store) applyTransfer(t *transfer) error {
	if _, revision := s.Current(); t.Revision <= revision {
		return nil
	}
	if len(t.Records) > 0 {
		return s.advance(t.Records)
	}
	tree, err := settings.Decode(t.Tree)
	if err != nil {
		return err
	}
	if err := tree.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.install(tree, t.Revision, nil)
	return nil
}
