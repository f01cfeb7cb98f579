package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"text/tabwriter"
)

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

// printTable prints a heading and rows in aligned columns. The heading separates its columns by tabs.
func (s *session) printTable(heading string, rows [][]string) error {
	writer := tabwriter.NewWriter(s.env.Stdout, 0, 0, columnGap, ' ', 0)
	if _, err := fmt.Fprintln(writer, heading); err != nil {
		return err
	}
	for _, row := range rows {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return writer.Flush()
}

func (s *session) printJSON(value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, encoded, "", "  "); err != nil {
		return err
	}
	_, err = fmt.Fprintln(s.env.Stdout, indented.String())
	return err
}

// show sends a GET request and prints the response: as JSON if --json is given, otherwise with printText.
func show[T any](s *session, path string, query url.Values, printText func(*T) error) error {
	var raw json.RawMessage
	if err := s.call("GET", path, query, nil, &raw); err != nil {
		return err
	}
	if s.flags.asJSON {
		return s.printJSON(raw)
	}
	response := new(T)
	if err := decodeResponse(raw, response); err != nil {
		return err
	}
	return printText(response)
}

func (s *session) printChange(result *changeResult) error {
	if s.flags.asJSON {
		return s.printJSON(result)
	}
	text := fmt.Sprintf("revision %d", result.Revision)
	if result.Unchanged {
		text = fmt.Sprintf("nothing to change at revision %d", result.Revision)
	}
	if result.InForce {
		text += ", in force"
	}
	if _, err := fmt.Fprintln(s.env.Stdout, text); err != nil {
		return err
	}
	if result.Key == "" {
		return nil
	}
	_, err := fmt.Fprintf(s.env.Stdout, "key id %s\nkey    %s (it is shown this once)\n", result.KeyID, result.Key)
	return err
}
