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
	"github.com/bronzeyard/bronzeyard/traffic/httphead"
)

// Response is the response of an upstream.
type Response struct {
	Status int
	// Header contains no hop-by-hop headers.
	Header http.Header
	// Body is the complete body if Complete is true, else the part of it that was buffered.
	Body []byte
	// Complete is true if the response was read to its proper end and Body holds all of its body.
	Complete bool
	// ContentLength is the declared length of the body in bytes, -1 if none was declared.
	ContentLength int64
	// TimeToFirstByte is the time from the start of the attempt to the header of the response.
	TimeToFirstByte time.Duration
	// Reused is true if the connection had carried earlier requests.
	Reused bool
	// Connection is the connection that carried the attempt.
	Connection Connection
	// MemoryWait is the time for which the response waited for memory of this host.
	MemoryWait time.Duration

	attempt      *attempt
	target       Target
	idempotent   bool
	httpResponse *http.Response // its trailers are complete once the body has been read to its end
	reserved     int64          // bytes reserved from the budget
	reachedEOF   bool           // the body was read to its proper end
	closed       bool
}

// newResponse validates the header of a response and reads a short body to its end.
func (a *attempt) newResponse(httpResponse *http.Response, q *Request, target Target) (*Response, error) {
	used := a.connection()
	response := &Response{
		Status: httpResponse.StatusCode, Header: httpResponse.Header, ContentLength: httpResponse.ContentLength,
		TimeToFirstByte: time.Since(a.start), Reused: used.reused, Connection: used.Connection,
		attempt: a, httpResponse: httpResponse, target: target, idempotent: q.Idempotent,
	}
	if err := a.validate(httpResponse, q); err != nil {
		failure := a.attemptError(err)
		if used.conn != nil {
			used.conn.discard()
		}
		response.Close()
		return nil, failure
	}
	RemoveHopByHop(response.Header)
	for _, name := range reservedHeaders {
		delete(response.Header, name)
	}
	if err := response.bufferWhole(); err != nil {
		failure := a.attemptError(err)
		response.Close()
		return nil, failure
	}
	return response, nil
}

// reservedHeaders are set by this host in its own responses to callers. They are removed from the responses of upstreams, so
// that no upstream can imitate a statement of the host.
var reservedHeaders = []string{errkind.RequestIDHeader, errkind.OutcomeHeader, errkind.KindHeader, "Idempotency-Replayed"}

// validate returns an error if the response cannot be a complete response to this request.
func (a *attempt) validate(response *http.Response, q *Request) error {
	echoName := a.forwarder.options.HeaderNames.RequestID
	echoes := response.Header[echoName]
	if len(echoes) == 0 && a.forwarder.options.RequireRequestID {
		return errRequestIDMissing
	}
	for _, echo := range echoes {
		if echo != a.attemptID {
			return errRequestIDMismatch
		}
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		return errSwitchingProtocols
	}
	if err := httphead.CheckResponse(response); err != nil {
		return err
	}
	if containsStatusLine(response, echoName) {
		return errRunTogether
	}
	if conn := a.connection().conn; conn != nil {
		if err := conn.head.check(); err != nil {
			return err
		}
	}
	if fields, _ := headerSize(response.Header); fields > maxHeaderFields {
		return errHeaderFields
	}
	if !a.forwarder.options.AllowCloseDelimited && q.Method != http.MethodHead && response.ContentLength < 0 &&
		len(response.TransferEncoding) == 0 && response.Body != http.NoBody {
		return errCloseDelimited
	}
	return nil
}

const (
	// maxHeaderFields is the largest number of fields in the header of a response. A header of 64 KiB can have 16,000 of them, which take
	// over 1 MiB of memory.
	maxHeaderFields = 500
	// fieldOverheadBytes is the approximate memory of a field beside its name and its value: an entry of the map and two strings.
	fieldOverheadBytes = 112
)

// headerSize returns the number of fields of a header and the approximate memory that they take, in bytes.
func headerSize(header http.Header) (fields int, size int64) {
	for name, values := range header {
		for _, value := range values {
			fields++
			size += int64(len(name) + len(value) + fieldOverheadBytes)
		}
	}
	return fields, size
}

// bufferWhole reserves memory for the header, which stays in memory as long as the body, and buffers the body.
func (r *Response) bufferWhole() error {
	if r.attempt.forwarder.options.AwaitMemory {
		_, size := headerSize(r.Header)
		if _, err := r.reserve(size); err != nil {
			return err
		}
	}
	return r.buffer()
}

