package forward

import (
	"errors"
	"fmt"
	"sync"
)

// Faults of the lines of a head that the parsed response does not show. RFC 9112 section 5.2 lets a proxy reject folded lines.
var (
	errFoldedLine = errors.New("a line of the header begins with a blank")
	errEndOfHead  = errors.New("the header ends with LF alone, but its first line with CRLF")
)

// maxHeadBytes is the maximum length of the head of a response, in bytes, without the echo of the id of the request. The id is as long as
// callers may send it.
const maxHeadBytes = 64 << 10

// errHeadTooLong is the error of a connection on which a response has a head of more than maxHeadBytes.
var errHeadTooLong = fmt.Errorf("the head of the response has more than %d bytes beside the id of the request", maxHeadBytes)

// headLines checks the lines of the head of a response while they are read from the connection. http.Transport joins a line that begins
// with a blank to the one before it, and takes an LF at the beginning of a line for the end of the head. An upstream that wrote such a byte
// as the first one of a name has sent another header than the one that is parsed. Otherwise, lines that end with LF alone are accepted. Its
// zero value is ready for use.
type headLines struct {
	mu    sync.Mutex // http.Transport reads in a goroutine of its own
	limit int        // the maximum length of the head in bytes; 0 if there is none
	state headState
}

// headState is the state of headLines within a head.
type headState struct {
	fault  error
	ended  bool
	bytes  int  // of the head so far, and of the heads of interim responses before it
	lines  int  // complete lines
	length int  // bytes of the current line
	last   byte // the byte before
	crlf   bool // the first line ended with CRLF
	// status is the first digit of the status; 0 until it was read.
	status byte
}

// restart begins with the head of the next response, which has at most limit bytes.
func (h *headLines) restart(limit int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limit = limit
	h.state = headState{}
}

// tooLong reports whether the head has exceeded its limit.
func (h *headLines) tooLong() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.limit > 0 && h.state.bytes > h.limit
}

// check returns an error if the head of the response is faulty.
func (h *headLines) check() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.fault
}

// scan continues with bytes that were read from the connection. Those behind the head are ignored.
func (h *headLines) scan(p []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range p {
		if h.state.ended {
			return
		}
		h.state.next(b)
	}
}

func (s *headState) next(b byte) {
	last := s.last
	s.last = b
	s.bytes++
	switch {
	case b == '\n':
		s.endLine(last == '\r')
		return
	case s.lines == 0 && s.status == 0 && last == ' ' && b != ' ':
		s.status = b
	case s.lines > 0 && s.length == 0 && (b == ' ' || b == '\t'):
		s.fault = errFoldedLine
	}
	s.length++
}

// endLine ends the current line. An empty line ends the head. The head of an interim response is followed by another one.
func (s *headState) endLine(crlf bool) {
	empty := s.length == 0 || s.length == 1 && crlf
	if s.lines == 0 {
		s.crlf = crlf
	}
	s.lines++
	s.length = 0
	if !empty {
		return
	}
	if s.crlf && !crlf {
		s.fault = errEndOfHead
	}
	if s.status == '1' && s.fault == nil {
		*s = headState{bytes: s.bytes}
		return
	}
	s.ended = true
}
