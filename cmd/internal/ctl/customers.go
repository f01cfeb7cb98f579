package ctl

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"net/url"
	"strconv"

	"github.com/integrii/flaggy"
)

const keyBytes = 32

// limits holds the flags for a customer's limits and is also their JSON form in requests.
type limits struct {
	Rate   string  `json:"rate"`
	Burst  float64 `json:"burst"`
	Weight float64 `json:"weight,omitempty"`
}

func (l *limits) addFlags(to *flaggy.Subcommand) {
	to.String(&l.Rate, "", "rate", "rate with its unit, such as 20/s or 90/min")
	to.Float64(&l.Burst, "", "burst", "burst in requests, at least 1")
	to.Float64(&l.Weight, "", "weight", "share when a service is short of slots (default 1)")
}

func (c *Commands) attachCustomers(parser *flaggy.Parser) {
	var id, key string
	var limit limits
	customer := group(parser, "customer", "create customers, list them, set their limits")
	create := c.add(customer, "create", "create a customer", func(s *session) error {
		return s.setLimits(http.MethodPost, "/v1/customers/"+url.PathEscape(id), &limit)
	})
	create.AddPositionalValue(&id, "CUSTOMER", 1, true, "id of the customer")
	limit.addFlags(create)
	change := c.add(customer, "limit", "set a customer's rate, burst and weight", func(s *session) error {
		return s.setLimits(http.MethodPut, "/v1/customers/"+url.PathEscape(id)+"/limits", &limit)
	})
	change.AddPositionalValue(&id, "CUSTOMER", 1, true, "id of the customer")
	limit.addFlags(change)
	c.add(customer, "list", "list customers", (*session).listCustomers)

	keys := group(parser, "key", "grant, withdraw and list the keys of a customer")
	grant := c.add(keys, "grant", "grant a key and show it once", func(s *session) error { return s.grantKey(id, key) })
	grant.AddPositionalValue(&id, "CUSTOMER", 1, true, "id of the customer")
	grant.AddPositionalValue(&key, "KEY-ID", 2, false, "id of the key (default: a new one)")
	withdraw := c.add(keys, "withdraw", "withdraw a key", func(s *session) error { return s.withdrawKey(id, key) })
	withdraw.AddPositionalValue(&id, "CUSTOMER", 1, true, "id of the customer")
	withdraw.AddPositionalValue(&key, "KEY-ID", 2, true, "id of the key")
	list := c.add(keys, "list", "list the keys of a customer", func(s *session) error { return s.listKeys(id) })
	list.AddPositionalValue(&id, "CUSTOMER", 1, true, "id of the customer")
}

func (s *session) setLimits(method, path string, limit *limits) error {
	if limit.Rate == "" || limit.Burst == 0 {
		return usageError("--rate and --burst are required")
	}
	header, err := s.newChangeHeader()
	if err != nil {
		return err
	}
	return s.change(method, path, struct {
		changeHeader
		*limits
	}{header, limit}, nil)
}

func (s *session) listCustomers() error {
	type response struct {
		Revision  uint64 `json:"revision"`
		Customers []struct {
			ID     string  `json:"id"`
			Rate   string  `json:"rate"`
			Burst  float64 `json:"burst"`
			Weight float64 `json:"weight"`
			Keys   int     `json:"keys"`
		} `json:"customers"`
		Next string `json:"next,omitempty"`
	}
	var all response
	for after := ""; ; {
		var page response
		query := url.Values{"after": {after}, "limit": {"1000"}}
		if err := s.call(http.MethodGet, "/v1/customers", query, nil, &page); err != nil {
			return err
		}
		all.Revision, all.Customers = page.Revision, append(all.Customers, page.Customers...)
		if after = page.Next; after == "" {
			break
		}
	}
	if s.flags.asJSON {
		return s.printJSON(all)
	}
	var rows [][]string
	for _, customer := range all.Customers {
		rows = append(rows, []string{
			customer.ID, customer.Rate, formatNumber(customer.Burst), formatNumber(customer.Weight), strconv.Itoa(customer.Keys),
		})
	}
	return s.printTable("CUSTOMER\tRATE\tBURST\tWEIGHT\tKEYS", rows)
}

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func keyPath(customer, key string) string {
	return "/v1/customers/" + url.PathEscape(customer) + "/keys/" + url.PathEscape(key)
}

// grantKey generates the key in this process. The key itself is therefore never sent over the network, and a retried request
// grants the same key.
func (s *session) grantKey(customer, id string) error {
	if id == "" {
		id = newID("k-")
	}
	var secret [keyBytes]byte
	_, _ = rand.Read(secret[:]) // crypto/rand.Read never returns an error
	key := base64.RawURLEncoding.EncodeToString(secret[:])
	hash := sha256.Sum256([]byte(key))
	header, err := s.newChangeHeader()
	if err != nil {
		return err
	}
	return s.change(http.MethodPost, keyPath(customer, id), struct {
		changeHeader
		Hash string `json:"hash"`
	}{header, "sha256:" + hex.EncodeToString(hash[:])}, func(result *changeResult) { result.KeyID, result.Key = id, key })
}

func (s *session) withdrawKey(customer, id string) error {
	header, err := s.newChangeHeader()
	if err != nil {
		return err
	}
	return s.change(http.MethodPost, keyPath(customer, id)+"/withdraw", header, nil)
}

func (s *session) listKeys(customer string) error {
	type response struct {
		Keys []struct{ ID, Granted, Withdrawn string } `json:"keys"`
	}
	return show(s, "/v1/customers/"+url.PathEscape(customer)+"/keys", nil, func(r *response) error {
		var rows [][]string
		for _, key := range r.Keys {
			rows = append(rows, []string{key.ID, firstNonEmpty(key.Granted, "-"), firstNonEmpty(key.Withdrawn, "-")})
		}
		return s.printTable("KEY\tGRANTED\tWITHDRAWN", rows)
	})
}
