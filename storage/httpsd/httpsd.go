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

// StateLabel is the label that says whether the targets of a group are live or leaving.
const StateLabel = "state"

// Group is one group of the document.
type Group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Options of a HostList.
type Options struct {
	// URL is that of the document. Required.
	URL string
	// HTTPClient is the client to use. Default: a client of its own without proxy.
	HTTPClient *http.Client
	// CallTimeout bounds a call whose context has a later deadline or none. Default 2 s.
	CallTimeout time.Duration
}

// HostList is a storage.HostList. It is safe for concurrent use.
type HostList struct {
	options Options
}

// New returns a host list. It makes no call.
func New(options Options) *HostList {
	if options.HTTPClient == nil {
		options.HTTPClient = &http.Client{Transport: &http.Transport{}}
	}
	if options.CallTimeout == 0 {
		options.CallTimeout = defaultCallTimeout
	}
	return &HostList{options: options}
}

// Hosts implements storage.HostList. A document that does not have the expected form is an error as a whole.
func (l *HostList) Hosts(ctx context.Context) ([]storage.ListedHost, error) {
	ctx, cancel := context.WithTimeout(ctx, l.options.CallTimeout)
	defer cancel()
	data, err := l.read(ctx)
	if err != nil {
		l.options.HTTPClient.CloseIdleConnections() // After a network fault they may all be silent.
		return nil, fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	var groups []Group
	if err := json.Unmarshal(data, &groups); err != nil {
		return nil, fmt.Errorf("httpsd: %w", err)
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
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxDocumentBytes+1))
	if err == nil && len(data) > maxDocumentBytes {
		err = errors.New("the document is too large")
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
		return nil, fmt.Errorf("httpsd: %q is not a state", state)
	}
	var hosts []storage.ListedHost
	for _, target := range group.Targets {
		if !isAddress(target) {
			return nil, fmt.Errorf("httpsd: %q is not an IP number with an optional port", target)
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
