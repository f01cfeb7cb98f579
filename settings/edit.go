package settings

import (
	stdjson "encoding/json"
	"errors"
	"iter"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/go-json-experiment/json"
)

// Op is the operation that an edit performs at its path.
type Op string

// The operations.
const (
	// Set replaces or creates the value.
	Set Op = "set"
	// Add creates an entry and is rejected if the entry exists.
	Add Op = "add"
	// Unset removes the value and is rejected if there is none.
	Unset Op = "unset"
)

// Edit is one edit of the tree.
type Edit struct {
	Op   Op     `json:"op"`
	Path string `json:"path"`
	// Value is JSON, as in a document at that path. It is empty for Unset.
	Value stdjson.RawMessage `json:"value,omitzero"`
}

// Effect records how an edit changed the value at its path.
type Effect struct {
	Path string `json:"path"`
	// Old and New are JSON, or empty for no value.
	Old stdjson.RawMessage `json:"old,omitzero"`
	New stdjson.RawMessage `json:"new,omitzero"`
}

// Limits of paths and names.
const (
	MaxPathBytes = 512
	MaxNameBytes = 64
	maxPathNames = 8
)

// ParsePath splits a path into names. It returns an *InvalidError for a path that is empty, too long or has a malformed
// name.
func ParsePath(path string) ([]string, error) {
	if path == "" || len(path) > MaxPathBytes {
		return nil, invalid("", "a path must have 1 to %d bytes, not %d", MaxPathBytes, len(path))
	}
	names := strings.Split(path, "/")
	if len(names) > maxPathNames {
		return nil, invalid("", "a path must have at most %d names, not %d", maxPathNames, len(names))
	}
	for _, name := range names {
		if !IsName(name) {
			return nil, invalid("", "%q is not a valid name in the path %q", name, path)
		}
	}
	return names, nil
}

