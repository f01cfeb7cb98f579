package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"text/tabwriter"
)

// columnGap separates columns of a table.
const columnGap = 2

// table prints rows with a heading.
func (s *session) table(heading string, rows [][]string) error {
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

// show reads an answer and prints it as JSON, or by the given function.
func show[T any](s *session, path string, query url.Values, forPeople func(*T) error) error {
	var raw json.RawMessage
	if err := s.call("GET", path, query, nil, &raw); err != nil {
		return err
	}
	if s.flags.asJSON {
		return s.printJSON(raw)
	}
	answer := new(T)
	if err := decodeAnswer(raw, answer); err != nil {
		return err
	}
	return forPeople(answer)
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
