package pipeline

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// isLast decides whether a response is the last one of its connection. It is if the handler or the caller asks to close the
// connection, if no later request was accepted and none will be, or if the caller is handed over to other hosts.
func (c *conn) isLast(e *exchange, response *Response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent--
	c.closing = response.Close || e.close || (c.unsent == 0 && (c.lastRead || c.server.closing.Load()))
	if !c.closing && c.unsent == 0 && !c.reading {
		c.closing = c.server.takeHandover()
	}
	return c.closing
}

// write sends the responses in order. It reports whether the connection is to be closed gracefully.
func (c *conn) write() bool {
	for {
		e := c.next()
		if e == nil {
			return false
		}
		response := <-e.response
		if c.ctx.Err() != nil {
			c.finish(e)
			return false
		}
		last := c.isLast(e, response)
		err := writeResponse(c.netConn, e.method, response, last)
		if e.request != nil {
			c.server.options.ResponseWritten(e.request, time.Since(e.readyAt), err)
		}
		c.finish(e)
		if err != nil {
			return false
		}
		if last {
			return true
		}
		c.startWaiting()
	}
}

// next returns the next exchange that has started. It returns nil if the caller has disconnected or no exchange is left.
func (c *conn) next() *exchange {
	for {
		e, more := c.takeStarted()
		if e != nil || !more {
			return e
		}
		select {
		case <-c.changed:
		case <-c.ctx.Done():
			return nil
		}
	}
}

func (c *conn) takeStarted() (e *exchange, more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.started) == 0 {
		return nil, !c.readerDone || len(c.waiting) > 0
	}
	e = c.started[0]
	c.started = c.started[1:]
	return e, true
}

// writeResponse writes one response to the connection. If last is true, the response has the header "Connection: close".
func writeResponse(netConn net.Conn, method string, response *Response, last bool) error {
	message := http.Response{
		StatusCode: response.Status, ProtoMajor: 1, ProtoMinor: 1, Header: response.Header, Close: last,
		Body: io.NopCloser(bytes.NewReader(response.Body)), ContentLength: int64(len(response.Body)),
		Request: &http.Request{Method: method},
	}
	if method == http.MethodHead {
		if len(response.Body) == 0 {
			message.ContentLength = response.Length
		}
		message.Body = http.NoBody
		// Without this, net/http announces the close of the connection if the length is not known. No body follows, so the
		// response ends with its header.
		message.Uncompressed = true
	}
	writer := writers.Get().(*bufio.Writer) //nolint:forcetypeassert // the pool holds only writers
	defer func() {
		writer.Reset(nil)
		writers.Put(writer)
	}()
	writer.Reset(newProgressWriter(netConn, len(response.Body)))
	if err := message.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// writers holds write buffers that are not in use, so that idle connections have none.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferBytes) }}

// linger closes the sending side and waits until the reader has seen the end of the connection, for at most lingerTimeout.
func (c *conn) linger() {
	writeCloser, ok := c.netConn.(interface{ CloseWrite() error })
	if !ok || writeCloser.CloseWrite() != nil {
		return
	}
	_ = c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
	select {
	case <-c.ctx.Done(): // the reader saw the end of the connection
	case <-time.After(lingerTimeout):
	}
}
