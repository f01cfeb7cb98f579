package admin

import (
	"crypto/rand"
	"encoding/base64"
	"maps"
	"slices"
	"strconv"

	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	keyBytes     = 32
	defaultLimit = 100
	maxLimit     = 1000
)

// LimitsRequest is the body of POST /v1/customers/ID and PUT /v1/customers/ID/limits.
type LimitsRequest struct {
	ChangeHeader `json:",inline"`
	Rate         settings.Rate `json:"rate"`
	Burst        float64       `json:"burst"`
	// Weight determines the customer's share of the slots when a service is short of them. 0 means the default of 1 in POST
	// and no change in PUT.
	Weight float64 `json:"weight,omitzero"`
}

// CustomerEntry is one customer in a list.
type CustomerEntry struct {
	ID     string        `json:"id"`
	Rate   settings.Rate `json:"rate"`
	Burst  float64       `json:"burst"`
	Weight float64       `json:"weight"`
	// Keys is the number of keys that are not withdrawn.
	Keys int `json:"keys"`
}

// CustomersResponse is the response to GET /v1/customers, sorted by ID.
type CustomersResponse struct {
	Revision  uint64          `json:"revision"`
	Customers []CustomerEntry `json:"customers"`
	// Next is the value of "after" that continues the list.
	Next string `json:"next,omitzero"`
}

// KeyEntry is one key in a list.
type KeyEntry struct {
	ID        string        `json:"id"`
	Granted   settings.Time `json:"granted,omitzero"`
	Withdrawn settings.Time `json:"withdrawn,omitzero"`
}

// KeysResponse is the response to GET /v1/customers/ID/keys.
type KeysResponse struct {
	Revision uint64     `json:"revision"`
	Keys     []KeyEntry `json:"keys"`
}

// GrantRequest is the body of POST /v1/customers/ID/keys/KEY.
type GrantRequest struct {
	ChangeHeader `json:",inline"`
	// Hash is the hash of a key that the client generated. If it is missing, the host generates a key and returns it in the
	// response.
	Hash *settings.KeyHash `json:"hash,omitzero"`
}

func (h *Handler) createCustomer(r *request) (any, error) {
	var body LimitsRequest
	if err := r.decode(&body); err != nil {
		return nil, err
	}
	spec := &settings.CustomerSpec{Rate: body.Rate, Burst: body.Burst, Weight: body.Weight}
	return h.change(r, body.ChangeHeader, settings.Edit{
		Op: settings.Add, Path: "customers/" + r.pathVariable("customer"), Value: encode(spec),
	})
}

func (h *Handler) setLimits(r *request) (any, error) {
	var body LimitsRequest
	if err := r.decode(&body); err != nil {
		return nil, err
	}
	path := "customers/" + r.pathVariable("customer")
	if _, err := h.customer(r.pathVariable("customer")); err != nil {
		return nil, err
	}
	edits := []settings.Edit{
		{Op: settings.Set, Path: path + "/rate", Value: encode(body.Rate)},
		{Op: settings.Set, Path: path + "/burst", Value: encode(body.Burst)},
	}
	if body.Weight != 0 {
		edits = append(edits, settings.Edit{Op: settings.Set, Path: path + "/weight", Value: encode(body.Weight)})
	}
	return h.change(r, body.ChangeHeader, edits...)
}

func (h *Handler) customer(id string) (*settings.CustomerSpec, error) {
	tree, _ := h.options.Settings.Current()
	customer := tree.Customers[id]
	if customer == nil {
		return nil, notFound("the customer %q does not exist", id)
	}
	return customer, nil
}

func (h *Handler) listCustomers(r *request) (any, error) {
	limit, err := parseLimit(r)
	if err != nil {
		return nil, err
	}
	after := r.URL.Query().Get("after")
	tree, revision := h.options.Settings.Current()
	response := &CustomersResponse{Revision: revision, Customers: []CustomerEntry{}}
	ids := slices.Sorted(maps.Keys(tree.Customers))
	from, found := slices.BinarySearch(ids, after)
	if found {
		from++
	}
	for _, id := range ids[from:] {
		if len(response.Customers) == limit {
			response.Next = response.Customers[limit-1].ID
			break
		}
		response.Customers = append(response.Customers, customerEntry(id, tree.Customers[id]))
	}
	return response, nil
}

func customerEntry(id string, spec *settings.CustomerSpec) CustomerEntry {
	entry := CustomerEntry{ID: id, Rate: spec.Rate, Burst: spec.Burst, Weight: spec.Weight}
	if entry.Weight == 0 {
		entry.Weight = 1
	}
	for i := range spec.Keys {
		if spec.Keys[i].Withdrawn == 0 {
			entry.Keys++
		}
	}
	return entry
}

func parseLimit(r *request) (int, error) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return defaultLimit, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maxLimit {
		return 0, badRequest("limit is not a number from 1 to %d", maxLimit)
	}
	return limit, nil
}

func (h *Handler) listKeys(r *request) (any, error) {
	customer, err := h.customer(r.pathVariable("customer"))
	if err != nil {
		return nil, err
	}
	_, revision := h.options.Settings.Current()
	response := &KeysResponse{Revision: revision, Keys: []KeyEntry{}}
	for i := range customer.Keys {
		key := &customer.Keys[i]
		response.Keys = append(response.Keys, KeyEntry{ID: key.ID, Granted: key.Granted, Withdrawn: key.Withdrawn})
	}
	return response, nil
}

func (h *Handler) grantKey(r *request) (any, error) {
	var body GrantRequest
	if err := r.decode(&body); err != nil {
		return nil, err
	}
	generated, hash := "", settings.KeyHash{}
	if body.Hash != nil {
		hash = *body.Hash
	} else {
		var randomBytes [keyBytes]byte
		_, _ = rand.Read(randomBytes[:]) // crypto/rand.Read never returns an error
		generated = base64.RawURLEncoding.EncodeToString(randomBytes[:])
		hash = settings.HashKey(generated)
	}
	customer, key := r.pathVariable("customer"), r.pathVariable("key")
	spec := settings.KeySpec{Hash: hash, Granted: settings.Time(h.options.Clock.Wall().Unix())}
	granted := func(tree *settings.Tree) bool {
		current := findKey(tree, customer, key)
		return current != nil && current.Hash == hash && current.Withdrawn == 0
	}
	result, err := h.changeOnce(r, body.ChangeHeader, granted, settings.Edit{
		Op: settings.Add, Path: "customers/" + customer + "/keys/" + key, Value: encode(&spec),
	})
	if err != nil {
		return nil, err
	}
	result.Key = generated
	return result, nil
}

func findKey(tree *settings.Tree, customer, key string) *settings.KeySpec {
	spec := tree.Customers[customer]
	if spec == nil {
		return nil
	}
	for i := range spec.Keys {
		if spec.Keys[i].ID == key {
			return &spec.Keys[i]
		}
	}
	return nil
}

func (h *Handler) withdrawKey(r *request) (any, error) {
	var header ChangeHeader
	if err := r.decode(&header); err != nil {
		return nil, err
	}
	customer, key := r.pathVariable("customer"), r.pathVariable("key")
	withdrawn := func(tree *settings.Tree) bool {
		current := findKey(tree, customer, key)
		return current != nil && current.Withdrawn != 0
	}
	return h.changeOnce(r, header, withdrawn, settings.Edit{
		Op: settings.Set, Path: "customers/" + customer + "/keys/" + key + "/withdrawn",
		Value: encode(settings.Time(h.options.Clock.Wall().Unix())),
	})
}
