package harness

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Result is the result of one request.
type Result struct {
	ID       string
	Host     string
	SentAt   time.Time
	EndedAt  time.Time
	Status   int // 0 without a complete response
	Header   http.Header
	Body     []byte
	Err      error
	Customer string
}

// Call describes a request.
type Call struct {
	Method, Path, Hostname, Key string
	Body                        []byte
	Timeout                     time.Duration
	// ID is the request id. A short one is chosen if it is empty.
	ID string
}

var serial atomic.Int64

// Callers sends requests and records them.
type Callers struct {
	Names  Names
	Record *Record

	mu      sync.Mutex
	results []Result
}

// Results returns the results so far.
func (c *Callers) Results() []Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Result(nil), c.results...)
}

// Conn is a kept connection of a caller to a host.
type Conn struct {
	callers *Callers
	host    string
	conn    net.Conn
	reader  *bufio.Reader
}

// Dial opens a connection.
func (c *Callers) Dial(host *Host) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", host.Front, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{callers: c, host: host.Name, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.conn.Close() }

// Do sends a request with an id of its own and reads the response. It reports whether the connection can be used again.
func (c *Conn) Do(call Call) (Result, bool) {
	names := c.callers.Names
	id := call.ID
	if id == "" {
		id = fmt.Sprintf("r%07d", serial.Add(1))
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", call.Method, call.Path, call.Hostname, names.RequestID, id,
		names.TimeoutMs, call.Timeout.Milliseconds())
	if call.Key != "" {
		fmt.Fprintf(&head, "Authorization: Bearer %s\r\n", call.Key)
	}
	if call.Method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(call.Body))
	}
	head.WriteString("\r\n")
	head.Write(call.Body)
	result := Result{ID: id, Host: c.host, SentAt: time.Now(), Customer: call.Key}
	c.callers.Record.At(result.SentAt, "sent      %s to %s: %s %s, %d bytes, key %q", id, c.host, call.Method, call.Path, len(call.Body), call.Key)
	_ = c.conn.SetDeadline(time.Now().Add(call.Timeout + time.Second))
	reusable := c.exchange(&result, call.Method, head.Bytes())
	result.EndedAt = time.Now()
	if result.Err != nil {
		c.callers.Record.At(result.EndedAt, "no answer %s: %v", id, result.Err)
	} else {
		c.callers.Record.At(result.EndedAt, "answered  %s: %d, %d bytes", id, result.Status, len(result.Body))
	}
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	c.callers.results = append(c.callers.results, result)
	return result, reusable
}

func (c *Conn) exchange(result *Result, method string, message []byte) (reusable bool) {
	_, writeErr := c.conn.Write(message) // a host may answer and close before it has read a whole body
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		if writeErr != nil {
			err = writeErr
		}
		result.Err = err
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		result.Err = err
		return false
	}
	result.Status, result.Header, result.Body = response.StatusCode, response.Header, body
	return !response.Close && writeErr == nil
}

// Load sends calls to a host at a rate, over kept connections, until the end. It returns when all calls have ended.
func (c *Callers) Load(host *Host, call Call, perSecond float64, until time.Time) {
	idle := make(chan *Conn, 1024)
	var running sync.WaitGroup
	interval := time.Duration(float64(time.Second) / perSecond)
	for next := time.Now(); next.Before(until); next = next.Add(interval) {
		time.Sleep(time.Until(next))
		running.Go(func() {
			var conn *Conn
			select {
			case conn = <-idle:
			default:
				var err error
				if conn, err = c.Dial(host); err != nil {
					c.Record.At(time.Now(), "no connection to %s: %v", host.Name, err)
					return
				}
			}
			if _, reusable := conn.Do(call); reusable {
				select {
				case idle <- conn:
					return
				default:
				}
			}
			conn.Close()
		})
	}
	running.Wait()
	for {
		select {
		case conn := <-idle:
			conn.Close()
		default:
			return
		}
	}
}
