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

// addressPath is where callers ask which addresses to use.
const addressPath = "/.well-known/bronzeyard/addresses"

// dataCentreParameter is the query parameter by which callers say where they are.
const dataCentreParameter = "data_centre"

// serveAddresses answers which addresses a caller should use. The answer depends on the customer of the key that came
// with the request.
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
	answer := addresses.Compute(epoch, isSuspected, string(customer), dataCentre, addresses.Options{})
	w.Header().Set("Content-Type", "application/json")
	// The connection is the caller's; there is nothing to do if it is gone.
	_ = json.NewEncoder(w).Encode(answer)
}

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

// rateLimitKind returns the kind of a refusal; it is empty for an admitted request.
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
