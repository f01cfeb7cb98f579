// Command foreignentry shows whether entries of another writer leave the back ends of a service in use.
//
// Another writer adds entries of a service that the configuration doesn't have. They name the addresses of half of the back ends, and
// were started later. The back ends are sound all the while, and their own entries stay as they are.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/platform/platformtest"
	"github.com/bronzeyard/bronzeyard/review/three/harness"
)

const (
	backEnds = 6
	// foreign is the number of back ends whose addresses the entries of the other writer name.
	foreign = 3
	slots   = 4
	// processing is the time that a request takes: a back end serves 40 a second, all of them 240, half of them 120.
	processing = 100 * time.Millisecond
	// perHost is the rate of requests at each of three hosts: 162 a second.
	perHost = 54.0

	floorShare = 0.7
	window     = 2 * time.Second
	stable     = 3 * time.Second
	timeout    = 2 * time.Second
	calmTime   = 8 * time.Second
	loadTime   = 20 * time.Second
	hostname   = "desk.example"
)

const configuration = `{"version":"00000001","services":[{"name":"desk"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[],
"hosts":[{"hostname":"` + hostname + `","paths":[
{"name":"book","prefix":"/book/","type":"unsafe","timeout_ms":2000,"target_latency_ms":1000,"priority":1,"service":"desk","max_attempts":2,"public":true}]}]}`

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
	zones := []string{"mv-north", "mv-mill", "mv-hall"}
	var servers []*harness.BackEnd
	var entries []entry
	born := time.Now().Add(-time.Hour)
	for i := range backEnds {
		u, err := harness.NewBackEnd(names, fmt.Sprintf("i-desk-%d", i+1), slots, processing)
		if err != nil {
			return 2, err
		}
		defer u.Close()
		servers = append(servers, u)
		entries = append(entries, entry{u.ID, fields{
			Service: "desk", Address: u.Address(), Zone: zones[i%len(zones)], Version: "v1", Capacity: slots, State: "ready",
			Born: born.Add(time.Duration(i) * time.Second).UnixMilli(),
		}})
	}
	writer := newWriter(store)
	defer writer.close()
	for _, e := range entries {
		writer.add(e)
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
	time.Sleep(2 * stable) // the hosts know each other, and the back ends count as sound
	callers := &harness.Callers{Names: names, Record: record}
	call := harness.Call{Method: "POST", Path: "/book/tree", Hostname: hostname, Body: []byte("tree"), Timeout: timeout}
	begin := time.Now()
	record.Note("callers send %g requests a second to each host", perHost)
	var loads sync.WaitGroup
	for _, h := range fleet.Hosts {
		loads.Go(func() { callers.Load(h, call, perHost, begin.Add(loadTime)) })
	}
	time.Sleep(calmTime)
	if trouble {
		for i := range foreign {
			e := entries[i]
			e.id, e.Service, e.Born = fmt.Sprintf("i-desk-admin-%d", i+1), "desk-admin", time.Now().UnixMilli()
			writer.add(e)
			record.Note("another writer adds the entry %s of the unnamed service %s with the address of %s", e.id, e.Service, entries[i].id)
		}
	}
	loads.Wait()
	results := callers.Results()
	arrivals := make([][]time.Time, len(servers))
	for i, u := range servers {
		for _, r := range u.Runs() {
			record.At(r.ArrivedAt, "run       %s by %s", r.ID, u.ID)
			arrivals[i] = append(arrivals[i], r.ArrivedAt)
		}
	}
	broken := 0
	for from := begin; from.Before(begin.Add(loadTime - window)); from = from.Add(window / 4) {
		used, sent, served := 0, 0, 0
		for _, at := range arrivals {
			for _, t := range at {
				if !t.Before(from) && t.Before(from.Add(window)) {
					used++
					break
				}
			}
		}
		for _, r := range results {
			if !r.SentAt.Before(from) && r.SentAt.Before(from.Add(window)) {
				sent++
				if r.Status == 200 {
					served++
				}
			}
		}
		unserved := float64(sent-served) / float64(max(sent, 1))
		note := ""
		if used > 0 && float64(used) < floorShare*backEnds && unserved > 0.1 && unserved < 0.5 {
			broken++
			note = ": below the floor"
		}
		record.Note("2 s from %.3f s on: %d of %d back ends get requests, %d of %d requests aren't served%s",
			record.Since(from).Seconds(), used, backEnds, sent-served, sent, note)
	}
	if len(results) < int(perHost*float64(len(zones))*loadTime.Seconds()*0.9) {
		return 2, fmt.Errorf("only %d requests ended", len(results))
	}
	if broken > 0 {
		record.Note("FLOOR is broken in %d windows", broken)
		return 1, nil
	}
	record.Note("FLOOR holds")
	return 0, nil
}

// entry is a registration in the store.
type entry struct {
	id string
	fields
}

type fields struct {
	Service      string `json:"service"`
	Address      string `json:"address"`
	Zone         string `json:"zone"`
	Version      string `json:"version"`
	Capacity     int    `json:"capacity"`
	State        string `json:"state"`
	WarmupLeftMs int    `json:"warmup_left_ms"`
	Sequence     int    `json:"sequence"`
	Born         int64  `json:"born"`
}

// writer writes each entry again with each heartbeat.
type writer struct {
	store *platformtest.Store
	stop  chan struct{}

	mu      sync.Mutex
	entries []entry
}

const heartbeatInterval = 1500 * time.Millisecond

func newWriter(store *platformtest.Store) *writer {
	w := &writer{store: store, stop: make(chan struct{})}
	go func() {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-w.stop:
				return
			case <-ticker.C:
				w.mu.Lock()
				for i := range w.entries {
					w.write(&w.entries[i])
				}
				w.mu.Unlock()
			}
		}
	}()
	return w
}

func (w *writer) close() { close(w.stop) }

func (w *writer) add(e entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write(&e)
	w.entries = append(w.entries, e)
}

func (w *writer) write(e *entry) {
	e.Sequence++
	value, err := json.Marshal(e.fields)
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	w.store.Put("servers", e.id, value)
}
