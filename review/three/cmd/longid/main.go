// Command longid shows whether a back end gets the ids that the callers have sent.
//
// Callers send bookings with ids of their own, well within the largest header. The ids are longer than usual: each names the trace, the
// span and the booking.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/bronzeyard/bronzeyard/platform/platformtest"
	"github.com/bronzeyard/bronzeyard/review/three/harness"
)

const (
	bookings = 30
	timeout  = 5 * time.Second
	hostname = "desk.example"
	// shortID and longID are the lengths of the ids without and with the disruption. The largest header has 16,384 bytes.
	shortID, longID = 100, 160
)

const configuration = `{"version":"00000001","services":[{"name":"desk"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[],
"hosts":[{"hostname":"` + hostname + `","paths":[
{"name":"book","prefix":"/book/","type":"unsafe","timeout_ms":5000,"target_latency_ms":1500,"priority":1,"service":"desk","max_attempts":2,"public":true}]}]}`

func main() {
	code, err := run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("cannot run:", err)
		code = 2
	}
	os.Exit(code)
}

func run(namesPath, recordPath string, trouble bool) (int, error) {
	names, err := harness.LoadNames(namesPath)
	if err != nil {
		return 2, err
	}
	record, err := harness.NewRecord(recordPath)
	if err != nil {
		return 2, err
	}
	defer record.Close()
	store, err := platformtest.NewStore(context.Background())
	if err != nil {
		return 2, err
	}
	defer store.Close()
	zones := []string{"mv-north", "mv-mill"}
	var servers []*harness.BackEnd
	for i, zone := range zones {
		u, err := harness.NewBackEnd(names, fmt.Sprintf("i-desk-%d", i+1), 6, 20*time.Millisecond)
		if err != nil {
			return 2, err
		}
		defer u.Close()
		servers = append(servers, u)
		value, err := json.Marshal(map[string]any{
			"service": "desk", "address": u.Address(), "zone": zone, "version": "v1", "capacity": 6, "state": "ready",
			"warmup_left_ms": 0, "sequence": 1, "born": time.Now().Add(-time.Hour).UnixMilli(),
		})
		if err != nil {
			return 2, err
		}
		store.Put("servers", u.ID, value)
	}
	store.Put("op", "config", []byte(configuration))
	fleet, err := harness.NewFleet(names, record)
	if err != nil {
		return 2, err
	}
	defer fleet.Close()
	for i, zone := range zones {
		fleet.Add(fmt.Sprintf("edge-%s-1", zone), zone, "merrimack", i+1, 1, store.Address())
	}
	for _, h := range fleet.Hosts {
		if err := fleet.Start(h); err != nil {
			return 2, err
		}
	}
	for _, h := range fleet.Hosts {
		if err := h.AwaitReady(10 * time.Second); err != nil {
			return 2, err
		}
	}
	time.Sleep(3 * time.Second)
	length := shortID
	if trouble {
		length = longID
	}
	callers := &harness.Callers{Names: names, Record: record}
	for _, h := range fleet.Hosts {
		conn, err := callers.Dial(h)
		if err != nil {
			return 2, err
		}
		for i := range bookings {
			conn.Do(harness.Call{
				Method: "POST", Path: "/book/tree", Hostname: hostname, Body: []byte("tree"), Timeout: timeout, ID: idOf(h.Name, i, length),
			})
		}
		conn.Close()
	}
	sent, served, otherID := make(map[string]bool), 0, 0
	for _, r := range callers.Results() {
		sent[r.ID] = true
		if r.Status == 200 {
			served++
			if r.Header.Get(names.RequestID) != r.ID {
				otherID++
			}
		}
	}
	run, unasked := 0, 0
	for _, u := range servers {
		for _, r := range u.Runs() {
			record.At(r.ArrivedAt, "run       %s by %s", r.ID, u.ID)
			run++
			if !sent[r.ID] {
				unasked++
			}
		}
	}
	record.Note("%d bookings sent, %d served, %d of these with another id in the answer", len(sent), served, otherID)
	record.Note("back ends have run %d requests, %d of them with an id that no caller has sent; the rule allows 0", run, unasked)
	if served < len(sent) {
		return 2, fmt.Errorf("only %d of %d bookings were served", served, len(sent))
	}
	if unasked > 0 {
		record.Note("UNASKED is broken")
		return 1, nil
	}
	record.Note("UNASKED holds")
	return 0, nil
}

// idOf returns an id with a length: a trace, a span and a booking.
func idOf(host string, i, length int) string {
	id := fmt.Sprintf("trace-%032x.span-%016x.booking-%s-%06d.", i*7919+1, i*104729+1, host, i)
	return id + strings.Repeat("0", length-len(id))
}
