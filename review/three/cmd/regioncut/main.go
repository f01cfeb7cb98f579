// Command regioncut shows whether the hosts of two regions form one fleet again after the regions have lost each other for some time: a
// tenant's rate and burst must hold over all hosts.
package main

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/platform/platformtest"
	"github.com/bronzeyard/bronzeyard/review/three/harness"
)

const (
	rate, burst = 100.0, 20.0
	// The rule: more than (rate x window + burst) x (1 + overshoot) + slack in some window.
	window    = 5 * time.Second
	overshoot = 0.1
	slack     = 20.0

	timeout  = 5 * time.Second
	hostname = "desk.example"
	key      = "key-of-the-nursery"

	settleTime = 8 * time.Second
	cutTime    = 25 * time.Second
	// healTime is the time from the end of the cut to the load. All hosts are in touch stable_ms (3 s) after the end of the cut.
	healTime = 20 * time.Second
	loadTime = 15 * time.Second
	// perHost is the rate of the tenant's requests at each host.
	perHost = 60.0
)

const configuration = `{"version":"00000001","services":[{"name":"desk"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"nursery","api_keys":["` + key + `"],"priority":0,"rate_per_s":%g,"burst":%g}],
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
	places := []struct{ zone, region string }{{"mv-north", "merrimack"}, {"lj-a", "ljubljana"}}
	for i := range 6 {
		if err := servers.Add(fmt.Sprintf("i-desk-%d", i+1), "desk", places[i%2].zone, 40, 10*time.Millisecond); err != nil {
			return 2, err
		}
	}
	go servers.Run()
	store.Put("op", "config", fmt.Appendf(nil, configuration, rate, burst))
	fleet, err := harness.NewFleet(names, record)
	if err != nil {
		return 2, err
	}
	defer fleet.Close()
	regions := harness.NewRegions(fleet, store.Address())
	defer regions.Close()
	for i, place := range []int{0, 0, 0, 1, 1} {
		p := places[place]
		h := fleet.Add(fmt.Sprintf("edge-%s-%d", p.zone, i+1), p.zone, p.region, place+1, i+1, "")
		if err := regions.AddHost(h, i+1); err != nil {
			return 2, err
		}
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
	time.Sleep(settleTime)
	for _, h := range fleet.Hosts {
		if heard := lastHeard(fleet.Log(h)); heard != "5" {
			return 2, fmt.Errorf("%s has heard %s hosts before the cut, want 5", h.Name, heard)
		}
	}
	if trouble {
		record.Note("the regions lose each other")
		regions.SetCut(true)
		time.Sleep(cutTime)
		regions.SetCut(false)
		record.Note("the regions reach each other again, after %v", cutTime)
	} else {
		time.Sleep(cutTime)
	}
	time.Sleep(healTime)
	callers := &harness.Callers{Names: names, Record: record}
	call := harness.Call{Method: "POST", Path: "/book/tree", Hostname: hostname, Key: key, Body: []byte("tree"), Timeout: timeout}
	begin := time.Now()
	record.Note("the nursery sends %g requests a second to each host, %v after the end of the cut", perHost, healTime)
	var loads sync.WaitGroup
	for _, h := range fleet.Hosts {
		loads.Go(func() { callers.Load(h, call, perHost, begin.Add(loadTime)) })
	}
	loads.Wait()
	for _, h := range fleet.Hosts {
		record.Note("%s counts %s hosts that it has heard lately", h.Name, lastHeard(fleet.Log(h)))
	}
	results, runs := callers.Results(), servers.Runs()
	most, from := harness.MostInWindow(record, results, runs, key, window)
	allowed := (rate*window.Seconds()+burst)*(1+overshoot) + slack
	record.Note("run by host: %v", harness.RunByHost(results, runs, key, begin.Add(-time.Second)))
	record.Note("most requests of the nursery sent and run within %v: %d, from %.3f s on; the rule allows %g", window, most, from.Seconds(), allowed)
	if float64(most) > allowed {
		record.Note("QUOTA is broken")
		return 1, nil
	}
	record.Note("QUOTA holds")
	return 0, nil
}

var heardPattern = regexp.MustCompile(`"event":"limits_divided","hosts":\d+,"heard":(\d+)`)

// lastHeard returns the number of hosts, with itself, that a host has last logged to have heard lately.
func lastHeard(log string) string {
	found := heardPattern.FindAllStringSubmatch(log, -1)
	if len(found) == 0 {
		return "no"
	}
	return found[len(found)-1][1]
}
