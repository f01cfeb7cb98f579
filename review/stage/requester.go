package stage

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Names that the scenes use in their configurations.
const (
	Hostname = "desk.example"
	Tenant   = "nursery"
	Key      = "k-4f1c09d2ab77e3"
)

// NewID returns the id of a request.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// RequestText returns a request as a requester sends it.
func RequestText(method, path, id string, timeout time.Duration, body string) []byte {
	var text bytes.Buffer
	_, _ = fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n",
		method, path, Hostname, id, wire.Timeout, timeout.Milliseconds(), Key)
	if method == http.MethodPost {
		_, _ = fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	return text.Bytes()
}

// Answer is what a requester has received.
type Answer struct {
	Status              int
	ID, Signature, Body string
	Header              http.Header
	Err                 error
}

// Requester holds one connection and sends requests on it one after the other.
type Requester struct {
	Address string
	conn    net.Conn
	reader  *bufio.Reader
}

// Do sends one request and reads its answer. It opens a connection if none is open.
func (r *Requester) Do(method, path, id string, timeout time.Duration, body string) Answer {
	if r.conn == nil {
		conn, err := net.DialTimeout("tcp", r.Address, time.Second)
		if err != nil {
			return Answer{Err: err}
		}
		r.conn, r.reader = conn, bufio.NewReader(conn)
	}
	_ = r.conn.SetDeadline(time.Now().Add(timeout + 2*time.Second))
	if _, err := r.conn.Write(RequestText(method, path, id, timeout, body)); err != nil {
		r.Close()
		return Answer{Err: err}
	}
	answer := ReadAnswer(r.reader, method)
	if answer.Err != nil || answer.Header.Get("Connection") == "close" {
		r.Close()
	}
	return answer
}

// Close closes the connection.
func (r *Requester) Close() {
	if r.conn != nil {
		_ = r.conn.Close()
	}
	r.conn = nil
}

// ReadAnswer reads one answer from a connection.
func ReadAnswer(reader *bufio.Reader, method string) Answer {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(response.Body)
	header := response.Header
	if response.Close {
		header.Set("Connection", "close")
	}
	return Answer{
		Status: response.StatusCode, ID: header.Get("X-Request-Id"), Signature: header.Get(wire.Signature),
		Body: string(body), Header: header, Err: err,
	}
}
