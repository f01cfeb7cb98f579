package confsync

import (
	"bytes"
	"compress/flate"
	"context"
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// Path is where a host answers.
	Path = "/configuration"
	// challengeHeader carries the challenge of the asking host in hexadecimal digits.
	challengeHeader = "Bronzeyard-Challenge"
	challengeBytes  = 16
	// maxPacked is the size from which a compressed configuration is not passed on, in bytes.
	maxPacked = 16 << 10
	// maxRaw bounds a configuration that was passed on, in bytes.
	maxRaw = 4 << 20
	// fetchTimeout bounds one exchange with another host.
	fetchTimeout = 300 * time.Millisecond
	// maxExchanges bounds the exchanges that a host answers at the same time.
	maxExchanges = 32
)

// ErrTooLarge means that the host does not pass on its configuration because of its size.
var ErrTooLarge = errors.New("confsync: the configuration is too large to be passed on")

// Pack compresses a configuration. It returns nil for one that is too large to be passed on.
func Compress(raw []byte) []byte {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil // the level is valid
	}
	if _, err := writer.Write(raw); err != nil || writer.Close() != nil || packed.Len() > maxPacked {
		return nil
	}
	return packed.Bytes()
}

// Handler answers other hosts.
type Handler struct {
	key     []byte
	packed  func() []byte
	running chan struct{}
}

// NewHandler returns a Handler that seals with the key. packed returns the packed configuration in force, nil if there is
// none that can be passed on.
func NewHandler(key []byte, packed func() []byte) *Handler {
	return &Handler{key: key, packed: packed, running: make(chan struct{}, maxExchanges)}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case h.running <- struct{}{}:
		defer func() { <-h.running }()
	default:
		http.Error(w, "too many exchanges", http.StatusServiceUnavailable)
		return
	}
	challenge, err := hex.DecodeString(r.Header.Get(challengeHeader))
	if err != nil || len(challenge) != challengeBytes {
		http.Error(w, challengeHeader+" must hold 32 hexadecimal digits", http.StatusBadRequest)
		return
	}
	packed := h.packed()
	if packed == nil {
		http.Error(w, "no configuration that can be passed on", http.StatusRequestEntityTooLarge)
		return
	}
	sealed, err := seal(h.key, challenge, packed)
	if err != nil {
		http.Error(w, "the configuration cannot be sealed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(sealed) // the asking host notices an answer that is cut
}

// Client asks other hosts.
type Client struct{ http *http.Client }

// NewClient returns a Client.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: fetchTimeout}
	return &Client{http: &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
	}}}
}

// Fetch returns the configuration of the host at an address, whose record holds the key.
func (c *Client) Fetch(ctx context.Context, address string, key []byte) ([]byte, error) {
	challenge := make([]byte, challengeBytes)
	_, _ = rand.Read(challenge) // never fails, as documented
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("confsync: %w", err)
	}
	request.Header.Set(challengeHeader, hex.EncodeToString(challenge))
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("confsync: %w", err)
	}
	defer func() { _ = response.Body.Close() }() // the answer was read or is given up
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusRequestEntityTooLarge:
		return nil, ErrTooLarge
	default:
		return nil, fmt.Errorf("confsync: %s answered %d", address, response.StatusCode)
	}
	sealed, err := io.ReadAll(io.LimitReader(response.Body, 2*maxPacked))
	if err != nil {
		return nil, fmt.Errorf("confsync: %w", err)
	}
	return open(key, challenge, sealed)
}

func newCipher(key []byte) (cipher.AEAD, error) {
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, err
	}
	return cipher.NewGCMWithRandomNonce(block)
}

func seal(key, challenge, packed []byte) ([]byte, error) {
	aead, err := newCipher(key)
	if err != nil {
		return nil, err
	}
	return aead.Seal(nil, nil, packed, challenge), nil
}

func open(key, challenge, sealed []byte) ([]byte, error) {
	aead, err := newCipher(key)
	if err != nil {
		return nil, fmt.Errorf("confsync: %w", err)
	}
	packed, err := aead.Open(nil, nil, sealed, challenge)
	if err != nil {
		return nil, fmt.Errorf("confsync: the answer is not that of the host: %w", err)
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxRaw+1))
	if err != nil {
		return nil, fmt.Errorf("confsync: %w", err)
	}
	if len(raw) > maxRaw {
		return nil, ErrTooLarge
	}
	return raw, nil
}
