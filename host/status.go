package host

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/ejection"
	"github.com/bronzeyard/bronzeyard/fleet/idempotency"
	"github.com/bronzeyard/bronzeyard/fleet/membership"
	"github.com/bronzeyard/bronzeyard/fleet/ratelimit"
	"github.com/bronzeyard/bronzeyard/host/metrics"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/settings/store"
	"github.com/bronzeyard/bronzeyard/traffic/queue"
)

// Status is the state of a host as shown to operators.
type Status struct {
	Host       string             `json:"host"`
	DataCentre string             `json:"data_centre"`
	Ready      bool               `json:"ready"`
	Leaving    bool               `json:"leaving"`
	InFlight   int                `json:"in_flight"`
	Settings   store.Status       `json:"settings"`
	Membership membership.Status  `json:"membership"`
	Limits     ratelimit.Status   `json:"limits"`
	Operations idempotency.Status `json:"operations"`
	Services   []ejection.Status  `json:"services"`
	// Queues has the queue statistics of each service.
	Queues map[settings.ServiceName]queue.Stats `json:"queues"`
}

// Status implements admin.Fleet. The status is encoded by encoding/json, which writes durations in nanoseconds.
func (h *Host) Status() any {
	encoded, err := json.Marshal(h.status())
	if err != nil {
		return map[string]string{"error": err.Error()}
	}
	return json.RawMessage(encoded)
}

func (h *Host) status() *Status {
	return &Status{
		Host: h.config.HostID, DataCentre: h.config.DataCentre, Ready: h.Ready(), Leaving: h.isLeaving(),
		InFlight: h.handler.InFlight(), Settings: h.store.Status(), Membership: h.membership.Status(),
		Limits: h.limiter.Status(), Operations: h.operations.Status(),
		Services: h.services.ejections.Status(), Queues: h.services.queueStats(),
	}
}

// WaitActivated implements admin.Fleet.
func (h *Host) WaitActivated(ctx context.Context, revision uint64) (missing []string, err error) {
	h.membership.NotifyRevision(ctx, revision)
	hosts, err := h.membership.WaitActivated(ctx, revision)
	for _, id := range hosts {
		missing = append(missing, string(id))
	}
	return missing, err
}

// serveReadiness responds with 200 if the host is ready to serve callers, else with 503.
func (h *Host) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if h.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (h *Host) gauges() []metrics.Gauge {
	return []metrics.Gauge{
		{
			Name: "bronzeyard.epoch", Unit: "{epoch}", Description: "Number of the membership epoch.",
			Read: func() float64 { return float64(h.membership.View().Epoch.Number) },
		},
		{
			Name: "bronzeyard.epoch.members", Unit: "{host}", Description: "Members of the membership epoch.",
			Read: func() float64 { return float64(len(h.membership.View().Epoch.Members)) },
		},
		{
			Name: "bronzeyard.lease.remaining", Unit: "s", Description: "Time left of the activity lease, negative if lapsed.",
			Read: func() float64 { return h.membership.View().ActiveUntil.Sub(h.options.Clock.Now()).Seconds() },
		},
		{
			Name: "bronzeyard.settings.revision", Unit: "{revision}", Description: "Revision of the settings in force.",
			Read: func() float64 { return float64(h.sync.Applied()) },
		},
		{
			Name: "bronzeyard.ejections", Unit: "{upstream}", Description: "Upstreams that this host keeps out of use or returns to it.",
			Read: func() float64 {
				ejected := 0
				for _, service := range h.services.ejections.Status() {
					ejected += len(service.Ejections)
				}
				return float64(ejected)
			},
		},
		{
			Name: "bronzeyard.operations.pending_results", Unit: "{operation}",
			Description: "Results of operations that no owner has taken yet.",
			Read:        func() float64 { return float64(h.operations.Status().PendingResults) },
		},
		{
			Name: "bronzeyard.settings.lag", Unit: "{revision}", Description: "Revisions known but not in force.",
			Read: func() float64 {
				status := h.store.Status()
				return float64(max(status.Head, status.Revision) - status.Revision)
			},
		},
	}
}

// DeclareEnded implements admin.Fleet.
func (h *Host) DeclareEnded(host string) bool {
	return len(h.membership.DeclareEnded([]fleet.HostID{fleet.HostID(host)})) == 0
}
