package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// Limits of a tree, each at least four times the design target.
const (
	MaxDocumentBytes   = 256 << 20
	MaxCustomers       = 1_000_000
	MaxServices        = 10_000
	MaxUpstreams       = 200_000
	MaxRoutes          = 150_000
	MaxKeysPerCustomer = 64
	MaxMethods         = 16
	MaxStatuses        = 32
)

// Tree holds the settings of the fleet as operators write them. A Tree must not be changed after it was decoded or
// returned by Apply, because trees share subtrees.
type Tree struct {
	// Policy is set at the fleet level.
	Policy *PolicySpec `json:"policy,omitzero"`
	// DataCentres declares the data centres and their policies, by name.
	DataCentres map[string]*DataCentreSpec `json:"data_centres,omitempty"`
	Services    map[string]*ServiceSpec    `json:"services,omitempty"`
	Customers   map[string]*CustomerSpec   `json:"customers,omitempty"`

	derived *derivedState
}

// PolicySpec holds the policy values that are set at one level. Each field has the meaning of the field of
// Policy with the same name; a nil field is inherited.
type PolicySpec struct {
	Timeout         *Duration        `json:"timeout,omitzero"`
	Idempotent      *bool            `json:"idempotent,omitzero"`
	OperationID     *OperationIDMode `json:"operation_id,omitzero"`
	Claims          *ClaimMode       `json:"claims,omitzero"`
	ClaimsSince     *Time            `json:"claims_since,omitzero"`
	Open            *bool            `json:"open,omitzero"`
	MaxRequestBytes *Bytes           `json:"max_request_bytes,omitzero"`
	MaxAttempts     *int             `json:"max_attempts,omitzero"`
	HedgeAfter      *Duration        `json:"hedge_after,omitzero"`
	QueueLength     *int             `json:"queue_length,omitzero"`
	Floor           *float64         `json:"floor,omitzero"`
	ShedStatuses    *[]int           `json:"shed_statuses,omitzero"`
	NotRunStatuses  *[]int           `json:"not_run_statuses,omitzero"`
	LoadHeader      *string          `json:"load_header,omitzero"`
	DrainHeader     *string          `json:"drain_header,omitzero"`
	HealthPath      *string          `json:"health_path,omitzero"`
}

// DataCentreSpec declares a data centre, or holds the overrides of a service at a data centre.
type DataCentreSpec struct {
	Policy *PolicySpec `json:"policy,omitzero"`
}

// ServiceSpec is a service.
type ServiceSpec struct {
	Policy *PolicySpec `json:"policy,omitzero"`
	// DataCentres holds the overrides of the service at a data centre, by name of the data centre.
	DataCentres map[string]*DataCentreSpec `json:"data_centres,omitempty"`
	Upstreams   map[string]*UpstreamSpec   `json:"upstreams,omitempty"`
	Routes      map[string]*RouteSpec      `json:"routes,omitempty"`
}

// UpstreamSpec is one server of a service. Each field has the meaning of the field of Upstream with the same name.
type UpstreamSpec struct {
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Leaving     bool   `json:"leaving,omitzero"`
}

// RouteSpec is a route of a service. Each field has the meaning of the field of Route with the same name.
type RouteSpec struct {
	Host       string      `json:"host,omitzero"`
	PathPrefix string      `json:"path_prefix"`
	Methods    []string    `json:"methods,omitempty"`
	Policy     *PolicySpec `json:"policy,omitzero"`
}

// CustomerSpec is a customer.
type CustomerSpec struct {
	// Rate must be more than 0.
	Rate Rate `json:"rate"`
	// Burst is in requests, at least 1.
	Burst float64 `json:"burst"`
	// Weight must be at least 0; 0 means the default of 1.
	Weight float64 `json:"weight,omitzero"`
	Keys   KeyList `json:"keys,omitempty"`

	// effective is computed when the customer is first looked up, because a host serves only few of the customers.
	effective atomic.Pointer[Customer]
}

// KeySpec is a key that was granted. The key itself is never stored.
type KeySpec struct {
	ID      string  `json:"-"`
	Hash    KeyHash `json:"hash"`
	Granted Time    `json:"granted,omitzero"`
	// Withdrawn is the time from which the key is no longer valid; 0 for a valid key.
	Withdrawn Time `json:"withdrawn,omitzero"`
}

// KeyList is sorted by ID and encoded in JSON as an object with the IDs as member names. With 250,000 customers, a slice
// for each takes a third of the memory of a map for each.
type KeyList []KeySpec

