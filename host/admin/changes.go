package admin

import (
	"context"
	stdjson "encoding/json"
	"errors"
	"net/http"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/settings/store"
)

// ChangeHeader is part of the body of every request that changes settings.
type ChangeHeader struct {
	// ChangeID is generated at random by the client. It stays the same when the request is repeated.
	ChangeID string `json:"change_id"`
	// Base is the revision that the operator has seen.
	Base uint64 `json:"base"`
}

// ChangeResult is the response to a change.
type ChangeResult struct {
	ChangeID string `json:"change_id"`
	Revision uint64 `json:"revision"`
	// Activated is true if the revision is active on every host that holds an activity lease and Missing is empty. The status
	// is then 200, else 202.
	Activated bool `json:"in_force"`
	// Missing are the hosts that are not known to have applied it.
	Missing []string `json:"missing,omitempty"`
	// Unchanged is true if the settings were already as requested.
	Unchanged bool `json:"unchanged,omitzero"`
	// Key is the granted key if the host generated it. It cannot be retrieved later.
	Key string `json:"key,omitzero"`
}

func (r *ChangeResult) httpStatus() int {
	if r.Activated {
		return http.StatusOK
	}
	return http.StatusAccepted
}

// change applies edits to the settings and waits until they are active.
func (h *Handler) change(r *request, header ChangeHeader, edits ...settings.Edit) (*ChangeResult, error) {
	ctx, cancel := context.WithTimeout(r.Context(), h.options.ChangeTimeout)
	defer cancel()
	revision, err := h.options.Settings.Apply(ctx, store.Change{
		ID: header.ChangeID, Operator: r.operator, Base: header.Base, Edits: edits,
	})
	if err != nil {
		return nil, err
	}
	return h.waitActivated(r, header.ChangeID, revision), nil
}

func (h *Handler) waitActivated(r *request, changeID string, revision uint64) *ChangeResult {
	ctx, cancel := context.WithTimeout(r.Context(), h.options.ActivationTimeout)
	defer cancel()
	missing, err := h.options.Fleet.WaitActivated(ctx, revision)
	return &ChangeResult{ChangeID: changeID, Revision: revision, Activated: err == nil && len(missing) == 0, Missing: missing}
}

// changeOnce applies an edit that contains the current time, which differs when the request is repeated. done reports
// whether the tree is already as requested; in that case the settings stay unchanged.
func (h *Handler) changeOnce(r *request, header ChangeHeader, done func(*settings.Tree) bool, edit settings.Edit) (*ChangeResult, error) {
	if err := h.options.Settings.Poll(r.Context()); err != nil {
		return nil, err
	}
	if tree, revision := h.options.Settings.Current(); done(tree) {
		result := h.waitActivated(r, header.ChangeID, revision)
		result.Unchanged = true
		return result, nil
	}
	result, err := h.change(r, header, edit)
	if !errors.Is(err, store.ErrChangeIDReused) {
		return result, err
	}
	// An earlier attempt with this change id took effect after the poll.
	if pollErr := h.options.Settings.Poll(r.Context()); pollErr != nil {
		return nil, pollErr
	}
	if tree, revision := h.options.Settings.Current(); done(tree) {
		return h.waitActivated(r, header.ChangeID, revision), nil
	}
	return nil, err
}

// SettingsResponse is the response to GET /v1/settings.
type SettingsResponse struct {
	Revision uint64         `json:"revision"`
	Value    jsontext.Value `json:"value"`
}

func (h *Handler) getSettings(r *request) (any, error) {
	tree, revision := h.options.Settings.Current()
	value, err := tree.Lookup(r.URL.Query().Get("path"))
	if err != nil {
		return nil, notFound("%v", err)
	}
	return &SettingsResponse{Revision: revision, Value: jsontext.Value(value)}, nil
}

// ApplyRequest is the body of POST /v1/settings/apply. The document replaces the entire tree, except that customers without
// the member "keys" keep their keys.
type ApplyRequest struct {
	ChangeHeader `json:",inline"`
	Document     jsontext.Value `json:"document"`
}

func (h *Handler) applyDocument(r *request) (any, error) {
	r.limit = settings.MaxDocumentBytes
	var body ApplyRequest
	if err := r.decode(&body); err != nil {
		return nil, err
	}
	wanted, err := settings.Decode(body.Document)
	if err == nil {
		err = wanted.Validate()
	}
	if err != nil {
		return nil, err
	}
	if err := h.options.Settings.Poll(r.Context()); err != nil {
		return nil, err
	}
	tree, revision := h.options.Settings.Current()
	edits, err := settings.Diff(tree, wanted)
	if err != nil {
		return nil, err
	}
	if len(edits) == 0 {
		result := h.waitActivated(r, body.ChangeID, revision)
		result.Unchanged = true
		return result, nil
	}
	return h.change(r, body.ChangeHeader, edits...)
}

// EditsRequest is the body of POST /v1/settings/edits.
type EditsRequest struct {
	ChangeHeader `json:",inline"`
	Edits        []settings.Edit `json:"edits"`
}

func (h *Handler) applyEdits(r *request) (any, error) {
	var body EditsRequest
	if err := r.decode(&body); err != nil {
		return nil, err
	}
	return h.change(r, body.ChangeHeader, body.Edits...)
}

// ExplainResponse is the response to GET /v1/settings/explain.
type ExplainResponse struct {
	Revision   uint64                    `json:"revision"`
	Path       string                    `json:"path"`
	DataCentre string                    `json:"data_centre"`
	Values     []settings.EffectiveValue `json:"values"`
}

func (h *Handler) explain(r *request) (any, error) {
	path, dataCentre := r.URL.Query().Get("path"), r.URL.Query().Get("data_centre")
	if dataCentre == "" {
		dataCentre = h.options.DataCentre
	}
	tree, revision := h.options.Settings.Current()
	values, err := tree.Explain(path, dataCentre)
	if err != nil {
		return nil, notFound("%v", err)
	}
	return &ExplainResponse{Revision: revision, Path: path, DataCentre: dataCentre, Values: values}, nil
}

func encode(value any) stdjson.RawMessage {
	encoded, err := json.Marshal(value, json.Deterministic(true))
	if err != nil {
		return nil // an edit without a value is rejected with an error that names its path
	}
	return encoded
}
