package settings

import (
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/go-json-experiment/json"
)

// Diff returns the edits that turn one tree into the other, in the order in which they can be applied. A customer without
// keys in the target tree keeps the keys that it has, so that a document that operators keep in a file need not list keys.
func Diff(from, to *Tree) ([]Edit, error) {
	d := new(differ)
	if err := d.fields("", reflect.ValueOf(from).Elem(), reflect.ValueOf(to).Elem()); err != nil {
		return nil, err
	}
	return d.edits, nil
}

type differ struct {
	edits []Edit
}

func (d *differ) fields(path string, from, to reflect.Value) error {
	for i := range from.NumField() {
		name, _, _ := strings.Cut(from.Type().Field(i).Tag.Get("json"), ",")
		if name == "-" || name == "" {
			continue
		}
		if err := d.value(strings.TrimPrefix(path+"/"+name, "/"), from.Field(i), to.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

func (d *differ) value(path string, from, to reflect.Value) error {
	if keys, ok := to.Interface().(KeyList); ok {
		fromKeys, _ := from.Interface().(KeyList)
		return d.keys(path, fromKeys, keys)
	}
	if from.Kind() == reflect.Map {
		return d.entries(path, from, to)
	}
	if isStructPointer(from.Type()) && !from.IsNil() && !to.IsNil() {
		return d.fields(path, from.Elem(), to.Elem())
	}
	if reflect.DeepEqual(from.Interface(), to.Interface()) {
		return nil
	}
	if to.IsZero() && (from.Kind() == reflect.Pointer || from.Kind() == reflect.Slice || from.Kind() == reflect.Bool) {
		d.edits = append(d.edits, Edit{Op: Unset, Path: path})
		return nil
	}
	return d.set(path, to)
}

func (d *differ) set(path string, to reflect.Value) error {
	encoded, err := json.Marshal(to.Interface(), json.Deterministic(true))
	if err != nil {
		return invalid(path, "%v", err)
	}
	d.edits = append(d.edits, Edit{Op: Set, Path: path, Value: encoded})
	return nil
}

func isStructPointer(t reflect.Type) bool {
	return t.Kind() == reflect.Pointer && t.Elem().Kind() == reflect.Struct
}

func (d *differ) entries(path string, from, to reflect.Value) error {
	names := make(map[string]bool, from.Len())
	for _, value := range []reflect.Value{from, to} {
		for _, key := range value.MapKeys() {
			names[key.String()] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		oldValue, newValue := from.MapIndex(reflect.ValueOf(name)), to.MapIndex(reflect.ValueOf(name))
		childPath := path + "/" + name
		var err error
		switch {
		case !newValue.IsValid():
			d.edits = append(d.edits, Edit{Op: Unset, Path: childPath})
		case !oldValue.IsValid():
			err = d.set(childPath, newValue)
		default:
			err = d.value(childPath, oldValue, newValue)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *differ) keys(path string, from, to KeyList) error {
	if len(to) == 0 {
		return nil
	}
	for i := range from {
		if _, found := to.find(from[i].ID); !found {
			d.edits = append(d.edits, Edit{Op: Unset, Path: path + "/" + from[i].ID})
		}
	}
	for i := range to {
		index, found := from.find(to[i].ID)
		if found && from[index] == to[i] {
			continue
		}
		if err := d.set(path+"/"+to[i].ID, reflect.ValueOf(to[i])); err != nil {
			return err
		}
	}
	return nil
}
