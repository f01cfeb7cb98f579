package forward

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// writeGuard finds out whether a connection was reset although reads report its proper end. The kernel reports a reset once, to the first
// call that finds it. If that is a write of a request, reads report the end of the connection as if the upstream had closed it. Its zero
// value is ready for use.
type writeGuard struct {
	mu   sync.Mutex // held during a write
	lost error      // error of the connection that a write has reported
}

// errUpstreamEnded is the error of a write that was stopped because the upstream sends nothing more.
var errUpstreamEnded = errors.New("the upstream ended the connection while the request was written")

// write writes to the connection and keeps an error of the connection. Only one goroutine may write.
func (g *writeGuard) write(conn net.Conn, p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n, err := conn.Write(p)
	switch {
	case isConnectionError(err):
		g.lost = err
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = errUpstreamEnded
	}
	return n, err
}

// connectionError returns the error that a write has taken from the kernel, or nil. It is called after a read has reported the end of the
// connection. A write that still runs may have taken the error already, so it is stopped; nothing depends on it, because the upstream
// sends no further response. A later write can't take an error that the read has not reported.
func (g *writeGuard) connectionError(conn net.Conn) error {
	if !g.mu.TryLock() {
		_ = conn.SetWriteDeadline(time.Now()) // fails only on a closed connection, whose writes have ended
		g.mu.Lock()
	}
	defer g.mu.Unlock()
	return g.lost
}

// isConnectionError reports whether the error of a write is one of the connection, such as a reset. EPIPE is not: after it, either the
// upstream had closed its side properly before the reset, or a read has reported the reset.
func isConnectionError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}
