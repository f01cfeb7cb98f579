// Command backoff checks that a backend that has asked a machine for no requests with 503 and Retry-After gets none, also if it was
// started again shortly before under the id that it had.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/review/two/stage"
)

const (
	rounds     = 8
	roundTime  = 8 * time.Second
	downTime   = 100 * time.Millisecond
	firstWave  = 250 * time.Millisecond
	waveGap    = 800 * time.Millisecond
	waves      = 6
	waveSize   = 14
	fullFor    = 5 * time.Second
	workTime   = 250 * time.Millisecond
	queueTime  = 50 * time.Millisecond
	retryAfter = 4 * time.Second
	timeLimit  = 3 * time.Second
	// graceTime and allowed are those of the rule.
	graceTime = 500 * time.Millisecond
	allowed   = 2
)

func main() { os.Exit(run()) }

func run() int {
	root, directory := os.Args[1], os.Args[2]
	record, err := stage.NewRecord(directory)
	if err != nil {
		fmt.Println(err)
		return stage.ExitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	ctx := context.Background()
	s, err := stage.New(ctx, filepath.Clean(root), record, []string{"mv-north", "mv-mill", "mv-hall"})
	if err != nil {
		fmt.Println(err)
		return stage.ExitNotRun
	}
	defer s.Close()
	s.CloseOnSignal()
	s.Configure(1, []stage.Route{{Name: "book", Prefix: "/book/", Type: "unsafe", Service: "intake", TimeoutMs: 3000, TargetMs: 2000, Attempts: 2}}, 0, 0)
	var mu sync.Mutex
	var fullUntil time.Time
	sound := func(*stage.Backend, time.Duration) (time.Duration, bool, time.Duration) { return workTime, false, 0 }
	full := func(*stage.Backend, time.Duration) (time.Duration, bool, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if time.Now().Before(fullUntil) {
			return queueTime, true, retryAfter
		}
		return workTime, false, 0
	}
	var restarted *stage.Backend
	for i, zone := range []string{"mv-north", "mv-mill", "mv-hall", "mv-north", "mv-mill", "mv-hall", "mv-north", "mv-mill"} {
		behave := sound
		if i == 0 {
			behave = full
		}
		b, err := stage.NewBackend(s, fmt.Sprintf("i-%08x", i+1), "intake", zone, 6, behave)
		if err != nil {
			fmt.Println(err)
			return stage.ExitNotRun
		}
		if i == 0 {
			restarted = b
		}
	}
	if err := s.Start(); err != nil {
		fmt.Println(err)
		return stage.ExitNotRun
	}
	time.Sleep(3 * time.Second)
	caller := stage.NewCaller(record)
	for round := range rounds {
		begin := time.Now()
		record.Add("round %d", round)
		for restarted.Running() > 0 {
			time.Sleep(time.Millisecond)
		}
		mu.Lock()
		fullUntil = begin.Add(fullFor)
		mu.Unlock()
		if trouble {
			restarted.Crash()
			time.Sleep(downTime)
			if err := restarted.Start(); err != nil {
				fmt.Println(err)
				return stage.ExitNotRun
			}
		}
		for wave := range waves {
			time.Sleep(time.Until(begin.Add(firstWave + time.Duration(wave)*waveGap)))
			var sent sync.WaitGroup
			for _, host := range s.Hosts {
				for range waveSize {
					sent.Go(func() { caller.Send(ctx, host, "POST", "/book/trees", "one tree", timeLimit) })
				}
			}
			sent.Wait()
		}
		time.Sleep(time.Until(begin.Add(roundTime + time.Duration(round)*130*time.Millisecond)))
	}
	counts := caller.Count()
	fmt.Println("answers by status:", counts)
	record.Add("answers by status: %v", counts)
	if counts[200] == 0 {
		return stage.ExitNotRun
	}
	return check(restarted, caller, record)
}

// check counts, after each rejection, the requests of the same machine to the same process of the backend.
func check(b *stage.Backend, caller *stage.Caller, record *stage.Record) int {
	result, broken := stage.ExitHeld, make(map[string]bool)
	arrivals := b.Arrivals()
	for _, rejected := range arrivals {
		if rejected.RetryAfter == 0 {
			continue
		}
		host := caller.HostOf(rejected.ID)
		from, to := rejected.AnsweredAt.Add(graceTime), rejected.AnsweredAt.Add(rejected.RetryAfter)
		n := 0
		for _, a := range arrivals {
			if a.Born == rejected.Born && caller.HostOf(a.ID) == host && a.At.After(from) && a.At.Before(to) {
				n++
			}
		}
		if key := fmt.Sprint(host, rejected.Born); n > allowed && !broken[key] {
			broken[key] = true
			result = stage.ExitBroken
			text := fmt.Sprintf("BUDGET: %s sent %d requests to %s (born %d) while it had asked for none with the answer to %s", host, n, b.ID, rejected.Born, rejected.ID)
			fmt.Println(text)
			record.Add("%s", text)
		}
	}
	return result
}
