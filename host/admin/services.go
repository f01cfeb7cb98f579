package admin

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/settings/store"
)

// ServiceEntry is one service in a list.
type ServiceEntry struct {
	Name      string          `json:"name"`
	Upstreams []UpstreamEntry `json:"upstreams"`
	Routes    int             `json:"routes"`
}

// UpstreamEntry is one upstream in a list.
type UpstreamEntry struct {
	ID                     string `json:"id"`
	*settings.UpstreamSpec `json:",inline"`
}

// ServicesResponse is the response to GET /v1/services.
type ServicesResponse struct {
	Revision uint64         `json:"revision"`
	Services []ServiceEntry `json:"services"`
	// Next is the value of "after" that continues the list.
	Next string `json:"next,omitzero"`
}

// SpecRequest is the body of PUT /v1/services/NAME and of PUT for an upstream. Spec has the format of the settings.
type SpecRequest struct {
	ChangeHeader `json:",inline"`
	Spec         jsontext.Value `json:"spec"`
}

// LeavingRequest is the body of PUT .../leaving.
type LeavingRequest struct {
	ChangeHeader `json:",inline"`
	Leaving      bool `json:"leaving"`
}

func (h *Handler) listServices(r *request) (any, error) {
	limit, err := parseLimit(r)
	if err != nil {
		return nil, err
	}
	tree, revision := h.options.Settings.Current()
	response := &ServicesResponse{Revision: revision, Services: []ServiceEntry{}}
	names := slices.Sorted(maps.Keys(tree.Services))
	from, found := slices.BinarySearch(names, r.URL.Query().Get("after"))
	if found {
		from++
	}
	for _, name := range names[from:] {
		if len(response.Services) == limit {
			response.Next = response.Services[limit-1].Name
			break
		}
		response.Services = append(response.Services, serviceEntry(name, tree.Services[name]))
	}
	return response, nil
}

func serviceEntry(name string, spec *settings.ServiceSpec) ServiceEntry {
	entry := ServiceEntry{Name: name, Routes: len(spec.Routes), Upstreams: []UpstreamEntry{}}
	for _, id := range slices.Sorted(maps.Keys(spec.Upstreams)) {
		entry.Upstreams = append(entry.Upstreams, UpstreamEntry{ID: id, UpstreamSpec: spec.Upstreams[id]})
	}
	return entry
}

func (h *Handler) setService(r *request) (any, error) {
	return h.setSpec(r, "services/"+r.pathVariable("service"))
}

func (h *Handler) setUpstream(r *request) (any, error) {
	return h.setSpec(r, upstreamPath(r))
}

func upstreamPath(r *request) string {
	return "services/" + r.pathVariable("service") + "/upstreams/" + r.pathVariable("upstream")
}

func (h *Handler) setSpec(r *request, path string) (any, error) {
	var body SpecRequest
	if err := r.decode(&body); err != nil {
		return nil, err
	}
	return h.change(r, body.ChangeHeader, settings.Edit{Op: settings.Set, Path: path, Value: []byte(body.Spec)})
}

func (h *Handler) removeUpstream(r *request) (any, error) {
	var header ChangeHeader
	if err := r.decode(&header); err != nil {
		return nil, err
	}
	return h.change(r, header, settings.Edit{Op: settings.Unset, Path: upstreamPath(r)})
}

func (h *Handler) setLeaving(r *request) (any, error) {
	var body LeavingRequest
	if err := r.decode(&body); err != nil {
		return nil, err
	}
	return h.change(r, body.ChangeHeader, settings.Edit{
		Op: settings.Set, Path: upstreamPath(r) + "/leaving", Value: encode(body.Leaving),
	})
}

func (h *Handler) audit(r *request) (any, error) {
	query := r.URL.Query()
	limit, err := parseLimit(r)
	if err != nil {
		return nil, err
	}
	filter := store.AuditFilter{Operator: query.Get("operator"), Path: query.Get("path"), Limit: limit}
	for name, target := range map[string]*time.Time{"since": &filter.Since, "until": &filter.Until} {
		if text := query.Get(name); text != "" {
			if *target, err = time.Parse(time.RFC3339, text); err != nil {
				return nil, badRequest("%s is not a time in RFC 3339", name)
			}
		}
	}
	if text := query.Get("before"); text != "" {
		if filter.Before, err = strconv.ParseUint(text, 10, 64); err != nil {
			return nil, badRequest("before is not a revision")
		}
	}
	page, err := h.options.Settings.Audit(r.Context(), filter)
	if err != nil {
		return nil, err
	}
	return &page, nil
}

// StatusResponse is the response to GET /v1/status.
type StatusResponse struct {
	Settings store.Status `json:"settings"`
	// Host is what Fleet.Status returns.
	Host any `json:"host"`
}

func (h *Handler) status(*request) (any, error) {
	return &StatusResponse{Settings: h.options.Settings.Status(), Host: h.options.Fleet.Status()}, nil
}

// DrainResponse is the response to POST /v1/drain.
type DrainResponse struct {
	Draining bool `json:"draining"`
}

func (h *Handler) drain(r *request) (any, error) {
	if err := h.options.Fleet.Drain(r.Context()); err != nil {
		return nil, err
	}
	return &DrainResponse{Draining: true}, nil
}

// EndedResponse is the response to POST /v1/hosts/{host}/ended.
type EndedResponse struct {
	Host  string `json:"host"`
	Ended bool   `json:"ended"`
}

func (h *Handler) declareEnded(r *request) (any, error) {
	host := r.pathVariable("host")
	if !h.options.Fleet.DeclareEnded(host) {
		return nil, notFound("host %q is not a member of the epoch, or this host still receives its heartbeats", host)
	}
	h.options.Logger.Warn().Str("operator", r.operator).Str("ended", host).Msg("host declared as ended")
	return &EndedResponse{Host: host, Ended: true}, nil
}
