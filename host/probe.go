package host

import (
	"context"
	"fmt"
	"net/http"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/httphead"
)

// probe requests an upstream's health endpoint once, on a new connection. The endpoint may report a wrong state, so a
// successful probe only starts a small rate of requests.
func (h *Host) probe(ctx context.Context, upstream settings.Upstream) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+upstream.Address+h.healthPath(&upstream), http.NoBody)
	if err != nil {
		return err
	}
	request.Close = true
	response, err := h.prober.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := httphead.CheckResponse(response); err != nil {
		return fmt.Errorf("probe of upstream %s: %w", upstream.ID, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("probe of upstream %s: got status %s, want 200", upstream.ID, response.Status)
	}
	return nil
}

// healthPath returns the path of the health endpoint, which is set for the service that the upstream belongs to.
func (h *Host) healthPath(upstream *settings.Upstream) string {
	for service := range h.snapshots.services {
		for i := range service.Upstreams {
			if service.Upstreams[i].ID == upstream.ID && service.Upstreams[i].Address == upstream.Address {
				return service.Policy.HealthPath
			}
		}
	}
	return settings.DefaultPolicy().HealthPath
}

// newProber returns a client that neither follows redirects nor reuses connections.
func newProber() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
