package gossip

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
)

// keyBytes is the length of a host's key for datagrams.
const keyBytes = 16

// Record is what a host writes to the store about itself at its start.
type Record struct {
	ID string `json:"id"`
	// Incarnation is drawn at random at each start.
	Incarnation uint64 `json:"incarnation"`
	// Address receives datagrams, IP number and port.
	Address string `json:"address"`
	// CallerAddress serves callers, IP number and port.
	CallerAddress string `json:"caller_address"`
	DataCentre    string `json:"data_centre"`
	// SettingsAddress passes on the configuration, IP number and port; empty if the host does not.
	SettingsAddress string `json:"settings_address,omitempty"`
	// Key authenticates the host's datagrams.
	Key []byte `json:"key"`
}

// NewKey draws a key.
func NewKey() []byte {
	key := make([]byte, keyBytes)
	_, _ = rand.Read(key) // never fails, as documented
	return key
}

// Encode returns the stored form.
func (r *Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord reads the stored form and checks it.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("record of a host: %w", err)
	}
	switch {
	case r.ID == "":
		return Record{}, errors.New("record of a host: id is empty")
	case len(r.Key) < keyBytes:
		return Record{}, fmt.Errorf("record of host %q: key has %d bytes, want %d", r.ID, len(r.Key), keyBytes)
	}
	for _, address := range []string{r.Address, r.CallerAddress} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return Record{}, fmt.Errorf("record of host %q: %w", r.ID, err)
		}
	}
	return r, nil
}