// buffer reads the body to its end if it is short enough and the budget allows it. Otherwise the rest remains to be streamed. With
// Options.AwaitMemory it returns errNoMemory if the budget does not allow it.
func (r *Response) buffer() error {
	if r.httpResponse.Body == http.NoBody {
		r.Complete, r.reachedEOF = true, true
		return nil
	}
	limit := min(r.attempt.forwarder.options.MaxBufferedResponse, r.attempt.forwarder.options.Budget.largest())
	if r.ContentLength > limit {
		return nil
	}
	first := int64(copyBufferSize)
	if r.ContentLength >= 0 {
		first = r.ContentLength
	}
	if ok, err := r.reserve(first); !ok {
		return err
	}
	buffer := make([]byte, 0, first)
	reader := r.attempt.newReader(r.httpResponse.Body)
	defer reader.stop()
	for {
		if len(buffer) == cap(buffer) && r.ContentLength < 0 {
			if int64(len(buffer)) >= limit {
				r.Body = buffer
				return nil
			}
			if ok, err := r.reserve(int64(len(buffer))); !ok {
				r.Body = buffer
				return err
			}
			buffer = append(make([]byte, 0, 2*len(buffer)), buffer...)
		}
		n, err := reader.Read(spare(buffer))
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF { //nolint:errorlint // a wrapped EOF does not mark the proper end of a body
			r.Body, r.Complete, r.reachedEOF = r.shrink(buffer), true, true
			return r.httpResponse.Body.Close()
		}
		if err != nil {
			return err
		}
	}
}

// shrink returns the body in a buffer of its size if much of the buffer is unused, and returns the rest to the budget. Otherwise a body of
// unknown length holds up to twice its size until its caller has read it, and later responses wait for memory and keep their upstreams
// busy.
func (r *Response) shrink(buffer []byte) []byte {
	unused := int64(cap(buffer) - len(buffer))
	if unused < minShrink {
		return buffer
	}
	r.reserved -= unused
	r.attempt.forwarder.options.Budget.releaseFor(r.target.Address, unused)
	return append(make([]byte, 0, len(buffer)), buffer...)
}

// spare returns the unused capacity of the buffer, or a separate byte if the buffer is full: net/http reports the end of a body
// of known length only on a further Read.
func spare(buffer []byte) []byte {
	if len(buffer) == cap(buffer) {
		return make([]byte, 1)
	}
	return buffer[len(buffer):cap(buffer)]
}

// copyBufferSize is the initial size of the buffer for a response of unknown length, and the size of the buffers with which
// streams are copied, in bytes.
const copyBufferSize = 8 << 10

// minShrink is the unused part of a buffer from which its body is copied to a smaller one, in bytes.
const minShrink = 32 << 10

// maxUnknownLength is the size, in bytes, from which a body of unknown length that finds no memory counts as a failure of its upstream:
// the body may have no end.
const maxUnknownLength = 1 << 20

// reserve reserves n further bytes. With Options.AwaitMemory it waits for them until the attempt ends, because a request at which an
// upstream works must not be abandoned for a moment without memory; it then returns errNoMemory if there were none. A body without an
// end would keep its buffer while it waits, so the attempt ends at once if the request can be repeated.
func (r *Response) reserve(n int64) (bool, error) {
	budget := r.attempt.forwarder.options.Budget
	ok := budget.reserveFor(r.target.Address, n)
	if !ok && r.attempt.forwarder.options.AwaitMemory {
		suspect := r.reserved >= maxUnknownLength // a body of known length is reserved at once
		if !suspect || !r.idempotent {
			ok = r.awaitMemory(n)
		}
		switch {
		case ok:
		case suspect:
			return false, errUnknownLength
		default:
			return false, errNoMemory
		}
	}
	if ok {
		r.reserved += n
	}
	return ok, nil
}

// awaitMemory waits until n bytes are reserved. It returns false if the attempt ends first.
func (r *Response) awaitMemory(n int64) bool {
	if r.MemoryWait == 0 && r.target.AwaitsMemory != nil {
		r.target.AwaitsMemory()
	}
	begin := time.Now()
	ok := r.attempt.forwarder.options.Budget.awaitFor(r.attempt.ctx, r.target.Address, n)
	r.MemoryWait += time.Since(begin)
	return ok
}

