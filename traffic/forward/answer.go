package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

// Answer is the answer of an upstream.
type Response struct {
	Status int
	// Header is free of hop-by-hop headers.
	Header http.Header
	// Body is the whole body if Whole.
	Body []byte
	// Whole is true if the answer was read to its proper end and Body holds all of it.
	Complete bool
	// Length is the stated length of the body in bytes, -1 if none was stated.
	ContentLength int64
	// FirstByte is the time from the start of the attempt to the header.
	TimeToFirstByte time.Duration
	// Reused is true if the connection had carried earlier requests.
	Reused bool

	attempt  *attempt
	response *http.Response // its trailers are complete when the body has ended
	reserved int64          // bytes of the budget
	ended    bool           // the body was read to its proper end
	closed   bool
}

// answer checks an answer's header and reads a short answer to its end.
func (a *attempt) answer(response *http.Response, q *Request) (*Response, error) {
	answer := &Response{
		Status: response.StatusCode, Header: response.Header, ContentLength: response.ContentLength,
		TimeToFirstByte: time.Since(a.start), Reused: a.reused.Load(), attempt: a, response: response,
	}
	if err := a.check(response, q); err != nil {
		failure := a.failure(err)
		answer.Close()
		return nil, failure
	}
	RemoveHopByHop(answer.Header)
	for _, name := range ownHeaders {
		delete(answer.Header, name)
	}
	if err := answer.buffer(); err != nil {
		failure := a.failure(err)
		answer.Close()
		return nil, failure
	}
	return answer, nil
}

// ownHeaders are headers by which this host speaks to its callers. An upstream must not speak in its name.
var ownHeaders = []string{errkind.RequestIDHeader, errkind.OutcomeHeader, errkind.KindHeader, "Idempotency-Replayed"}

// check refuses answers that cannot be the whole answer of this request.
func (a *attempt) check(response *http.Response, q *Request) error {
	for _, echo := range response.Header[a.forwarder.options.HeaderNames.RequestID] {
		if echo != a.attemptID {
			return errEcho
		}
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		return errSwitching
	}
	if !a.forwarder.options.AllowCloseDelimited && q.Method != http.MethodHead && response.ContentLength < 0 &&
		len(response.TransferEncoding) == 0 && response.Body != http.NoBody {
		return errUnbounded
	}
	return nil
}

// buffer reads the body to its end if it is short enough and the budget allows it; else the rest stays in the stream.
func (r *Response) buffer() error {
	if r.response.Body == http.NoBody {
		r.Complete, r.ended = true, true
		return nil
	}
	limit := r.attempt.forwarder.options.MaxBufferedResponse
	if r.ContentLength > limit {
		return nil
	}
	first := int64(readPiece)
	if r.ContentLength >= 0 {
		first = r.ContentLength
	}
	if !r.reserve(first) {
		return nil
	}
	buffer := make([]byte, 0, first)
	reader := &idleReader{body: r.response.Body, attempt: r.attempt}
	defer reader.stop()
	for {
		if len(buffer) == cap(buffer) && r.ContentLength < 0 {
			if int64(len(buffer)) >= limit || !r.reserve(int64(len(buffer))) {
				r.Body = buffer
				return nil
			}
			buffer = append(make([]byte, 0, 2*len(buffer)), buffer...)
		}
		n, err := reader.Read(spare(buffer))
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF { //nolint:errorlint // a wrapped EOF is not the proper end of a body
			r.Body, r.Complete, r.ended = buffer, true, true
			return r.response.Body.Close()
		}
		if err != nil {
			return err
		}
	}
}

// spare returns the free part of the buffer, or a byte of its own if the buffer is full: net/http reports the end of a
// body of known length only to a further Read.
func spare(buffer []byte) []byte {
	if len(buffer) == cap(buffer) {
		return make([]byte, 1)
	}
	return buffer[len(buffer):cap(buffer)]
}

// readPiece is the first buffer of an answer of unknown length, and the piece in which streams are copied, in bytes.
const readPiece = 8 << 10

func (r *Response) reserve(n int64) bool {
	if !r.attempt.forwarder.options.Budget.Reserve(n) {
		return false
	}
	r.reserved += n
	return true
}

// Close ends the attempt. The connection is reused only if the answer was read to its proper end.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	if !r.ended {
		r.attempt.cancel(errEnded)
	}
	_ = r.response.Body.Close()
	r.attempt.cancel(errEnded)
	r.attempt.forwarder.options.Budget.Release(r.reserved)
}

var pieces = sync.Pool{New: func() any { return new([readPiece]byte) }}

// WriteTo passes the answer on to the caller. An error of the upstream is a *AttemptError, other errors are the caller's. If
// an error occurs the caller has got a part of the answer and its connection must be broken.
func (r *Response) WriteTo(w http.ResponseWriter) error {
	r.writeHeader(w)
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	if err := r.copyStream(w); err != nil {
		return err
	}
	declared := w.Header()["Trailer"]
	for name, values := range r.response.Trailer {
		if !slices.Contains(declared, name) {
			name = http.TrailerPrefix + name
		}
		w.Header()[name] = values
	}
	return nil
}

func (r *Response) writeHeader(w http.ResponseWriter) {
	header := w.Header()
	for name, values := range r.Header {
		header[name] = values
	}
	if len(r.response.Trailer) > 0 {
		delete(header, "Content-Length") // trailers need the chunked form
		for name := range r.response.Trailer {
			header.Add("Trailer", name)
		}
	}
	w.WriteHeader(r.Status)
}

// Drain reads the rest of the answer and drops it, to learn whether it ends properly.
func (r *Response) Drain() error {
	return r.copyStream(nil)
}

// copyStream copies the rest of the stream and flushes each piece, so that slow streams reach the caller as they come.
func (r *Response) copyStream(w http.ResponseWriter) error {
	if r.ended {
		return nil
	}
	piece := pieces.Get().(*[readPiece]byte)
	defer pieces.Put(piece)
	reader := &idleReader{body: r.response.Body, attempt: r.attempt}
	defer reader.stop()
	for {
		n, err := reader.Read(piece[:])
		if n > 0 && w != nil {
			if _, writeErr := w.Write(piece[:n]); writeErr != nil {
				return writeErr
			}
			if flushErr := http.NewResponseController(w).Flush(); flushErr != nil && !errors.Is(flushErr, http.ErrNotSupported) {
				return flushErr
			}
		}
		if err == io.EOF { //nolint:errorlint // a wrapped EOF is not the proper end of a body
			r.ended = true
			return nil
		}
		if err != nil {
			return r.attempt.failure(err)
		}
	}
}

// Trailer returns the trailers; they are complete when the answer was read to its end.
func (r *Response) Trailer() http.Header { return r.response.Trailer }

// idleReader bounds the time of each Read. The time that a caller takes to accept a piece does not count.
type idleReader struct {
	body    io.Reader
	attempt *attempt
	timer   *time.Timer
}

// Read implements io.Reader.
func (r *idleReader) Read(p []byte) (int, error) {
	idle := r.attempt.forwarder.options.IdleTimeout
	if r.timer == nil {
		cancel := r.attempt.cancel
		r.timer = time.AfterFunc(idle, func() { cancel(errIdle) })
	} else {
		r.timer.Reset(idle)
	}
	n, err := r.body.Read(p)
	r.timer.Stop()
	if err != nil && err != io.EOF && context.Cause(r.attempt.ctx) != nil {
		return n, context.Cause(r.attempt.ctx)
	}
	return n, err
}

func (r *idleReader) stop() {
	if r.timer != nil {
		r.timer.Stop()
	}
}
