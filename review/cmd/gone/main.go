// Command gone plays requesters that send safe requests behind a booking and leave before they are answered.
package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/review/stage"
)

const (
	hosts = 2
	// connections is the number of requesters at each host.
	connections = 3
	// behind is the number of safe requests that each requester sends behind its booking.
	behind = 20
	// leaveAfter is the time after which a requester leaves.
	leaveAfter = 300 * time.Millisecond
	// reached is the time after the close from which no more than a few requests may reach a backend.
	reached = 500 * time.Millisecond
	// few bounds "more than a few requests".
	few = 10

	bookingWork, lookWork = 1500 * time.Millisecond, 600 * time.Millisecond
	timeLimit             = 8 * time.Second
)

func main() { stage.Play(play) }

func play(s *stage.Scene) (stage.Verdict, error) {
	if err := s.StartStore(); err != nil {
		return stage.Verdict{}, err
	}
	s.Store.Configure(1, stage.Hostname, stage.Tenant, stage.Key, 1000, 1000, []stage.Route{
		{Name: "book", Prefix: "/book/", Service: "intake", Kind: "unsafe", TimeoutMs: 8000},
		{Name: "look", Prefix: "/look/", Service: "logbook", Kind: "safe", TimeoutMs: 8000},
	})
	var backends []*stage.Backend
	for i := range 12 {
		zone := [...]string{"north", "south"}[i%2]
		backends = append(backends,
			&stage.Backend{ID: fmt.Sprintf("i-look-%02d", i), Service: "logbook", Zone: zone, Slots: 12, Work: lookWork},
			&stage.Backend{ID: fmt.Sprintf("i-book-%02d", i), Service: "intake", Zone: zone, Slots: 12, Work: bookingWork})
	}
	for _, b := range backends {
		if err := b.Start(s.Store); err != nil {
			return stage.Verdict{}, err
		}
	}
	if err := s.StartHosts(hosts); err != nil {
		return stage.Verdict{}, err
	}
	if err := s.AwaitReady(); err != nil {
		return stage.Verdict{}, err
	}
	time.Sleep(4 * time.Second) // all machines have been in touch for stable_ms

	closed := make(map[string]time.Time) // by request id
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, host := range s.Hosts {
		for range connections {
			group.Go(func() {
				ids, at, err := requester(s, host.Front)
				mu.Lock()
				defer mu.Unlock()
				for _, id := range ids {
					closed[id] = at
				}
				if err != nil {
					s.Printf("requester at %s: %v", host.Name, err)
				}
			})
		}
	}
	group.Wait()
	time.Sleep(5 * time.Second)

	late, ranLate := 0, 0
	for _, b := range backends {
		for _, run := range b.Runs() {
			after := run.ArrivedAt.Sub(closed[run.ID])
			s.Printf("%s %s reached %s at %.3f s, %.3f s after its requester closed; ran %t, ended at %.3f s, dropped %t",
				run.Method, run.ID, run.Backend, s.Since(run.ArrivedAt), after.Seconds(), run.Ran, s.Since(run.EndedAt), run.Dropped)
			if after > reached {
				late++
				if run.Ran {
					ranLate++
				}
			}
		}
	}
	return stage.Verdict{Rule: "GONE", Broken: late > few, Text: fmt.Sprintf(
		"%d requests reached a backend more than 0.5 s after their requester had closed its connection (%d of them ran there); %d requesters closed",
		late, ranLate, hosts*connections)}, nil
}

// requester sends a booking and safe requests behind it. Then it leaves, or without the disruption reads all answers.
func requester(s *stage.Scene, address string) (ids []string, closedAt time.Time, err error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, time.Now(), err
	}
	var text []byte
	for i := range behind + 1 {
		id := stage.NewID()
		ids = append(ids, id)
		if i == 0 {
			text = append(text, stage.RequestText("POST", "/book/tree", id, timeLimit, "a maple")...)
		} else {
			text = append(text, stage.RequestText("GET", "/look/today", id, timeLimit, "")...)
		}
	}
	if _, err := conn.Write(text); err != nil {
		return ids, time.Now(), err
	}
	s.Printf("sent POST %s and %d GET behind it: %v", ids[0], behind, ids[1:])
	if s.Trouble {
		time.Sleep(leaveAfter)
		closedAt = time.Now()
		err := conn.Close()
		s.Printf("the requester of POST %s has closed its connection", ids[0])
		return ids, closedAt, err
	}
	reader := bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	for i, id := range ids {
		method := "GET"
		if i == 0 {
			method = "POST"
		}
		answer := stage.ReadAnswer(reader, method)
		s.Printf("answer to %s: status %d id %s err %v", id, answer.Status, answer.ID, answer.Err)
		if answer.Err != nil {
			break
		}
	}
	closedAt = time.Now()
	return ids, closedAt, conn.Close()
}
