package forward

import (
	"io"
	"net/http"
	"net/url"
	"time"
)

// Request is what one attempt sends. Its fields are not changed by an attempt, so that attempts can share it, also at the
// same time, as long as Body is nil or Buffered is used.
type Request struct {
	Method string
	// Host is the Host header.
	Host string
	// Path and RawPath are as in url.URL.
	Path, RawPath string
	RawQuery      string
	// Header is free of keys and of hop-by-hop headers.
	Header http.Header
	// Buffered is the whole body. It can be sent again.
	Buffered []byte
	// Stream is the body of a request that is sent once; nil if Buffered is used.
	Stream io.Reader
	// StreamLength is the length of Stream in bytes, -1 if it is not known.
	StreamLength int64
	// Trailer lists the trailers that follow Stream; the values are read when Stream has ended.
	Trailer http.Header
	// ID is the request id. Each attempt sends it with a suffix of its own.
	ID string
	// Idempotent requests use pooled connections.
	Idempotent bool
	// Pooled requests use pooled connections although they are not idempotent.
	Pooled bool
	// Verbatim requests are sent once by each attempt, with its id unchanged.
	Verbatim bool
	// RequestTarget replaces Path and RawQuery if it is not empty. It begins with a slash.
	RequestTarget string
}

// isReplayedMethod reports whether http.Transport sends requests without a body again by itself when a pooled connection
// breaks.
func isReplayedMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return false
	}
}

// NewRequest takes over a caller's request without its body: keys and hop-by-hop headers are removed and this hop is
// added to Forwarded. keys are all keys that the caller presented.
func NewRequest(r *http.Request, id string, keys []string, idempotent bool) *Request {
	header := r.Header.Clone()
	RemoveHopByHop(header)
	stripHeader(header, keys)
	delete(header, TimeoutHeader)
	delete(header, "X-Request-Id")
	delete(header, "Content-Length")
	appendForwarded(header, r.RemoteAddr, r.Host)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // keeps http.Transport from adding its own
	}
	return &Request{
		Method: r.Method, Host: r.Host, Path: r.URL.Path, RawPath: r.URL.RawPath,
		RawQuery: stripQuery(r.URL.RawQuery, keys), Header: header, ID: id, Idempotent: idempotent,
	}
}

// StreamBody makes the request send body, which reads the body of r, as it arrives. The request can then be sent once
// only.
func (q *Request) StreamBody(r *http.Request, body io.Reader, keys []string) {
	q.StreamLength = r.ContentLength
	q.Stream = body
	if len(r.Trailer) == 0 {
		return
	}
	q.Trailer = make(http.Header, len(r.Trailer))
	for name := range r.Trailer {
		if mayForwardTrailer(name) {
			q.Trailer[name] = nil
		}
	}
	q.Stream = &trailerReader{body: body, from: r, to: q.Trailer, keys: keys}
}

// BufferBody makes the request send body. trailer is the caller's trailer after the body was read.
func (q *Request) BufferBody(body []byte, trailer http.Header, keys []string) {
	q.Buffered = body
	for name, values := range trailer {
		if !mayForwardTrailer(name) || len(values) == 0 {
			continue
		}
		if q.Trailer == nil {
			q.Trailer = make(http.Header)
		}
		q.Trailer[name] = values
	}
	stripHeader(q.Trailer, keys)
}

func mayForwardTrailer(name string) bool {
	switch name {
	case "Transfer-Encoding", "Content-Length", "Trailer", authorizationHeader, apiKeyHeader, "Cookie", "Connection":
		return false
	default:
		return true
	}
}

// trailerReader copies the caller's trailers, without keys, when the caller's body has ended. http.Transport reads the
// request's trailers after the end of the body.
type trailerReader struct {
	body io.Reader
	from *http.Request
	to   http.Header
	keys []string
}

// Read implements io.Reader.
func (t *trailerReader) Read(p []byte) (int, error) {
	n, err := t.body.Read(p)
	if err == io.EOF {
		for name := range t.to {
			t.to[name] = t.from.Trailer[name]
		}
		stripHeader(t.to, t.keys)
	}
	return n, err
}

// url returns the address of the request at an upstream.
func (q *Request) url(upstream string) *url.URL {
	if q.RequestTarget != "" {
		return &url.URL{Scheme: "http", Host: upstream, Opaque: q.RequestTarget}
	}
	return &url.URL{Scheme: "http", Host: upstream, Path: q.Path, RawPath: q.RawPath, RawQuery: q.RawQuery}
}

// Target is where and within which time an attempt is made.
type Target struct {
	// Address is the upstream's IP number and port.
	Address string
	// Header is added to the request.
	Header map[string]string
	// FirstByte bounds the time to the header of the answer; 0 leaves it to the deadline of the context.
	FirstByteTimeout time.Duration
	// NewConnection keeps the attempt from using an idle connection, whose failure would say little about the upstream.
	NewConnection bool
}
