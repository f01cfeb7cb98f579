package cleanclose

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose Read returns io.EOF only after a proper close. One goroutine at a time may read, and one may write.
type Conn struct {
	net.Conn

	writing sync.Mutex // held during a write
	lost    error      // error of the connection that a write has reported
}

// errPeerEnded is the error of a write that was stopped because the other side sends nothing more.
var errPeerEnded = errors.New("the connection ended while the request was written")

// New returns a Conn over a connection without deadlines for writes.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// DialContext returns a function that opens a Conn with a dialer, for http.Transport.
func DialContext(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(conn), nil
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF { //nolint:errorlint // net.Conn returns it unwrapped
		if lost := c.lostInWrite(); lost != nil {
			return n, fmt.Errorf("connection was not closed properly: %w", lost)
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	switch {
	case isConnectionError(err):
		c.lost = err
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = errPeerEnded
	}
	return n, err
}

// lostInWrite returns the error of the connection that a write has reported, or nil. It is called after a read has reported the end of the
// connection. A write that still runs may have taken the error from the kernel already, so it is stopped; nothing depends on it, because no
// further response arrives. A later write can't take an error that the read has not reported.
func (c *Conn) lostInWrite() error {
	if !c.writing.TryLock() {
		_ = c.SetWriteDeadline(time.Now()) // fails only on a closed connection, whose writes have ended
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.lost
}

// isConnectionError reports whether the error of a write is one of the connection, such as a reset. EPIPE is not: after it, either the
// other side had closed properly before the reset, or a read has reported the reset.
func isConnectionError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}
