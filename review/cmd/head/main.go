// Command head plays backends whose answers have no length, and requesters that send HEAD requests and others behind them.
package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/review/stage"
)

const (
	hosts      = 2
	requesters = 5 // at each host
	// From warmUp on, for the time of faulty, the faulty backends send a share of their answers without a length.
	warmUp = 4 * time.Second
	faulty = 5 * time.Second
	after  = 2 * time.Second
	// faultyBackends of the twelve backends are faulty, unframedAnswers of their answers have no length.
	faultyBackends  = 6
	unframedAnswers = 0.05

	work      = 60 * time.Millisecond
	timeLimit = 4 * time.Second
	// watch is how long a requester reads on after an answer that closes its connection.
	watch = time.Second
)

func main() { stage.Play(play) }

func play(s *stage.Scene) (stage.Verdict, error) {
	if err := s.StartStore(); err != nil {
		return stage.Verdict{}, err
	}
	s.Store.Configure(1, stage.Hostname, stage.Tenant, stage.Key, 5000, 5000, []stage.Route{
		{Name: "look", Prefix: "/look/", Service: "logbook", Kind: "safe", TimeoutMs: 4000},
	})
	var mu sync.Mutex
	began := time.Now().Add(time.Hour)
	unframed := func(*http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		since := time.Since(began)
		return s.Trouble && since >= warmUp && since < warmUp+faulty && rand.Float64() < unframedAnswers
	}
	for i := range 12 {
		b := &stage.Backend{
			ID: fmt.Sprintf("i-look-%02d", i), Service: "logbook", Zone: [...]string{"north", "south"}[i%2], Slots: 24, Work: work,
		}
		if i < faultyBackends {
			b.Unframed = unframed
		}
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
	mu.Lock()
	began = time.Now()
	mu.Unlock()
	end := time.Now().Add(warmUp + faulty + after)
	var total tally
	var group sync.WaitGroup
	for _, host := range s.Hosts {
		for range requesters {
			group.Go(func() {
				for time.Now().Before(end) {
					total.add(converse(s, host, end))
				}
			})
		}
	}
	group.Wait()
	return stage.Verdict{Rule: "MIXED", Broken: total.unasked > 0, Text: fmt.Sprintf(
		"%d successes on connections with no request waiting, behind %d answers that close the connection; %d answers, %d errors",
		total.unasked, total.closing, total.answers, total.errors)}, nil
}

// tally counts what requesters have seen.
type tally struct {
	mu sync.Mutex
	// unasked counts successes that came behind an answer that closes the connection.
	answers, errors, closing, unasked int
}

func (t *tally) add(other *tally) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers += other.answers
	t.errors += other.errors
	t.closing += other.closing
	t.unasked += other.unasked
}

// converse sends groups of a HEAD request and two GET requests on one connection, until an answer closes it. What was sent
// behind that answer counts as not read, and the requester waits for nothing more on the connection.
func converse(s *stage.Scene, host *stage.Host, end time.Time) *tally {
	seen := &tally{}
	conn, err := net.DialTimeout("tcp", host.Front, time.Second)
	if err != nil {
		seen.errors++
		return seen
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for time.Now().Before(end) {
		methods := []string{"HEAD", "GET", "GET"}
		ids := make([]string, len(methods))
		var text []byte
		for i, method := range methods {
			ids[i] = stage.NewID()
			text = append(text, stage.RequestText(method, "/look/today", ids[i], timeLimit, "")...)
		}
		if _, err := conn.Write(text); err != nil {
			seen.errors++
			return seen
		}
		for i, method := range methods {
			_ = conn.SetReadDeadline(time.Now().Add(timeLimit + time.Second))
			answer := stage.ReadAnswer(reader, method)
			if answer.Err != nil {
				seen.errors++
				return seen
			}
			seen.answers++
			if answer.Header.Get("Connection") == "close" {
				seen.closing++
				s.Printf("%s: the answer %d to %s %s closes the connection; %v count as not read", host.Name, answer.Status, method, ids[i], ids[i+1:])
				watchClosed(s, host, conn, reader, methods[i+1:], seen)
				return seen
			}
		}
	}
	return seen
}

// watchClosed reads what comes behind an answer that closes the connection.
func watchClosed(s *stage.Scene, host *stage.Host, conn net.Conn, reader *bufio.Reader, behind []string, seen *tally) {
	for _, method := range behind {
		_ = conn.SetReadDeadline(time.Now().Add(watch))
		answer := stage.ReadAnswer(reader, method)
		if answer.Err != nil {
			s.Printf("%s: then the connection ends or is silent: %v", host.Name, answer.Err)
			return
		}
		if answer.Status/100 == 2 {
			seen.unasked++
			s.Printf("%s: then a success %d comes on that connection, for %s", host.Name, answer.Status, answer.ID)
		}
	}
}
