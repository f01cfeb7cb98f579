package stage

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Answer is the response to a request.
type Answer struct {
	ID, Host   string
	SentAt, At time.Time
	// Status is 0 if there was no response; Err tells why.
	Status int
	Err    error
	Body   string
	Signed bool
}

// Caller sends requests to hosts and keeps the connections.
type Caller struct {
	record *Record
	client *http.Client

	mu      sync.Mutex
	next    int
	answers map[string]*Answer
}

// NewCaller returns a caller.
func NewCaller(record *Record) *Caller {
	dialer := &net.Dialer{Timeout: time.Second}
	return &Caller{record: record, answers: make(map[string]*Answer), client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 100, IdleConnTimeout: 12 * time.Second, DisableCompression: true,
	}}}
}

// Send sends a request to a host and waits for the response.
func (c *Caller) Send(ctx context.Context, host *Host, method, path, body string, limit time.Duration) *Answer {
	c.mu.Lock()
	c.next++
	a := &Answer{ID: fmt.Sprintf("r%08x", c.next), Host: host.Name, SentAt: time.Now()}
	c.answers[a.ID] = a
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, limit+500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+host.Front()+path, strings.NewReader(body))
	if err != nil {
		a.Err = err
		return a
	}
	request.Host = Hostname
	request.Header.Set("X-Request-Id", a.ID)
	request.Header.Set(wire.Timeout, strconv.FormatInt(limit.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+Key)
	response, err := c.client.Do(request)
	status, text, signed := 0, "", false
	if err == nil {
		data, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		status, text, signed, err = response.StatusCode, string(data), response.Header.Get(wire.Signature) != "", readErr
	}
	c.mu.Lock()
	a.Status, a.Body, a.Signed, a.Err, a.At = status, text, signed, err, time.Now()
	c.mu.Unlock()
	c.record.AddAt(a.SentAt, "request %s %s %s sent to %s, answered %d after %.3f s, error %v", a.ID, method, path, host.Name, status,
		a.At.Sub(a.SentAt).Seconds(), err)
	return a
}

// HostOf returns the name of the host to which a request was sent.
func (c *Caller) HostOf(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.answers[id]; a != nil {
		return a.Host
	}
	return ""
}

// Count returns the number of requests by status.
func (c *Caller) Count() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[int]int)
	for _, a := range c.answers {
		counts[a.Status]++
	}
	return counts
}

// SentTimes returns the times at which the requests were sent.
func (c *Caller) SentTimes() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	times := make([]time.Time, 0, len(c.answers))
	for _, a := range c.answers {
		times = append(times, a.SentAt)
	}
	return times
}