// MarshalJSONTo implements json.MarshalerTo.
func (l KeyList) MarshalJSONTo(enc *jsontext.Encoder) error {
	if err := enc.WriteToken(jsontext.BeginObject); err != nil {
		return err
	}
	for i := range l {
		if err := enc.WriteToken(jsontext.String(l[i].ID)); err != nil {
			return err
		}
		if err := json.MarshalEncode(enc, &l[i]); err != nil {
			return err
		}
	}
	return enc.WriteToken(jsontext.EndObject)
}

// UnmarshalJSONFrom implements json.UnmarshalerFrom.
func (l *KeyList) UnmarshalJSONFrom(dec *jsontext.Decoder) error {
	var byID map[string]KeySpec
	if err := json.UnmarshalDecode(dec, &byID); err != nil {
		return err
	}
	*l = make(KeyList, 0, len(byID))
	for id, key := range byID {
		key.ID = id
		*l = append(*l, key)
	}
	slices.SortFunc(*l, func(a, b KeySpec) int { return strings.Compare(a.ID, b.ID) })
	return nil
}

func (l KeyList) find(id string) (int, bool) {
	return slices.BinarySearchFunc(l, id, func(key KeySpec, id string) int { return strings.Compare(key.ID, id) })
}

// FieldError describes one invalid value of a document or an edit.
type FieldError struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// InvalidError lists the invalid values of a document or an edit.
type InvalidError struct {
	FieldErrors []FieldError
}

const maxErrorsInMessage = 20

// Error implements error. The text lists at most 20 field errors.
func (e *InvalidError) Error() string {
	var text strings.Builder
	text.WriteString("settings: refused")
	for i, fieldError := range e.FieldErrors {
		if i == maxErrorsInMessage {
			fmt.Fprintf(&text, "; and %d more", len(e.FieldErrors)-i)
			break
		}
		fmt.Fprintf(&text, "; %s: %s", displayPath(fieldError.Path), fieldError.Reason)
	}
	return text.String()
}

func displayPath(path string) string {
	if path == "" {
		return "(root)"
	}
	return path
}

func invalid(path, format string, args ...any) *InvalidError {
	return &InvalidError{FieldErrors: []FieldError{{Path: path, Reason: fmt.Sprintf(format, args...)}}}
}

var decodeOptions = json.JoinOptions(json.RejectUnknownMembers(true), json.MatchCaseInsensitiveNames(false))

// Decode reads a tree from JSON. It rejects unknown members, repeated names, wrong types and wrong units with an
// *InvalidError that has the path of the first one. The result is not yet validated.
func Decode(data []byte) (*Tree, error) {
	if len(data) > MaxDocumentBytes {
		return nil, invalid("", "document has %d bytes, at most %d are allowed", len(data), MaxDocumentBytes)
	}
	tree := NewTree()
	if err := unmarshalAt("", data, tree); err != nil {
		return nil, err
	}
	return tree, nil
}

// unmarshalAt decodes strictly the value at a path. It returns an *InvalidError whose path starts with the given one.
func unmarshalAt(path string, data []byte, into any) error {
	err := json.Unmarshal(data, into, decodeOptions)
	if err == nil {
		return nil
	}
	var semantic *json.SemanticError
	var syntactic *jsontext.SyntacticError
	switch {
	case errors.As(err, &syntactic):
		return invalid(joinPointer(path, syntactic.JSONPointer), "%v", syntactic.Err)
	case errors.As(err, &semantic):
		reason := "is not of the expected type"
		if semantic.Err != nil {
			reason = semantic.Err.Error()
		} else if kind := semantic.JSONKind; kind != 0 {
			reason = fmt.Sprintf("is a JSON %s, which is not the expected type", kind)
		}
		return invalid(joinPointer(path, semantic.JSONPointer), "%s", reason)
	default:
		return invalid(path, "%v", err)
	}
}

func joinPointer(path string, pointer jsontext.Pointer) string {
	return strings.Trim(path+string(pointer), "/")
}

// Encode returns the tree as JSON. The same tree always gives the same bytes.
func (t *Tree) Encode() ([]byte, error) { return json.Marshal(t, json.Deterministic(true)) }

// EncodeIndented is like Encode but indents the JSON by two spaces a level.
func (t *Tree) EncodeIndented() ([]byte, error) {
	return json.Marshal(t, json.Deterministic(true), jsontext.WithIndent("  "))
}
