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
	// Path is the URL path at which a host serves its configuration.
	Path = "/configuration"
	// challengeHeader holds the challenge of the requesting host in hexadecimal digits.
	challengeHeader = "Bronzeyard-Challenge"
	challengeBytes  = 16
	// maxCompressedBytes is the size above which a compressed configuration is not served to other hosts.
	maxCompressedBytes = 16 << 10
	// maxConfigurationBytes bounds a decompressed configuration from another host.
	maxConfigurationBytes = 4 << 20
	// MaxHeaderBytes limits the headers of requests and responses between hosts. The default of net/http for responses is 10 MB.
	MaxHeaderBytes = 4 << 10
	// fetchTimeout bounds one request to another host, including the response body.
	fetchTimeout = 300 * time.Millisecond
	// maxConcurrentRequests bounds the requests that a host serves at the same time.
	maxConcurrentRequests = 32
)

// ErrTooLarge means that the configuration exceeds a size limit, or that the other host has none that it can serve.
var ErrTooLarge = errors.New("confsync: configuration is too large to be served to other hosts")

// Compress compresses a configuration. It returns nil if the result is larger than maxCompressedBytes.
func Compress(configuration []byte) []byte {
	return compress(configuration, flate.DefaultCompression, maxCompressedBytes)
}

// Handler serves the configuration to other hosts.
type Handler struct {
	exchange   exchange
	compressed func() []byte
}

// NewHandler returns a Handler that encrypts with the AES key. compressed returns the compressed current configuration, or nil
// if there is none or it is too large.
func NewHandler(key []byte, compressed func() []byte) *Handler {
	return &Handler{exchange: newExchange(key, maxConcurrentRequests), compressed: compressed}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.exchange.serve(w, r, func() (plain []byte, missing *httpError) {
		compressed := h.compressed()
		if compressed == nil {
			return nil, &httpError{http.StatusRequestEntityTooLarge, "no configuration that can be passed on"}
		}
		return compressed, nil
	})
}

// Client fetches configurations from other hosts.
type Client struct {
	http *http.Client
	// state is like http, and its timeout is that of the context.
	state *http.Client
}

// NewClient returns a Client that opens a new connection for each request.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: fetchTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
		MaxResponseHeaderBytes: MaxHeaderBytes,
	}
	return &Client{http: &http.Client{Timeout: fetchTimeout, Transport: transport}, state: &http.Client{Transport: transport}}
}

// Fetch returns the decompressed configuration of the host at an address. key is the key in that host's record. Fetch returns
// ErrTooLarge if the configuration is too large to be served or the host has none, and another error if the request fails or the
// response is not authenticated with the key and the challenge of this request.
func (c *Client) Fetch(ctx context.Context, address string, key []byte) ([]byte, error) {
	sealed, challenge, err := c.get(ctx, c.http, "http://"+address+Path, 2*maxCompressedBytes)
	if err != nil {
		return nil, err
	}
	return open(key, challenge, sealed)
}

// get sends a request with a new challenge and returns the body of the response, of at most limit bytes, and the challenge.
func (c *Client) get(ctx context.Context, client *http.Client, url string, limit int64) (sealed, challenge []byte, err error) {
	challenge = make([]byte, challengeBytes)
	_, _ = rand.Read(challenge) // documented to never fail
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, nil, fmt.Errorf("confsync: create request: %w", err)
	}
	request.Header.Set(challengeHeader, hex.EncodeToString(challenge))
	response, err := client.Do(request)
	if err != nil {
		return nil, nil, fmt.Errorf("confsync: fetch: %w", err)
	}
	defer func() { _ = response.Body.Close() }() // the body was read or is discarded
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusRequestEntityTooLarge:
		return nil, nil, ErrTooLarge
	case http.StatusServiceUnavailable:
		return nil, nil, ErrBusy
	default:
		return nil, nil, fmt.Errorf("confsync: %s responded with status %d", request.URL.Host, response.StatusCode)
	}
	sealed, err = io.ReadAll(io.LimitReader(response.Body, limit))
	if err != nil {
		return nil, nil, fmt.Errorf("confsync: read response: %w", err)
	}
	return sealed, challenge, nil
}

func newCipher(key []byte) (cipher.AEAD, error) {
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, err
	}
	return cipher.NewGCMWithRandomNonce(block)
}

func seal(key, challenge, compressed []byte) ([]byte, error) {
	aead, err := newCipher(key)
	if err != nil {
		return nil, err
	}
	return aead.Seal(nil, nil, compressed, challenge), nil
}

// unseal decrypts a response to the request with the challenge.
func unseal(key, challenge, sealed []byte) ([]byte, error) {
	aead, err := newCipher(key)
	if err != nil {
		return nil, fmt.Errorf("confsync: create cipher: %w", err)
	}
	plain, err := aead.Open(nil, nil, sealed, challenge)
	if err != nil {
		return nil, fmt.Errorf("confsync: response cannot be authenticated with the key of the host and the challenge: %w", err)
	}
	return plain, nil
}

func open(key, challenge, sealed []byte) ([]byte, error) {
	compressed, err := unseal(key, challenge, sealed)
	if err != nil {
		return nil, err
	}
	configuration, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxConfigurationBytes+1))
	if err != nil {
		return nil, fmt.Errorf("confsync: decompress configuration: %w", err)
	}
	if len(configuration) > maxConfigurationBytes {
		return nil, ErrTooLarge
	}
	return configuration, nil
}
