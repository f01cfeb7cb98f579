package peer

import (
	"bufio"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// Limits of idle streams. Opening and closing a stream costs as many frames as a call, and the calls between hosts are small
// and frequent, so a stream carries one call after another.
const (
	// maxIdleStreams bounds the idle streams of an outbound session.
	maxIdleStreams = 4
	// idleStreamAge is the time for which the caller keeps an idle stream.
	callerIdleStreamTimeout = time.Minute
	// idleStreamTimeout is the time after which the called side closes an idle stream. It is longer than idleStreamAge, so
	// that the caller does not use a stream that is being closed.
	serverIdleStreamTimeout = 2 * time.Minute
)

// callStream is a stream that carries one call at a time. It is used again only after an exchange that ended properly on
// both sides, so an answer never reaches another call.
type callStream struct {
	*yamux.Stream
	reader    *bufio.Reader
	idleSince time.Time
}

func newCallStream(stream *yamux.Stream) *callStream {
	return &callStream{Stream: stream, reader: bufio.NewReader(stream)}
}

// idleStreams are the streams of an outbound session that carry no call.
type idleStreams struct {
	mu      sync.Mutex
	streams []*callStream
}

// take returns the stream that was used last, and nil if there is none. Streams that are too old are closed.
func (s *idleStreams) take() *callStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.streams) > 0 && time.Since(s.streams[0].idleSince) > callerIdleStreamTimeout {
		s.closeOldest()
	}
	last := len(s.streams) - 1
	if last < 0 {
		return nil
	}
	stream := s.streams[last]
	s.streams = s.streams[:last]
	return stream
}

func (s *idleStreams) put(stream *callStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream.idleSince = time.Now()
	s.streams = append(s.streams, stream)
	if len(s.streams) > maxIdleStreams {
		s.closeOldest()
	}
}

// closeOldest closes the stream that was used longest ago. The lock is held.
func (s *idleStreams) closeOldest() {
	_ = s.streams[0].Close()
	s.streams = append(s.streams[:0], s.streams[1:]...)
}
