package httpsd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/bronzeyard/bronzeyard/storage"
)

const (
	defaultCallTimeout = 2 * time.Second
	maxDocumentBytes   = 8 << 20
)

// StateLabel is the label for the state of the targets of a group, storage.HostLive or storage.HostLeaving.
const StateLabel = "state"

// Group is one group of the document.
type Group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Options of a HostList.
type Options struct {
	// URL is the URL of the document. Required.
	URL string
	// HTTPClient is the client to use. Default: a new client without a proxy.
	HTTPClient *http.Client
	// CallTimeout bounds a call whose context has a later deadline or none. Default 2 s.
	CallTimeout time.Duration
}

// HostList is a storage.HostList. It is safe for concurrent use.
type HostList struct {
	options Options
}

// New returns a host list. It makes no request.
func New(options Options) *HostList {
	if options.HTTPClient == nil {
		options.HTTPClient = &http.Client{Transport: &http.Transport{}}
	}
	if options.CallTimeout == 0 {
		options.CallTimeout = defaultCallTimeout
	}
	return &HostList{options: options}
}

// Hosts implements storage.HostList. It returns an error and no hosts if any part of the document is malformed.
func (l *HostList) Hosts(ctx context.Context) ([]storage.ListedHost, error) {
	ctx, cancel := context.WithTimeout(ctx, l.options.CallTimeout)
	defer cancel()
	data, err := l.read(ctx)
	if err != nil {
		l.options.HTTPClient.CloseIdleConnections() // After a network fault they may all be unresponsive.
		return nil, fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	var groups []Group
	if err := json.Unmarshal(data, &groups); err != nil {
		return nil, fmt.Errorf("httpsd: malformed document: %w", err)
	}
	hosts := []storage.ListedHost{}
	for _, group := range groups {
		listed, err := listedHosts(group)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, listed...)
	}
	return hosts, nil
}

func (l *HostList) read(ctx context.Context) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.options.URL, http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := l.options.HTTPClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("httpsd: document request returned status %d, want 200", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxDocumentBytes+1))
	if err == nil && len(data) > maxDocumentBytes {
		err = errors.New("httpsd: document is too large")
	}
	return data, err
}

func listedHosts(group Group) ([]storage.ListedHost, error) {
	state := storage.HostState(group.Labels[StateLabel])
	switch state {
	case "":
		state = storage.HostLive
	case storage.HostLive, storage.HostLeaving:
	default:
		return nil, fmt.Errorf("httpsd: unknown host state %q, want live or leaving", state)
	}
	var hosts []storage.ListedHost
	for _, target := range group.Targets {
		if !isAddress(target) {
			return nil, fmt.Errorf("httpsd: target %q is not an IP address with an optional port", target)
		}
		hosts = append(hosts, storage.ListedHost{Address: target, State: state})
	}
	return hosts, nil
}

func isAddress(text string) bool {
	if _, err := netip.ParseAddrPort(text); err == nil {
		return true
	}
	_, err := netip.ParseAddr(text)
	return err == nil
}