// IsName reports whether the text is a valid name of an entry of the tree: 1 to 64 letters, digits, ".", "_" and "-".
func IsName(text string) bool {
	if text == "" || len(text) > MaxNameBytes {
		return false
	}
	for i := range len(text) {
		c := text[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

// Ancestors yields the paths that contain the path, the nearest first, without the path itself and without "".
func Ancestors(path string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for slash := strings.LastIndexByte(path, '/'); slash > 0; slash = strings.LastIndexByte(path[:slash], '/') {
			if !yield(path[:slash]) {
				return
			}
		}
	}
}

// Apply returns a tree with the edits applied in order, and the effect of each edit. The receiver is not changed and shares
// its unchanged subtrees with the result. The result is not yet validated. Apply returns an *InvalidError for an edit that
// can't be applied.
func (t *Tree) Apply(edits []Edit) (*Tree, []Effect, error) {
	if len(edits) == 0 {
		return t, nil, nil
	}
	effects := make([]Effect, 0, len(edits))
	current := reflect.ValueOf(t)
	owned := make(map[uintptr]bool)
	for i := range edits {
		names, err := ParsePath(edits[i].Path)
		if err != nil {
			return nil, nil, err
		}
		e := editApplier{edit: &edits[i], ownedMaps: owned}
		current, err = e.apply(current, names)
		if err != nil {
			return nil, nil, err
		}
		effects = append(effects, Effect{Path: edits[i].Path, Old: e.old, New: edits[i].Value})
	}
	edited, ok := current.Interface().(*Tree)
	if !ok {
		return nil, nil, errors.New("settings: the edited value is not a tree")
	}
	if err := checkKeys(t, edited, edits); err != nil {
		return nil, nil, err
	}
	edited.derived = t.derived.afterEdits(t, edited, edits)
	return edited, effects, nil
}

// editApplier applies one edit.
type editApplier struct {
	edit *Edit
	old  stdjson.RawMessage
	// ownedMaps are the maps that this call of Apply has created and may change in place. Without it, a change of n entries
	// would copy the map n times.
	ownedMaps map[uintptr]bool
}

// apply returns a copy of the value with the edit applied at the names below it.
func (e *editApplier) apply(value reflect.Value, names []string) (reflect.Value, error) {
	if value.Kind() == reflect.Pointer && value.Type().Elem().Kind() == reflect.Struct && len(names) > 0 {
		return e.applyToStruct(value, names)
	}
	if keys, ok := value.Interface().(KeyList); ok && len(names) > 0 {
		return e.applyToKeys(keys, names)
	}
	if value.Kind() == reflect.Map && len(names) > 0 {
		return e.applyToMap(value, names)
	}
	if len(names) > 0 {
		return value, invalid(e.edit.Path, "there is nothing below this value")
	}
	if value.Kind() == reflect.Map || value.Type() == reflect.TypeFor[KeyList]() {
		return value, invalid(e.edit.Path, "is a collection; edit its entries one by one")
	}
	return e.applyToLeaf(value)
}

func (e *editApplier) applyToStruct(pointer reflect.Value, names []string) (reflect.Value, error) {
	updated := copyStruct(pointer)
	field, ok := fieldByName(updated.Elem(), names[0])
	if !ok {
		return pointer, invalid(e.edit.Path, "member %q does not exist in this object", names[0])
	}
	edited, err := e.apply(field, names[1:])
	if err != nil {
		return pointer, err
	}
	field.Set(edited)
	if updated.Type() == reflect.TypeFor[*PolicySpec]() && updated.Elem().IsZero() {
		return reflect.Zero(pointer.Type()), nil
	}
	return updated, nil
}

// copyStruct returns a pointer to a copy, or to a zero value for nil.
func copyStruct(pointer reflect.Value) reflect.Value {
	if customer, ok := pointer.Interface().(*CustomerSpec); ok && customer != nil {
		// The effective customer is left out: it belongs to the old values, and other goroutines may be storing it.
		return reflect.ValueOf(&CustomerSpec{Rate: customer.Rate, Burst: customer.Burst, Weight: customer.Weight, Keys: customer.Keys})
	}
	copied := reflect.New(pointer.Type().Elem())
	if !pointer.IsNil() {
		copied.Elem().Set(pointer.Elem())
	}
	return copied
}

func (e *editApplier) applyToMap(value reflect.Value, names []string) (reflect.Value, error) {
	key := reflect.ValueOf(names[0])
	entry := reflect.Zero(value.Type().Elem())
	if found := value.MapIndex(key); found.IsValid() {
		entry = found
	} else if len(names) > 1 {
		return value, invalid(e.edit.Path, "entry %q does not exist", names[0])
	}
	edited, err := e.apply(entry, names[1:])
	if err != nil {
		return value, err
	}
	updated := value
	if value.IsNil() || !e.ownedMaps[value.Pointer()] {
		updated = cloneMap(value)
		e.ownedMaps[updated.Pointer()] = true
	}
	if edited.IsNil() {
		updated.SetMapIndex(key, reflect.Value{})
	} else {
		updated.SetMapIndex(key, edited)
	}
	return updated, nil
}

// cloneMap copies a map. It avoids reflection for the map of customers, the only large one.
func cloneMap(value reflect.Value) reflect.Value {
	if customers, ok := value.Interface().(map[string]*CustomerSpec); ok && customers != nil {
		return reflect.ValueOf(maps.Clone(customers))
	}
	cloned := reflect.MakeMapWithSize(value.Type(), value.Len()+1)
	for iterator := value.MapRange(); iterator.Next(); {
		cloned.SetMapIndex(iterator.Key(), iterator.Value())
	}
	return cloned
}

func (e *editApplier) applyToKeys(keys KeyList, names []string) (reflect.Value, error) {
	index, exists := keys.find(names[0])
	entry := reflect.Zero(reflect.TypeFor[*KeySpec]())
	if exists {
		entry = reflect.ValueOf(&keys[index])
	} else if len(names) > 1 {
		return reflect.ValueOf(keys), invalid(e.edit.Path, "the key %q does not exist", names[0])
	}
	edited, err := e.apply(entry, names[1:])
	if err != nil {
		return reflect.ValueOf(keys), err
	}
	updated := slices.Clone(keys)
	if exists {
		updated = slices.Delete(updated, index, index+1)
	}
	if spec, ok := edited.Interface().(*KeySpec); ok && spec != nil {
		key := *spec
		key.ID = names[0]
		updated = slices.Insert(updated, index, key)
	}
	return reflect.ValueOf(updated), nil
}

// applyToLeaf replaces or removes the value itself.
func (e *editApplier) applyToLeaf(value reflect.Value) (reflect.Value, error) {
	present := !value.IsZero()
	if present {
		old, err := json.Marshal(value.Interface(), json.Deterministic(true))
		if err != nil {
			return value, invalid(e.edit.Path, "%v", err)
		}
		e.old = old
	}
	switch e.edit.Op {
	case Unset:
		if !present || len(e.edit.Value) != 0 {
			return value, invalid(e.edit.Path, "there is no value to unset, or the edit has a value, which unset does not accept")
		}
		return reflect.Zero(value.Type()), nil
	case Add, Set:
		if present && e.edit.Op == Add {
			return value, invalid(e.edit.Path, "already exists")
		}
		return e.decodeValue(value.Type())
	default:
		return value, invalid(e.edit.Path, "%q is not an operation; use set, add or unset", e.edit.Op)
	}
}

func (e *editApplier) decodeValue(valueType reflect.Type) (reflect.Value, error) {
	if text := strings.TrimSpace(string(e.edit.Value)); text == "" || text == "null" {
		return reflect.Value{}, invalid(e.edit.Path, "has no value; use unset to remove it")
	}
	target := reflect.New(valueType)
	if err := unmarshalAt(e.edit.Path, e.edit.Value, target.Interface()); err != nil {
		return reflect.Value{}, err
	}
	return target.Elem(), nil
}

func fieldByName(value reflect.Value, name string) (reflect.Value, bool) {
	for i := range value.NumField() {
		tag := value.Type().Field(i).Tag.Get("json")
		if tagName, _, _ := strings.Cut(tag, ","); tagName == name && tagName != "-" && tagName != "" {
			return value.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// checkKeys rejects edits that make a withdrawn key valid again or replace the hash of a key.
func checkKeys(before, after *Tree, edits []Edit) error {
	for i := range edits {
		names := strings.Split(edits[i].Path, "/")
		if names[0] != "customers" || len(names) < 2 {
			continue
		}
		oldCustomer, newCustomer := before.Customers[names[1]], after.Customers[names[1]]
		if oldCustomer == nil || newCustomer == nil {
			continue
		}
		for _, key := range oldCustomer.Keys {
			index, found := newCustomer.Keys.find(key.ID)
			if !found {
				continue
			}
			if newCustomer.Keys[index].Hash != key.Hash || key.Withdrawn != 0 && newCustomer.Keys[index].Withdrawn != key.Withdrawn {
				return invalid("customers/"+names[1]+"/keys/"+key.ID,
					"the hash of a key can't be replaced and a withdrawn key can't be made valid; grant a new key")
			}
		}
	}
	return nil
}

// Lookup returns the value at a path as JSON; "" is the whole tree. It returns an *InvalidError if there is no value.
func (t *Tree) Lookup(path string) (stdjson.RawMessage, error) {
	value := reflect.ValueOf(t)
	var names []string
	if path = strings.Trim(path, "/"); path != "" {
		parsed, err := ParsePath(path)
		if err != nil {
			return nil, err
		}
		names = parsed
	}
	for _, name := range names {
		value = child(value, name)
		if !value.IsValid() {
			return nil, invalid(path, "there is no value at this path")
		}
	}
	if (value.Kind() == reflect.Pointer || value.Kind() == reflect.Map) && value.IsNil() {
		return nil, invalid(path, "there is no value at this path")
	}
	return json.Marshal(value.Interface(), json.Deterministic(true))
}

func child(value reflect.Value, name string) reflect.Value {
	if keys, ok := value.Interface().(KeyList); ok {
		if index, found := keys.find(name); found {
			return reflect.ValueOf(&keys[index])
		}
		return reflect.Value{}
	}
	switch {
	case value.Kind() == reflect.Map:
		return value.MapIndex(reflect.ValueOf(name))
	case value.Kind() == reflect.Pointer && !value.IsNil() && value.Type().Elem().Kind() == reflect.Struct:
		field, _ := fieldByName(value.Elem(), name)
		return field
	default:
		return reflect.Value{}
	}
}
