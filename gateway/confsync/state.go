package confsync

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

const (
	// StatePath is the URL path at which a host serves its state, and partsParameter the query parameter that selects parts of it.
	StatePath      = "/state"
	partsParameter = "parts"
	// maxStateBytes bounds the compressed state of a host, and maxPlainStateBytes the decompressed one.
	maxStateBytes      = 512 << 10
	maxPlainStateBytes = 8 << 20
	// stateTimeout bounds one request for the state of a host, including the response body.
	stateTimeout = 600 * time.Millisecond
	// maxConcurrentStates bounds the requests for state that a host serves at the same time. Each takes some tens of kB, and a
	// link may have 10 Mbit/s.
	maxConcurrentStates = 8
	// agePrefixBytes is the size of the age, in milliseconds, that precedes the compressed state.
	agePrefixBytes = 4
)

// ErrBusy means that the other host serves too many requests, or does not have the state yet.
var ErrBusy = errors.New("confsync: the host cannot serve its state now")

// CompressState compresses the encoded state of a host. It returns nil if the result is larger than maxStateBytes.
func CompressState(state []byte) []byte { return compress(state, flate.BestSpeed, maxStateBytes) }

// StateHandler serves the state of a host to the others.
type StateHandler struct {
	exchange exchange
	state    func(parts string) (compressed []byte, age time.Duration)
}

// NewStateHandler returns a StateHandler that encrypts with the AES key. state returns the compressed parts and how long ago they
// were encoded; nil if the host does not have them or they are too large.
func NewStateHandler(key []byte, state func(parts string) ([]byte, time.Duration)) *StateHandler {
	return &StateHandler{exchange: newExchange(key, maxConcurrentStates), state: state}
}

// ServeHTTP implements http.Handler.
func (h *StateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.exchange.serve(w, r, func() (plain []byte, missing *httpError) {
		compressed, age := h.state(r.URL.Query().Get(partsParameter))
		if compressed == nil {
			return nil, &httpError{http.StatusServiceUnavailable, "no state that can be passed on"}
		}
		plain = binary.BigEndian.AppendUint32(make([]byte, 0, agePrefixBytes+len(compressed)), uint32(age.Milliseconds()))
		return append(plain, compressed...), nil
	})
}

// FetchState returns parts of the state of the host at an address, and an upper bound of the time since they were encoded. key is
// the key in that host's record. It returns ErrBusy if the host cannot serve them now.
func (c *Client) FetchState(ctx context.Context, address string, key []byte, parts string) ([]byte, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	started := time.Now()
	target := "http://" + address + StatePath + "?" + url.Values{partsParameter: {parts}}.Encode()
	sealed, challenge, err := c.get(ctx, c.state, target, maxStateBytes+maxCompressedBytes)
	if err != nil {
		return nil, 0, err
	}
	plain, err := unseal(key, challenge, sealed)
	if err != nil {
		return nil, 0, err
	}
	if len(plain) < agePrefixBytes {
		return nil, 0, errors.New("confsync: state has no age")
	}
	age := time.Duration(binary.BigEndian.Uint32(plain)) * time.Millisecond
	state, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(plain[agePrefixBytes:])), maxPlainStateBytes+1))
	if err != nil {
		return nil, 0, fmt.Errorf("confsync: decompress state: %w", err)
	}
	if len(state) > maxPlainStateBytes {
		return nil, 0, ErrTooLarge
	}
	return state, age + time.Since(started), nil
}
