package forward

import (
	"io"
	"net/http"
	"net/url"
	"time"
)

// Request is the request that an attempt sends. An attempt does not change its fields, so several attempts can share it, also
// concurrently, unless Stream is set.
type Request struct {
	Method string
	// Host is the Host header.
	Host string
	// Path and RawPath are used as in url.URL.
	Path, RawPath string
	RawQuery      string
	// Header contains neither keys nor hop-by-hop headers.
	Header http.Header
	// Buffered is the complete body. It can be sent more than once.
	Buffered []byte
	// Stream is the body of a request that can be sent only once; nil if Buffered is used.
	Stream io.Reader
	// StreamLength is the length of Stream in bytes, -1 if unknown.
	StreamLength int64
	// Trailer lists the trailers that follow the body. Those of Stream get their values when Stream has ended.
	Trailer http.Header
	// ID is the request id. Each attempt sends it with a different suffix, unless the request is Verbatim.
	ID string
	// Idempotent requests use pooled connections.
	Idempotent bool
	// Pooled requests use pooled connections even if they are not idempotent.
	Pooled bool
	// Verbatim requests are sent exactly once by each attempt, with the id unchanged. A connection carries each id at most once, so
	// that the copy of an earlier response cannot be taken as the response.
	Verbatim bool
	// RequestTarget replaces Path and RawQuery if it is not empty. It begins with a slash.
	RequestTarget string
}

// isReplayedMethod reports whether http.Transport by itself resends a request of this method without a body when a pooled
// connection breaks.
func isReplayedMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// NewRequest creates a request from a caller's request, without its body. It removes keys and hop-by-hop headers and adds
// this hop to the Forwarded header. keys are all keys that the caller presented.
func NewRequest(r *http.Request, id string, keys []string, idempotent bool) *Request {
	header := r.Header.Clone()
	RemoveHopByHop(header)
	stripHeader(header, keys)
	delete(header, TimeoutHeader)
	delete(header, "X-Request-Id")
	delete(header, "Content-Length")
	appendForwarded(header, r.RemoteAddr, r.Host)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // prevents http.Transport from adding its own
	}
	return &Request{
		Method: r.Method, Host: r.Host, Path: r.URL.Path, RawPath: r.URL.RawPath,
		RawQuery: stripQuery(r.URL.RawQuery, keys), Header: header, ID: id, Idempotent: idempotent,
	}
}

// StreamBody makes the request stream body, a reader of the body of r. The request can then be sent only once.
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

// BufferBody makes the request send a buffered body. trailer is the caller's trailer as it was after the body had been read.
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

// trailerReader copies the caller's trailers, without keys, at the end of the caller's body. http.Transport reads the
// request's trailers only after the end of the body.
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

// url returns the URL of the request at an upstream.
func (q *Request) url(upstream string) *url.URL {
	if q.RequestTarget != "" {
		return &url.URL{Scheme: "http", Host: upstream, Opaque: q.RequestTarget}
	}
	return &url.URL{Scheme: "http", Host: upstream, Path: q.Path, RawPath: q.RawPath, RawQuery: q.RawQuery}
}

// Target is the upstream of an attempt, and the options of this attempt.
type Target struct {
	// Address is the upstream's IP address and port.
	Address string
	// Service is the service of the upstream. Upstreams of a service are assumed to treat idle connections alike.
	Service string
	// Header is added to the request and replaces headers of the same name.
	Header map[string]string
	// FirstByteTimeout limits the time until the header of the response; 0 means that only the context's deadline applies.
	FirstByteTimeout time.Duration
	// NewConnection prevents the attempt from using an idle connection, whose failure would indicate little about the upstream.
	NewConnection bool
	// AwaitsMemory, if not nil, is called when the response begins to wait for memory of this host, at most once.
	AwaitsMemory func()
}
