package forward

import (
	"errors"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Connection describes the connection that carried an attempt. It is zero if there was none.
type Connection struct {
	// Number identifies the connection among all that the Forwarder has opened. The first one has the number 1.
	Number uint64
	// Requests is the number of requests that the connection had carried before.
	Requests int64
}

// assignment is the connection that http.Transport has assigned to an attempt.
type assignment struct {
	Connection
	conn        *countedConn  // nil if there is none, or one of another type
	connected   bool          // there is a connection
	reused      bool          // the connection had carried earlier requests
	sentBefore  int64         // bytes written to the connection before this request
	claimFailed bool          // the connection must not carry this request
	untrusted   bool          // the connection has been idle for too long for this request
	idle        time.Duration // time without a request before this one
	// receivedBefore is the number of bytes read from the connection before this request.
	receivedBefore int64
}

// sentCounter counts the bytes that were written to a connection. Once it is sealed, nothing more may be written.
type sentCounter struct {
	mu     sync.Mutex
	n      int64
	sealed bool
}

var errSealed = errors.New("writes on this connection are blocked: it must not carry further requests")

// begin counts bytes that are about to be written. It returns false, and counts nothing, once the counter is sealed.
func (s *sentCounter) begin(bytes int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sealed {
		return false
	}
	s.n += int64(bytes)
	return true
}

func (s *sentCounter) count() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.n
}

// block blocks all further writes.
func (s *sentCounter) block() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealed = true
}

func (s *sentCounter) blocked() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sealed
}

// seal reports whether more than the given number of bytes was written. If not, it blocks all further writes, because
// http.Transport may report a failure while another goroutine is about to write the request.
func (s *sentCounter) seal(before int64) (sent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.n > before {
		return true
	}
	s.sealed = true
	return false
}

// countedConn counts the bytes written, to distinguish a request that never left this host from one that may have run, and the bytes
// read, to find responses that consist of little but the framing of their chunks.
type countedConn struct {
	net.Conn
	number   uint64       // identifies the connection in this process, from 1
	requests atomic.Int64 // requests that were assigned to the connection
	// ids holds the hashes of the ids that the connection was assigned, at most maxIDsPerConnection. http.Transport assigns a
	// connection to one request at a time, so it needs no lock.
	ids      []uint64
	sent     sentCounter
	idle     idleEntry
	index    *idleIndex   // lists it while it is idle; nil if nothing does
	received atomic.Int64 // bytes read
	head     headLines    // of the response that is read
}

// assign counts a request that is about to be sent, and returns what the connection was before it. The response may echo the id of the
// request.
func (c *countedConn) assign(id string) Connection {
	c.head.restart(maxHeadBytes + len(id))
	return Connection{Number: c.number, Requests: c.requests.Add(1) - 1}
}

// maxIDsPerConnection is the number of requests with an id of the caller that a connection carries before it is replaced. It bounds
// the memory of the ids.
const maxIDsPerConnection = 256

// hashSeed makes the hashes of ids unpredictable to callers.
var hashSeed = maphash.MakeSeed()

// claim reserves an id for one request on the connection. It returns false, and blocks all further writes, if the connection has carried the
// id before or has carried maxIDsPerConnection ids: a copy of the earlier response, which the upstream may still send, could not be told
// from the response to this request. Equal hashes of different ids only replace the connection too early. It also returns false if
// writes are blocked.
func (c *countedConn) claim(id string) bool {
	hash := maphash.String(hashSeed, id)
	if c.sent.blocked() || len(c.ids) >= maxIDsPerConnection || slices.Contains(c.ids, hash) {
		c.sent.block()
		return false
	}
	c.ids = append(c.ids, hash)
	return true
}

// discard closes a connection on which a response was not that to its request. http.Transport would use it again, and each further
// request would get the response to the one before it. Writes are blocked because http.Transport may just be assigning it.
func (c *countedConn) discard() {
	c.sent.block()
	_ = c.Close() // http.Transport reports that the connection has ended
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if c.index != nil {
		c.index.remove(c, true)
	}
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	c.head.scan(p[:n])
	if c.head.tooLong() {
		return 0, errHeadTooLong
	}
	return n, err
}

// Write implements net.Conn. Bytes are counted before they are written, because a failed write may have sent some of them.
func (c *countedConn) Write(p []byte) (int, error) {
	if !c.sent.begin(len(p)) {
		return 0, errSealed
	}
	return c.Conn.Write(p)
}
