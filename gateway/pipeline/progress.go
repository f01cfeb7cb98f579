package pipeline

import (
	"net"
	"time"
)

const (
	// progressBytes is the size of the parts in which a response is written. A caller must accept each within writeTimeout.
	progressBytes = 32 << 10
	// minWriteRate is the rate, in bytes per second, at which a caller that reads slowly must accept a response beyond writeTimeout.
	// Forty callers at once share a link of 10 Mbit/s at this rate.
	minWriteRate = 32 << 10
	// maxExtraTime bounds the time beyond writeTimeout, because a response of the largest size holds much memory.
	maxExtraTime = 30 * time.Second
)

// progressWriter writes a response to a connection in parts. A caller that makes progress has more time for a large response, because
// large responses to several callers at once take longer than writeTimeout on a slow link. A caller that does not read has
// writeTimeout, because its response holds memory.
type progressWriter struct {
	conn     net.Conn
	deadline time.Time
}

func newProgressWriter(conn net.Conn, bodyBytes int) *progressWriter {
	extra := time.Duration(float64(bodyBytes) / minWriteRate * float64(time.Second))
	return &progressWriter{conn: conn, deadline: time.Now().Add(writeTimeout + min(extra, maxExtraTime))}
}

// Write implements io.Writer.
func (w *progressWriter) Write(p []byte) (written int, err error) {
	for {
		part := p[written:min(len(p), written+progressBytes)]
		deadline := time.Now().Add(writeTimeout)
		if w.deadline.Before(deadline) {
			deadline = w.deadline
		}
		if err := w.conn.SetWriteDeadline(deadline); err != nil {
			return written, err
		}
		n, err := w.conn.Write(part)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}
