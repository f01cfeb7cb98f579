package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

const (
	// defaultMaxRequestBytes is the limit of the body size if the policy sets none.
	defaultMaxRequestBytes = 1 << 20
	// initialBodyBuffer is the initial size in bytes of the buffer for a body. The buffer doubles as the body arrives, so
	// that a caller that sends slowly occupies little more memory than it has sent.
	initialBodyBuffer = 4 << 10
)

var (
	errBufferBudgetEmpty = errors.New("the buffer budget of the host is exhausted")
	errBodyTooLong       = errors.New("the body is longer than the route allows")
)

// readBody attaches the caller's body to the request. A body of at most maxBuffered bytes is buffered completely. A longer
// body is streamed. If mustBuffer is true, maxBuffered must be the size limit of the route, so that a longer body is rejected.
func (x *exchange) readBody(maxBuffered int64, mustBuffer bool) *errkind.Error {
	limit := x.policy.MaxRequestBytes
	if limit <= 0 {
		limit = defaultMaxRequestBytes
	}
	if x.r.ContentLength > limit {
		return errkind.New(errkind.RequestTooLarge, errBodyTooLong)
	}
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	x.r.Body = http.MaxBytesReader(x.w, x.r.Body, limit)
	if x.r.ContentLength > maxBuffered && !mustBuffer {
		x.streamBody(nil)
		return nil
	}
	control := http.NewResponseController(x.w)
	// This fails only for response writers that are not from net/http, which have no connection.
	_ = control.SetReadDeadline(x.deadline)
	buffer, complete, err := x.bufferBody(min(maxBuffered, limit))
	if err != nil {
		return err // the read deadline stays set, because net/http still reads the rest of the body
	}
	_ = control.SetReadDeadline(time.Time{})
	if !complete {
		x.streamBody(buffer)
		return nil
	}
	x.bodyRead = true
	x.request.BufferBody(buffer, x.r.Trailer, x.keys)
	return nil
}

// bufferBody reads up to maxBuffered bytes and reports whether the body ended within them.
func (x *exchange) bufferBody(maxBuffered int64) ([]byte, bool, *errkind.Error) {
	buffer, err := x.growBuffer(nil, min(maxBuffered, initialBodyBuffer))
	if err != nil {
		return nil, false, err
	}
	for {
		if len(buffer) == cap(buffer) {
			if int64(len(buffer)) > maxBuffered {
				return buffer, false, nil
			}
			if buffer, err = x.growBuffer(buffer, min(maxBuffered, 2*int64(len(buffer)))); err != nil {
				return nil, false, err
			}
		}
		n, readErr := x.r.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if readErr == io.EOF {
			return buffer, true, nil
		}
		if readErr != nil {
			return nil, false, bodyError(readErr)
		}
	}
}

// growBuffer copies the buffer to a new one of size+1 bytes and reserves the difference in the buffer budget. The extra
// byte shows whether a body of exactly size bytes has ended.
func (x *exchange) growBuffer(buffer []byte, size int64) ([]byte, *errkind.Error) {
	additional := size + 1 - int64(cap(buffer))
	if !x.h.options.Forwarder.Budget().Reserve(additional) {
		return nil, &errkind.Error{Kind: errkind.Overloaded, RetryAfter: time.Second, Cause: errBufferBudgetEmpty}
	}
	x.reservedBytes += additional
	return append(make([]byte, 0, size+1), buffer...), nil
}

// releaseBuffer releases the request's reservation in the buffer budget.
func (x *exchange) releaseBuffer() {
	x.h.options.Forwarder.Budget().Release(x.reservedBytes)
	x.reservedBytes = 0
}

// bodyError maps an error from reading the caller's body to an error kind. Nothing has been sent to an upstream yet.
func bodyError(err error) *errkind.Error {
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return errkind.New(errkind.RequestTooLarge, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.New(errkind.DeadlineNotRun, err)
	default:
		return errkind.New(errkind.RequestMalformed, err)
	}
}

// streamBody makes the request send prefix, which has been read already, and then the rest of the body as it arrives.
func (x *exchange) streamBody(prefix []byte) {
	x.body = &streamedBody{reader: x.r.Body}
	if len(prefix) > 0 {
		x.body.reader = io.MultiReader(bytes.NewReader(prefix), x.r.Body)
	}
	x.request.StreamBody(x.r, x.body, x.keys)
	// Without full duplex, net/http reads the rest of the body before it sends the response. The call fails only for
	// response writers that are not from net/http, which do not need it.
	_ = http.NewResponseController(x.w).EnableFullDuplex()
}

// streamedBody records whether the caller's body was read to its end.
type streamedBody struct {
	reader io.Reader
	ended  atomic.Bool
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// stopStream makes further reads of the caller's body fail after the request has ended. net/http aborts a Read that is
// blocked when the handler returns. However, a transport that still sends the body may start another Read right after
// that, and net/http would wait for it.
func (x *exchange) stopStream() {
	if x.body == nil || x.body.ended.Load() {
		return
	}
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Unix(1, 0))
}

// maxUnreadBody is the largest unread body in bytes that net/http is left to read after a rejection.
const maxUnreadBody = 64 << 10

// closeIfUnread announces the close of the caller's connection if part of the request may still be unread when the
// response begins. Otherwise net/http would wait for the rest before it responds, or parse it as the next request.
func (x *exchange) closeIfUnread() {
	unread := x.body != nil && !x.body.ended.Load()
	if x.body == nil && !x.bodyRead {
		unread = x.r.ContentLength < 0 || x.r.ContentLength > maxUnreadBody
	}
	if unread {
		x.w.Header().Set("Connection", "close")
	}
}