// Close ends the attempt. The connection is reused only if the response was read to its proper end.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	if !r.reachedEOF {
		r.attempt.cancel(errAttemptEnded)
	}
	_ = r.httpResponse.Body.Close()
	r.attempt.cancel(errAttemptEnded)
	r.attempt.forwarder.options.Budget.releaseFor(r.target.Address, r.reserved)
}

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// WriteTo forwards the response to the caller. An *AttemptError reports a failure of the upstream; any other error is a failed
// write to the caller. After an error the caller may have received a part of the response, and its connection must be closed
// without a proper end of the response.
func (r *Response) WriteTo(w http.ResponseWriter) error {
	r.writeHeader(w)
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	if err := r.copyStream(w); err != nil {
		return err
	}
	declared := w.Header()["Trailer"]
	for name, values := range r.httpResponse.Trailer {
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
	if len(r.httpResponse.Trailer) > 0 {
		delete(header, "Content-Length") // trailers require chunked transfer encoding
		for name := range r.httpResponse.Trailer {
			header.Add("Trailer", name)
		}
	}
	w.WriteHeader(r.Status)
}

// Drain reads and discards the rest of the response, to find out whether it ends properly.
func (r *Response) Drain() error {
	return r.copyStream(nil)
}

// copyStream copies the rest of the stream to w and flushes after each read, so that slow streams reach the caller without
// delay. If w is nil, it discards the rest.
func (r *Response) copyStream(w http.ResponseWriter) error {
	if r.reachedEOF {
		return nil
	}
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	reader := r.attempt.newReader(r.httpResponse.Body)
	defer reader.stop()
	for {
		n, err := reader.Read(buffer[:])
		if n > 0 && w != nil {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
			if flushErr := http.NewResponseController(w).Flush(); flushErr != nil && !errors.Is(flushErr, http.ErrNotSupported) {
				return flushErr
			}
		}
		if err == io.EOF { //nolint:errorlint // a wrapped EOF does not mark the proper end of a body
			r.reachedEOF = true
			return nil
		}
		if err != nil {
			return r.attempt.attemptError(err)
		}
	}
}

// Trailer returns the trailers. They are complete once the response was read to its end.
func (r *Response) Trailer() http.Header { return r.httpResponse.Trailer }

const (
	// maxFramingFactor limits the bytes on the connection for each byte of a body. Chunks of one byte take six, and parsing them takes
	// so much processor time that an upstream that sends them without an end takes it from all others.
	maxFramingFactor = 4
	// framingAllowance is the number of bytes on the connection to which maxFramingFactor does not apply: the trailers, and a short body
	// in small chunks.
	framingAllowance = 128 << 10
)

// idleTimeoutReader limits the time of each Read to Options.IdleTimeout, and the bytes on the connection for each byte of the body. The
// time between reads, which the caller takes to accept the data, does not count.
type idleTimeoutReader struct {
	body     io.Reader
	attempt  *attempt
	timer    *time.Timer
	conn     *countedConn // nil if it is of another type
	received int64        // bytes read from the connection before the body
	read     int64        // bytes of the body
}

func (a *attempt) newReader(body io.Reader) *idleTimeoutReader {
	reader := &idleTimeoutReader{body: body, attempt: a, conn: a.connection().conn}
	if reader.conn != nil {
		reader.received = reader.conn.received.Load()
	}
	return reader
}

// checkFraming returns an error if the body takes too many bytes on the connection.
func (r *idleTimeoutReader) checkFraming() error {
	if r.conn != nil && r.conn.received.Load()-r.received > framingAllowance+maxFramingFactor*r.read {
		return errFraming
	}
	return nil
}

// Read implements io.Reader.
func (r *idleTimeoutReader) Read(p []byte) (int, error) {
	idleTimeout := r.attempt.forwarder.options.IdleTimeout
	if r.timer == nil {
		cancel := r.attempt.cancel
		r.timer = time.AfterFunc(idleTimeout, func() { cancel(errIdleTimeout) })
	} else {
		r.timer.Reset(idleTimeout)
	}
	n, err := r.body.Read(p)
	r.timer.Stop()
	r.read += int64(n)
	if err == nil {
		return n, r.checkFraming()
	}
	if cause := context.Cause(r.attempt.ctx); err != io.EOF && cause != nil {
		return n, cause
	}
	return n, err
}

func (r *idleTimeoutReader) stop() {
	if r.timer != nil {
		r.timer.Stop()
	}
}
