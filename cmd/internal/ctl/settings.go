package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/integrii/flaggy"
)

type edit struct {
	Op    string          `json:"op"`
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value,omitempty"`
}

func (c *Commands) attachSettings(parser *flaggy.Parser) {
	var file, path, value, dataCentre string
	apply := c.add(parser, "apply", "replace the settings by a document (needs --base)", func(s *session) error { return s.apply(file) })
	apply.AddPositionalValue(&file, "FILE", 1, true, "JSON document, - for standard input")

	get := c.add(parser, "get", "print settings", func(s *session) error { return s.get(path) })
	get.AddPositionalValue(&path, "PATH", 1, false, "such as services/intake/policy (default: everything)")

	set := c.add(parser, "set", "set one value", func(s *session) error { return s.set(path, value) })
	set.AddPositionalValue(&path, "PATH", 1, true, "such as services/intake/policy/timeout")
	set.AddPositionalValue(&value, "VALUE", 2, true, "JSON, or a text without quotes such as 5s")

	unset := c.add(parser, "unset", "remove one value or entry", func(s *session) error {
		return s.edit(edit{Op: "unset", Path: path})
	})
	unset.AddPositionalValue(&path, "PATH", 1, true, "such as services/intake/policy/timeout")

	explain := c.add(parser, "explain", "show effective values and the branches they come from", func(s *session) error {
		return s.explain(path, dataCentre)
	})
	explain.AddPositionalValue(&path, "PATH", 1, false, "such as services/intake/routes/check-in")
	explain.String(&dataCentre, "", "data-centre", "data centre (default: that of the host)")
}

func (s *session) readInput(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(s.env.Stdin)
	}
	data, err := s.env.ReadFile(file)
	if err != nil {
		return nil, usageError("the file cannot be read: %v", err)
	}
	return data, nil
}

// apply requires --base. A document replaces all settings, so with the newest revision as its base it would undo the changes
// that others made since the document was written.
func (s *session) apply(file string) error {
	if s.flags.base == "" {
		return usageError("apply needs --base, the revision that get printed when the document was made (0 for new settings)")
	}
	document, err := s.readInput(file)
	if err != nil {
		return err
	}
	if !json.Valid(document) {
		return usageError("%s is not JSON", file)
	}
	header, err := s.newChangeHeader()
	if err != nil {
		return err
	}
	return s.change(http.MethodPost, "/v1/settings/apply", struct {
		changeHeader
		Document json.RawMessage `json:"document"`
	}{header, document}, nil)
}

func (s *session) get(path string) error {
	type response struct {
		Revision uint64          `json:"revision"`
		Value    json.RawMessage `json:"value"`
	}
	return show(s, "/v1/settings", url.Values{"path": {path}}, func(r *response) error {
		if _, err := fmt.Fprintf(s.env.Stderr, "revision %d\n", r.Revision); err != nil {
			return err
		}
		return s.printJSON(r.Value)
	})
}

// set sends a value that is not valid JSON as a JSON string, so 5s needs no quotes.
func (s *session) set(path, value string) error {
	encoded := json.RawMessage(value)
	if !json.Valid(encoded) {
		quoted, err := json.Marshal(value)
		if err != nil {
			return err
		}
		encoded = quoted
	}
	return s.edit(edit{Op: "set", Path: path, Value: encoded})
}

func (s *session) edit(e edit) error {
	e.Path = strings.Trim(e.Path, "/")
	header, err := s.newChangeHeader()
	if err != nil {
		return err
	}
	return s.change(http.MethodPost, "/v1/settings/edits", struct {
		changeHeader
		Edits []edit `json:"edits"`
	}{header, []edit{e}}, nil)
}

func (s *session) explain(path, dataCentre string) error {
	type response struct {
		Revision   uint64 `json:"revision"`
		DataCentre string `json:"data_centre"`
		Values     []struct {
			Field      string          `json:"field"`
			Value      json.RawMessage `json:"value"`
			Branch     string          `json:"branch"`
			Overridden []string        `json:"overridden"`
		} `json:"values"`
	}
	return show(s, "/v1/settings/explain", url.Values{"path": {path}, "data_centre": {dataCentre}}, func(r *response) error {
		var rows [][]string
		for _, value := range r.Values {
			rows = append(rows, []string{value.Field, strings.Trim(string(value.Value), `"`), value.Branch, strings.Join(value.Overridden, ", ")})
		}
		return s.printTable("FIELD\tVALUE\tFROM\tOVERRIDES", rows)
	})
}
