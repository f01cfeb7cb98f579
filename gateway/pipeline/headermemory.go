package pipeline

import (
	"bytes"
	"net/http"

	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

const (
	// headerFieldBytes is the memory of a parsed header field and of its copy in the request to an upstream, without its text.
	headerFieldBytes = 160
	// freeHeaderBytes is the memory of a header that is not a part of the budget, so that requests of the usual size are served while
	// bodies use up the budget.
	freeHeaderBytes = 8 << 10
)

var endOfHeader = []byte("\r\n\r\n")

// headerMemory is the share of the memory budget for the header of one request. A header with many short fields takes many times its
// size, so lines count as well as bytes.
type headerMemory struct {
	budget *forward.BufferBudget
	// size is the memory of the header as far as it was read, and reserved the part of it that the budget contains.
	size, reserved int64
	// exhausted is set if the budget had no memory left for the header.
	exhausted bool
}

// add accounts for bytes of the connection that begin in the header, before they are parsed. It reports false if the budget has no
// memory left.
func (m *headerMemory) add(text []byte) bool {
	if end := bytes.Index(text, endOfHeader); end >= 0 { // a body or further requests follow
		text = text[:end]
	}
	return m.set(m.size+headerSize(int64(len(text)), bytes.Count(text, []byte{'\n'})), freeHeaderBytes)
}

// set replaces the size of the header. Memory above free is a part of the budget.
func (m *headerMemory) set(size, free int64) bool {
	more := max(0, size-free) - m.reserved
	if more > 0 && !m.budget.Reserve(more) {
		m.exhausted = true
		return false
	}
	if more < 0 {
		m.budget.Release(-more)
	}
	m.size, m.reserved = size, m.reserved+more
	return true
}

// release returns the share to the budget.
func (m *headerMemory) release() {
	m.budget.Release(m.reserved)
	m.reserved = 0
}

func headerSize(length int64, fields int) int64 { return length + headerFieldBytes*int64(fields) }

func fieldCount(header http.Header) (n int) {
	for _, values := range header {
		n += len(values)
	}
	return n
}
