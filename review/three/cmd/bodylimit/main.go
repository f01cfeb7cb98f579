// Command bodylimit shows whether kept connections of callers get the limits of the configuration that is in force.
//
// Callers hold connections that are idle for less than four fifths of the idle timeout. Meanwhile the operator raises the largest body.
// Long after the change must be in force, each caller sends a booking on its connection that only the new configuration allows.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/platform/platformtest"
	"github.com/bronzeyard/bronzeyard/review/three/harness"
)

const (
	callersPerHost = 20
	smallBody      = 2 << 10
	smallLimit     = 64 << 10
	largeBody      = 100 << 10
	largeLimit     = 256 << 10
	// idleTime is the time between the two requests on a connection. The idle timeout of the configuration is 15 s.
	idleTime = 9 * time.Second
	// changeAfter is the time between the first request and the change of the configuration, which must be in force config_apply_ms
	// (2 s) after its acknowledgement.
	changeAfter = 2 * time.Second
	timeout     = 5 * time.Second
	key         = "key-of-the-nursery"
	hostname    = "desk.example"
)

const configuration = `{"version":"%08x","services":[{"name":"desk"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"nursery","api_keys":["` + key + `"],"priority":0,"rate_per_s":0,"burst":0}],
"hosts":[{"hostname":"` + hostname + `","paths":[
{"name":"book","prefix":"/book/","type":"unsafe","timeout_ms":5000,"target_latency_ms":1500,"priority":1,"service":"desk","max_attempts":2,"public":false}]}]}`

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
	servers := harness.NewServers(store)
	defer servers.Close()
	zones := []string{"mv-north", "mv-mill", "mv-hall"}
	for i, zone := range zones {
		if err := servers.Add(fmt.Sprintf("i-desk-%d", i+1), "desk", zone, 20, 20*time.Millisecond); err != nil {
			return 2, err
		}
	}
	go servers.Run()
	limit := smallLimit
	if !trouble {
		limit = largeLimit
	}
	configure := func(version, limit int) {
		store.Put("op", "config", fmt.Appendf(nil, configuration, version, limit))
		record.Note("the store has acknowledged version %d with bodies of at most %d bytes", version, limit)
	}
	configure(1, limit)
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
	time.Sleep(3 * time.Second) // the hosts know each other
	callers := &harness.Callers{Names: names, Record: record}
	call := func(size int) harness.Call {
		return harness.Call{
			Method: "POST", Path: "/book/tree", Hostname: hostname, Key: key, Body: bytes.Repeat([]byte("b"), size), Timeout: timeout,
		}
	}
	var kept []*harness.Conn
	for _, h := range fleet.Hosts {
		for range callersPerHost {
			conn, err := callers.Dial(h)
			if err != nil {
				return 2, err
			}
			kept = append(kept, conn)
		}
	}
	each(kept, func(c *harness.Conn) { c.Do(call(smallBody)) })
	time.Sleep(changeAfter)
	if trouble {
		configure(2, largeLimit)
	}
	time.Sleep(idleTime - changeAfter)
	before := len(callers.Results())
	each(kept, func(c *harness.Conn) { c.Do(call(largeBody)) })
	onKept := callers.Results()[before:]
	for _, h := range fleet.Hosts { // the change is in force: new connections show it
		for range callersPerHost {
			conn, err := callers.Dial(h)
			if err != nil {
				return 2, err
			}
			conn.Do(call(largeBody))
			conn.Close()
		}
	}
	onNew := callers.Results()[before+len(onKept):]
	all := callers.Results()
	refused := count(all)
	allowed := 5 + len(all)/500
	record.Note("on kept connections %d of %d proper requests were ended with a 4xx of the host, on new ones %d of %d",
		count(onKept), len(onKept), count(onNew), len(onNew))
	record.Note("all requests: %d; ended with a 4xx of the host although proper and allowed: %d; the rule allows %d", len(all), refused, allowed)
	for _, r := range servers.Runs() {
		record.At(r.ArrivedAt, "run       %s by %s, %d bytes", r.ID, r.Upstream, len(r.Body))
	}
	if len(all) < 4*callersPerHost*len(zones)/2 {
		return 2, fmt.Errorf("only %d requests ended", len(all))
	}
	if refused > allowed {
		record.Note("DENIED is broken")
		return 1, nil
	}
	record.Note("DENIED holds")
	return 0, nil
}

func each(conns []*harness.Conn, do func(*harness.Conn)) {
	var running sync.WaitGroup
	for _, c := range conns {
		running.Go(func() { do(c) })
	}
	running.Wait()
}

// count returns the number of results with a 3xx or 4xx other than 408, 421 and 429. The servers never answer with one.
func count(results []harness.Result) (n int) {
	for _, r := range results {
		if r.Status >= 300 && r.Status < 500 && r.Status != 408 && r.Status != 421 && r.Status != 429 {
			n++
		}
	}
	return n
}
