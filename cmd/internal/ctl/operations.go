package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/integrii/flaggy"
)

func (c *Commands) attachOperations(parser *flaggy.Parser) {
	names := []string{"operator", "path", "since", "until", "before", "limit"}
	descriptions := []string{
		"only changes by this operator", "only changes at, below or above this path", "only changes since this time in RFC 3339",
		"only changes until this time in RFC 3339", "only revisions before this one", "number of changes (default 100)",
	}
	values := make([]string, len(names))
	audit := c.add(parser, "audit", "list who changed what, the newest first", func(s *session) error {
		query := url.Values{}
		for i, value := range values {
			if value != "" {
				query.Set(names[i], value)
			}
		}
		return s.audit(query)
	})
	for i := range names {
		audit.String(&values[i], "", names[i], descriptions[i])
	}
	c.add(parser, "status", "show the state of the host and its settings", (*session).status)
	c.add(parser, "drain", "let the host leave the fleet without cutting requests", (*session).drain)
	var host string
	hosts := group(parser, "host", "declare a lost host as ended")
	ended := c.add(hosts, "ended", "state that the process of a host has ended for good; a wrong statement can let two "+
		"hosts own the same operation", func(s *session) error { return s.declareEnded(host) })
	ended.AddPositionalValue(&host, "HOST", 1, true, "id of the host")
}

func (s *session) declareEnded(host string) error {
	var response struct {
		Host  string `json:"host"`
		Ended bool   `json:"ended"`
	}
	if err := s.call(http.MethodPost, "/v1/hosts/"+url.PathEscape(host)+"/ended", nil, struct{}{}, &response); err != nil {
		return err
	}
	if s.flags.asJSON {
		return s.printJSON(response)
	}
	_, err := fmt.Fprintf(s.env.Stdout, "host %s is taken as ended\n", response.Host)
	return err
}

func (s *session) audit(query url.Values) error {
	type response struct {
		Entries []struct {
			Revision uint64    `json:"revision"`
			Operator string    `json:"operator"`
			Time     time.Time `json:"time"`
			Effects  []struct {
				Path string          `json:"path"`
				Old  json.RawMessage `json:"old"`
				New  json.RawMessage `json:"new"`
			} `json:"effects"`
		} `json:"entries"`
		Next uint64 `json:"next"`
	}
	return show(s, "/v1/audit", query, func(r *response) error {
		var rows [][]string
		for _, entry := range r.Entries {
			for _, effect := range entry.Effects {
				rows = append(rows, []string{
					strconv.FormatUint(entry.Revision, 10), entry.Time.UTC().Format(time.RFC3339), entry.Operator, effect.Path,
					firstNonEmpty(string(effect.Old), "-"), firstNonEmpty(string(effect.New), "-"),
				})
			}
		}
		if err := s.printTable("REVISION\tTIME\tOPERATOR\tPATH\tOLD\tNEW", rows); err != nil || r.Next == 0 {
			return err
		}
		_, err := fmt.Fprintf(s.env.Stderr, "older changes: --before %d\n", r.Next)
		return err
	})
}

func (s *session) status() error {
	return show(s, "/v1/status", nil, func(raw *json.RawMessage) error { return s.printJSON(*raw) })
}

func (s *session) drain() error {
	var response struct {
		Draining bool `json:"draining"`
	}
	if len(s.hosts) > 1 {
		return usageError("drain needs exactly one host in --admin")
	}
	if err := s.call(http.MethodPost, "/v1/drain", nil, struct{}{}, &response); err != nil {
		return err
	}
	if s.flags.asJSON {
		return s.printJSON(response)
	}
	_, err := fmt.Fprintln(s.env.Stdout, "the host is leaving")
	return err
}
