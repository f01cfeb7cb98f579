package gossip

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
)

// keyBytes is the length of the key that authenticates a host's datagrams.
const keyBytes = 16

// Record describes a host. Each host writes its record to the store when it starts.
type Record struct {
	ID string `json:"id"`
	// Incarnation is a random number, new at each start.
	Incarnation uint64 `json:"incarnation"`
	// Address is the IP address and port that receive datagrams.
	Address string `json:"address"`
	// CallerAddress is the IP address and port that serve callers.
	CallerAddress string `json:"caller_address"`
	DataCentre    string `json:"data_centre"`
	// SettingsAddress is the IP address and port that serve the configuration to other hosts; empty if the host does not serve
	// it.
	SettingsAddress string `json:"settings_address,omitempty"`
	// ProcessorShare is the number of processors that the host may use; 0 if not known.
	ProcessorShare float64 `json:"processor_share,omitempty"`
	// LinkMbps is the bandwidth of the host's link in Mbit/s; 0 if not known.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// MemoryBytes is the memory of the host; 0 if not known.
	MemoryBytes int64 `json:"memory_bytes,omitempty"`
	// StoreEra is the era of the store in which the record was written.
	StoreEra uint64 `json:"store_era,omitempty"`
	// Key authenticates the host's datagrams.
	Key []byte `json:"key"`
}

// NewKey returns a random key.
func NewKey() []byte {
	key := make([]byte, keyBytes)
	_, _ = rand.Read(key) // never fails, as documented
	return key
}

// Encode returns the record as it is stored.
func (r *Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord decodes and validates a stored record. It returns an error for invalid JSON, an empty id, a short key or an
// invalid address.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode host record: %w", err)
	}
	switch {
	case r.ID == "":
		return Record{}, errors.New("host record: id is empty")
	case len(r.Key) < keyBytes:
		return Record{}, fmt.Errorf("record of host %q: key has %d bytes, want at least %d", r.ID, len(r.Key), keyBytes)
	}
	for _, address := range []string{r.Address, r.CallerAddress} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return Record{}, fmt.Errorf("record of host %q: %w", r.ID, err)
		}
	}
	return r, nil
}
