package ctl

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/integrii/flaggy"
)

// upstream holds the flags for an upstream and is also its JSON form in the settings.
type upstream struct {
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Leaving     bool   `json:"leaving,omitempty"`
}

func (c *Commands) attachServices(parser *flaggy.Parser) {
	var name, id, file string
	var spec upstream
	var back bool
	service := group(parser, "service", "list services, create or replace one")
	c.add(service, "list", "list services and their upstreams", (*session).listServices)
	set := c.add(service, "set", "create or replace a service by a document", func(s *session) error { return s.setService(name, file) })
	set.AddPositionalValue(&name, "SERVICE", 1, true, "name of the service")
	set.AddPositionalValue(&file, "FILE", 2, true, "JSON document, - for standard input")

	upstreams := group(parser, "upstream", "set and remove upstreams, mark them as leaving")
	setUpstream := c.add(upstreams, "set", "create or replace an upstream", func(s *session) error {
		return s.setSpec(upstreamPath(name, id), spec)
	})
	setUpstream.String(&spec.Address, "", "address", "IP number and port")
	setUpstream.String(&spec.DataCentre, "", "data-centre", "data centre of the upstream")
	setUpstream.Int(&spec.Slots, "", "slots", "requests that it serves at once")
	setUpstream.Int(&spec.Connections, "", "connections", "connections that it accepts from the whole fleet")
	remove := c.add(upstreams, "remove", "remove an upstream", func(s *session) error { return s.removeUpstream(name, id) })
	leaving := c.add(upstreams, "leaving", "give an upstream no new work", func(s *session) error {
		return s.setLeaving(upstreamPath(name, id), !back)
	})
	leaving.Bool(&back, "", "back", "take it back into use")
	for _, subcommand := range []*flaggy.Subcommand{setUpstream, remove, leaving} {
		subcommand.AddPositionalValue(&name, "SERVICE", 1, true, "name of the service")
		subcommand.AddPositionalValue(&id, "UPSTREAM", 2, true, "id of the upstream")
	}
}

func upstreamPath(service, id string) string {
	return "/v1/services/" + url.PathEscape(service) + "/upstreams/" + url.PathEscape(id)
}

func (s *session) listServices() error {
	type service struct {
		Name      string `json:"name"`
		Routes    int    `json:"routes"`
		Upstreams []struct {
			ID string `json:"id"`
			upstream
		} `json:"upstreams"`
	}
	var all, page struct {
		Revision uint64    `json:"revision"`
		Services []service `json:"services"`
		Next     string    `json:"next,omitempty"`
	}
	for after := ""; ; {
		page.Services, page.Next = nil, ""
		if err := s.call(http.MethodGet, "/v1/services", url.Values{"after": {after}, "limit": {"1000"}}, nil, &page); err != nil {
			return err
		}
		all.Revision, all.Services = page.Revision, append(all.Services, page.Services...)
		if after = page.Next; after == "" {
			break
		}
	}
	if s.flags.asJSON {
		return s.printJSON(all)
	}
	var rows [][]string
	for _, svc := range all.Services {
		rows = append(rows, []string{svc.Name, strconv.Itoa(svc.Routes) + " routes", "", "", "", ""})
		for _, u := range svc.Upstreams {
			state := "in use"
			if u.Leaving {
				state = "leaving"
			}
			rows = append(rows, []string{"  " + u.ID, u.Address, u.DataCentre, strconv.Itoa(u.Slots), strconv.Itoa(u.Connections), state})
		}
	}
	return s.printTable("SERVICE\tADDRESS\tDATA CENTRE\tSLOTS\tCONNECTIONS\tSTATE", rows)
}

func (s *session) setService(name, file string) error {
	document, err := s.readInput(file)
	if err != nil {
		return err
	}
	if !json.Valid(document) {
		return usageError("%s is not JSON", file)
	}
	return s.setSpec("/v1/services/"+url.PathEscape(name), json.RawMessage(document))
}

func (s *session) setSpec(path string, spec any) error {
	header, err := s.newChangeHeader()
	if err != nil {
		return err
	}
	return s.change(http.MethodPut, path, struct {
		changeHeader
		Spec any `json:"spec"`
	}{header, spec}, nil)
}

func (s *session) removeUpstream(service, id string) error {
	header, err := s.newChangeHeader()
	if err != nil {
		return err
	}
	return s.change(http.MethodDelete, upstreamPath(service, id), header, nil)
}

func (s *session) setLeaving(path string, leaving bool) error {
	header, err := s.newChangeHeader()
	if err != nil {
		return err
	}
	return s.change(http.MethodPut, path+"/leaving", struct {
		changeHeader
		Leaving bool `json:"leaving"`
	}{header, leaving}, nil)
}
