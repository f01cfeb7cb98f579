package host

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/addresses"
	"github.com/bronzeyard/bronzeyard/fleet/ratelimit"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

// addressPath is the path at which callers look up the addresses that they should use.
const addressPath = "/.well-known/bronzeyard/addresses"

// dataCentreParameter is the query parameter with the caller's data centre.
const dataCentreParameter = "data_centre"

// serveAddresses responds with the addresses that a caller should use. They depend on the customer, which is identified by
// the key in the request.
func (h *Host) serveAddresses(w http.ResponseWriter, r *http.Request) {
	customer, kind := h.authenticate(r)
	if kind != "" {
		errkind.Write(w, r.Header.Get(errkind.RequestIDHeader), errkind.New(kind, nil))
		return
	}
	dataCentre := r.URL.Query().Get(dataCentreParameter)
	if dataCentre == "" {
		dataCentre = h.config.DataCentre
	}
	suspected := h.membership.Suspected()
	isSuspected := func(id fleet.Identity) bool { return slices.Contains(suspected, id.ID) }
	epoch := &h.membership.View().Epoch
	response := addresses.Compute(epoch, isSuspected, string(customer), dataCentre, addresses.Options{})
	w.Header().Set("Content-Type", "application/json")
	// The caller has disconnected if the write fails, so there is no one to report the error to.
	_ = json.NewEncoder(w).Encode(response)
}

// authenticate returns the customer of the key in a request, or the kind of the rejection.
func (h *Host) authenticate(r *http.Request) (settings.CustomerID, errkind.Kind) {
	snapshot := h.snapshots.Current()
	if snapshot == nil || !h.Active() {
		return "", errkind.HostInactive
	}
	keys := forward.PresentedKeys(r)
	if len(keys) == 0 {
		return "", errkind.KeyMissing
	}
	for _, key := range keys {
		if customer, ok := snapshot.CustomerForKey(key); ok {
			return customer.ID, ""
		}
	}
	return "", errkind.KeyInvalid
}

// rateLimitKind returns the error kind for a decision of the rate limiter. It is empty for an admitted request.
func rateLimitKind(reason ratelimit.Reason) errkind.Kind {
	switch reason {
	case ratelimit.Allowed:
		return ""
	case ratelimit.RateLimited:
		return errkind.RateLimited
	case ratelimit.Inactive:
		return errkind.HostInactive
	default:
		return errkind.LimitUnavailable
	}
}
